"""The token buckets of a customer's quota: that of the whole gateway set, and what this gateway may spend."""

import math

from orchidhatch.gateway.demand_estimate import DEMAND_DECAY_US
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.times import S


class QuotaBuckets:
    """Units of the quota that a customer may spend, in three buckets that refill at the plan's rate.

    `set_level` is the bucket of the whole gateway set: the quota leader's own count, elsewhere what the
    leader answered last. It is negative while the set owes units. `local_share` is this gateway's share,
    spent without a request to the leader. `allowance` is what may be spent while no answer of the leader is
    known; it holds one unit at least, and a larger request leaves a debt. `unreported_spend` are the units
    spent here that no message to the leader has said; `handed_over_spend` those of them that were left to a
    successor process.

    Invariant: `local_share` is never negative, and a refill leaves it at most at max(0, `set_level`) and at
    the local share of the burst.
    """

    def __init__(self, plan: Plan, size: int, is_isolated: bool) -> None:
        """`plan` is that of `size` gateways; `is_isolated` says that no other gateway spends of it."""
        self.plan = plan
        self.size = size
        self.is_isolated = is_isolated
        self.set_level = plan.burst
        self.local_share = plan.burst / size
        self.allowance = max(1.0, self.local_share)
        self.unreported_spend = 0.0
        self.handed_over_spend = 0.0

    def change_plan(self, plan: Plan) -> None:
        """Scale what the buckets hold or owe, and what is to be reported, to the burst of another plan."""
        scale = plan.burst / self.plan.burst if self.plan.burst else 0.0
        self.local_share *= scale
        self.set_level *= scale
        self.allowance *= scale
        self.unreported_spend *= scale
        self.handed_over_spend *= scale
        self.plan = plan

    def refill_set(self, elapsed_s: float) -> None:
        """Refill the bucket of the set by what the plan gives in so many seconds."""
        self.set_level = min(self.plan.burst, self.set_level + self.plan.rate * elapsed_s)

    def refill_local(self, elapsed_s: float) -> None:
        """Refill the local share and the allowance by their fraction of what the plan gives."""
        local_fraction = 1 / self.size
        refilled_share = self.local_share + self.plan.rate * elapsed_s * local_fraction
        self.local_share = min(self.plan.burst * local_fraction, refilled_share, max(0.0, self.set_level))
        refilled_allowance = self.allowance + self.plan.rate * elapsed_s * local_fraction
        self.allowance = min(self.max_allowance(), refilled_allowance)

    def max_allowance(self) -> float:
        """The capacity of the allowance: the local share of the burst, one unit at least."""
        return max(1.0, self.plan.burst / self.size)

    def is_too_large_for_share(self, units: float) -> bool:
        """Whether a request fits the burst, but not the local share of it."""
        return units <= self.plan.burst < units * self.size

    def has_local_share(self, units: float) -> bool:
        """Whether the local share holds so many units."""
        return self.local_share >= units

    def has_allowance(self, units: float) -> bool:
        """Whether the allowance holds so many units, or is full."""
        return self.allowance >= min(units, self.max_allowance())

    def allowance_wait_us(self, units: float) -> float:
        """In how long the allowance holds so many units, or is full; the plan's rate must not be 0."""
        missing = min(units, self.max_allowance()) - self.allowance
        return max(0.0, missing) * self.size / self.plan.rate * S

    def spend_from_set(self, units: float) -> None:
        """Take units from the bucket of the set.

        Its debt is bounded, as what other gateways spent is known late; an isolated gateway knows it all.
        """
        floor = -math.inf if self.is_isolated else -self.plan.rate * DEMAND_DECAY_US / S
        self.set_level = max(self.set_level - units, min(self.set_level, floor))

    def count_grant(self, units: float) -> None:
        """Take the units of a grant that the leader has decided on; the whole of them may be owed."""
        self.set_level -= units

    def spend_locally(self, units: float) -> None:
        """Take units that a request at this gateway spends from every bucket; units below 0 are given back.

        A request above the allowance's capacity leaves a debt of the rest. A debt that is there stays:
        neither a smaller request nor one that is given back makes it less than by its own units.
        """
        self.spend_from_set(units)
        self.unreported_spend += units
        self.local_share = max(0.0, self.local_share - units)
        allowance_floor = min(0.0, self.max_allowance() - units, self.allowance)
        self.allowance = max(self.allowance - units, allowance_floor)

    def update_set_level(self, level: float) -> None:
        """Take over the level that the quota leader answered."""
        self.set_level = level
        self.local_share = min(self.local_share, max(0.0, level / self.size))

    def raise_set_level(self, level: float) -> None:
        """The leader's answer gives the least of the level only: go by this one if it is greater."""
        self.set_level = max(self.set_level, level)

    def take_unreported(self, max_units: float) -> float:
        """Take what a message reports: so many units at most, spent or given back; the rest stays."""
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
        """The successor has ended: report here what was left to it."""
        self.unreported_spend += self.handed_over_spend
        self.handed_over_spend = 0.0
