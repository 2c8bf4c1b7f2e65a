"""For how long an idle connection to a backend may be trusted: learned from replies and resets.

A connection may be dropped on the way well before the idle time that the backends state, and without a word:
the next request on it is then reset.
"""

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

MIN_RESETS = 3.0
RESET_SHARE = 0.25
HALVING_INTERVAL_S = 10.0
MIN_USES = 0.1
"""Counts that have decayed below this are dropped."""


@dataclass
class Uses:
    """Uses of idle connections, and how many of them were reset; both decay."""

    count: float = 0.0
    resets: float = 0.0

    def are_unreliable(self) -> bool:
        """Whether so many were reset that the next one may be."""
        return self.resets >= MIN_RESETS and self.resets >= RESET_SHARE * self.count


class IdleLimit:
    """How long a connection may have stood idle to be used again, as replies and resets show.

    Uses are counted by how long the connection was idle before, in classes that double; a class in which
    many were reset ends what is trusted. Counts halve every HALVING_INTERVAL_S, so the limit is tried again.
    """

    def __init__(self, stated_us: int) -> None:
        self.stated_us = stated_us
        """The limit by the backends' own idle time."""
        self.us = stated_us
        """The limit in force, in microseconds."""
        self.uses_by_class: dict[int, Uses] = {}

    def note(self, idle_us: int, was_reset: bool) -> None:
        """Count a use of a connection that had been idle for so long, and whether it was reset."""
        uses = self.uses_by_class.setdefault(idle_us.bit_length(), Uses())
        uses.count += 1
        uses.resets += was_reset
        if was_reset:
            self._update()

    def age(self) -> None:
        """Halve the counts."""
        self.uses_by_class = {
            idle_class: Uses(uses.count / 2, uses.resets / 2)
            for idle_class, uses in self.uses_by_class.items()
            if uses.count > MIN_USES
        }
        self._update()

    def _update(self) -> None:
        """Set the limit by what was counted."""
        unreliable = [idle_class for idle_class, uses in self.uses_by_class.items() if uses.are_unreliable()]
        limit_us = self.stated_us
        if unreliable:
            limit_us = min(limit_us, 1 << max(0, min(unreliable) - 1))
        if limit_us != self.us:
            log.warning("connections idle for %d ms or more are not used again", limit_us // 1000)
        self.us = limit_us
