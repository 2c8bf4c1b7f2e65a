"""Whether the event loop may have stood still: what came meanwhile is then unread, and timers go ahead of it.

A process is stopped or held up without notice, in its poll or in a callback. The watch touches the loop at
short intervals, so that a loop that merely rests in its poll leaves no gap: a gap is a time in which the
process did not run. Sockets are then inspected before an effect relies on what was read, and what is read
counts as having come when the loop was last seen to poll.
"""

import asyncio
from collections.abc import Callable

from orchidhatch.proxy.clock import now_us

GAP_US = 50_000
"""Well within the time after a client's close, or a backend's drain, in which an attempt may begin."""
TOUCH_INTERVAL_S = 0.03
"""Under the gap, less what timers are late."""
TURNS = 3
"""Turns of the event loop after which everything that had come by the gap's end has been read on connections
that were open then. Of the connections that wait to be accepted, uvloop accepts one a turn."""
MAX_BACKLOG_TURNS = 1024
"""As many connections as can wait to be accepted."""


def poll_return_us() -> int:
    """When the poll of this turn of the running loop returned, by the process's clock.

    uvloop keeps that time over the turn, in whole milliseconds.
    """
    return round(asyncio.get_running_loop().time() * 1e6)


class LoopWatch:
    """Is touched wherever work begins; `is_suspicious` holds for some turns after a gap.

    What is read in a turn may have come at any time since the poll of the turn before. `turn_us` gives the
    time of this turn's poll; without it each touch counts as a turn. Times are in microseconds.
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
        self._unread_since_us = 0
        self._backlog_since_us = 0
        self._turns_since_accept = 0
        self.is_reading_backlog = False
        """Whether connections that are accepted now may have waited since the gap."""
        self._timer: asyncio.TimerHandle | None = None
        self.is_suspicious = False

    def start(self) -> None:
        """Touch the loop from now on, also while nothing happens."""
        self.touch()
        self._timer = asyncio.get_running_loop().call_later(TOUCH_INTERVAL_S, self.start)

    def close(self) -> None:
        """Touch it no more."""
        if self._timer:
            self._timer.cancel()

    def touch(self) -> bool:
        """Work begins now; whether what has come may be unread."""
        turn_us = self._turn_us()
        if turn_us != self._this_turn_us:
            self._previous_turn_us = self._this_turn_us
            self._this_turn_us = turn_us
        self._touched_us = self._clock_us()
        gap_us = self._touched_us - self._previous_turn_us
        if gap_us >= GAP_US and not self.is_suspicious:
            self.is_suspicious = True
            self._unread_since_us = max(self._created_us, self._previous_turn_us)
            self._wait_turns(TURNS)
            self._begin_backlog()
        return self.is_suspicious

    def _begin_backlog(self) -> None:
        self._turns_since_accept = 0
        if not self.is_reading_backlog:
            self.is_reading_backlog = True
            self._backlog_since_us = self._unread_since_us
            self._wait_for_backlog(MAX_BACKLOG_TURNS)

    def _wait_for_backlog(self, turns: int) -> None:
        """Count turns until none has accepted a connection for some time, or so many have passed."""
        self._turns_since_accept += 1
        if turns and self._turns_since_accept <= TURNS:
            asyncio.get_running_loop().call_soon(self._wait_for_backlog, turns - 1)
        else:
            self.is_reading_backlog = False

    def accepted_since_us(self) -> int:
        """Since when the connection that is accepted now may have waited; 0 where it did not."""
        self.touch()
        if not self.is_reading_backlog:
            return 0
        self._turns_since_accept = 0
        return self._backlog_since_us

    def arrival_us(self) -> int:
        """When what is read now came, at the earliest: now, where the loop did not stand still.

        It is the clock's reading that was compared: a process that stands still after it is not missed.
        """
        return self._unread_since_us if self.touch() else self._touched_us

    def _wait_turns(self, turns: int) -> None:
        if turns:
            asyncio.get_running_loop().call_soon(self._wait_turns, turns - 1)
        else:
            self.is_suspicious = False
