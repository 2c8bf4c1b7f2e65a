"""What the numbers of grant requests ensure, and what holds with gateways that number none."""

from dataclasses import replace
from itertools import permutations

import pytest

from orchidhatch.gateway.counted_grants import COUNTED_GRANT_TTL_US
from orchidhatch.gateway.gossip import MAX_GRANT_NUMBER, NO_GRANT_NUMBER, MessageKind
from orchidhatch.gateway.grant_requests import GRANT_NUMBER_REUSE_US, GrantState
from orchidhatch.gateway.settings import Plan
from tests.gateway.held_pair import (
    ANSWERED,
    BURST,
    GATEWAYS,
    MEMBER,
    PAST_ONE_WAIT_US,
    HeldPair,
    unnumbered,
)
from tests.helpers import MS

ORDERS = list(permutations(range(2)))


@pytest.mark.parametrize("ask_order", ORDERS, ids=str)
@pytest.mark.parametrize("level", [20.0, 13.0, 7.0, 5.0])
def test_unnumbered_asks_are_each_counted_as_answered(level: float, ask_order: tuple[int, int]) -> None:
    """Guards against a member of the version before, which goes by the level and admits more."""
    pair = HeldPair()
    if level < BURST:
        pair.set_leader_level(level)
    before = pair.counted()
    pair.ask("first", units=6.0)
    pair.ask("second", units=8.0)
    asks = [unnumbered(event) for event in pair.to_leader]
    pair.to_leader = [asks[index] for index in ask_order]
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    answers = pair.messages_to_member()
    assert [answer.requested for answer in answers] == [(6.0, 8.0)[index] for index in ask_order]
    assert [answer.grant_number for answer in answers] == [NO_GRANT_NUMBER] * 2
    followed = sum(answer.requested for answer in answers if answer.level >= answer.requested)
    assert pair.counted() - before == pytest.approx(followed, abs=0.03)


