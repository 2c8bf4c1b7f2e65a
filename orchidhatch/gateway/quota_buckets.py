"""The token buckets of a customer's quota: one of the whole gateway set, and the local ones."""

import math

from orchidhatch.gateway.demand_estimate import DEMAND_DECAY_US
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.times import S


class QuotaBuckets:
    """Three token buckets of a customer's quota, which refill at the plan's rate.

    `set_level` is the level of the whole gateway set: the quota leader's own count, at a member the leader's
    last answer. It is negative while the set is in debt. `local_share` is this gateway's share, spent
    without a request to the leader. `allowance` may be spent while no answer of the leader is known; its
    capacity is at least one unit, and a larger request leaves a debt. `unreported_spend` is the number of
    units spent here and not yet reported to the leader; `handed_over_spend` is the part of them left to a
    successor process.

    Invariant: `local_share` is never negative, and a refill leaves it at most at max(0, `set_level`) and at
    the local share of the burst.
    """

    def __init__(self, plan: Plan, size: int, is_isolated: bool) -> None:
        """Start with full buckets of a plan of `size` gateways; no other gateway spends if `is_isolated`."""
        self.plan = plan
        self.size = size
        self.is_isolated = is_isolated
        self.set_level = plan.burst
        self.local_share = plan.burst / size
        self.allowance = max(1.0, self.local_share)
        self.unreported_spend = 0.0
        self.handed_over_spend = 0.0

    def change_plan(self, plan: Plan) -> None:
        """Scale levels, debts and unreported units to the burst of another plan."""
        scale = plan.burst / self.plan.burst if self.plan.burst else 0.0
        self.local_share *= scale
        self.set_level *= scale
        self.allowance *= scale
        self.unreported_spend *= scale
        self.handed_over_spend *= scale
        self.plan = plan

    def refill_set(self, elapsed_s: float) -> None:
        """Refill the set's bucket for the elapsed time."""
        self.set_level = min(self.plan.burst, self.set_level + self.plan.rate * elapsed_s)

    def refill_local(self, elapsed_s: float) -> None:
        """Refill the local share and the allowance with their fraction of the refill for the elapsed time."""
        local_fraction = 1 / self.size
        refilled_share = self.local_share + self.plan.rate * elapsed_s * local_fraction
        self.local_share = min(self.plan.burst * local_fraction, refilled_share, max(0.0, self.set_level))
        refilled_allowance = self.allowance + self.plan.rate * elapsed_s * local_fraction
        self.allowance = min(self.max_allowance(), refilled_allowance)

    def max_allowance(self) -> float:
        """Return the capacity of the allowance: the local share of the burst, at least one unit."""
        return max(1.0, self.plan.burst / self.size)

    def is_full(self) -> bool:
        """Return whether all buckets, as last refilled, are full."""
        is_set_full = self.set_level >= self.plan.burst
        return is_set_full and self.local_share >= self.plan.burst / self.size

    def is_too_large_for_share(self, units: float) -> bool:
        """Return whether a request fits the burst but not the local share of it."""
        return units <= self.plan.burst < units * self.size

    def has_local_share(self, units: float) -> bool:
        """Return whether the local share holds at least `units`."""
        return self.local_share >= units

    def has_allowance(self, units: float) -> bool:
        """Return whether the allowance holds at least `units` or is full."""
        return self.allowance >= min(units, self.max_allowance())

    def allowance_wait_us(self, units: float) -> float:
        """Return the time in microseconds until the allowance holds `units` or is full.

        The plan's rate must not be 0.
        """
        missing = min(units, self.max_allowance()) - self.allowance
        return max(0.0, missing) * self.size / self.plan.rate * S

    def spend_from_set(self, units: float) -> None:
        """Subtract units from the set's bucket.

        The debt is bounded, because spending of other gateways is reported late. An isolated gateway has no
        such bound, as all spending is its own.
        """
        floor = -math.inf if self.is_isolated else -self.plan.rate * DEMAND_DECAY_US / S
        self.set_level = max(self.set_level - units, min(self.set_level, floor))

    def count_grant(self, units: float) -> None:
        """Subtract the units of a grant that the leader decided; all of them may become debt."""
        self.set_level -= units

    def spend_locally(self, units: float) -> None:
        """Subtract the units of a request at this gateway from every bucket; negative units are returned.

        A request above the allowance's capacity leaves the excess as a debt. An existing debt remains:
        neither a smaller request nor a returned one reduces it by more than its own units.
        """
        self.spend_from_set(units)
        self.unreported_spend += units
        self.local_share = max(0.0, self.local_share - units)
        allowance_floor = min(0.0, self.max_allowance() - units, self.allowance)
        self.allowance = max(self.allowance - units, allowance_floor)

    def update_set_level(self, level: float) -> None:
        """Set the level of the set to the quota leader's answer, and bound the local share by it."""
        self.set_level = level
        self.local_share = min(self.local_share, max(0.0, level / self.size))

    def raise_set_level(self, level: float) -> None:
        """Raise the level of the set if `level` is greater, because the answer states only a lower bound."""
        self.set_level = max(self.set_level, level)

    def take_unreported(self, max_units: float) -> float:
        """Remove and return the units that one message reports, at most `max_units` spent or returned."""
        units = max(-max_units, min(max_units, self.unreported_spend))
        self.unreported_spend -= units
        return units

    def hand_over_unreported(self) -> float:
        """Leave the unreported units to a successor process, and return them."""
        units = self.unreported_spend
        self.unreported_spend = 0.0
        self.handed_over_spend += units
        return units

    def take_back_unreported(self) -> None:
        """Report the handed-over units here again, because the successor has ended."""
        self.unreported_spend += self.handed_over_spend
        self.handed_over_spend = 0.0
