"""The decision core under a policy: admission suspended or not, and put under another policy."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.gateway.actions import Reject, SendAttempt, WaitTimes
from orchidhatch.gateway.events import PeerMessage, PolicyChange, SuspendAdmission
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.gossip_codec import HEAD, MESSAGE, mark_of, pack_message, unpack_message
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, PLAN, SETTINGS, World, of

WIDER = Plan(rate=20.0, burst=40.0, ceiling_rate=50.0, ceiling_burst=60.0)
TIGHT = Plan(rate=5.0, burst=5.0, max_in_flight=1)
plans = st.sampled_from((PLAN, WIDER, TIGHT, Plan()))


def new_policy(*plans_: Plan, mark: int = 2, moved: tuple[int, ...] = (0,), banned: str = "") -> PolicyChange:
    return PolicyChange(SETTINGS.classes, plans_, frozenset(filter(None, [banned])), mark, moved)


@given(st.lists(st.tuples(plans, st.integers(1, 30)), min_size=1, max_size=6))
def test_quota_level_when_the_plan_changes_then_carries_over_in_proportion_up_to_the_burst(
    steps: list[tuple[Plan, int]],
) -> None:
    world, number = World(), 0
    for plan, asked in steps:
        for _ in range(asked):
            number += 1
            world.ask(f"r{number}")
        [customer] = world.gateway.quotas.customers.values()
        before = customer.refill(world.now)
        was = before.plan, before.quota.set_level, before.quota.local_share, before.in_flight
        world.tell(new_policy(plan))
        after = next(iter(world.gateway.quotas.customers.values()))
        assert after.plan == plan and after.in_flight == was[3]
        share = plan.burst / was[0].burst if was[0].burst else 0.0
        assert (
            after.quota.set_level == pytest.approx(was[1] * share)
            and after.quota.local_share <= plan.burst + 1e-9
        )
        assert after.ceiling.units <= plan.ceiling_burst + 1e-9
        for name, attempt in list(world.out):  # whatever was let in ends by what held then
            world.answer(name, attempt=attempt)
    assert after.in_flight == 0


def test_admission_when_suspended_or_banned_then_rejects_and_ignores_other_policies_gossip() -> None:
    world = World(replace(SETTINGS, gateway_count=2))
    world.tell(SuspendAdmission(True))
    assert of(Reject, world.ask("a")) and not world.out
    world.tell(SuspendAdmission(False))
    assert of(SendAttempt, world.ask("b"))
    world.tell(new_policy(Plan(rate=7.0, burst=7.0), PLAN, mark=9, moved=(1,), banned="c2"))
    assert of(Reject, world.ask("c", customer="c2")) and of(SendAttempt, world.ask("d"))
    ended = dict(world.gateway.counters.ended)
    assert ended == {"policy": 1, "banned": 1}
    [customer] = [one for one in world.gateway.quotas.customers.values() if one.is_leader][:1]
    demand = customer.demand.units
    word = GossipMessage(*customer.key, demand=50.0, spent=50.0)
    for mark, level in (
        (2, customer.quota.set_level),
        (0, customer.quota.set_level),
        (9, customer.quota.set_level - 50),
    ):
        world.tell(PeerMessage(1, (word,), policy_mark=mark))
        assert customer.quota.set_level == pytest.approx(max(level, -customer.plan.rate / 2), abs=0.5)
    assert customer.demand.units > demand + 40
    world.tell(new_policy(PLAN, moved=(-1, -1)))
    assert not world.gateway.quotas.customers


def test_wait_times_when_requests_queue_for_a_permit_then_are_reported_by_reason() -> None:
    world = World(replace(SETTINGS, plans=(TIGHT,)))
    for name in ("a", "b", "c"):
        world.ask(name)
    world.run(100 * MS)
    waited = sum(
        (dict(action.times).get("open_cap", 0) for _, action in world.log if isinstance(action, WaitTimes))
    )
    assert waited == pytest.approx(2 * 100 * MS, rel=0.25)


def test_peer_message_when_it_has_a_policy_mark_then_is_decoded_here_and_refused_by_earlier_versions() -> (
    None
):
    words = tuple(GossipMessage(n, 0, 0, 2, demand=1.0) for n in range(13))
    seen = (AttemptObservation(7, 0, True, 0.5),)
    [plain], [marked] = pack_message(words, seen), pack_message(words, seen, 200)
    assert (mark_of(plain), mark_of(marked)) == (0, 200) and max(map(len, (plain, marked))) <= 256
    assert unpack_message(plain)[0] == unpack_message(marked)[0] == words
    assert (
        1 + (marked[0] ^ HEAD) * MESSAGE.size > 256
    )  # by which the version before knows what is not its form
    for cut in range(len(marked)):
        unpack_message(marked[:cut])
