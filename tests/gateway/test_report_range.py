"""Reports and answers of more units than one message can say."""

import pytest

from orchidhatch.gateway.constants import TICK_US
from orchidhatch.gateway.events import TimerExpired
from orchidhatch.gateway.gossip import MAX_AMOUNT_UNITS, MessageKind
from orchidhatch.gateway.grant_requests import GRANT_REQUEST_TTL_US
from orchidhatch.gateway.quota_member import MAX_EXCESS_REPORTS, RETURN_DELAY_US
from orchidhatch.gateway.settings import Plan
from tests.gateway.held_pair import (
    CUSTOMER,
    MEMBER,
    PAST_ALL_WAITS_US,
    SEND_SPACING_US,
    HeldPairOfLargePlan,
)
from tests.helpers import MS

ROUNDING = 0.03
"""The units by which two rounded amounts may differ."""

LARGE_PLAN = Plan(rate=1e-6, burst=4000.0)
HUGE_PLAN = Plan(rate=1e-6, burst=100_000.0)
PAST_DELAY = RETURN_DELAY_US + 2 * TICK_US


def test_demand_beyond_the_range_is_counted() -> None:
    """Guards against demand that the datagram cuts, so that the leader grants others too much."""
    pair = HeldPairOfLargePlan(LARGE_PLAN)
    pair.ask("a", units=700.0)
    pair.deliver_all()
    assert pair.customer_at(pair.leader).demand.units == pytest.approx(700.0, rel=0.01)


@pytest.mark.parametrize("units", [655.34, 655.36, 700.0, 2000.0, 5898.0, 5898.1, 24_000.0])
def test_spending_beyond_the_range_needs_no_more_traffic(units: float) -> None:
    """Guards against spending that waits for the customer's next request to be reported."""
    pair = HeldPairOfLargePlan(HUGE_PLAN)
    pair.ask("a", units=units)
    assert pair.admitted("a")
    pair.deliver_all()
    for _ in range(5):
        pair.run(PAST_DELAY)
        pair.deliver_all()
    assert pair.counted() == pytest.approx(units, abs=ROUNDING)
    assert pair.customer_at(pair.member).quota.unreported_spend == 0.0
    pair.run(PAST_DELAY)
    assert not pair.to_leader


def test_spending_of_some_messages_is_counted_at_once() -> None:
    """Guards against other members that spend meanwhile what the rest of a report would have said."""
    pair = HeldPairOfLargePlan(HUGE_PLAN)
    pair.ask("a", units=5000.0)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(5000.0, abs=ROUNDING)


def test_reports_of_one_request_are_bounded() -> None:
    """Guards against a request of very many units that pushes all other messages out of the outbox."""
    pair = HeldPairOfLargePlan(HUGE_PLAN)
    pair.ask("a", units=24_000.0)
    assert len(pair.to_leader) == MAX_EXCESS_REPORTS + 1
    pair.run(RETURN_DELAY_US - 5 * MS)
    assert len(pair.to_leader) == MAX_EXCESS_REPORTS + 1


def test_units_given_back_beyond_the_range_are_counted() -> None:
    """Guards against units given back that the datagram cuts, so that the customer loses the rest."""
    pair = HeldPairOfLargePlan(LARGE_PLAN)
    pair.ask("a", units=500.0)
    pair.ask("b", units=500.0)
    pair.deliver_all()
    customer = pair.customer_at(pair.member)
    customer.take(-900.0)
    pair.report(customer)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(100.0, abs=ROUNDING)


def test_request_is_asked_for_after_the_spending_before_it() -> None:
    """Guards against a leader that decides on a request before it counts all that was spent."""
    pair = HeldPairOfLargePlan(LARGE_PLAN)
    customer = pair.new_customer(CUSTOMER)
    pair.report(customer)
    pair.deliver_all()
    customer.take(3800.0)
    pair.ask("a", units=300.0)
    kinds = [message.kind for message in pair.messages_to_leader()]
    assert kinds == [MessageKind.REPORT] * 5 + [MessageKind.GRANT_REQUEST]
    pair.deliver_all()
    assert not pair.admitted("a")
    assert pair.counted() == pytest.approx(3800.0, abs=ROUNDING)


def test_level_of_the_first_report_has_what_the_next_one_says() -> None:
    """Guards against a restarted leader that counts twice what the first of several reports leaves out."""
    pair = HeldPairOfLargePlan(Plan(rate=1e-6, burst=1200.0))
    pair.ask("a", units=700.0)
    pair.run(PAST_ALL_WAITS_US)
    assert pair.admitted("a")
    pair.lose_all()
    pair.restart_leader()
    pair.run(GRANT_REQUEST_TTL_US)
    assert [message.spent for message in pair.messages_to_leader()] == [
        MAX_AMOUNT_UNITS,
        pytest.approx(700.0 - 655.34),
    ]
    pair.deliver_all()
    assert pair.counted() == pytest.approx(700.0, abs=ROUNDING)


def test_unsaid_demand_is_not_said_later() -> None:
    """Guards against demand that has decayed, and is reported as if it were requested now."""
    pair = HeldPairOfLargePlan(LARGE_PLAN)
    customer = pair.new_customer(CUSTOMER)
    customer.demand.add_local(1e6, is_included=False)
    pair.report(customer)
    assert len(pair.to_leader) == MAX_EXCESS_REPORTS + 1
    pair.lose_all()
    pair.report(customer)
    assert [message.demand for message in pair.messages_to_leader()] == [0.0]


def test_excess_waits_where_the_leader_grants_slots() -> None:
    """Guards against a report that the leader takes for the end of an attempt."""
    pair = HeldPairOfLargePlan(Plan(rate=1e-6, burst=4000.0, max_in_flight=2))
    customer = pair.new_customer(CUSTOMER)
    customer.take(700.0)
    pair.report(customer)
    assert [message.spent for message in pair.messages_to_leader()] == [MAX_AMOUNT_UNITS]
    pair.run(PAST_DELAY)
    assert len(pair.to_leader) == 1
    pair.report(customer)
    pair.deliver_all()
    assert pair.counted() == pytest.approx(700.0, abs=ROUNDING)


@pytest.mark.parametrize(
    ("demand", "level"),
    [(600.0, -600.0), (5000.0, -600.0), (600.0, -1500.0)],
    ids=["exact", "demand", "debt"],
)
def test_answer_beyond_the_range_gives_the_leaders_chance(demand: float, level: float) -> None:
    """Guards against members that admit beyond the quota, as an answer cuts the demand or the debt."""
    pair = HeldPairOfLargePlan(Plan(rate=4000.0, burst=8000.0))
    pair.ask("a", units=100.0)
    pair.deliver_to_leader()
    at_leader = pair.customer_at(pair.leader)
    at_leader.demand.units = demand
    at_leader.quota.set_level = level
    pair.leader.gateway.quotas.leader.answer(MEMBER, at_leader)
    pair.tell(pair.leader, TimerExpired(0))
    pair.run(SEND_SPACING_US)
    pair.deliver_to_member()
    known_to_leader = at_leader.chance(100.0)
    assert pair.customer_at(pair.member).chance(100.0) == pytest.approx(known_to_leader, abs=0.03)
