"""Which process of a handover reports what was spent, and that the leader counts it once."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.events import ClientGone, HandoverPeerGone, PolicyChange
from orchidhatch.gateway.snapshots import HandoverSpend
from tests.gateway.held_pair import (
    ANSWERED,
    BURST,
    CUSTOMER,
    GATEWAYS,
    PAST_ALL_WAITS_US,
    PAST_ONE_WAIT_US,
    PLAN,
    HeldPair,
    Successor,
)
from tests.helpers import SETTINGS, of


def pair_with_units_to_give_back() -> HeldPair:
    """A pair whose leader has counted 12 units for 6, as the client of the other 6 is gone."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_all()
    pair.ask("refunded", units=6.0)
    pair.tell(pair.member, ClientGone("refunded"))
    pair.deliver_all()
    return pair


def test_spending_left_to_a_successor_that_ends_is_reported() -> None:
    """Guards against units that nobody reports where a new process ends before it serves."""
    pair = pair_with_units_to_give_back()
    Successor(pair)
    pair.tell(pair.member, HandoverPeerGone())
    pair.report(pair.customer_at(pair.member))
    pair.deliver_all()
    assert pair.counted() == pytest.approx(6.0, abs=0.03)


def test_spending_left_to_a_successor_scales_with_the_plan() -> None:
    """Guards against units taken back in full by a process whose plan was made smaller meanwhile."""
    pair = pair_with_units_to_give_back()
    Successor(pair)
    halved = PolicyChange(SETTINGS.classes, (replace(PLAN, burst=BURST / 2),), frozenset(), 2, (0,))
    for world in (pair.member, pair.leader):
        pair.tell(world, halved)
    pair.tell(pair.member, HandoverPeerGone())
    pair.report(pair.customer_at(pair.member))
    pair.deliver_all()
    assert pair.customer_at(pair.leader).quota.set_level == pytest.approx((BURST - 6.0) / 2, abs=0.03)


def test_spending_left_to_a_second_successor_is_reported_once() -> None:
    """Guards against units that a process reports twice, as its first successor has ended."""
    pair = pair_with_units_to_give_back()
    Successor(pair)
    pair.tell(pair.member, HandoverPeerGone())
    successor = Successor(pair)
    successor.report()
    pair.tell(pair.member, HandoverPeerGone())  # Its address is released: it reports nothing.
    successor.report()
    assert pair.counted() == pytest.approx(6.0, abs=0.03)


def test_spending_after_the_snapshot_is_reported_by_the_successor() -> None:
    """Guards against spending that both processes report until the predecessor's address is released."""
    pair = HeldPair()
    successor = Successor(pair)
    pair.ask("after", units=2.0)
    spent = of(HandoverSpend, successor.world.ask("there", customer=CUSTOMER, units=1.0, set_size=GATEWAYS))
    for message in spent:
        pair.tell(pair.member, message)
    pair.report(pair.customer_at(pair.member))
    pair.deliver_all()
    assert pair.counted() == pytest.approx(0.0, abs=0.03)
    successor.relay_spending()
    successor.report()
    assert pair.counted() == pytest.approx(3.0, abs=0.03)


def test_unanswered_spending_is_reported_by_a_successor_that_gets_the_answer() -> None:
    """Guards against a successor that gives back what its predecessor has spent and waits to report."""
    pair = HeldPair()
    successor = Successor(pair)
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    answer = pair.to_member.pop()
    pair.run(PAST_ALL_WAITS_US)
    assert pair.admitted("a")
    pair.ask("b", units=1.0)
    successor.world.tell(answer)
    successor.relay_spending()
    successor.report()
    assert pair.counted() == pytest.approx(7.0, abs=0.03)


@pytest.mark.parametrize("asked", ["before", "after"])
def test_request_answered_to_both_processes_is_counted(asked: str) -> None:
    """Guards against a successor that gives back what its predecessor has spent by an earlier answer."""
    pair = HeldPair()
    if asked == "before":
        pair.ask("a", units=6.0)
    successor = Successor(pair)
    if asked == "after":
        pair.ask("a", units=6.0)
    pair.run(PAST_ONE_WAIT_US)
    pair.deliver_to_leader()
    pair.deliver_to_leader()
    to_predecessor, to_successor = pair.to_member
    pair.tell(pair.member, to_predecessor)
    successor.relay_spending()
    successor.world.tell(to_successor)
    successor.report()
    assert pair.sources == [ANSWERED]
    assert pair.counted() == pytest.approx(6.0, abs=0.03)
