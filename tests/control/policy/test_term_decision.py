"""The decision of a new term, where its write does not come through at once."""

from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.ownership.writes import RegisterGateway
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from tests.control.policy.test_lease_host import FakeHost, renew


def test_decision_is_repeated_after_a_full_queue() -> None:
    host = FakeHost()
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    takes, enqueued = [False, True], []
    host.enqueue_internal = lambda write: enqueued.append(write) or takes.pop(0)
    renew(host, leases, "a")
    assert len(enqueued) == 1
    leases.check()
    assert len(enqueued) == 2
    leases.check()  # that one is on its way
    assert len(enqueued) == 2
