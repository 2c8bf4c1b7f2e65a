"""Entry checks and quota decisions."""

import zlib
from collections.abc import Iterator
from dataclasses import replace

from orchidhatch.gateway.actions import Reject, SendAttempt
from orchidhatch.gateway.events import PeerMessage, SuspendAdmission
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US, MAX_GRANT_REQUESTS
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, World, of


def test_over_quota_request_is_admitted_without_limit() -> None:
    """A plan may gain by requests beyond its quota, but they are the first to go under overload control."""
    plan = Plan(rate=1.0, burst=1.0, over_quota_weight=2.0, over_quota_cost=1.0)
    world = World(replace(SETTINGS, plans=(plan,)))
    assert of(SendAttempt, world.ask("a", units=1.0))
    assert of(SendAttempt, world.ask("b", units=50.0))
    world.gateway.overload.admission_limit = 100.0
    world.gateway.overload.period_limit = 100
    assert of(Reject, world.ask("c", units=50.0))
    assert dict(world.gateway.counters.ended) == {"quota": 1}


def test_entry_rejection_gives_the_first_reason_that_applies() -> None:
    settings = replace(SETTINGS, banned_customers=frozenset(["banned"]), max_open_requests=1)
    world = World(settings)
    assert of(SendAttempt, world.ask("open"))
    world.ask("a", customer="banned")
    world.ask("b")
    world.tell(SuspendAdmission(True))
    world.ask("c", customer="banned")
    world.ask("d")
    assert dict(world.gateway.counters.ended) == {"banned": 1, "crowded": 1, "policy": 2}


def test_decisions_are_counted_by_their_source() -> None:
    plan = Plan(rate=1.0, burst=2.0)
    world = World(replace(SETTINGS, plans=(plan,)))
    for n in range(3):
        world.ask(f"r{n}", units=1.0)
    assert dict(world.gateway.counters.decided_since_log) == {"part": 2, "home": 1}


def names_led_elsewhere() -> Iterator[str]:
    """Customers whose quota leader, of three gateways, is not the first."""
    return (str(n) for n in range(100) if zlib.crc32(str(n).encode()) % 3)


def member_world() -> World:
    """One of three gateways, past its first log line."""
    world = World(replace(SETTINGS, gateway_count=3, plans=(Plan(rate=1.0, burst=3.0),)))
    world.run(1100 * MS)
    return world


def leader_answer(customer: Customer, demand: float, requested: float = 0.0) -> PeerMessage:
    message = GossipMessage(*customer.key, True, demand, 0.0, requested, 3.0, 0)
    return PeerMessage(customer.leader, (message,))


def test_member_decisions_are_counted_by_their_source() -> None:
    world = member_world()
    name = next(names_led_elsewhere())
    decided = world.gateway.counters.decided_since_log

    def ask(number: int, units: float = 1.5) -> None:
        world.ask(f"r{number}", customer=name, units=units, set_size=3)

    ask(0, units=1.0)
    assert dict(decided) == {"part": 1}
    ask(1)
    world.run(300 * MS)
    assert dict(decided) == {"part": 1, "silent": 1}
    ask(2)
    assert dict(decided) == {"part": 1, "silent": 1, "unheard": 1}
    [customer] = world.gateway.quotas.customers.values()
    world.tell(leader_answer(customer, demand=0.0))
    ask(3)
    world.tell(leader_answer(customer, demand=1e9, requested=1.5))
    assert dict(decided) == {"part": 1, "silent": 1, "unheard": 1, "answered": 1}
    ask(4)
    assert dict(decided) == {"part": 1, "silent": 1, "unheard": 1, "answered": 1, "old": 1}


def test_answered_request_is_decided_before_overdue_ones() -> None:
    """The overdue one, whose leader was asked as often as may be, is decided without an answer."""
    world = member_world()
    overdue, answered, *_ = names_led_elsewhere()
    world.ask("overdue", customer=overdue, units=1.5, set_size=3)
    world.run((MAX_GRANT_REQUESTS - 1) * LEADER_REPLY_TIMEOUT_US + 40 * MS)
    world.ask("answered", customer=answered, units=1.5, set_size=3)
    assert len(world.gateway.admission.awaiting_grant) == 2
    world.now += 45 * MS
    customer = world.gateway.requests.by_id["answered"].customer
    sent = of(SendAttempt, world.tell(leader_answer(customer, demand=0.0, requested=1.5)))
    assert [action.id for action in sent] == ["answered", "overdue"]
    assert dict(world.gateway.counters.decided_since_log) == {"answered": 1, "silent": 1}


def test_leader_answer_decides_only_its_own_customer() -> None:
    """Guards against customers admitted as if their quota leader had answered, as another's did."""
    world = member_world()
    overdue, answered, *_ = names_led_elsewhere()
    world.ask("overdue", customer=overdue, units=1.5, set_size=3)
    world.now += 40 * MS
    world.ask("answered", customer=answered, units=1.5, set_size=3)
    world.now += 45 * MS
    customer = world.gateway.requests.by_id["answered"].customer
    decided = world.gateway.counters.decided_since_log
    before = decided["answered"]
    world.tell(leader_answer(customer, demand=0.0, requested=1.5))
    assert decided["answered"] - before == 1
