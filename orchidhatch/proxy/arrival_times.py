"""When the bytes that are read from a client may have arrived."""

from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.loop_watch import GAP_US, LoopWatch


class ArrivalTimes:
    """Dates the reads of one connection; times are in microseconds of the process's clock.

    Bytes that waited unread during a stall may be read in several chunks, which all count from that time. A
    chunk that is read after a gap of GAP_US was sent later.
    """

    __slots__ = ("_last_read_us", "_loop_watch", "_unread_since_us", "arrived_us")

    def __init__(self, loop_watch: LoopWatch) -> None:
        self._loop_watch = loop_watch
        self._unread_since_us = 0
        """The arrival of bytes that waited unread and are read in several chunks; else 0."""
        self._last_read_us = 0
        """When the connection was last read, or accepted."""
        self.arrived_us = 0
        """The earliest time at which the last read bytes may have arrived."""

    def note_accept(self) -> None:
        """Record that the connection was accepted, and may have waited for that."""
        self._unread_since_us = self._loop_watch.accepted_since_us()
        self._last_read_us = now_us()

    def note_read(self) -> None:
        """Set `arrived_us` for the bytes that were just read."""
        arrival_us = self._loop_watch.arrival_us()
        now = now_us()
        if self._unread_since_us and now - self._last_read_us >= GAP_US:
            self._unread_since_us = 0
        self._last_read_us = now
        self.arrived_us = min(arrival_us, self._unread_since_us or arrival_us)
        is_old = now - self.arrived_us >= GAP_US
        self._unread_since_us = self.arrived_us if is_old else 0

    def note_commands_complete(self) -> None:
        """Record that no command is incomplete, so that the next bytes begin a new one."""
        self._unread_since_us = 0
