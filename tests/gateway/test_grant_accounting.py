"""What a quota leader has counted as spent, and what was admitted, where no message is repeated."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.events import ClientGone
from orchidhatch.gateway.reasons import QuotaDecisionSource
from orchidhatch.gateway.settings import Plan
from tests.gateway.held_pair import (
    ANSWERED,
    CUSTOMER,
    GATEWAYS,
    MEMBER,
    OTHER_CUSTOMER,
    PAST_ALL_WAITS_US,
    PAST_ONE_WAIT_US,
    PLAN,
    SLOTS_PLAN,
    HeldPair,
    record_decisions,
)
from tests.helpers import MS, SETTINGS, World, of


@pytest.mark.parametrize("plan", [PLAN, SLOTS_PLAN], ids=["plain", "shared_slots"])
def test_answered_request_is_counted_once(plan: Plan) -> None:
    """Guards against an answered request counted twice, or not at all."""
    pair = HeldPair(plan)
    pair.ask("a", units=6.0)
    pair.deliver_all()
    pair.check(answered=1)


def test_chance_between_none_and_one_is_counted_as_admitted() -> None:
    """Guards against counts that drift where the leader books by a chance and the member by its draw."""
    pair = HeldPair()
    pair.set_leader_level(12.0)
    pair.leader.gateway.quotas.customer(pair.customer_at(pair.leader).key).demand.units = 24.0
    pair.ask("local", units=5.0)
    pair.deliver_all()
    for number in range(3):
        pair.ask(f"r{number}", units=1.0)
        pair.deliver_all()
    pair.settle()
    assert pair.counted() == pytest.approx(pair.admitted_units(), abs=0.03)


@pytest.mark.parametrize("second_units", [8.0, 6.0], ids=["other_units", "equal_units"])
@pytest.mark.parametrize("order", [(0, 0), (1, 0)], ids=["in_order", "reversed"])
def test_two_answers_decide_one_request_each(order: tuple[int, int], second_units: float) -> None:
    """Guards against an answer that decides a request other than the one that asked with its units."""
    pair = HeldPair()
    pair.ask("first", units=6.0)
    pair.ask("second", units=second_units)
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    decided = [pair.deliver_to_member(index) for index in order]
    assert [len(names) for names in decided] == [1, 1]
    if second_units == 8.0:
        assert decided[0] == ["first" if order[0] == 0 else "second"]
    pair.check(answered=2)


@pytest.mark.parametrize("order", [(0, 0), (1, 0)], ids=["in_order", "reversed"])
def test_grant_of_one_request_admits_no_other(order: tuple[int, int]) -> None:
    """Guards against a denied request admitted by the answer to a smaller one, beyond the quota."""
    pair = HeldPair()
    pair.set_leader_level(13.0)
    pair.ask("granted", units=6.0)
    pair.ask("denied", units=8.0)
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    for index in order:
        pair.deliver_to_member(index)
    assert pair.admitted("granted") and not pair.admitted("denied")
    pair.check(answered=2)


def test_lost_answer_leaves_its_request_undecided() -> None:
    """Guards against the first of two requests decided by the answer to the second, its own being lost."""
    pair = HeldPair()
    pair.ask("unanswered", units=6.0)
    pair.ask("answered", units=8.0)
    pair.to_leader.pop(0)
    pair.deliver_to_leader()
    assert pair.deliver_to_member() == ["answered"]
    waiting = [request.id for request in pair.member.gateway.admission.awaiting_grant]
    assert waiting == ["unanswered"]


def answer_after_another_is_overdue(pair: HeldPair) -> None:
    """Answer one more request when the wait of the first is over, and before its timer."""
    pair.lose_all()
    pair.run(PAST_ONE_WAIT_US // 2)
    pair.ask("answered", units=8.0)
    pair.deliver_to_leader()
    pair.member.now += PAST_ONE_WAIT_US // 2
    pair.deliver_to_member()


def test_answer_decides_no_overdue_request_of_its_customer() -> None:
    """Guards against an overdue request of the same customer decided as answered by another's answer."""
    pair = HeldPair()
    pair.ask("overdue", units=6.0)
    answer_after_another_is_overdue(pair)
    assert pair.sources.count(ANSWERED) == 1
    assert pair.admitted("answered")


