"""The totals of spent units in reports: what lost reports have said is counted, and nothing twice."""

import random
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList, PeerMessage, PolicyChange
from orchidhatch.gateway.gossip import (
    MAX_STREAM,
    MAX_STREAM_AGE_US,
    SEQUENCE_NUMBERS,
    TOTAL_UNITS,
    GossipMessage,
    SpentTotal,
)
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.spent_totals import (
    REORDERING_US,
    STREAM_NUMBER_STEP_US,
    STREAM_START_TOLERANCE_US,
    ReceivedTotals,
    ReportStream,
)
from tests.gateway.held_pair import BURST, OTHER_CUSTOMER, PLAN, HeldPair
from tests.helpers import MS, SETTINGS, S, of, servers

PEER = 1
NOW_US = 100 * S
LONG_AGO_US = NOW_US - 50 * S
ROUNDING = 0.03
"""The units by which two rounded amounts may differ."""

LARGE_PLAN = Plan(rate=1e-6, burst=4000.0)
"""Its local share holds all requests of a test, so that none needs a grant."""


def report(stream: ReportStream, spent: float, now_us: int = NOW_US) -> GossipMessage:
    """The member's next message of a stream."""
    return GossipMessage(1, 0, 0, 4, spent=spent, spent_total=stream.add(spent, now_us))


def count_all(totals: ReceivedTotals, messages: list[GossipMessage], now_us: int = NOW_US) -> list[float]:
    """What the leader counts for each message, in the order of their arrival."""
    return [totals.count(PEER, message, now_us) for message in messages]


# --- the leader's count ---


def test_units_of_lost_messages_are_counted_with_the_next() -> None:
    stream = ReportStream()
    messages = [report(stream, spent) for spent in (1.0, 2.0, 4.0, 8.0)]
    assert count_all(ReceivedTotals(LONG_AGO_US), [messages[0], messages[3]]) == [1.0, 14.0]


def test_lost_returns_are_counted_with_the_next() -> None:
    stream = ReportStream()
    messages = [report(stream, spent) for spent in (1.0, -5.0, 0.0, 2.0)]
    assert count_all(ReceivedTotals(LONG_AGO_US), [messages[0], messages[2], messages[3]]) == [1.0, -5.0, 2.0]


def test_overtaken_messages_are_counted_once() -> None:
    """Guards against a late report that takes back what a later one has said, or counts it again."""
    stream = ReportStream()
    first, second, third = [report(stream, spent) for spent in (1.0, 2.0, -4.0)]
    assert count_all(ReceivedTotals(LONG_AGO_US), [second, first, third]) == [3.0, 0.0, -4.0]
    assert count_all(ReceivedTotals(LONG_AGO_US), [third, second, first]) == [-1.0, 0.0, 0.0]


def test_message_that_arrives_twice_is_counted_once() -> None:
    stream = ReportStream()
    first = report(stream, 1.0)
    second = report(stream, 2.0)
    assert count_all(ReceivedTotals(LONG_AGO_US), [first, second, second, first]) == [1.0, 2.0, 0.0, 0.0]


def test_sequence_and_total_begin_again() -> None:
    """Guards against a message taken for an old one, or a huge return, where a number begins again at 0."""
    stream = ReportStream()
    totals = ReceivedTotals(LONG_AGO_US)
    units = TOTAL_UNITS / 100
    messages = [report(stream, units) for _ in range(3 * SEQUENCE_NUMBERS)]
    counted = count_all(totals, messages[::3])
    assert counted == pytest.approx([units] + [3 * units] * (SEQUENCE_NUMBERS - 1))


