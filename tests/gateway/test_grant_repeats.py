"""What was counted and admitted where messages are repeated, late, reordered or lost."""

from itertools import permutations

import pytest

from orchidhatch.gateway.leader_requests import MAX_GRANT_REQUESTS
from tests.gateway.held_pair import (
    ANSWERED,
    BURST,
    PAST_ALL_WAITS_US,
    PAST_BACKOFF_US,
    PAST_EXPIRY_US,
    PAST_ONE_WAIT_US,
    TIMED_OUT,
    HeldPair,
    wait_until_timed_out,
)


@pytest.mark.parametrize("order", permutations(range(MAX_GRANT_REQUESTS)), ids=str)
@pytest.mark.parametrize("level", [5.0, 8.0, 20.0], ids=["denied", "granted_once", "full"])
def test_repeated_request_is_counted_once(level: float, order: tuple[int, ...]) -> None:
    """Guards against units counted at each of the asks for a grant, of which some are never given back."""
    pair = HeldPair()
    if level < BURST:
        pair.set_leader_level(level)
    pair.ask("a", units=6.0)
    pair.run((MAX_GRANT_REQUESTS - 1) * PAST_ONE_WAIT_US)
    assert len(pair.to_leader) == MAX_GRANT_REQUESTS
    while pair.to_leader:
        pair.deliver_to_leader()
    answers = list(pair.to_member)
    assert len(answers) == MAX_GRANT_REQUESTS
    pair.to_member = [answers[index] for index in order]
    decided = [pair.deliver_to_member() for _ in answers]
    assert decided == [["a"], *[[]] * (MAX_GRANT_REQUESTS - 1)]
    assert pair.admitted("a") is (level >= 6.0)
    pair.check(answered=1)


@pytest.mark.parametrize("index", [0, 1], ids=["by_first", "by_second"])
@pytest.mark.parametrize("level", [5.0, 8.0], ids=["denied", "granted"])
def test_request_is_decided_alike_by_either_answer(level: float, index: int) -> None:
    """Guards against a granted request that the answer to its second ask denies, its units counted."""
    pair = HeldPair()
    pair.set_leader_level(level)
    pair.ask("a", units=6.0)
    pair.run(PAST_ONE_WAIT_US)
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    pair.deliver_to_member(index)
    assert pair.admitted("a") is (level == 8.0)
    pair.check(answered=1)


@pytest.mark.parametrize("next_units", [7.0, 6.0], ids=["other_units", "equal_units"])
def test_second_answer_decides_no_later_request(next_units: float) -> None:
    """Guards against a second answer to one request that decides the next, unseen by the leader."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.run(PAST_ONE_WAIT_US)
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    pair.deliver_to_member()
    pair.ask("next", units=next_units)
    assert pair.deliver_to_member() == []
    pair.deliver_all()
    pair.check(answered=2)


@pytest.mark.parametrize("lost", ["ask", "answer"])
def test_second_ask_after_a_lost_message_is_counted_once(lost: str) -> None:
    """Guards against units counted at a first ask whose answer was lost."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    if lost == "answer":
        pair.deliver_to_leader()
    pair.lose_all()
    pair.run(PAST_ONE_WAIT_US)
    pair.deliver_all()
    assert pair.admitted("a")
    pair.check(answered=1)


@pytest.mark.parametrize("asks", range(1, MAX_GRANT_REQUESTS + 1))
@pytest.mark.parametrize("admitted", [False, True], ids=["rejected", "admitted"])
def test_answer_after_the_time_out_is_counted_as_decided(admitted: bool, asks: int) -> None:
    """Guards against units that stay counted for a request rejected by time-out, or counted twice."""
    pair = HeldPair()
    if not admitted:
        pair.use_up_allowance()
    pair.ask("a", units=6.0)
    wait_until_timed_out(pair)
    del pair.to_leader[asks:]
    assert pair.admitted("a") is admitted
    pair.check(answered=0)


@pytest.mark.parametrize("admitted", [False, True], ids=["rejected", "admitted"])
def test_denial_after_the_time_out_is_counted_as_decided(admitted: bool) -> None:
    """Guards against an admission by time-out that is booked as granted while the leader denied it."""
    pair = HeldPair()
    if not admitted:
        pair.use_up_allowance()
    pair.set_leader_level(5.0)
    pair.ask("a", units=6.0)
    wait_until_timed_out(pair)
    assert pair.admitted("a") is admitted
    pair.settle()
    assert TIMED_OUT in pair.sources and ANSWERED not in pair.sources
    # The set's debt is bounded, so that it cannot show all of what was admitted beyond the quota.
    assert pair.counted() == pytest.approx(min(BURST, pair.admitted_units()), abs=0.03)


