"""The memory of all answers that are not yet sent, its limits, and the sources that wait for it."""

from collections import deque
from typing import Protocol

from orchidhatch.proxy.memory_budget import MIN_ANSWERS_BYTES

# Short answers are not paused at the limit, as they may be what a paused answer waits for. Above this
# multiple of the limit they are paused too.
FULL_LIMIT_FACTOR = 1.5
# Above this multiple of the limit the slowest clients are closed. Paused sources keep the memory below it.
SHED_LIMIT_FACTOR = 2


class WaitingValue(Protocol):
    """A long value that waits until memory for all of it can be reserved."""

    size: int

    def grant(self) -> None:
        """Continue, as `size` bytes are now reserved."""


class WaitingReply(Protocol):
    """A backend connection that is paused in the middle of a reply, until there is memory for the rest."""

    def resume_reply(self) -> None:
        """Continue to read the reply."""


class SendBacklog:
    """The bytes of answers in memory, of all connections to clients and to backends.

    `unsent_bytes` wait for their clients; `reserved_bytes` are set aside for long values that must be
    complete before they are sent; `partial_bytes` belong to incomplete replies of backends. Long values are
    read ahead of slow clients up to `limit_bytes`, as an attempt stays in flight until its value is read.
    """

    def __init__(self, limit_bytes: int = MIN_ANSWERS_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.unsent_bytes = 0
        self.reserved_bytes = 0
        self.partial_bytes = 0
        self.waiting_values: deque[WaitingValue] = deque()
        self.waiting_replies: deque[WaitingReply] = deque()
        self.exempt_reply: WaitingReply | None = None
        """The one incomplete reply that is never paused, so that replies cannot all wait for each other."""

    def total_bytes(self) -> int:
        """Return the bytes of all answers in memory, with those that are reserved."""
        return self.unsent_bytes + self.reserved_bytes + self.partial_bytes

    def is_over_limit(self) -> bool:
        """Return whether streamed values must be paused."""
        return self.total_bytes() > self.limit_bytes

    def must_read_little(self) -> bool:
        """Return whether memory is short, so that backends must be read in small pieces."""
        return bool(self.waiting_values) or self.is_over_limit()

    def is_full(self) -> bool:
        """Return whether all replies of backends must be paused."""
        return self.total_bytes() > self.limit_bytes * FULL_LIMIT_FACTOR

    def shed_limit_bytes(self) -> int:
        """Return the number of unsent bytes above which the slowest clients are closed."""
        return SHED_LIMIT_FACTOR * self.limit_bytes

    # --- buffered values ---

    def reserve_or_wait(self, value: WaitingValue) -> bool:
        """Reserve memory for the value and return True, or have it wait for its turn and return False."""
        if not self.waiting_values and self._reserve(value):
            return True
        self.waiting_values.append(value)
        return False

    def _reserve(self, value: WaitingValue) -> bool:
        if self.unsent_bytes + self.reserved_bytes + value.size > self.limit_bytes:
            return False
        self.reserved_bytes += value.size
        return True

    def release(self, value: WaitingValue) -> None:
        """Free the memory that was reserved for the value."""
        self.reserved_bytes -= value.size
        self.resume_waiting()

    def stop_waiting(self, value: WaitingValue) -> None:
        """Remove a value that waits, as it needs no reservation any more."""
        self.waiting_values.remove(value)
        self.resume_waiting()

    # --- incomplete replies ---

    def may_read_on(self, reply: WaitingReply) -> bool:
        """Return whether more of the incomplete reply may be read; if not, it is resumed later."""
        if not self.is_full():
            return True
        if self.exempt_reply is None:
            self.exempt_reply = reply
        if self.exempt_reply is reply:
            return True
        self.waiting_replies.append(reply)
        return False

    def end_reply(self, reply: WaitingReply) -> None:
        """Note that an incomplete reply is complete, or will never be."""
        if reply in self.waiting_replies:
            self.waiting_replies.remove(reply)
        if self.exempt_reply is reply:
            self.exempt_reply = None
        self.resume_waiting()

    # --- waiting sources ---

    def resume_waiting(self) -> None:
        """Resume the sources that wait for memory, the longest waiting first, as far as there is memory."""
        while self.waiting_values and self._reserve(self.waiting_values[0]):
            self.waiting_values.popleft().grant()
        while self.waiting_replies and not self.is_full():
            self.waiting_replies.popleft().resume_reply()
        if self.waiting_replies and self.exempt_reply is None:
            self.exempt_reply = self.waiting_replies.popleft()
            self.exempt_reply.resume_reply()
