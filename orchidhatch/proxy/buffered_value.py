"""A long value of a backend of which the client was sent nothing yet."""

from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.piece_buffer import PieceBuffer
from orchidhatch.proxy.send_backlog import SendBacklog

MIN_STEADY_US = 500_000
"""A backend that has given a value for less than this, or a quarter of the request's time, may yet fail."""
MAX_STALL_US = 1_000_000
"""A backend that gave nothing for this long, or for half of the request's time, has stalled."""


class BufferedValue:
    """The pieces of a long value that has begun, and the memory that is reserved for all of it.

    A value begins with its head, and needs no memory before its first byte. From `reserve` until memory is
    reserved, the backend's connection is paused. Times are in microseconds of the process's clock.
    """

    __slots__ = (
        "attempt",
        "backlog",
        "begun_us",
        "is_buffering",
        "is_reserved",
        "last_received_us",
        "partial_bytes",
        "pieces",
        "size",
    )

    def __init__(self, attempt: Attempt, size: int, backlog: SendBacklog) -> None:
        self.attempt = attempt
        self.size = size
        self.backlog = backlog
        self.pieces = PieceBuffer()
        self.partial_bytes = 0
        """Bytes that came before the memory was reserved."""
        self.begun_us = self.last_received_us = now_us()
        self.is_buffering = False
        """Whether memory is reserved or waited for."""
        self.is_reserved = False

    def reserve(self) -> None:
        """Reserve memory for the whole value, or pause its backend until there is some."""
        self.is_buffering = True
        self.is_reserved = self.backlog.reserve_or_wait(self)
        if not self.is_reserved:
            self.attempt.pause()

    def append(self, piece: bytes) -> None:
        """Add a piece."""
        self.pieces.append(piece)
        self.last_received_us = now_us()
        if not self.is_reserved:
            self.partial_bytes += len(piece)
            self.backlog.partial_bytes += len(piece)

    def grant(self) -> None:
        """Continue to read the value, as memory for all of it is now reserved."""
        self.is_reserved = True
        self.last_received_us = now_us()
        self._uncount_partial_bytes()
        self.attempt.resume()

    def is_steady(self, request_time_us: int) -> bool:
        """Return whether the backend has given the value for some time, and goes on giving it.

        `request_time_us` is the time from the request's arrival to its deadline.
        """
        now = now_us()
        if now - self.begun_us < min(MIN_STEADY_US, request_time_us // 4):
            return False
        has_stalled = now - self.last_received_us >= min(MAX_STALL_US, request_time_us // 2)
        return not self.is_truncated() and not (self.is_reserved and has_stalled)

    def is_truncated(self) -> bool:
        """Return whether the backend has closed its connection before it has sent all of the value."""
        connection = self.attempt.connection
        if connection is None or not connection.is_usable():
            return True
        if not socket_inspection.has_peer_closed(connection.transport):
            return False
        return self.pieces.size + socket_inspection.unread_bytes(connection.transport) < self.size

    def release(self) -> None:
        """Free the reserved memory; the pieces are sent or dropped by the caller."""
        if self.is_reserved:
            self.backlog.release(self)
        elif self.is_buffering:
            self._uncount_partial_bytes()
            self.backlog.stop_waiting(self)

    def _uncount_partial_bytes(self) -> None:
        self.backlog.partial_bytes -= self.partial_bytes
        self.partial_bytes = 0
