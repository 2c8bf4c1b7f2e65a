"""Shares the event loop among the client connections that have unprocessed input.

A connection processes a slice of its commands as they are read. What is left waits here, while the connection
is not read, and is processed later: a slice of each connection in rotation, up to limits for all of them. So
the length of a turn depends neither on how much a client sends nor on how many do, and all waiting input
together uses two thirds of the loop's time at most.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.loop_watch import LoopWatch

MAX_SLICE_COMMANDS = 8
"""Commands that a connection processes at once."""
MAX_SLICE_US = 1_000
"""How long a slice may begin further commands."""
MAX_ROUND_COMMANDS = 16
"""Waiting commands of all connections that are processed in a round."""
MAX_TURN_US = 2_000
"""How long a turn of the event loop may begin further slices."""
MIN_PAUSE_US = 1_000
"""How long other work goes first between two rounds, at least."""
PAUSE_DIVISOR = 2
"""The same as a part of the time that the round and the batch of its requests took."""


class WaitingConnection(Protocol):
    """A connection with unprocessed input."""

    def process_waiting_input(self) -> int:
        """Process a slice of the input, and add the connection again if some is left.

        Returns how many commands were processed.
        """


class InputScheduler:
    """The connections with unprocessed input, in the order of their turns; `clock_us` is for tests."""

    def __init__(
        self,
        account: CpuAccounting,
        loop_watch: LoopWatch,
        clock_us: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        self.account = account
        self.loop_watch = loop_watch
        self.clock_us = clock_us
        self.waiting: dict[WaitingConnection, None] = {}
        """Connections with input left of a slice, in the order of their turns."""
        self.waiting_first: dict[WaitingConnection, None] = {}
        """Connections that had no slice since their input was read; they go before the others."""
        self.deferrals = 0
        """How many times a connection has had to wait, since the process start."""
        self._is_scheduled = False
        self._next_round_us = 0
        """Before that time no round begins."""

    def is_turn_over(self) -> bool:
        """Return whether this turn has lasted so long that input just read has to wait for the next one."""
        return self.loop_watch.turn_age_us > MAX_TURN_US

    def add(self, connection: WaitingConnection) -> None:
        """Have the connection process its input in a later turn; ignored if it waits already."""
        if connection not in self.waiting_first:
            self._add(self.waiting, connection)

    def add_first(self, connection: WaitingConnection) -> None:
        """Have a connection process input that was just read, before those that had a slice already."""
        self._add(self.waiting_first, connection)

    def _add(self, queue: dict[WaitingConnection, None], connection: WaitingConnection) -> None:
        if connection in queue:
            return
        queue[connection] = None
        self.deferrals += 1
        self._schedule()

    def waiting_count(self) -> int:
        """Return how many connections wait now."""
        return len(self.waiting) + len(self.waiting_first)

    def discard(self, connection: WaitingConnection) -> None:
        """Remove a connection, which has no input any more."""
        self.waiting.pop(connection, None)
        self.waiting_first.pop(connection, None)

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        delay_us = max(0, self._next_round_us - self.clock_us())
        loop = asyncio.get_running_loop()
        loop.call_later(delay_us / 1e6, self.account.run, CostCategory.CLIENTS, self._run_round)

    def _run_round(self) -> None:
        """Process one slice of each waiting connection, as far as the limits allow."""
        self._is_scheduled = False
        begun_us = self.clock_us()
        if begun_us < self._next_round_us:  # timers may fire early
            self._schedule()
            return
        self._is_scheduled = True
        until_us = begun_us + MAX_TURN_US
        commands = 0
        try:
            for connection in [*self.waiting_first, *self.waiting]:
                self.discard(connection)
                commands += connection.process_waiting_input()
                if commands >= MAX_ROUND_COMMANDS or self.clock_us() >= until_us:
                    break
        finally:
            asyncio.get_running_loop().call_soon(self._end_round, begun_us)

    def _end_round(self, begun_us: int) -> None:
        """Let other work go first; called behind the batch of the requests that the round has started."""
        now = self.clock_us()
        self._next_round_us = now + max(MIN_PAUSE_US, (now - begun_us) // PAUSE_DIVISOR)
        self._is_scheduled = False
        if self.waiting or self.waiting_first:
            self._schedule()
