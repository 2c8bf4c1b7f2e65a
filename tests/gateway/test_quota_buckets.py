"""The buckets of a customer's quota: refills, spending, and the effect of answers."""

import pytest

from orchidhatch.gateway.demand_estimate import DEMAND_DECAY_US, DemandEstimate
from orchidhatch.gateway.quota_buckets import QuotaBuckets
from orchidhatch.gateway.settings import Plan
from tests.helpers import S

PLAN = Plan(rate=10.0, burst=40.0)


@pytest.fixture
def buckets() -> QuotaBuckets:
    return QuotaBuckets(PLAN, size=4, is_isolated=False)


def test_buckets_start_full(buckets: QuotaBuckets) -> None:
    assert buckets.set_level == 40.0
    assert buckets.local_share == buckets.allowance == 10.0


def test_request_takes_from_every_bucket(buckets: QuotaBuckets) -> None:
    buckets.spend_locally(4.0)
    assert buckets.set_level == 36.0
    assert buckets.local_share == buckets.allowance == 6.0
    assert buckets.unreported_spend == 4.0


@pytest.mark.parametrize(
    ("units", "expected_allowance"), [(-1.0, -19.0), (1.0, -20.0)], ids=["withdrawn", "spent"]
)
def test_small_request_forgives_no_debt(
    buckets: QuotaBuckets, units: float, expected_allowance: float
) -> None:
    """Guards against admission beyond the quota because a small request cancels the debt of a large one."""
    buckets.spend_locally(30.0)
    assert buckets.allowance == -20.0
    buckets.spend_locally(units)
    assert buckets.allowance == expected_allowance
    assert not buckets.has_allowance(1.0)


def test_local_buckets_refill_by_their_fraction(buckets: QuotaBuckets) -> None:
    buckets.spend_locally(8.0)
    buckets.refill_local(2.0)
    assert buckets.local_share == buckets.allowance == 7.0
    assert buckets.set_level == 32.0
    buckets.refill_set(0.5)
    assert buckets.set_level == 37.0
    buckets.refill_local(100.0)
    buckets.refill_set(100.0)
    assert buckets.local_share == buckets.allowance == 10.0
    assert buckets.set_level == 40.0


def test_local_share_stays_under_the_level_of_the_set(buckets: QuotaBuckets) -> None:
    buckets.set_level = 3.0
    buckets.refill_local(0.0)
    assert buckets.local_share == 3.0
    buckets.set_level = -2.0
    buckets.refill_local(1.0)
    assert buckets.local_share == 0.0


def test_leaders_answer_sets_the_level_and_bounds_the_share(buckets: QuotaBuckets) -> None:
    buckets.update_set_level(20.0)
    assert buckets.set_level == 20.0
    assert buckets.local_share == 5.0
    buckets.update_set_level(40.0)
    assert buckets.local_share == 5.0
    buckets.update_set_level(-1.0)
    assert buckets.local_share == 0.0


def test_debt_of_the_set_is_bounded_unless_isolated(buckets: QuotaBuckets) -> None:
    buckets.spend_from_set(100.0)
    assert buckets.set_level == -PLAN.rate * DEMAND_DECAY_US / S
    isolated = QuotaBuckets(PLAN, size=1, is_isolated=True)
    isolated.spend_from_set(100.0)
    assert isolated.set_level == -60.0


def test_large_request_leaves_a_debt_in_the_allowance(buckets: QuotaBuckets) -> None:
    assert buckets.has_allowance(100.0)
    buckets.spend_locally(30.0)
    assert buckets.allowance == -20.0
    assert buckets.local_share == 0.0
    assert not buckets.has_allowance(1.0)


def test_only_a_request_above_the_share_is_too_large_for_it(buckets: QuotaBuckets) -> None:
    assert not buckets.is_too_large_for_share(10.0)
    assert buckets.is_too_large_for_share(10.1)
    assert buckets.is_too_large_for_share(40.0)
    assert not buckets.is_too_large_for_share(40.1)


def test_plan_change_scales_every_bucket(buckets: QuotaBuckets) -> None:
    buckets.spend_locally(6.0)
    buckets.change_plan(Plan(rate=10.0, burst=20.0))
    assert buckets.set_level == 17.0
    assert buckets.local_share == buckets.allowance == 2.0
    buckets.change_plan(Plan())
    buckets.change_plan(PLAN)
    assert buckets.set_level == buckets.local_share == buckets.allowance == 0.0


def test_demand_decays_but_its_report_does_not() -> None:
    demand = DemandEstimate()
    demand.add_local(4.0, is_included=False)
    demand.add_local(2.0, is_included=True)
    demand.add_reported(6.0)
    assert demand.units == 10.0
    assert demand.unreported_units == 6.0
    demand.decay(DEMAND_DECAY_US / S)
    assert demand.units == pytest.approx(10.0 / 2.718281828)
    assert demand.unreported_units == 6.0
