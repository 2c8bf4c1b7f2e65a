"""Totals of spent units where a member or a quota leader is replaced by another process."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.events import HandoverPeerGone, StartHandover
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.snapshots import GatewaySnapshot
from tests.gateway.held_pair import LEADER, SEND_SPACING_US, HeldPair, Successor
from tests.helpers import MS, S, World, of

ROUNDING = 0.03
"""The units by which two rounded amounts may differ."""

LARGE_PLAN = Plan(rate=1e-6, burst=4000.0)
"""Its local share holds all requests of a test, so that none needs a grant."""


def take_over_from_leader(pair: HeldPair, **changes: object) -> World:
    """Replace the pair's leader by its successor; returns the predecessor. `changes` are of the snapshot."""
    predecessor = pair.leader
    [snapshot] = of(GatewaySnapshot, pair.tell(predecessor, StartHandover()))
    pair.leader = World(predecessor.gateway.settings)
    pair.leader.now = predecessor.now
    pair.leader.tell(replace(snapshot, **changes))
    pair.read_count[LEADER] = len(pair.leader.log)
    return predecessor


# --- the member's process is replaced ---


def test_report_lost_before_a_handover_is_counted() -> None:
    """Guards against a successor whose totals lack what its predecessor's lost reports have said."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=1.0)
    pair.deliver_all()
    pair.ask("lost", units=2.0)
    pair.lose_all()
    successor = Successor(pair)
    successor.report()
    assert pair.counted() == pytest.approx(3.0, abs=ROUNDING)


def test_predecessor_and_successor_are_counted_once() -> None:
    """Guards against two processes that report in one stream, each with a total of its own."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=1.0)
    successor = Successor(pair)
    pair.ask("after", units=2.0)
    after_snapshot = pair.messages_to_leader()[1:]
    assert [message.spent_total for message in after_snapshot] == [None] * len(after_snapshot)
    pair.deliver_all()
    successor.relay_spending()
    successor.report()
    assert pair.counted() == pytest.approx(3.0, abs=ROUNDING)
    pair.report(pair.customer_at(pair.member))
    pair.deliver_all()
    assert pair.counted() == pytest.approx(3.0, abs=ROUNDING)


@pytest.mark.parametrize("successor_reports", [False, True])
def test_process_whose_successor_ends_begins_another_stream(successor_reports: bool) -> None:
    """Guards against a total that the leader compares with one of a successor that has ended."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=1.0)
    pair.deliver_all()
    successor = Successor(pair)
    if successor_reports:
        successor.world.gateway.quotas.spend(pair.customer_at(successor.world), 16.0)
        successor.report()
    before = pair.counted()
    pair.run(20 * MS)
    pair.tell(pair.member, HandoverPeerGone())
    pair.ask("lost", units=2.0)
    pair.lose_all()
    pair.ask("b", units=4.0)
    pair.deliver_all()
    assert pair.counted() - before == pytest.approx(6.0, abs=ROUNDING)


def test_successor_of_the_version_before_is_counted_from_its_start() -> None:
    """Guards against a stream that a successor begins anew, compared with its predecessor's."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=500.0)
    pair.deliver_all()
    [snapshot] = of(GatewaySnapshot, pair.tell(pair.member, StartHandover()))
    pair.run(20 * MS)
    world = World(pair.member.gateway.settings)
    world.now = pair.member.now
    world.tell(replace(snapshot, report_streams=()))
    pair.member = world
    pair.read_count[1] = len(world.log)
    pair.ask("lost", units=2.0)
    pair.lose_all()
    pair.ask("b", units=1.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(503.0, abs=ROUNDING)


# --- the leader's process is replaced ---


def test_report_lost_before_a_leader_handover_is_counted() -> None:
    """Guards against a leader's successor that does not know what its predecessor has counted."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=1.0)
    pair.deliver_all()
    pair.run(5 * S)
    pair.ask("lost", units=2.0)
    pair.lose_all()
    take_over_from_leader(pair)
    pair.ask("b", units=4.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(7.0, abs=ROUNDING)


def test_report_to_a_leaders_predecessor_is_said_again() -> None:
    """Guards against units that a leader counts after its snapshot, and its successor never."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=1.0)
    pair.deliver_all()
    pair.run(5 * S)
    predecessor = take_over_from_leader(pair)
    pair.ask("to the predecessor", units=2.0)
    for event in pair.to_leader:
        predecessor.tell(event)
    pair.lose_all()
    pair.ask("b", units=4.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(7.0, abs=ROUNDING)


def test_leader_after_the_version_before_charges_no_total() -> None:
    """Guards against totals charged again, as the version before does not hand them over."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=500.0)
    pair.deliver_all()
    pair.run(5 * S)
    pair.ask("b", units=1.0)
    pair.deliver_all()
    take_over_from_leader(pair, received_totals=())
    pair.ask("c", units=1.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(502.0, abs=ROUNDING)


def test_successor_goes_on_with_the_sequence() -> None:
    """Guards against a successor's report that is taken for one that was overtaken."""
    pair = HeldPair(LARGE_PLAN)
    pair.ask("a", units=1.0)
    [sent] = pair.messages_to_leader()
    successor = Successor(pair)
    successor.world.gateway.quotas.report_demand(pair.customer_at(successor.world))
    gossip = of(SendGossip, successor.world.run(SEND_SPACING_US))
    [message] = [one for part in gossip for one in part.messages if one.customer == sent.customer]
    assert sent.spent_total is not None
    assert message.spent_total is not None
    assert message.spent_total.stream == sent.spent_total.stream
    assert message.spent_total.sequence == sent.spent_total.sequence + 1
    assert message.spent_total.units == sent.spent_total.units