@pytest.mark.parametrize("next_units", [7.0, 6.0], ids=["other_units", "equal_units"])
def test_late_answer_decides_no_later_request(next_units: float) -> None:
    """Guards against an answer to a request decided by time-out that admits the next one."""
    pair = HeldPair()
    pair.use_up_allowance()
    pair.ask("late", units=6.0)
    wait_until_timed_out(pair)
    del pair.to_leader[1:]
    pair.deliver_to_leader()
    pair.run(PAST_BACKOFF_US)
    pair.ask("next", units=next_units)
    assert pair.deliver_to_member() == []
    pair.deliver_all()
    pair.check(answered=1)


@pytest.mark.parametrize("draw", [0.1, 0.9], ids=["granted", "denied"])
def test_chance_of_a_late_answer_is_counted_as_decided(monkeypatch: pytest.MonkeyPatch, draw: float) -> None:
    """Guards against a leader that counts by its chance, and against a late answer not taken as counted."""
    pair = HeldPair()
    pair.set_leader_level(12.0)
    pair.ask("local", units=5.0)
    pair.deliver_all()
    pair.customer_at(pair.leader).demand.units = 24.0
    pair.ask("a", units=1.0)
    before = pair.counted()
    monkeypatch.setattr(pair.leader.gateway.context.random, "random", lambda: draw)
    pair.deliver_to_leader()
    booked = 1.0 if draw == 0.1 else 0.0
    assert pair.counted() - before == pytest.approx(booked, abs=0.001)
    assert [answer.spent for answer in pair.messages_to_member()] == [booked]
    pair.run(PAST_ALL_WAITS_US)
    assert pair.sources[-1] is TIMED_OUT
    pair.to_leader.clear()
    pair.check(answered=0)


@pytest.mark.parametrize("admitted", [False, True], ids=["rejected", "admitted"])
def test_request_whose_asks_are_lost_is_counted_as_decided(admitted: bool) -> None:
    """Guards against a request admitted by time-out that no report shows, as its asks never arrived."""
    pair = HeldPair()
    if not admitted:
        pair.use_up_allowance()
    pair.ask("a", units=6.0)
    wait_until_timed_out(pair)
    pair.lose_all()
    pair.check(answered=0)


@pytest.mark.parametrize("admitted", [False, True], ids=["rejected", "admitted"])
def test_request_whose_answers_are_lost_stays_counted(admitted: bool) -> None:
    """Guards against another count than the grant and what is reported, as no answer tells of the grant.

    The member cannot tell lost answers from lost asks: it reports what it spends.
    """
    pair = HeldPair()
    if not admitted:
        pair.use_up_allowance()
    pair.ask("a", units=6.0)
    for _ in range(MAX_GRANT_REQUESTS):
        pair.deliver_to_leader()
        pair.lose_all()
        pair.run(PAST_ONE_WAIT_US)
    assert pair.sources[-1] is TIMED_OUT
    assert pair.admitted("a") is admitted
    pair.check(answered=0, granted_unanswered=6.0)


@pytest.mark.parametrize("lost", range(MAX_GRANT_REQUESTS - 1))
def test_one_answer_of_many_settles_its_request(lost: int) -> None:
    """Guards against units that stay counted or are reported too, where some answers are lost."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    wait_until_timed_out(pair)
    while pair.to_leader:
        pair.deliver_to_leader()
    del pair.to_member[: lost + 1]
    pair.check(answered=0)


def test_answer_after_expiry_takes_the_report_back() -> None:
    """Guards against units reported at the end of the wait for an answer, and counted by the answer too."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    answer = pair.to_member.pop()
    wait_past_all_but(pair, held=MAX_GRANT_REQUESTS - 1)
    pair.lose_all()
    pair.run(PAST_EXPIRY_US)
    pair.report(pair.customer_at(pair.member))
    pair.deliver_all()
    assert pair.counted() == pytest.approx(12.0, abs=0.03)
    pair.to_member.append(answer)
    pair.check(answered=0)


def wait_past_all_but(pair: HeldPair, held: int) -> None:
    """Let a request be decided by time-out, with so many of its asks held."""
    pair.run(PAST_ALL_WAITS_US)
    assert pair.sources[-1] is TIMED_OUT
    assert len(pair.to_leader) == held
