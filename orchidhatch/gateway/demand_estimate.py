"""The demand for a customer's quota: a decaying sum of requested units. It decides nothing."""

import math

from orchidhatch.gateway.times import S

DEMAND_DECAY_US = 0.5 * S
"""The time constant of the decay; short, as the level of the token bucket carries the longer memory."""


class DemandEstimate:
    """Units requested of a customer's quota.

    `units` is the decaying demand of the whole gateway set, as far as it is known here. `unreported_units`
    are those requested here since the last message to the quota leader; they do not decay.
    """

    def __init__(self) -> None:
        self.units = 0.0
        self.unreported_units = 0.0

    def take_unreported(self, max_units: float) -> float:
        """Take what a message reports, so many units at most; the rest stays."""
        units = min(max_units, self.unreported_units)
        self.unreported_units -= units
        return units

    def decay(self, elapsed_s: float) -> None:
        """Let the demand age by so many seconds."""
        self.units *= math.exp(-elapsed_s * S / DEMAND_DECAY_US)

    def add_reported(self, units: float) -> None:
        """Add the demand that another gateway has reported."""
        self.units += units

    def add_local(self, units: float, is_included: bool) -> None:
        """Add a request of this gateway; `is_included` says that the demand of the set has it already."""
        self.unreported_units += units
        if not is_included:
            self.units += units
