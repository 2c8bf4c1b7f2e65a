"""Renewals of policy leases by what their registry says of itself."""

import pytest

from orchidhatch.control.errors import ConflictError, UnavailableError
from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.ownership.writes import RegisterGateway
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from orchidhatch.control.policy.timing import ABSENT_AFTER_S
from tests.control.policy.fake_host import FakeHost, renew


def test_renewal_is_unavailable_while_peers_are_asked(host: FakeHost) -> None:
    """The registry may have been replaced, and decides nothing either."""
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    host.is_current = False
    with pytest.raises(UnavailableError):
        renew(host, leases, "a")
    host.now_s += ABSENT_AFTER_S
    leases.check()
    assert not host.writes  # nothing is decided meanwhile either
    host.is_current = True
    assert renew(host, leases, "a").status == 200 and len(host.writes) == 1


def test_renewal_at_a_read_only_registry_is_rejected(host: FakeHost) -> None:
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    host.refusal = ConflictError("fenced")
    with pytest.raises(ConflictError, match="fenced"):
        renew(host, leases, "a")
    host.now_s += ABSENT_AFTER_S
    leases.check()
    assert not host.writes
