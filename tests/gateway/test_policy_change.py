"""The decision core under a policy: admission suspended or not, and put under another policy."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.gateway.actions import Reject, SendAttempt, WaitTimes
from orchidhatch.gateway.events import PeerMessage, PolicyChange, SuspendAdmission
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.gossip_codec import HEADER, MESSAGE, mark_of, pack_message, unpack_message
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, PLAN, SETTINGS, World, of

WIDER = Plan(rate=20.0, burst=40.0, ceiling_rate=50.0, ceiling_burst=60.0)
TIGHT = Plan(rate=5.0, burst=5.0, max_in_flight=1)
plans = st.sampled_from((PLAN, WIDER, TIGHT, Plan()))


def new_policy(*plans_: Plan, mark: int = 2, moved: tuple[int, ...] = (0,), banned: str = "") -> PolicyChange:
    return PolicyChange(SETTINGS.classes, plans_, frozenset(filter(None, [banned])), mark, moved)


@given(st.lists(st.tuples(plans, st.integers(1, 30)), min_size=1, max_size=6))
def test_quota_level_scales_with_the_burst_of_a_new_plan(steps: list[tuple[Plan, int]]) -> None:
    world = World()
    number = 0
    for plan, count in steps:
        for _ in range(count):
            number += 1
            world.ask(f"r{number}")
        [customer] = world.gateway.quotas.customers.values()
        before = customer.refill(world.now)
        old_plan = before.plan
        old_level = before.quota.set_level
        old_in_flight = before.in_flight
        world.tell(new_policy(plan))
        after = next(iter(world.gateway.quotas.customers.values()))
        assert after.plan == plan
        assert after.in_flight == old_in_flight
        scale = plan.burst / old_plan.burst if old_plan.burst else 0.0
        assert after.quota.set_level == pytest.approx(old_level * scale)
        assert after.quota.local_share <= plan.burst + 1e-9
        assert after.ceiling.units <= plan.ceiling_burst + 1e-9
        for name, attempt in list(world.out):  # what was admitted ends under the plan of then
            world.answer(name, attempt=attempt)
    assert after.in_flight == 0


def test_suspended_and_banned_requests_are_rejected() -> None:
    """Messages of gateways under another policy are ignored."""
    world = World(replace(SETTINGS, gateway_count=2))
    world.tell(SuspendAdmission(True))
    assert of(Reject, world.ask("a"))
    assert not world.out
    world.tell(SuspendAdmission(False))
    assert of(SendAttempt, world.ask("b"))
    world.tell(new_policy(Plan(rate=7.0, burst=7.0), PLAN, mark=9, moved=(1,), banned="c2"))
    assert of(Reject, world.ask("c", customer="c2"))
    assert of(SendAttempt, world.ask("d"))
    ended = dict(world.gateway.counters.ended)
    assert ended == {"policy": 1, "banned": 1}
    [customer] = [known for known in world.gateway.quotas.customers.values() if known.is_leader][:1]
    demand = customer.demand.units
    report = GossipMessage(*customer.key, demand=50.0, spent=50.0)
    level = customer.quota.set_level
    for mark, expected in ((2, level), (0, level), (9, level - 50)):
        world.tell(PeerMessage(1, (report,), policy_mark=mark))
        lowest = -customer.plan.rate / 2
        assert customer.quota.set_level == pytest.approx(max(expected, lowest), abs=0.5)
    assert customer.demand.units > demand + 40
    world.tell(new_policy(PLAN, moved=(-1, -1)))
    assert not world.gateway.quotas.customers


def test_requests_waiting_for_a_slot_report_wait_times() -> None:
    world = World(replace(SETTINGS, plans=(TIGHT,)))
    for name in ("a", "b", "c"):
        world.ask(name)
    world.run(100 * MS)
    times = [dict(action.times) for _, action in world.log if isinstance(action, WaitTimes)]
    waited_us = sum(by_reason.get("open_cap", 0) for by_reason in times)
    assert waited_us == pytest.approx(2 * 100 * MS, rel=0.25)


def test_marked_datagram_is_malformed_to_earlier_versions() -> None:
    """This version decodes it; an earlier one takes the head's kind for a count that is too large."""
    messages = tuple(GossipMessage(number, 0, 0, 2, demand=1.0) for number in range(13))
    observations = (AttemptObservation(7, 0, True, 0.5),)
    [plain] = pack_message(messages, observations)
    [marked] = pack_message(messages, observations, 200)
    assert (mark_of(plain), mark_of(marked)) == (0, 200)
    assert max(map(len, (plain, marked))) <= 256
    assert unpack_message(plain)[0] == unpack_message(marked)[0] == messages
    assert 1 + (marked[0] ^ HEADER) * MESSAGE.size > 256
    for cut in range(len(marked)):
        unpack_message(marked[:cut])
