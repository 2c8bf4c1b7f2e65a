"""What the messages of a grant say, and how the wire rounds it."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.events import PeerMessage
from orchidhatch.gateway.gossip import NO_GRANT_NUMBER, MessageKind
from orchidhatch.gateway.settings import Plan
from tests.gateway.held_pair import ANSWERED, LEADER, HeldPair, unnumbered, wait_until_timed_out


def test_answer_echoes_the_units_as_they_arrived() -> None:
    """Guards against an answer that names other units than the leader has counted."""
    pair = HeldPair(through_codec=True)
    pair.ask("a", units=6.013)
    pair.deliver_to_leader()
    [answer] = [event.messages[0] for event in pair.to_member]
    assert answer.kind is MessageKind.LEADER_ANSWER
    assert answer.requested == 6.02
    assert pair.counted() == pytest.approx(6.02, abs=0.001)
    assert pair.on_arrival(PeerMessage(LEADER, (answer,))).messages[0].requested == answer.requested


def test_answer_with_rounded_units_decides_its_request() -> None:
    """Guards against an answer not matched to its request, as the wire rounds the units to steps."""
    pair = HeldPair(through_codec=True)
    pair.ask("a", units=6.013)
    pair.deliver_to_leader()
    assert pair.deliver_to_member() == ["a"]
    pair.check(answered=1)


def test_level_rounded_up_admits_nothing_that_was_denied() -> None:
    """Guards against a denial read as a grant, as the answer's level is rounded up to the units."""
    pair = HeldPair(through_codec=True)
    pair.set_leader_level(5.996)
    pair.ask("a", units=6.0)
    pair.deliver_all()
    pair.settle()
    assert not pair.admitted("a")
    assert pair.counted() == pytest.approx(pair.admitted_units(), abs=0.01)


@pytest.mark.parametrize("spent", [0.0, 3.0, 6.0])
def test_spent_of_an_unnumbered_answer_changes_nothing(spent: float) -> None:
    """Guards against a member that takes the spending of a leader of the version before for its own."""
    pair = HeldPair(through_codec=True)
    pair.ask("a", units=6.0)
    pair.to_leader[0] = unnumbered(pair.to_leader[0])
    pair.deliver_to_leader()
    [event] = pair.to_member
    [answer] = event.messages
    assert answer.grant_number == NO_GRANT_NUMBER
    pair.to_member[0] = replace(event, messages=(replace(answer, spent=spent),))
    pair.deliver_all()
    assert pair.admitted("a")
    pair.check(answered=1)


@pytest.mark.parametrize("level", [0.0, 5.0, 20.0])
@pytest.mark.parametrize("demand", [0.0, 100.0])
@pytest.mark.parametrize("granted", [False, True], ids=["denied", "granted"])
def test_member_follows_what_a_numbered_answer_counts(granted: bool, demand: float, level: float) -> None:
    """Guards against a member that decides by level and demand otherwise than its leader has counted."""
    pair = HeldPair(through_codec=True)
    if not granted:
        pair.set_leader_level(5.0)
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    [event] = pair.to_member
    [answer] = event.messages
    assert answer.spent == (6.0 if granted else 0.0)
    pair.to_member[0] = replace(event, messages=(replace(answer, level=level, demand=demand),))
    pair.deliver_to_member()
    assert pair.sources[-1] is ANSWERED
    assert pair.admitted("a") is granted
    pair.check(answered=1)


def test_numbered_answer_says_what_the_leader_counted() -> None:
    """Guards against an answer with the leader's own spending in place of what is counted for the ask."""
    pair = HeldPair()
    pair.ask("filler", units=5.0, at_leader=True)
    pair.ask("own", units=6.0, at_leader=True)
    pair.ask("a", units=7.0)
    number = pair.messages_to_leader()[0].grant_number
    pair.deliver_to_leader()
    [answer] = pair.messages_to_member()
    assert answer.grant_number == number != NO_GRANT_NUMBER
    assert answer.spent == 7.0
    assert pair.customer_at(pair.leader).quota.unreported_spend == 0.0
    pair.check(answered=1)


LARGE_PLAN = Plan(rate=1e-6, burst=1000.0)


def test_member_knows_more_of_a_level_than_a_cut_answer() -> None:
    """Guards against the end of a message's range taken for the level, so that a request is denied."""
    pair = HeldPair(LARGE_PLAN, through_codec=True)
    pair.ask("a", units=260.0)
    pair.deliver_all()
    assert pair.customer_at(pair.member).quota.set_level == pytest.approx(740.0)
    pair.ask("b", units=700.0)
    pair.deliver_all()
    assert pair.admitted("b")
    pair.check(answered=2)


def test_late_answer_with_a_cut_level_takes_no_units_again() -> None:
    """Guards against units that a member takes from its own level, and once more with a late answer."""
    pair = HeldPair(LARGE_PLAN, through_codec=True)
    pair.ask("a", units=250.5)
    wait_until_timed_out(pair)
    assert pair.admitted("a")
    pair.deliver_all()
    assert pair.customer_at(pair.member).quota.set_level == pytest.approx(749.5)
    pair.settle()
    assert pair.counted() == pytest.approx(250.5, abs=0.03)


def test_level_below_the_range_is_taken_over() -> None:
    """Guards against an exact level that is taken for one that is cut."""
    pair = HeldPair(LARGE_PLAN, through_codec=True)
    pair.set_leader_level(655.0)
    pair.ask("a", units=260.0)
    pair.deliver_all()
    assert pair.customer_at(pair.member).quota.set_level == pytest.approx(395.0, abs=0.03)


def test_request_of_less_than_a_step_is_decided_by_its_answer() -> None:
    """Guards against an answer of one step that is not matched to the smaller request."""
    pair = HeldPair(through_codec=True)
    pair.ask("local", units=5.0)
    pair.deliver_all()
    pair.ask("a", units=0.009)
    pair.deliver_all()
    assert pair.sources[-1] is ANSWERED
    assert pair.admitted("a")
    pair.check(answered=1)
