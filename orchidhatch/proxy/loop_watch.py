"""Detection of event loop stalls, after which input may be unread and timers run before it is read.

The process may be suspended without notice, in its poll or in a callback. The watch touches the loop at short
intervals, so that a loop that waits idly in its poll shows no gap: a gap is a time in which the process did
not run. After a gap, sockets are inspected before an action relies on what was read, and input that is read
counts as having arrived when the loop was last known to poll.
"""

import asyncio
from collections.abc import Callable

from orchidhatch.proxy.clock import now_us

GAP_US = 50_000
"""Well below the time after a client's close, or a backend's drain, in which an attempt may still begin."""
TOUCH_INTERVAL_S = 0.03
"""Below GAP_US, less the usual delay of timers."""
TURNS_AFTER_GAP = 3
"""Event loop turns after which all input from before the gap's end has been read on the connections that were
open then. Of the connections waiting to be accepted, uvloop accepts one per turn."""
MAX_BACKLOG_TURNS = 1024
"""The largest number of connections that can wait to be accepted."""


def poll_return_us() -> int:
    """Return when the poll of the running loop's current turn returned, on the process's clock.

    uvloop keeps that time during the turn, in whole milliseconds.
    """
    return round(asyncio.get_running_loop().time() * 1e6)


class LoopWatch:
    """Detects gaps; `is_after_gap` is set for some event loop turns after a gap.

    `touch` is called wherever work begins. Input that is read in a turn may have arrived at any time since
    the poll of the turn before. `turn_us` returns the time of the current turn's poll; without it, each touch
    counts as a turn. Times are in microseconds.
    """

    def __init__(
        self, clock_us: Callable[[], int] = now_us, turn_us: Callable[[], int] | None = None
    ) -> None:
        self._clock_us = clock_us
        self._turn_us = turn_us or clock_us
        self._created_us = clock_us()
        self._this_turn_us = 0
        self._previous_turn_us = 0
        self._touched_us = 0
        self.turn_age_us = 0
        """How long this turn had lasted when the loop was last touched."""
        self.longest_turn_us = 0
        """The greatest such age since the last periodic log line."""
        self._unread_since_us = 0
        self._backlog_since_us = 0
        self._turns_since_accept = 0
        self.is_reading_backlog = False
        """Whether connections that are accepted now may have been waiting since the gap."""
        self._timer: asyncio.TimerHandle | None = None
        self.is_after_gap = False

    def start(self) -> None:
        """Touch the loop now and periodically, even while nothing else happens."""
        self.touch()
        self._timer = asyncio.get_running_loop().call_later(TOUCH_INTERVAL_S, self.start)

    def close(self) -> None:
        """Stop the periodic touches."""
        if self._timer:
            self._timer.cancel()

    def touch(self) -> bool:
        """Record that the loop runs; return whether received input may be unread."""
        turn_us = self._turn_us()
        if turn_us != self._this_turn_us:
            self._previous_turn_us = self._this_turn_us
            self._this_turn_us = turn_us
        self._touched_us = self._clock_us()
        self.turn_age_us = self._touched_us - turn_us
        self.longest_turn_us = max(self.longest_turn_us, self.turn_age_us)
        gap_us = self._touched_us - self._previous_turn_us
        if gap_us >= GAP_US and not self.is_after_gap:
            self.is_after_gap = True
            self._unread_since_us = max(self._created_us, self._previous_turn_us)
            self._wait_turns(TURNS_AFTER_GAP)
            self._begin_backlog()
        return self.is_after_gap

    def _begin_backlog(self) -> None:
        self._turns_since_accept = 0
        if not self.is_reading_backlog:
            self.is_reading_backlog = True
            self._backlog_since_us = self._unread_since_us
            self._wait_for_backlog(MAX_BACKLOG_TURNS)

    def _wait_for_backlog(self, turns: int) -> None:
        """Wait until TURNS_AFTER_GAP turns have accepted no connection, or for `turns` turns at most."""
        self._turns_since_accept += 1
        if turns and self._turns_since_accept <= TURNS_AFTER_GAP:
            asyncio.get_running_loop().call_soon(self._wait_for_backlog, turns - 1)
        else:
            self.is_reading_backlog = False

    def accepted_since_us(self) -> int:
        """Return since when a connection accepted now may have waited, 0 if it has not."""
        self.touch()
        if not self.is_reading_backlog:
            return 0
        self._turns_since_accept = 0
        return self._backlog_since_us

    def arrival_us(self) -> int:
        """Return the earliest time at which input read now may have arrived; without a gap, the current time.

        That time is the clock reading that was checked for a gap, so that a later stall is not missed.
        """
        return self._unread_since_us if self.touch() else self._touched_us

    def _wait_turns(self, turns: int) -> None:
        if turns:
            asyncio.get_running_loop().call_soon(self._wait_turns, turns - 1)
        else:
            self.is_after_gap = False
