"""The start times of backends, on this process's monotonic clock.

Endpoint lists state start times by the wall clock, which may be stepped on any machine, by seconds or by
hours. Without that clock, a gateway knows that a start which a watch reports for the first time was after the
list was last known to be current, and is not in the future. A known start keeps its time, also in a successor
process.
"""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from orchidhatch.proxy.clock import now_us

LONG_AGO = 0
"""The time of an unknown start, on either clock."""
MAX_REMEMBERED = 8192
"""Backends whose start times are kept, whether they are in the list or were removed from it."""


class KnownStart(NamedTuple):
    """A start time as stated in the list, in Unix milliseconds, and as computed on the monotonic clock."""

    stated_ms: float
    started_us: int


def wall_clock_us() -> int:
    """Return microseconds since the epoch by this machine's wall clock, which may be stepped."""
    return time.time_ns() // 1000


def bounded_start_us(stated_us: float, wall_now_us: int, now: int, earliest_us: int | None) -> int:
    """Convert a start time from the wall clock to the monotonic clock, within what is known of it.

    `earliest_us` is when the list without this start was last known to be current, None if never. All times
    are in microseconds. The result is never 0, which is LONG_AGO.
    """
    computed_us = now - round(wall_now_us - stated_us)
    if earliest_us is not None:
        computed_us = max(earliest_us, computed_us)
    return min(now, computed_us) or 1


class StartTimes:
    """The start times of all backends that lists have named, limited in number."""

    def __init__(
        self, clock_us: Callable[[], int] = now_us, wall_clock: Callable[[], int] = wall_clock_us
    ) -> None:
        self._clock_us = clock_us
        self._wall_clock_us = wall_clock
        self._known: dict[str, KnownStart] = {}
        self._confirmed_us: int | None = None

    def confirm(self) -> None:
        """Record that the list is current: a watch has brought a complete update or a heartbeat."""
        self._confirmed_us = self._clock_us()

    def started_us(self, name: str, stated_ms: float) -> int:
        """Return when a backend started, in microseconds of the monotonic clock; LONG_AGO stays unchanged.

        Raises OverflowError or ValueError if `stated_ms` is infinite or not a number.
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
        """Adopt the start times that a predecessor process computed; both use the same monotonic clock."""
        for name, start in starts:
            self._known.pop(name, None)
            self._remember(name, start)

    def _remember(self, name: str, start: KnownStart) -> None:
        self._known[name] = start
        if len(self._known) > MAX_REMEMBERED:
            del self._known[next(iter(self._known))]