def test_messages_after_a_long_cut_are_counted() -> None:
    """Guards against messages taken for overtaken ones after more lost ones than there are numbers."""
    stream = ReportStream()
    totals = ReceivedTotals(LONG_AGO_US)
    totals.count(PEER, report(stream, 1.0), NOW_US)
    lost = [report(stream, 1.0) for _ in range(SEQUENCE_NUMBERS // 2 + 3)]
    after_us = NOW_US + REORDERING_US + 1
    assert totals.count(PEER, report(stream, 1.0), after_us) == len(lost) + 1.0


def test_message_without_a_total_is_counted_as_it_says() -> None:
    """Guards against spending lost or counted twice where a gateway of the version before reports."""
    stream = ReportStream()
    plain = GossipMessage(1, 0, 0, 4, spent=16.0)
    messages = [plain, report(stream, 1.0), plain, report(stream, 2.0), plain]
    assert count_all(ReceivedTotals(LONG_AGO_US), messages) == [16.0, 1.0, 16.0, 2.0, 16.0]


def test_totals_of_members_are_apart() -> None:
    totals = ReceivedTotals(LONG_AGO_US)
    first = ReportStream()
    second = ReportStream()
    counted = [
        totals.count(peer, report(stream, spent), NOW_US)
        for peer, stream, spent in ((1, first, 1.0), (2, second, 5.0), (1, first, 2.0), (2, second, 6.0))
    ]
    assert counted == [1.0, 5.0, 2.0, 6.0]


# --- the start of a stream ---


def test_lost_start_of_a_stream_is_counted() -> None:
    """Guards against units in a member's first reports, lost before its leader knows the stream."""
    stream = ReportStream()
    report(stream, 3.0)
    assert count_all(ReceivedTotals(LONG_AGO_US), [report(stream, 1.0)]) == [4.0]


def test_total_from_before_the_leader_is_not_charged() -> None:
    """Guards against a restarted leader that charges all that a member has ever reported."""
    stream = ReportStream()
    report(stream, 500.0, LONG_AGO_US)
    messages = [report(stream, 1.0), report(stream, 2.0)]
    assert count_all(ReceivedTotals(NOW_US - 10 * S), messages) == [1.0, 2.0]


def test_unknown_old_total_is_not_charged() -> None:
    """Guards against a total that a leader of the version before has counted, charged long after it."""
    stream = ReportStream()
    report(stream, 500.0, NOW_US - 2 * MAX_STREAM_AGE_US)
    totals = ReceivedTotals(NOW_US - 3 * MAX_STREAM_AGE_US)
    assert count_all(totals, [report(stream, 1.0), report(stream, 2.0)]) == [1.0, 2.0]


def test_total_stays_in_its_range() -> None:
    stream = ReportStream()
    units = [stream.add(spent, NOW_US).units for spent in (-2.0, 1.0, TOTAL_UNITS, 1.0)]
    assert units == pytest.approx([TOTAL_UNITS - 2.0, TOTAL_UNITS - 1.0, TOTAL_UNITS - 1.0, 0.0])


def test_stream_that_began_just_before_its_leader_counts_in_full() -> None:
    """Guards against first messages that overtake each other while the leader learns of the customer."""
    stream = ReportStream()
    first = report(stream, 1.0, NOW_US)
    second = report(stream, 2.0, NOW_US + 10 * MS)
    totals = ReceivedTotals(NOW_US + STREAM_START_TOLERANCE_US // 2)
    arrival_us = NOW_US + STREAM_START_TOLERANCE_US // 2
    assert count_all(totals, [second, first], arrival_us) == [3.0, 0.0]


def test_stream_of_a_restarted_member_counts_from_its_start() -> None:
    """Guards against the difference of two processes' totals taken for spending or for a return."""
    before = ReportStream()
    after = ReportStream()
    totals = ReceivedTotals(LONG_AGO_US)
    count_all(totals, [report(before, 500.0), report(before, 50.0)])
    restarted_us = NOW_US + 200 * MS
    lost = report(after, 1.0, restarted_us)
    assert totals.count(PEER, report(after, 2.0, restarted_us), restarted_us) == lost.spent + 2.0


def test_stream_numbers_follow_the_clock() -> None:
    """Guards against a process, or a customer that is seen again, that goes on under a used number."""
    numbers = [
        ReportStream().add(0.0, NOW_US + step * STREAM_NUMBER_STEP_US).stream
        for step in range(MAX_STREAM + 1)
    ]
    assert set(numbers) == set(range(1, MAX_STREAM + 1))
    assert numbers[0] == numbers[-1]


# --- a member and its leader ---


def test_lost_first_report_is_counted_by_a_leader() -> None:
    """Guards against units in a lost first report, where the leader serves the customer too."""
    pair = HeldPair()
    pair.ask("own", units=1.0, customer=OTHER_CUSTOMER, at_leader=True)
    pair.ask("lost", units=2.0, customer=OTHER_CUSTOMER)
    pair.lose_all()
    pair.ask("b", units=1.0, customer=OTHER_CUSTOMER)
    pair.deliver_all()
    assert pair.counted(OTHER_CUSTOMER) == pytest.approx(4.0, abs=ROUNDING)


def test_lost_first_report_is_counted_by_a_new_leader() -> None:
    """Guards against spending counted twice, as the level that a new leader takes over lacks it already."""
    pair = HeldPair()
    pair.ask("lost", units=2.0, customer=OTHER_CUSTOMER)
    pair.lose_all()
    pair.ask("b", units=1.0, customer=OTHER_CUSTOMER)
    pair.deliver_all()
    assert pair.counted(OTHER_CUSTOMER) == pytest.approx(3.0, abs=ROUNDING)


@pytest.mark.parametrize("through_codec", [False, True], ids=["objects", "datagrams"])
@pytest.mark.parametrize("seed", range(10))
def test_late_and_lost_reports_are_counted_once(seed: int, through_codec: bool) -> None:
    """Guards against units counted twice, or never, in any order of late and lost reports."""
    source = random.Random(f"reports {seed}")
    pair = HeldPair(LARGE_PLAN, through_codec=through_codec)
    for number in range(60):
        pair.ask(f"r{number}", units=source.choice([0.5, 1.0, 2.5]))
        pair.serve()
        while pair.to_leader and source.random() < 0.4:
            index = source.randrange(len(pair.to_leader))
            if source.random() < 0.5:
                del pair.to_leader[index]
            else:
                pair.deliver_to_leader(index)
        pair.to_member.clear()
    pair.settle()
    assert len(pair.sent()) == 60
    assert pair.counted() == pytest.approx(pair.admitted_units(), abs=ROUNDING)


def test_rounded_reports_add_up() -> None:
    """Guards against spending of less than a step of a message that no report ever says."""
    pair = HeldPair(LARGE_PLAN, through_codec=True)
    for number in range(100):
        pair.ask(f"r{number}", units=0.009)
        pair.deliver_all()
    assert pair.counted() == pytest.approx(0.9, abs=0.02)


def test_restarted_leader_is_not_charged_for_lost_reports() -> None:
    """Guards against a customer that a new leader denies what the plan has refilled long ago."""
    pair = HeldPair(Plan(rate=10.0, burst=BURST))
    pair.ask("a", units=4.0)
    pair.lose_all()
    pair.run(5 * S)
    pair.restart_leader()
    pair.ask("b", units=1.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(1.0, abs=ROUNDING)


def restart_member(pair: HeldPair) -> None:
    """Replace the member by a new process that knows nothing."""
    pair.member.timers.clear()
    pair.member.gateway = GatewayCore(pair.member.gateway.settings)
    pair.tell(pair.member, EndpointList(EndpointListKind.SAVED, 1, servers(4)))


def test_restarted_member_is_counted_from_its_start() -> None:
    """Guards against a member's new process whose total is compared with that of the one before."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("before", units=100.0)
    pair.deliver_all()
    restart_member(pair)
    pair.ask("lost", units=2.0)
    pair.lose_all()
    pair.ask("after", units=3.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(105.0, abs=ROUNDING)


def test_lost_report_of_one_that_grants_are_requested_for() -> None:
    """Guards against units in a lost grant request, which reports what was spent before."""
    pair = HeldPair()
    pair.ask("a", units=2.0)
    pair.lose_all()
    pair.ask("b", units=6.0)
    pair.deliver_all()
    assert pair.admitted("b")
    assert pair.counted() == pytest.approx(8.0, abs=ROUNDING)


def test_reports_ignored_during_a_policy_change_are_counted() -> None:
    """Guards against units reported to a leader that goes by another policy yet, and so ignores them."""
    pair = HeldPair(LARGE_PLAN)
    change = PolicyChange(SETTINGS.classes, (LARGE_PLAN,), frozenset(), 2, (0,))
    pair.ask("before", units=1.0)
    pair.deliver_all()
    pair.tell(pair.member, change)
    pair.ask("ignored", units=2.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(1.0, abs=ROUNDING)
    pair.tell(pair.leader, change)
    pair.ask("after", units=4.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(7.0, abs=ROUNDING)


# --- gateways of the version before ---


def as_of_the_version_before(event: PeerMessage) -> PeerMessage:
    """The event as a gateway without totals sends it, and as it reads one with totals."""
    return replace(event, messages=tuple(replace(message, spent_total=None) for message in event.messages))


def test_member_that_changes_its_version_is_counted_once() -> None:
    """Guards against a total that says again what the version before has said without one."""
    pair = HeldPair(LARGE_PLAN)
    restart_member(pair)
    for name in ("a", "lost", "b"):
        pair.ask(name, units=1.0)
        pair.to_leader[:] = [as_of_the_version_before(event) for event in pair.to_leader]
        if name == "lost":
            pair.lose_all()
        pair.deliver_all()
    assert pair.counted() == pytest.approx(2.0, abs=ROUNDING)
    restart_member(pair)
    for name in ("c", "said later", "d"):
        pair.ask(name, units=1.0)
        if name == "said later":
            pair.lose_all()
        pair.deliver_all()
    assert pair.counted() == pytest.approx(5.0, abs=ROUNDING)


def test_leader_of_the_version_before_counts_what_it_hears() -> None:
    """Guards against reports that an old leader counts twice, as they say again what was said."""
    pair = HeldPair(LARGE_PLAN)
    for number in range(6):
        pair.ask(f"r{number}", units=1.0)
        pair.to_leader[:] = [as_of_the_version_before(event) for event in pair.to_leader]
        if number % 2:
            pair.lose_all()
        pair.deliver_all()
    assert pair.counted() == pytest.approx(3.0, abs=ROUNDING)


def test_answers_have_no_total() -> None:
    pair = HeldPair(PLAN)
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    [answer] = pair.messages_to_member()
    assert answer.is_answer and answer.spent_total is None


def test_members_messages_all_have_a_total() -> None:
    pair = HeldPair(PLAN)
    pair.ask("a", units=1.0)
    pair.ask("b", units=6.0)
    gossip = of(SendGossip, [action for _, action in pair.member.log])
    totals = [message.spent_total for one in gossip for message in one.messages]
    assert [total.sequence for total in totals if isinstance(total, SpentTotal)] == list(range(len(totals)))
