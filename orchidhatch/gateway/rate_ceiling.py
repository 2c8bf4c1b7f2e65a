"""A customer's rate ceiling: a second token bucket, split evenly over the gateway set.

If the quota leader grants the concurrency slots, it also hands out units of the ceiling: a gateway that
reports to it cedes the refill of its share for a while, and the leader uses that refill for a shorter time,
because messages arrive late. So the shares together never exceed the ceiling.
"""

from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.times import S

CEDED_SHARE_US = 3 * S
"""How long a gateway cedes the refill of its share after a report to the leader."""

RECEIVED_SHARE_US = 2 * S
"""How long the leader uses the refill that a report cedes to it."""


class RateCeiling:
    """This gateway's share of the rate ceiling, in units; the first attempt of each request draws on it.

    Invariant: a refill leaves it at most at the local share of the ceiling's burst. It may be negative,
    because a handover peer draws on it too.
    """

    def __init__(self, plan: Plan, size: int) -> None:
        self.plan = plan
        self.size = size
        self.units = 0.0
        # Until when the refill of the local share is ceded to the leader; 0 if it has never been ceded.
        self.ceded_until_us = 0
        # At the leader: until when it uses the refill ceded by another gateway, by gateway.
        self.received_until_us: dict[int, int] = {}

    def change_plan(self, plan: Plan) -> None:
        """Scale the units of the share to the ceiling of another plan."""
        scale = plan.ceiling_burst / self.plan.ceiling_burst if self.plan.ceiling_burst else 0.0
        self.units *= scale
        self.plan = plan

    def refill(self, since_us: int, now_us: int) -> None:
        """Refill the share for the time since the last refill, including what other gateways cede."""
        refill_us = max(0, now_us - max(since_us, self.ceded_until_us))
        refill_us += sum(
            max(0, min(now_us, until_us) - since_us) for until_us in self.received_until_us.values()
        )
        self.received_until_us = {
            peer: until_us for peer, until_us in self.received_until_us.items() if until_us > now_us
        }
        local_fraction = 1 / self.size
        refilled = self.units + self.plan.ceiling_rate * local_fraction * refill_us / S
        self.units = min(self.plan.ceiling_burst * local_fraction, refilled)

    def refill_idle(self, idle_us: int) -> None:
        """Set the share of a customer that is first seen now and was idle for `idle_us`.

        The bucket is assumed empty at the start of the idle time, as the process may have restarted.
        """
        ceded_us = CEDED_SHARE_US if self.ceded_until_us else 0
        refilled = self.plan.ceiling_rate * max(0, idle_us - ceded_us) / S
        self.units = min(self.plan.ceiling_burst, refilled) / self.size

    def is_full(self) -> bool:
        """Return whether the share, as last refilled, is full."""
        return self.units >= self.plan.ceiling_burst / self.size

    def lacks(self, units: float) -> bool:
        """Return whether a ceiling is set and the share, as last refilled, holds less than `units`."""
        return self.plan.ceiling_rate > 0 and self.units < units

    def wait_us(self, units: float) -> float:
        """Return the time in microseconds until the share holds `units`."""
        return (units - self.units) * self.size / self.plan.ceiling_rate * S

    def add(self, units: float) -> None:
        """Add units that are refunded or received from the leader."""
        self.units += units

    def draw(self, units: float) -> None:
        """Subtract units for an attempt or for another gateway."""
        self.units -= units

    def empty(self) -> None:
        """Empty the share, because another process may have used it."""
        self.units = 0.0

    def cede(self, now_us: int) -> None:
        """Cede the refill of the share to the leader for CEDED_SHARE_US."""
        self.ceded_until_us = now_us + CEDED_SHARE_US

    def extend_cession(self, now_us: int) -> None:
        """Restart the period of the cession if the refill was ever ceded."""
        self.ceded_until_us = now_us + CEDED_SHARE_US if self.ceded_until_us else 0

    def receive(self, peer: int, now_us: int) -> None:
        """As the leader, use the refill that a gateway cedes for RECEIVED_SHARE_US."""
        self.received_until_us[peer] = now_us + RECEIVED_SHARE_US

    def drop_received(self) -> None:
        """As the leader, stop using the refills that other gateways cede."""
        self.received_until_us.clear()
