"""An estimate of the demand for a customer's quota: an exponentially decaying sum of requested units.

It makes no decisions.
"""

import math

from orchidhatch.gateway.times import S

DEMAND_DECAY_US = 0.5 * S
"""The time constant of the decay; short, because the token bucket's level covers longer periods."""


class DemandEstimate:
    """The units requested under a customer's quota.

    `units` is the decaying demand of the whole gateway set, as far as this gateway knows it.
    `unreported_units` are the units requested here since the last message to the quota leader; they do not
    decay.
    """

    def __init__(self) -> None:
        self.units = 0.0
        self.unreported_units = 0.0

    def take_unreported(self, max_units: float) -> float:
        """Remove and return the units that one message reports, at most `max_units`."""
        units = min(max_units, self.unreported_units)
        self.unreported_units -= units
        return units

    def decay(self, elapsed_s: float) -> None:
        """Decay the demand by the elapsed time."""
        self.units *= math.exp(-elapsed_s * S / DEMAND_DECAY_US)

    def add_reported(self, units: float) -> None:
        """Add the demand reported by another gateway."""
        self.units += units

    def add_local(self, units: float, is_included: bool) -> None:
        """Add a request of this gateway; `is_included` tells whether `units` already covers it."""
        self.unreported_units += units
        if not is_included:
            self.units += units
