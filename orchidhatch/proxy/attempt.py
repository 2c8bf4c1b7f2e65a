"""One attempt of a request at one backend, from its start until its one outcome."""

import asyncio
from collections.abc import Callable
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


class AttemptConnection(Protocol):
    """The connection that an attempt is on."""

    attempt: "Attempt | None"
    given_up: "tuple[Attempt, AttemptResult] | None"
    transport: Any

    def usable(self) -> bool:
        """Whether it is open."""

    def abort(self) -> None:
        """Close it at once."""


class AttemptPool(Protocol):
    """The connections to the attempt's backend."""

    owner: Any

    def doubt(self, since_us: int) -> None:
        """Nothing was heard since then: the machine may have vanished."""

    def fails_locally(self) -> bool:
        """Whether dials fail now for a reason on this machine."""


def no_stream(attempt: "Attempt", size: int) -> None:
    """Take no long value."""


class Attempt:
    """One command for one backend; `done` is called once, with how it ended.

    `may_send` is asked at the instant at which the command would be written, `encode` gives its bytes then.
    Times are microseconds of the process's clock. An attempt may be sent until `deadline_us`, and, where that
    is not 0, before `begin_by_us`: after it, what the attempt repeats is forgotten at the backend.
    """

    __slots__ = (
        "began",
        "begin_by_us",
        "connection",
        "deadline_us",
        "deferrals",
        "done",
        "encode",
        "given_up",
        "may_send",
        "number",
        "over",
        "pool",
        "request_id",
        "sent_us",
        "server",
        "timer",
        "written",
        "written_us",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        server: str,
        encode: Encode,
        done: Done,
        began: StreamBegan = no_stream,
        may_send: MaySend = lambda attempt: True,
    ) -> None:
        self.request_id = request_id
        self.number = number
        self.server = server
        self.encode = encode
        self.done = done
        # Told the size of a long value; gives what takes its pieces, if it is wanted.
        self.began = began
        self.may_send = may_send
        self.sent_us = now_us()
        self.over = False
        self.written = False
        self.written_us = 0
        # It ends as soon as its connection is closed.
        self.given_up = False
        self.deadline_us = 0
        self.begin_by_us = 0
        # How often it has waited for unread endpoint list events.
        self.deferrals = 0
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.pool: AttemptPool | None = None

    def finish(
        self, result: AttemptResult, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        """Report the outcome, unless it has been reported."""
        if self.over:
            return
        self.over = True
        if self.timer:
            self.timer.cancel()
        if self.written:
            self.pool.owner.answer_waits.note(now_us() - self.written_us)
        self.done(self, result, value, report)

    def is_sendable(self) -> bool:
        """Whether it may be written at this instant; otherwise it has ended."""
        if self.over:
            return False
        now = now_us()
        if self.deadline_us and now >= self.deadline_us:
            self.time_out()
        elif self.begin_by_us and now >= self.begin_by_us:
            self.lapse()
        elif self.may_send(self):
            return not self.over
        else:
            self.finish(AttemptResult.NOT_SENT)
        return False

    def payload(self, now: int) -> bytes:
        """The command as it is to be written now, in microseconds of the process's clock."""
        return self.encode(max(1, self.deadline_us - now))

    def begin(self, size: int) -> Callable[[bytes], None] | None:
        """A long value begins to come; what takes its pieces, if it is wanted."""
        return self.began(self, size)

    def keep_waiting(self) -> None:
        """From now on it is not given up over time."""
        if self.timer:
            self.timer.cancel()

    def pause(self) -> None:
        """Read no more of its value for now, so that the backend waits too."""
        if self.connection and self.connection.usable():
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Read on after a pause."""
        if self.connection and self.connection.usable():
            self.connection.transport.resume_reading()

    # --- ends before an answer ---

    def cancel(self) -> None:
        """Stop waiting for it."""
        self.give_up(AttemptResult.CANCELLED)

    def lapsed(self) -> bool:
        """Whether the time in which it might be begun has passed: what it repeats is forgotten there."""
        return bool(self.begin_by_us) and not self.written and now_us() >= self.begin_by_us

    def lapse(self) -> None:
        """End it if that time has passed."""
        if self.lapsed():
            self.give_up(AttemptResult.CONNECT_FAILED)

    def withdraw(self) -> None:
        """Nobody waits for it any more and it was not written whole, so it is nobody's yet."""
        self.give_up(AttemptResult.NOT_SENT)

    def write_stalled(self) -> None:
        """Not all of it was written by now: the deadline that it tells would be read too late."""
        if not self.written:
            self.give_up(AttemptResult.CONNECT_FAILED)

    def time_out(self) -> None:
        """End it over its time, unless its answer has come and is only to be read."""
        if self.written and self._answer_is_unread():
            self.timer = asyncio.get_running_loop().call_later(ANSWER_READ_S, self._time_out_now)
        else:
            self._time_out_now()

    def _answer_is_unread(self) -> bool:
        connection = self.connection
        return (
            connection is not None and connection.usable() and socket_inspection.unread(connection.transport)
        )

    def _time_out_now(self) -> None:
        if self.written:
            self.pool.doubt(self.sent_us)
            self.pool.owner.timed_out += 1
        self.give_up(AttemptResult.TIMEOUT if self.written else self._unsent_result())

    def _unsent_result(self) -> AttemptResult:
        is_local = self.pool is None or self.pool.fails_locally()
        return AttemptResult.LOCAL_FAILURE if is_local else AttemptResult.CONNECT_FAILED

    def give_up(self, result: AttemptResult) -> None:
        """End it. That is reported when its connection is closed and no sooner: an attempt is out until then,
        and what comes next may be the request's next one.
        """
        if self.given_up:
            return
        self.given_up = True
        connection, self.connection = self.connection, None
        if connection and connection.attempt is self:
            connection.attempt = None
            connection.given_up = (self, result)
            if self.timer:
                self.timer.cancel()
            connection.abort()  # an answer is still due on it: it must never be used again
        else:
            self.finish(result)
