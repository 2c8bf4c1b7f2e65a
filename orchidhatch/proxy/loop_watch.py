"""Whether the event loop may have stood still: what came meanwhile is then unread, and timers go ahead of it.

A process is stopped or held up without notice. A gap since the loop was last seen to run may be one, or may
be that nothing happened; in either case sockets are inspected before an effect relies on what was read.
"""

import asyncio
from collections.abc import Callable

from orchidhatch.proxy.clock import now_us

GAP_US = 50_000
"""Well within the time after a client's close, or a backend's drain, in which an attempt may begin."""
TURNS = 3
"""Turns of the event loop after which everything that had come by the gap's end has been read."""


class LoopWatch:
    """Is touched wherever work begins; `is_suspicious` holds for some turns after a gap."""

    def __init__(self, clock_us: Callable[[], int] = now_us) -> None:
        self._clock_us = clock_us
        self._last_us = 0
        self.is_suspicious = False

    def touch(self) -> bool:
        """Work begins now; whether what has come may be unread."""
        now = self._clock_us()
        gap_us = now - self._last_us
        self._last_us = now
        if gap_us >= GAP_US and not self.is_suspicious:
            self.is_suspicious = True
            self._wait_turns(TURNS)
        return self.is_suspicious

    def _wait_turns(self, turns: int) -> None:
        if turns:
            asyncio.get_running_loop().call_soon(self._wait_turns, turns - 1)
        else:
            self.is_suspicious = False