def test_answer_decides_no_overdue_request_of_another_customer() -> None:
    """Guards against another customer's overdue request decided as answered (issue 53's first face)."""
    pair = HeldPair()
    pair.introduce(OTHER_CUSTOMER)
    pair.ask("overdue", units=6.0, customer=OTHER_CUSTOMER)
    answer_after_another_is_overdue(pair)
    assert pair.sources.count(ANSWERED) == 1
    assert pair.admitted("answered")


@pytest.mark.parametrize("next_units", [8.0, 6.0], ids=["other_units", "equal_units"])
def test_duplicated_answer_decides_no_other_request(next_units: float) -> None:
    """Guards against an answer that the network delivers twice and that decides a request each time."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    pair.to_member *= 2
    pair.deliver_to_member()
    pair.ask("next", units=next_units)
    assert pair.deliver_to_member() == []
    pair.deliver_all()
    pair.check(answered=2)


def test_duplicated_ask_is_counted_once() -> None:
    """Guards against an ask that the network delivers twice and that the leader counts twice."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.to_leader *= 2
    assert len(pair.to_leader) == 2
    pair.check(answered=1)


@pytest.mark.parametrize("wait_us", [0, PAST_ONE_WAIT_US, PAST_ALL_WAITS_US], ids=["soon", "overdue", "late"])
def test_request_whose_client_left_is_not_counted(wait_us: int) -> None:
    """Guards against units that stay counted where the client left before the answer came."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    pair.tell(pair.member, ClientGone("a"))
    pair.run(wait_us)
    assert not pair.to_leader
    pair.check(answered=0)


def test_request_whose_client_left_after_two_asks_is_not_counted() -> None:
    """Guards against the units of a second ask that stay counted where the client left after it."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.run(PAST_ONE_WAIT_US)
    pair.tell(pair.member, ClientGone("a"))
    pair.check(answered=0)


def test_answer_is_not_taken_by_a_request_whose_client_left() -> None:
    """Guards against an answer spent on a request without a client, while the one that asked waits on."""
    pair = HeldPair()
    pair.ask("left", units=6.0)
    pair.lose_all()
    pair.tell(pair.member, ClientGone("left"))
    pair.ask("waits", units=8.0)
    pair.deliver_to_leader()
    assert pair.deliver_to_member() == ["waits"]
    pair.run(PAST_ALL_WAITS_US)
    pair.check(answered=1)


def test_isolated_gateway_asks_nobody() -> None:
    """Guards against grants requested where gateways may not gossip."""
    settings = replace(SETTINGS, gateway_count=GATEWAYS, plans=(PLAN,), may_gossip=False)
    world = World(replace(settings, gateway_index=MEMBER))
    sources = record_decisions(world)
    actions = world.ask("a", customer=CUSTOMER, units=6.0, set_size=GATEWAYS)
    actions += world.ask("b", customer=CUSTOMER, units=6.0, set_size=GATEWAYS)
    actions += world.run(PAST_ALL_WAITS_US)
    assert of(SendGossip, actions) == []
    assert sources == [QuotaDecisionSource.LEADER] * 2
    assert not world.gateway.admission.awaiting_grant


def test_slot_answer_decides_no_request_for_a_grant() -> None:
    """Guards against an answer about a slot that decides a request awaiting a grant."""
    pair = HeldPair(SLOTS_PLAN)
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    slot_answers = [event for event in pair.to_member if not event.messages[0].is_grant_answer]
    assert slot_answers
    for event in slot_answers:
        pair.to_member.remove(event)
        pair.tell(pair.member, event)
    assert ANSWERED not in pair.sources
    pair.deliver_all()
    for _ in range(10):  # Until the slot is requested again.
        pair.run(100 * MS)
        pair.deliver_all()
    pair.check(answered=1)


@pytest.mark.parametrize("late", [False, True], ids=["in_time", "late"])
def test_grant_with_a_shared_slot_is_counted_once(late: bool) -> None:
    """Guards against units counted twice where the answer that admits a request comes with a slot for it."""
    pair = HeldPair(SLOTS_PLAN)
    pair.ask("a", units=6.0)
    if late:
        pair.run(PAST_ALL_WAITS_US)
    pair.deliver_all()
    pair.run(PAST_ONE_WAIT_US)
    assert pair.admitted("a")
    pair.check(answered=0 if late else 1)
