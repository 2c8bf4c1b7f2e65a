"""One attempt of a request at one backend, from its start to its single reported outcome."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.clock import now_us

UNREAD_REPLY_GRACE_S = 0.005
"""Extra time that a timed-out attempt gets where its reply was received but not read yet."""

OnDone = Callable[["Attempt", AttemptResult, bytes | None, LoadReport | None], None]
OnStreamBegun = Callable[["Attempt", int], Callable[[bytes], None] | None]
EncodeCommand = Callable[[int], bytes]
"""Encodes the command; the argument is how many microseconds the gateway will wait for the reply."""
MaySend = Callable[["Attempt"], bool]


class AttemptState(Enum):
    """The progress of an attempt; TRANSITIONS lists the allowed changes."""

    PENDING = "pending"
    """Waiting for a connection, or not fully written: the backend cannot have executed it."""
    WRITTEN = "written"
    """The last byte was handed to the kernel: the backend may have executed it."""
    ABANDONED = "abandoned"
    """No longer waiting for the reply; it ends when its connection is closed."""
    ENDED = "ended"
    """The outcome was reported."""


TRANSITIONS = {
    AttemptState.PENDING: {AttemptState.WRITTEN, AttemptState.ABANDONED, AttemptState.ENDED},
    AttemptState.WRITTEN: {AttemptState.ABANDONED, AttemptState.ENDED},
    AttemptState.ABANDONED: {AttemptState.ENDED},
    AttemptState.ENDED: set[AttemptState](),
}
"""For each state, the states that may follow."""


@dataclass(frozen=True, slots=True)
class AbandonedAttempt:
    """An attempt that ends when its connection is closed, and the result to report then."""

    attempt: "Attempt"
    result: AttemptResult


class AttemptConnection(Protocol):
    """The connection that an attempt is sent on."""

    attempt: "Attempt | None"
    abandoned: AbandonedAttempt | None
    transport: Any

    def is_usable(self) -> bool:
        """Return whether the connection is open."""

    def abort(self) -> None:
        """Close the connection at once."""


class AttemptPool(Protocol):
    """The connection pool of the attempt's backend."""

    owner: Any

    def suspect_idle_connections(self, since_us: int) -> None:
        """Distrust the idle connections if nothing was received since `since_us`: the machine may be down."""

    def fails_locally(self) -> bool:
        """Return whether dials currently fail for a reason on this machine."""


def decline_stream(attempt: "Attempt", size: int) -> None:
    """Decline a long value."""


