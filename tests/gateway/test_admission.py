"""Entry checks and quota decisions."""

from dataclasses import replace

from orchidhatch.gateway.actions import Reject, SendAttempt
from orchidhatch.gateway.events import SuspendAdmission
from orchidhatch.gateway.settings import Plan
from tests.helpers import SETTINGS, World, of


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
