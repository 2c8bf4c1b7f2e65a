"""For how long an idle connection to a backend may be trusted: learned from answers and resets.

A connection may be dropped on the way well before the idle time that the backends state, and without a word:
the next request on it is then reset. What this many resets show holds until they are forgotten.
"""

import logging

log = logging.getLogger(__name__)

LEAST_RESETS = 3.0
RESET_SHARE = 0.25
FORGET_S = 10.0
"""How often the counts halve."""


class IdleLimit:
    """How long a connection may have stood idle to be used again, as answers and resets show.

    Uses are counted by how long the connection was idle before, in classes that double; a class in which
    many were reset ends what is trusted. Counts halve every so often, so the limit is tried again.
    """

    def __init__(self, told_us: int) -> None:
        self.told_us = told_us
        self.us = told_us
        self.uses: dict[int, list[float]] = {}  # by class: all uses, and those that were reset

    def note(self, idle_us: int, reset: bool) -> None:
        """Count a use of a connection that had been idle for so long, and whether it was reset."""
        uses = self.uses.setdefault(idle_us.bit_length(), [0.0, 0.0])
        uses[0] += 1
        uses[1] += reset
        if reset:
            self.judge()

    def judge(self) -> None:
        """Set the limit by what was counted."""
        bad = [
            number
            for number, (used, lost) in self.uses.items()
            if lost >= LEAST_RESETS and lost >= RESET_SHARE * used
        ]
        limit = min(self.told_us, 1 << max(0, min(bad) - 1)) if bad else self.told_us
        if limit != self.us:
            log.warning("connections idle for %d ms or more are not used again", limit // 1000)
        self.us = limit

    def age(self) -> None:
        """Halve the counts."""
        self.uses = {number: [used / 2, lost / 2] for number, (used, lost) in self.uses.items() if used > 0.1}
        self.judge()
