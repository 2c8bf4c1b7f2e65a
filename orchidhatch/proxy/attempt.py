"""One attempt of a request at one backend, from its start until its one outcome."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.clock import now_us

ANSWER_READ_S = 0.005
"""How long a time-out waits for an answer that has come and was not read yet."""

Done = Callable[["Attempt", AttemptResult, bytes | None, LoadReport | None], None]
StreamBegan = Callable[["Attempt", int], Callable[[bytes], None] | None]
Encode = Callable[[int], bytes]
"""The command's bytes, by the microseconds that the gateway will wait for its answer."""
MaySend = Callable[["Attempt"], bool]


class AttemptState(Enum):
    """How far an attempt has come; TRANSITIONS has the changes."""

    PENDING = "pending"
    """Waits for a connection, or is being written: the backend cannot have run it."""
    WRITTEN = "written"
    """Its last byte was handed to the kernel: the backend may have run it."""
    ABANDONED = "abandoned"
    """Nobody waits for its reply; it ends when its connection is closed."""
    ENDED = "ended"
    """Its one outcome was reported."""


TRANSITIONS = {
    AttemptState.PENDING: {AttemptState.WRITTEN, AttemptState.ABANDONED, AttemptState.ENDED},
    AttemptState.WRITTEN: {AttemptState.ABANDONED, AttemptState.ENDED},
    AttemptState.ABANDONED: {AttemptState.ENDED},
    AttemptState.ENDED: set[AttemptState](),
}
"""From each state, the states that may follow."""


@dataclass(frozen=True, slots=True)
class AbandonedAttempt:
    """An attempt that ends with its connection, and how."""

    attempt: "Attempt"
    result: AttemptResult


class AttemptConnection(Protocol):
    """The connection that an attempt is on."""

    attempt: "Attempt | None"
    abandoned: AbandonedAttempt | None
    transport: Any

    def is_usable(self) -> bool:
        """Whether it is open."""

    def abort(self) -> None:
        """Close it at once."""


class AttemptPool(Protocol):
    """The connections to the attempt's backend."""

    owner: Any

    def suspect_idle_connections(self, since_us: int) -> None:
        """The machine may have vanished, if nothing was received since then."""

    def fails_locally(self) -> bool:
        """Whether dials fail now for a reason on this machine."""


def no_stream(attempt: "Attempt", size: int) -> None:
    """Take no long value."""


class Attempt:
    """One command for one backend; `on_done` is called once, with how it ended.

    `may_send` is asked at the instant at which the command would be written, `encode` gives its bytes then.
    `on_stream_begun` is told the size of a long value, and gives what takes its pieces, if it is wanted.
    Times are microseconds of the process's clock. An attempt may be sent until `deadline_us`, and, where that
    is not 0, before `start_by_us`: after it, what the attempt repeats is forgotten at the backend.
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
        encode: Encode,
        on_done: Done,
        on_stream_begun: StreamBegan = no_stream,
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
        """When its last byte was handed to the kernel; 0 before that."""
        self.deadline_us = 0
        self.start_by_us = 0
        self.deferrals = 0
        """How often it has waited for unread endpoint list events."""
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.pool: AttemptPool | None = None

    # --- state ---

    def _enter(self, state: AttemptState) -> None:
        """Change the state. Raises ValueError for what is no transition."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"attempt state {self.state.value} cannot become {state.value}")
        self.state = state

    @property
    def has_ended(self) -> bool:
        """Whether its outcome was reported."""
        return self.state is AttemptState.ENDED

    @property
    def was_written(self) -> bool:
        """Whether its last byte was handed to the kernel, also if it was abandoned since."""
        return self.written_us > 0

    def mark_written(self) -> None:
        """Note that its last byte was handed to the kernel."""
        self._enter(AttemptState.WRITTEN)
        self.written_us = now_us()

    def finish(
        self, result: AttemptResult, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        """Report the outcome, unless it has been reported."""
        if self.has_ended:
            return
        self._enter(AttemptState.ENDED)
        if self.timer:
            self.timer.cancel()
        if self.was_written:
            self.pool.owner.answer_waits.note(now_us() - self.written_us)
        self.on_done(self, result, value, report)

    def finish_unanswered(self) -> None:
        """Report that its connection was lost before a reply."""
        self.finish(AttemptResult.RESET if self.was_written else AttemptResult.CONNECT_FAILED)

    def is_sendable(self) -> bool:
        """Whether it may be written at this instant; otherwise it has ended."""
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
        """The command as it is to be written now, in microseconds of the process's clock."""
        return self.encode(max(1, self.deadline_us - now))

    def begin_stream(self, size: int) -> Callable[[bytes], None] | None:
        """Report that a long value begins to come; what takes its pieces, if it is wanted."""
        return self.on_stream_begun(self, size)

    def cancel_timeout(self) -> None:
        """From now on it is not given up over time."""
        if self.timer:
            self.timer.cancel()

    def pause(self) -> None:
        """Read no more of its value for now, so that the backend waits too."""
        if self.connection and self.connection.is_usable():
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Read on after a pause."""
        if self.connection and self.connection.is_usable():
            self.connection.transport.resume_reading()

    # --- ends before an answer ---

    def cancel(self) -> None:
        """Stop waiting for it."""
        self.give_up(AttemptResult.CANCELLED)

    def start_window_has_passed(self) -> bool:
        """Whether it must not be started any more, as what it repeats is forgotten at the backend."""
        return bool(self.start_by_us) and not self.was_written and now_us() >= self.start_by_us

    def expire_start_window(self) -> None:
        """End it if it must not be started any more."""
        if self.start_window_has_passed():
            self.give_up(AttemptResult.CONNECT_FAILED)

    def withdraw(self) -> None:
        """Nobody waits for it any more and it was not written whole, so it is nobody's yet."""
        self.give_up(AttemptResult.NOT_SENT)

    def write_stalled(self) -> None:
        """End it if it is not written whole by now: the deadline that it states would be read too late."""
        if not self.was_written:
            self.give_up(AttemptResult.CONNECT_FAILED)

    def time_out(self) -> None:
        """End it over its time, unless its reply has come and is only to be read."""
        if self.was_written and self._answer_is_unread():
            self.timer = asyncio.get_running_loop().call_later(ANSWER_READ_S, self._time_out_now)
        else:
            self._time_out_now()

    def _answer_is_unread(self) -> bool:
        connection = self.connection
        if connection is None or not connection.is_usable():
            return False
        return socket_inspection.unread(connection.transport)

    def _time_out_now(self) -> None:
        if not self.was_written:
            self.give_up(self._unsent_result())
            return
        self.pool.suspect_idle_connections(self.sent_us)
        self.pool.owner.timed_out += 1
        self.give_up(AttemptResult.TIMEOUT)

    def _unsent_result(self) -> AttemptResult:
        is_local = self.pool is None or self.pool.fails_locally()
        return AttemptResult.LOCAL_FAILURE if is_local else AttemptResult.CONNECT_FAILED

    def give_up(self, result: AttemptResult) -> None:
        """End it before its reply.

        Where it is on a connection, its end is reported when that is closed and no sooner: it is in flight
        until then, and what comes next may be the request's next attempt.
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
        connection.abort()  # a reply is still due on it, so it must never be used again