def test_repeated_unnumbered_ask_is_counted_each_time() -> None:
    """Guards against a repeated ask of a member of the version before taken for one that is known."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.to_leader = [unnumbered(pair.to_leader[0])] * 2
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    assert pair.counted() == pytest.approx(12.0, abs=0.03)
    assert [answer.level for answer in pair.messages_to_member()] == pytest.approx([20.0, 14.0], abs=0.03)


@pytest.mark.parametrize("answer_order", ORDERS, ids=str)
@pytest.mark.parametrize("ask_order", ORDERS, ids=str)
@pytest.mark.parametrize("level", [20.0, 13.0, 7.0, 5.0])
@pytest.mark.parametrize("second_units", [8.0, 6.0], ids=["other_units", "equal_units"])
def test_leader_of_the_version_before_conserves_units(
    second_units: float, level: float, ask_order: tuple[int, int], answer_order: tuple[int, int]
) -> None:
    """Guards against units that drift where a leader of the version before answers without numbers."""
    pair = HeldPair()
    if level < BURST:
        pair.set_leader_level(level)
    pair.ask("first", units=6.0)
    pair.ask("second", units=second_units)
    asks = [unnumbered(event) for event in pair.to_leader]
    pair.to_leader = [asks[index] for index in ask_order]
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    answers = list(pair.to_member)
    pair.to_member = [answers[index] for index in answer_order]
    pair.deliver_to_member()
    pair.deliver_to_member()
    pair.check(answered=2)


@pytest.mark.parametrize("answer_order", ORDERS, ids=str)
@pytest.mark.parametrize("level", [20.0, 13.0, 7.0, 5.0])
def test_repeat_at_a_leader_of_the_version_before(level: float, answer_order: tuple[int, int]) -> None:
    """Guards against units of a second ask, counted by a leader of the version before, never given back."""
    pair = HeldPair()
    if level < BURST:
        pair.set_leader_level(level)
    pair.ask("a", units=6.0)
    pair.run(PAST_ONE_WAIT_US)
    pair.to_leader = [unnumbered(event) for event in pair.to_leader]
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    answers = list(pair.to_member)
    assert len(answers) == 2
    pair.to_member = [answers[index] for index in answer_order]
    pair.deliver_to_member()
    pair.deliver_to_member()
    pair.check(answered=1)


@pytest.mark.parametrize("order", [1, -1], ids=["in_order", "reversed"])
@pytest.mark.parametrize("level", [750.0, 100.0], ids=["all_granted", "some_granted"])
def test_more_requests_than_numbers_conserve_units(level: float, order: int) -> None:
    """Guards against a number that names two open requests, and units that drift where none is free."""
    burst = 1000.0
    pair = HeldPair(Plan(rate=1e-6, burst=burst))
    pair.ask("local", units=burst / GATEWAYS)
    pair.deliver_all()
    pair.set_leader_level(level)
    names = [f"r{number}" for number in range(40)]
    for name in names:
        pair.ask(name, units=6.0)
    asks = [message for message in pair.messages_to_leader() if message.kind is MessageKind.GRANT_REQUEST]
    assert sorted(ask.grant_number for ask in asks) == list(range(1, MAX_GRANT_NUMBER + 1))
    assert len(pair.member.gateway.admission.awaiting_grant) == MAX_GRANT_NUMBER
    while pair.to_leader:
        pair.deliver_to_leader()
    pair.to_member = pair.to_member[::order]
    pair.deliver_all()
    pair.settle()
    assert not pair.member.gateway.admission.awaiting_grant
    assert pair.counted() == pytest.approx(pair.spent_units(), abs=0.03)
    assert pair.sources.count(ANSWERED) == MAX_GRANT_NUMBER
    assert len(pair.sources) == len(names) + 1  # The one before was decided by the local share.


def test_number_is_reused_after_its_time() -> None:
    """Guards against a request under a used number that the leader takes for the earlier one."""
    burst = 1000.0
    pair = HeldPair(Plan(rate=1e-6, burst=burst))
    pair.ask("local", units=burst / GATEWAYS)
    pair.deliver_all()
    for number in range(1, MAX_GRANT_NUMBER + 1):
        pair.ask(f"r{number}", units=6.0)
    assert sorted(ask.grant_number for ask in pair.messages_to_leader()) == list(
        range(1, MAX_GRANT_NUMBER + 1)
    )
    pair.deliver_all()
    pair.serve()
    pair.run(GRANT_NUMBER_REUSE_US // 2)
    pair.deliver_all()
    pair.ask("between", units=6.0)
    assert MessageKind.GRANT_REQUEST not in [message.kind for message in pair.messages_to_leader()]
    pair.deliver_all()
    pair.serve()
    pair.run(GRANT_NUMBER_REUSE_US // 2)
    pair.deliver_all()
    pair.ask("again", units=6.0)
    [ask] = pair.messages_to_leader()
    assert ask.kind is MessageKind.GRANT_REQUEST
    pair.deliver_all()
    pair.settle()
    assert pair.admitted("again")
    assert pair.counted() == pytest.approx(pair.spent_units(), abs=0.03)


def test_answer_of_another_gateway_changes_nothing() -> None:
    """Guards against an answer taken from a gateway that is not the customer's leader."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    customer = pair.customer_at(pair.member)
    level = customer.quota.set_level
    [event] = pair.to_member
    [answer] = event.messages
    for other in (MEMBER, MEMBER + 1, MEMBER + 2):
        foreign = replace(answer, spent=0.0, level=1.0)
        pair.tell(pair.member, replace(event, sender=other, messages=(foreign,)))
    assert pair.sources == []
    assert customer.quota.unreported_spend == 0.0
    assert customer.quota.set_level == level
    [request] = pair.member.gateway.admission.awaiting_grant
    assert request.grant.state is GrantState.AWAITED
    assert pair.deliver_to_member() == ["a"]
    assert pair.admitted("a")
    pair.check(answered=1)


@pytest.mark.parametrize("level", [20.0, 7.0, 5.0])
def test_overtaken_ask_is_counted_once_and_answered_alike(level: float) -> None:
    """Guards against a first ask that arrives after its repetition and is counted anew."""
    pair = HeldPair()
    if level < BURST:
        pair.set_leader_level(level)
    pair.ask("a", units=6.0)
    pair.run(PAST_ONE_WAIT_US)
    before = pair.counted()
    pair.deliver_to_leader(1)
    pair.deliver_to_leader(0)
    first, second = pair.messages_to_member()
    granted = 6.0 if level >= 6.0 else 0.0
    assert pair.counted() - before == pytest.approx(granted, abs=0.03)
    assert first.spent == second.spent == granted
    assert (first.grant_number, first.requested) == (second.grant_number, second.requested)
    assert first.level == pytest.approx(second.level, abs=0.03)
    pair.check(answered=1)


def test_repeated_ask_is_counted_anew_after_its_time() -> None:
    """Guards against a leader that remembers counted grants for longer than it says, or for less.

    The member cannot tell the second count from the first, whose answer it has.
    """
    pair = HeldPair()
    pair.ask("a", units=6.0)
    ask = pair.to_leader[0]
    pair.deliver_all()
    pair.run(COUNTED_GRANT_TTL_US - 50 * MS)
    pair.to_leader.append(ask)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(6.0, abs=0.03)
    pair.run(60 * MS)
    pair.to_leader.append(ask)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(12.0, abs=0.03)
    pair.check(answered=1, granted_unanswered=6.0)
