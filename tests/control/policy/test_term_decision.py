"""The decision of a new term, where its write does not come through at once."""

from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.ownership.writes import PutRecord, RegisterGateway
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from tests.control.policy.fake_host import FakeHost, renew


def test_decision_is_repeated_after_a_full_queue() -> None:
    host = FakeHost()
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    takes = [False, True]
    enqueued = []
    host.enqueue_internal = lambda write: enqueued.append(write) or takes.pop(0)
    renew(host, leases, "a")
    assert len(enqueued) == 1
    leases.check()
    assert len(enqueued) == 2
    leases.check()  # that one is on its way
    assert len(enqueued) == 2


def test_failed_write_of_a_decision_is_repeated(host: FakeHost) -> None:
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    renew(host, leases, "a")
    leases.check()
    assert len(host.writes) == 1  # one is on its way
    leases.batch_failed([])
    leases.check()
    assert len(host.writes) == 2 and isinstance(host.writes[1], PutRecord)
