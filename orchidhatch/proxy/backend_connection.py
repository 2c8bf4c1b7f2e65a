"""One connection to a backend, with at most one command in flight.

This module alone decides whether an attempt may have run: it may have once its last byte was handed to the
kernel, and cannot have before that.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from orchidhatch.proxy.attempt import AbandonedAttempt, Attempt
from orchidhatch.proxy.backend_replies import read_reply
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.idle_limit import IdleLimit
from orchidhatch.proxy.resp import ProtocolError, ReplyReader
from orchidhatch.proxy.send_backlog import SendBacklog

log = logging.getLogger(__name__)

MAX_VALUE_BYTES = 1 << 16
"""The largest value that is buffered whole."""
MAX_REPLY_BYTES = 2 * MAX_VALUE_BYTES
"""A value with its array framing and the load report."""
MAX_LONG_VALUE_BYTES = 4 << 20
"""A value above MAX_VALUE_BYTES is streamed to the client."""
READ_BUFFER_BYTES = 32 * 1024
"""Bytes per read; up to as many of each long value may be buffered for its client."""
SHORT_READ_BYTES = 4 * 1024
"""Bytes per read while memory for answers is short."""
WRITE_TIMEOUT_S = 0.1
"""A command states the time left when it was encoded, so it must not be written much later."""

INCOMPLETE_REPLY = object()


class BackendConnectionState(Enum):
    """The activity of a connection; TRANSITIONS lists the allowed changes."""

    CONNECTING = "connecting"
    IDLE = "idle"
    """Open, without a command; in its pool, or about to be."""
    BUSY = "busy"
    """A command is being written or awaits its reply."""
    STREAMING = "streaming"
    """The reply is a long value, whose pieces are being forwarded."""
    CLOSED = "closed"
    """Closed from this side, or lost."""


TRANSITIONS = {
    BackendConnectionState.CONNECTING: {BackendConnectionState.IDLE, BackendConnectionState.CLOSED},
    BackendConnectionState.IDLE: {BackendConnectionState.BUSY, BackendConnectionState.CLOSED},
    BackendConnectionState.BUSY: {
        BackendConnectionState.STREAMING,
        BackendConnectionState.IDLE,
        BackendConnectionState.CLOSED,
    },
    BackendConnectionState.STREAMING: {BackendConnectionState.IDLE, BackendConnectionState.CLOSED},
    BackendConnectionState.CLOSED: set[BackendConnectionState](),
}
"""For each state, the states that may follow; a closed connection stays closed."""


class ConnectionOwner(Protocol):
    """The state that the connections to all backends share."""

    account: CpuAccounting
    backlog: SendBacklog
    idle_limit: IdleLimit
    read_buffer: memoryview
    tally: Counter[str]
    attempts_written: int


class ConnectionPool(Protocol):
    """The pool that a connection belongs to."""

    owner: ConnectionOwner
    name: str
    last_received_us: int

    def connection_ready(self, connection: "BackendConnection") -> None:
        """Accept a connection that was established or has no command any more."""

    def discard(self, connection: "BackendConnection") -> None:
        """Remove a connection that is closed or about to be closed."""

    def suspect_idle_connections(self, since_us: int) -> None:
        """Distrust the idle connections if nothing was received since `since_us`: the machine may be down."""


class BackendConnection(asyncio.BufferedProtocol):
    """A connection to a backend, from its dial to its close."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.state = BackendConnectionState.CONNECTING
        self.transport: asyncio.Transport | None = None
        self.failed_locally = False
        """Whether the last dial failed for a reason on this machine."""
        self.attempt: Attempt | None = None
        self.abandoned: AbandonedAttempt | None = None
        """The attempt that was in flight when the connection was aborted; ends when the connection closes."""
        self.reader = ReplyReader(MAX_VALUE_BYTES, MAX_LONG_VALUE_BYTES)
        self.received_bytes = 0
        """Bytes of the current reply, without a long value."""
        self.partial_bytes = 0
        """Bytes of an incomplete reply that are counted in the backlog."""
        self.on_piece: Callable[[bytes], None] | None = None
        """The consumer of a long value's pieces; None unless streaming."""
        self.remaining_value_bytes = 0
        self.has_unsent_bytes = False
        self.use_count = 0
        self.idle_since_us = 0
        self.idle_before_use_us = 0

    # --- state ---

    def _enter(self, state: BackendConnectionState) -> None:
        """Change the state; a closed connection stays closed. Raises ValueError if it is not allowed."""
        if self.state is BackendConnectionState.CLOSED:
            return
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"connection state {self.state.value} cannot become {state.value}")
        self.state = state

    def is_usable(self) -> bool:
        """Return whether the connection is open as far as this side knows."""
        return self.transport is not None and not self.transport.is_closing()

    # --- event loop callbacks ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Record that the connection is established."""
        self.transport = transport
        # With a limit of 0, the loop calls `pause_writing` when any bytes are left unwritten, and
        # `resume_writing` when none are.
        transport.set_write_buffer_limits(0)
        self._enter(BackendConnectionState.IDLE)

    def pause_writing(self) -> None:
        """Record that the kernel has not accepted all bytes of the command."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Record that the kernel has accepted all bytes."""
        self.has_unsent_bytes = False
        if self.attempt and not self.attempt.was_written and not self.transport.is_closing():
            self._command_written(self.attempt)

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return the read buffer that all connections share; each read is copied out before the next one."""
        owner = self.pool.owner
        if owner.backlog.must_read_little():
            return owner.read_buffer[:SHORT_READ_BYTES]
        return owner.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Handle the `size` bytes that were read into the buffer."""
        account = self.pool.owner.account
        previous_category = account.enter(CostCategory.BACKENDS)
        try:
            self.data_received(bytes(self.pool.owner.read_buffer[:size]))
        finally:
            account.leave(previous_category)

    def data_received(self, data: bytes) -> None:
        """Process bytes of a reply; a complete reply ends its attempt."""
        self.pool.last_received_us = now_us()
        if self.remaining_value_bytes:
            data = self._forward_value(data)
        self.received_bytes += len(data)
        attempt = self.attempt
        if attempt is None or self.received_bytes > MAX_REPLY_BYTES:
            self.abort()
            return
        self.reader.feed(data)
        if self.on_piece is None and not self._begin_long_value(attempt):
            return
        if self.remaining_value_bytes or attempt.has_ended:
            return
        self._read_reply(attempt)
        is_partial = self.attempt is attempt and self.on_piece is None
        if is_partial or self.partial_bytes:
            self._count_partial_reply()

    def _count_partial_reply(self) -> None:
        """Count the bytes of an incomplete reply, and pause while there is no memory for the rest of it."""
        backlog = self.pool.owner.backlog
        partial_bytes = len(self.reader.buffer) if self.attempt else 0
        backlog.partial_bytes += partial_bytes - self.partial_bytes
        self.partial_bytes = partial_bytes
        if not partial_bytes:
            backlog.end_reply(self)
        elif not backlog.may_read_on(self):
            self.transport.pause_reading()

    def resume_reply(self) -> None:
        """Continue to read an incomplete reply."""
        if self.is_usable():
            self.transport.resume_reading()

    def eof_received(self) -> None:
        """Abort, as no reply can come any more; a plain close would first wait for pending writes."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt that was in flight on the connection."""
        self._enter(BackendConnectionState.CLOSED)
        self.pool.discard(self)
        attempt = self.attempt
        self.attempt = None
        if self.partial_bytes:
            self._count_partial_reply()
        if attempt:
            self._end_reset_attempt(attempt)
        if self.abandoned:
            self.abandoned.attempt.finish(self.abandoned.result)

    # --- a command and its reply ---

    def send(self, attempt: Attempt) -> None:
        """Write the attempt's command; called by `BackendPool.dispatch` only."""
        assert self.transport is not None
        self._enter(BackendConnectionState.BUSY)
        self.attempt = attempt
        attempt.connection = self
        self.received_bytes = 0
        self.use_count += 1
        now = now_us()
        self.idle_before_use_us = now - self.idle_since_us
        self.transport.write(attempt.payload(now))
        if self.has_unsent_bytes:
            asyncio.get_running_loop().call_later(WRITE_TIMEOUT_S, attempt.fail_stalled_write)
        else:
            self._command_written(attempt)

    def _command_written(self, attempt: Attempt) -> None:
        attempt.mark_written()
        self.pool.owner.attempts_written += 1

    def _begin_long_value(self, attempt: Attempt) -> bool:
        """Start to stream a long value if the reply has one; return False if nobody wants the value."""
        long_value = self.reader.begin_long_value()
        if not long_value:
            return True
        self.remaining_value_bytes, first_piece = long_value
        self.on_piece = attempt.begin_stream(self.remaining_value_bytes)
        if self.on_piece is None:
            attempt.cancel()  # the request has ended
            return False
        self._enter(BackendConnectionState.STREAMING)
        if first_piece:
            self._forward_value(first_piece)
        return True

    def _forward_value(self, data: bytes) -> bytes:
        """Forward the part of `data` that belongs to the long value; return the remainder."""
        piece = data[: self.remaining_value_bytes]
        remainder = data[self.remaining_value_bytes :]
        self.remaining_value_bytes -= len(piece)
        if not self.remaining_value_bytes:
            self.received_bytes = 0
            self.reader.end_long_value()
        self.on_piece(piece)
        return remainder

    def _read_reply(self, attempt: Attempt) -> None:
        """End the attempt if its reply is complete, and return the connection to its pool if it is clean."""
        try:
            reply = self.reader.next_reply(INCOMPLETE_REPLY)
        except ProtocolError as error:
            log.error("backend reply malformed: server=%s error=%s", self.pool.name, error)
            self.abort()
            return
        if reply is INCOMPLETE_REPLY:
            return
        self.attempt = None
        attempt.connection = None
        self.on_piece = None
        self._record_reuse(was_reset=False)
        if self.reader.has_data() or not attempt.was_written:
            self.abort()
        else:
            self._enter(BackendConnectionState.IDLE)
            self.pool.connection_ready(self)
        attempt.finish(*read_reply(reply))

    def _end_reset_attempt(self, attempt: Attempt) -> None:
        attempt.connection = None
        self.pool.owner.tally["reset on reuse" if self.use_count > 1 else "reset on first use"] += 1
        self._record_reuse(was_reset=not self.received_bytes)
        self.pool.suspect_idle_connections(now_us())
        attempt.finish_unanswered()

    def _record_reuse(self, was_reset: bool) -> None:
        """Record whether the connection was reset after its idle time, to adjust the idle limit."""
        if self.use_count > 1:
            self.pool.owner.idle_limit.record_use(self.idle_before_use_us, was_reset)

    # --- closing ---

    def close(self) -> None:
        """Close a connection that has no command."""
        if self.transport:
            self._enter(BackendConnectionState.CLOSED)
            self.transport.close()

    def abort(self) -> None:
        """Close at once; `close` would first send buffered bytes, and so might let the attempt run."""
        self.pool.discard(self)
        if self.transport:
            self._enter(BackendConnectionState.CLOSED)
            self.transport.abort()
