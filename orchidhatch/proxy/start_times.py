"""When backends started, on this process's monotonic clock.

Endpoint lists state starts by the wall clock, which may be stepped on any machine, by seconds or by hours.
What a gateway knows without it: a start that a watch brings for the first time came after the list was last
known to be current, and is over by now. A start that is known keeps its time, also in a successor process.
"""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from orchidhatch.proxy.clock import now_us

LONG_AGO = 0
"""A start of which nothing is known, on either clock."""
MAX_REMEMBERED = 8192
"""Backends whose starts are remembered, those of the list and of backends that left it."""


class KnownStart(NamedTuple):
    """A start as the list states it, in Unix milliseconds, and as computed on the monotonic clock."""

    stated_ms: float
    started_us: int


def wall_clock_us() -> int:
    """Microseconds since the epoch by this machine's wall clock, which may be stepped."""
    return time.time_ns() // 1000


def bounded_start_us(stated_us: float, wall_now_us: int, now: int, earliest_us: int | None) -> int:
    """A start on the monotonic clock, from its wall-clock time.

    `earliest_us` is when the list without this start was last known to be current, None if never. All in
    microseconds. The result is never 0, which stands for long ago.
    """
    computed_us = now - round(wall_now_us - stated_us)
    if earliest_us is not None:
        computed_us = max(earliest_us, computed_us)
    return min(now, computed_us) or 1


class StartTimes:
    """The starts of all backends that lists have named, bounded in number."""

    def __init__(
        self, clock_us: Callable[[], int] = now_us, wall_clock: Callable[[], int] = wall_clock_us
    ) -> None:
        self._clock_us = clock_us
        self._wall_clock_us = wall_clock
        self._known: dict[str, KnownStart] = {}
        self._confirmed_us: int | None = None

    def confirm(self) -> None:
        """The list is current as of now: a watch has brought a whole line, or nothing new."""
        self._confirmed_us = self._clock_us()

    def started_us(self, name: str, stated_ms: float) -> int:
        """When a backend started, in microseconds of the monotonic clock; LONG_AGO stays as it is.

        Raises OverflowError or ValueError for a time beyond all numbers.
        """
        if stated_ms == LONG_AGO:
            return LONG_AGO
        known = self._known.pop(name, None)
        if known is None or known.stated_ms != stated_ms:
            started_us = bounded_start_us(
                stated_ms * 1000, self._wall_clock_us(), self._clock_us(), self._confirmed_us
            )
            known = KnownStart(stated_ms, started_us)
        self._remember(name, known)
        return known.started_us

    def adopt(self, starts: Iterable[tuple[str, KnownStart]]) -> None:
        """Go on from what a predecessor process computed; both have one monotonic clock."""
        for name, start in starts:
            self._known.pop(name, None)
            self._remember(name, start)

    def _remember(self, name: str, start: KnownStart) -> None:
        self._known[name] = start
        if len(self._known) > MAX_REMEMBERED:
            del self._known[next(iter(self._known))]
