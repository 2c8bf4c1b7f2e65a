"""Which process of a handover reports what was spent, and that the leader counts it once."""

import pytest

from orchidhatch.gateway.events import ClientGone, HandoverPeerGone
from tests.gateway.held_pair import HeldPair, Successor


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