class Attempt:
    """One command for one backend; `on_done` is called exactly once, with the outcome.

    `may_send` is called just before the command is written; if it agrees, `encode` returns the command's
    bytes. `on_stream_begun` is called with the size of a long value and returns the consumer of its pieces,
    or None if the value is not wanted. Times are in microseconds of the process's clock. The attempt may be
    written until `deadline_us` and, unless that is 0, before `start_by_us`: after that the backend may have
    forgotten the earlier attempt that this one repeats.
    """

    __slots__ = (
        "connection",
        "deadline_us",
        "deferrals",
        "encode",
        "may_send",
        "number",
        "on_done",
        "on_stream_begun",
        "pool",
        "request_id",
        "sent_us",
        "server",
        "start_by_us",
        "state",
        "timer",
        "written_us",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        server: str,
        encode: EncodeCommand,
        on_done: OnDone,
        on_stream_begun: OnStreamBegun = decline_stream,
        may_send: MaySend = lambda attempt: True,
    ) -> None:
        self.request_id = request_id
        self.number = number
        self.server = server
        self.encode = encode
        self.on_done = on_done
        self.on_stream_begun = on_stream_begun
        self.may_send = may_send
        self.state = AttemptState.PENDING
        self.sent_us = now_us()
        self.written_us = 0
        """When the last byte was handed to the kernel; 0 before that."""
        self.deadline_us = 0
        self.start_by_us = 0
        self.deferrals = 0
        """How many event loop turns it has waited for unread endpoint list events."""
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.pool: AttemptPool | None = None

    # --- state ---

    def _enter(self, state: AttemptState) -> None:
        """Change the state. Raises ValueError if the transition is not allowed."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"attempt state {self.state.value} cannot become {state.value}")
        self.state = state

    @property
    def has_ended(self) -> bool:
        """Whether the outcome was reported."""
        return self.state is AttemptState.ENDED

    @property
    def was_written(self) -> bool:
        """Whether the last byte was handed to the kernel; stays true after abandonment."""
        return self.written_us > 0

    def mark_written(self) -> None:
        """Record that the last byte was handed to the kernel."""
        self._enter(AttemptState.WRITTEN)
        self.written_us = now_us()

    def finish(
        self, result: AttemptResult, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        """Report the outcome, unless one was reported already."""
        if self.has_ended:
            return
        self._enter(AttemptState.ENDED)
        if self.timer:
            self.timer.cancel()
        if self.was_written:
            self.pool.owner.reply_waits.note(now_us() - self.written_us)
        self.on_done(self, result, value, report)

    def finish_unanswered(self) -> None:
        """Report that the connection was lost before a complete reply."""
        self.finish(AttemptResult.RESET if self.was_written else AttemptResult.CONNECT_FAILED)

    def is_sendable(self) -> bool:
        """Return whether the command may be written now; if not, the attempt is ended."""
        if self.has_ended:
            return False
        now = now_us()
        if self.deadline_us and now >= self.deadline_us:
            self.time_out()
        elif self.start_by_us and now >= self.start_by_us:
            self.expire_start_window()
        elif self.may_send(self):
            return not self.has_ended
        else:
            self.finish(AttemptResult.NOT_SENT)
        return False

    def payload(self, now: int) -> bytes:
        """Return the command's bytes for writing at `now`, in microseconds of the process's clock."""
        return self.encode(max(1, self.deadline_us - now))

    def begin_stream(self, size: int) -> Callable[[bytes], None] | None:
        """Report the start of a long value; return the consumer of its pieces, None if it is not wanted."""
        return self.on_stream_begun(self, size)

    def cancel_timeout(self) -> None:
        """Stop the attempt's timeout; from now on it may take any time."""
        if self.timer:
            self.timer.cancel()

    def pause(self) -> None:
        """Stop reading the streamed value for now, which makes the backend wait too."""
        if self.connection and self.connection.is_usable():
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Continue reading after a pause."""
        if self.connection and self.connection.is_usable():
            self.connection.transport.resume_reading()

    # --- ends before a reply ---

    def cancel(self) -> None:
        """Stop waiting for the reply."""
        self.abandon(AttemptResult.CANCELLED)

    def is_start_window_over(self) -> bool:
        """Return whether it is too late to send: the backend may have forgotten what the attempt repeats."""
        return bool(self.start_by_us) and not self.was_written and now_us() >= self.start_by_us

    def expire_start_window(self) -> None:
        """End the attempt if it is too late to send it."""
        if self.is_start_window_over():
            self.abandon(AttemptResult.CONNECT_FAILED)

    def withdraw(self) -> None:
        """End an attempt that is no longer needed; as it was not fully written, it counts as not sent."""
        self.abandon(AttemptResult.NOT_SENT)

    def fail_stalled_write(self) -> None:
        """End the attempt if it is not fully written: the backend would read an outdated time limit."""
        if not self.was_written:
            self.abandon(AttemptResult.CONNECT_FAILED)

    def time_out(self) -> None:
        """End the attempt at its deadline, but first read a reply that has already been received."""
        if self.was_written and self._is_reply_unread():
            self.timer = asyncio.get_running_loop().call_later(UNREAD_REPLY_GRACE_S, self._time_out_now)
        else:
            self._time_out_now()

    def _is_reply_unread(self) -> bool:
        connection = self.connection
        if connection is None or not connection.is_usable():
            return False
        return socket_inspection.has_unread_bytes(connection.transport)

    def _time_out_now(self) -> None:
        if not self.was_written:
            self.abandon(self._unsent_result())
            return
        self.pool.suspect_idle_connections(self.sent_us)
        self.pool.owner.attempts_timed_out += 1
        self.abandon(AttemptResult.TIMEOUT)

    def _unsent_result(self) -> AttemptResult:
        is_local = self.pool is None or self.pool.fails_locally()
        return AttemptResult.LOCAL_FAILURE if is_local else AttemptResult.CONNECT_FAILED

    def abandon(self, result: AttemptResult) -> None:
        """End the attempt before its reply.

        If it is on a connection, the outcome is reported only when that connection has closed: until then the
        attempt is in flight, and the report may trigger the request's next attempt.
        """
        if self.state in (AttemptState.ABANDONED, AttemptState.ENDED):
            return
        connection = self.connection
        self.connection = None
        if connection is None or connection.attempt is not self:
            self.finish(result)
            return
        self._enter(AttemptState.ABANDONED)
        connection.attempt = None
        connection.abandoned = AbandonedAttempt(self, result)
        if self.timer:
            self.timer.cancel()
        connection.abort()  # the reply may still arrive on it, so it must not be reused
