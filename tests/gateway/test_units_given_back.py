"""Units of disconnected clients: they are reported to the leader once, and without another request."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.constants import TICK_US
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import ClientGone, EndpointList, PolicyChange
from orchidhatch.gateway.quota_member import RETURN_DELAY_US
from tests.gateway.held_pair import PLAN, SLOTS_PLAN, HeldPair
from tests.helpers import SETTINGS

PAST_DELAY = RETURN_DELAY_US + 2 * TICK_US


@pytest.fixture
def pair() -> HeldPair:
    """A pair whose member was granted 6 units for a request whose client has disconnected."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.tell(pair.member, ClientGone("a"))
    pair.deliver_all()
    assert pair.counted() == 6.0
    return pair


def test_units_of_a_client_that_left_the_queue_are_given_back() -> None:
    """Guards against the loss of units that were granted to a queued request that was never sent."""
    pair = HeldPair()
    pair.tell(pair.member, EndpointList(EndpointListKind.FULL, 2, ()))
    pair.ask("a", units=6.0)
    pair.deliver_all()
    pair.tell(pair.member, ClientGone("a"))
    pair.run(PAST_DELAY)
    pair.deliver_all()
    assert not pair.admitted("a")
    assert pair.counted() == pytest.approx(0.0, abs=0.03)


def test_units_that_a_message_gave_back_are_not_reported_again(pair: HeldPair) -> None:
    """Guards against an extra report for each disconnected client of a customer with other requests."""
    pair.ask("b", units=1.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(1.0, abs=0.03)
    pair.run(PAST_DELAY)
    assert not pair.to_leader
    assert not pair.member.gateway.quotas.member.report_due_us


def test_units_of_a_dropped_plan_are_not_given_back(pair: HeldPair) -> None:
    """Guards against a report under a plan index that denotes another plan by then."""
    plans = (replace(PLAN, priority_factor=2.0),)
    pair.tell(pair.member, PolicyChange(SETTINGS.classes, plans, frozenset(), 2, (-1,)))
    pair.run(PAST_DELAY)
    assert not pair.to_leader


def test_units_are_not_reported_where_the_leader_grants_slots() -> None:
    """Guards against a report that the leader would take as the end of an attempt."""
    pair = HeldPair(SLOTS_PLAN)
    customer = pair.customer_at(pair.member)
    customer.take(-1.0)
    pair.member.gateway.quotas.return_soon(customer)
    assert not pair.member.gateway.quotas.member.report_due_us
