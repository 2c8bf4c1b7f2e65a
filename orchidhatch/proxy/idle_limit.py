"""How long an idle connection to a backend stays usable, learned from replies and resets.

The network may drop an idle connection without notice, well before the backends' own idle timeout; the next
request on it is then reset.
"""

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

MIN_RESETS = 3.0
RESET_SHARE = 0.25
HALVING_INTERVAL_S = 10.0
MIN_USES = 0.1
"""Counts that have decayed to this or less are dropped."""


@dataclass
class UseCounts:
    """How often idle connections were used, and how often that ended in a reset; both counts decay."""

    count: float = 0.0
    resets: float = 0.0

    def is_unreliable(self) -> bool:
        """Return whether so many uses were reset that the next one may be."""
        return self.resets >= MIN_RESETS and self.resets >= RESET_SHARE * self.count


class IdleLimit:
    """The longest idle time after which a connection is reused, adjusted by replies and resets.

    Uses are counted by the preceding idle time, in classes of doubling width; the lowest class with many
    resets sets the limit. Counts are halved every HALVING_INTERVAL_S, so that longer idle times are tried
    again later.
    """

    def __init__(self, configured_us: int) -> None:
        self.configured_us = configured_us
        """The upper limit, derived from the backends' idle timeout."""
        self.limit_us = configured_us
        """The current limit."""
        self.uses_by_class: dict[int, UseCounts] = {}

    def record_use(self, idle_us: int, was_reset: bool) -> None:
        """Count a use of a connection after `idle_us` of idle time, and whether it was reset."""
        uses = self.uses_by_class.setdefault(idle_us.bit_length(), UseCounts())
        uses.count += 1
        uses.resets += was_reset
        if was_reset:
            self._recompute()

    def halve_counts(self) -> None:
        """Halve all counts and recompute the limit."""
        self.uses_by_class = {
            idle_class: UseCounts(uses.count / 2, uses.resets / 2)
            for idle_class, uses in self.uses_by_class.items()
            if uses.count > MIN_USES
        }
        self._recompute()

    def _recompute(self) -> None:
        """Set the limit from the counts."""
        unreliable = [idle_class for idle_class, uses in self.uses_by_class.items() if uses.is_unreliable()]
        limit_us = self.configured_us
        if unreliable:
            limit_us = min(limit_us, 1 << max(0, min(unreliable) - 1))
        if limit_us != self.limit_us:
            log.warning("idle limit of backend connections changed: limit_ms=%d", limit_us // 1000)
        self.limit_us = limit_us
