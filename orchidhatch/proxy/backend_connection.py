"""One connection to a backend, with at most one command on it.

Whether an attempt may have run is decided here, and only by whether its last byte was handed to the kernel:
before that it never ran, after that it may have.
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

log = logging.getLogger(__name__)

MAX_VALUE_BYTES = 1 << 16
"""The largest value of the protocol that is kept whole."""
MAX_REPLY_BYTES = 2 * MAX_VALUE_BYTES
"""A value with its figures and the load report."""
MAX_LONG_VALUE_BYTES = 4 << 20
"""A value above MAX_VALUE_BYTES is passed on as it comes."""
READ_BUFFER_BYTES = 32 * 1024
"""Bytes read at once; as much of each long value may wait for its client."""
WRITE_TIMEOUT_S = 0.1
"""A command states the client's time left as of its encoding, so it must not be written much later."""

INCOMPLETE_REPLY = object()


class BackendConnectionState(Enum):
    """What a connection is doing; TRANSITIONS has the changes."""

    CONNECTING = "connecting"
    IDLE = "idle"
    """Open, with no command on it; in its pool, or about to be."""
    BUSY = "busy"
    """A command is being written, or was written and its reply is due."""
    STREAMING = "streaming"
    """The reply is a long value, whose pieces are passed on."""
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
"""From each state, the states that may follow; a closed connection stays closed."""


class ConnectionOwner(Protocol):
    """What connections to all backends share."""

    account: CpuAccounting
    idle_limit: IdleLimit
    read_buffer: memoryview
    tally: Counter[str]
    sends: int


class ConnectionPool(Protocol):
    """The pool that a connection belongs to."""

    owner: ConnectionOwner
    name: str
    last_received_us: int

    def connection_ready(self, connection: "BackendConnection") -> None:
        """A connection has come up, or has nothing on it any more."""

    def discard(self, connection: "BackendConnection") -> None:
        """A connection is closed, or about to be."""

    def suspect_idle_connections(self, since_us: int) -> None:
        """An attempt was reset: the backend may have vanished, if nothing was received since then."""


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
        """What was on it when it was aborted; it ends with the connection."""
        self.reader = ReplyReader(MAX_VALUE_BYTES, MAX_LONG_VALUE_BYTES)
        self.received_bytes = 0
        """Of the current reply, without a long value."""
        self.take_piece: Callable[[bytes], None] | None = None
        """Takes the pieces of a long value; while streaming."""
        self.remaining_value_bytes = 0
        self.has_unsent_bytes = False
        self.use_count = 0
        self.idle_since_us = 0
        self.idle_before_use_us = 0

    # --- state ---

    def _enter(self, state: BackendConnectionState) -> None:
        """Change the state; a closed connection stays closed. Raises ValueError for what is no transition."""
        if self.state is BackendConnectionState.CLOSED:
            return
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"connection state {self.state.value} cannot become {state.value}")
        self.state = state

    def is_usable(self) -> bool:
        """Whether it is open on both sides, as far as this side knows."""
        return self.transport is not None and not self.transport.is_closing()

    # --- callbacks of the event loop ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The dial has succeeded."""
        self.transport = transport
        # With no room for buffering, `pause_writing` reports that bytes are left, and `resume_writing` that
        # none are.
        transport.set_write_buffer_limits(0)
        self._enter(BackendConnectionState.IDLE)

    def pause_writing(self) -> None:
        """Bytes of a command are left that the kernel has not taken."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """The kernel has taken everything."""
        self.has_unsent_bytes = False
        if self.attempt and not self.attempt.was_written and not self.transport.is_closing():
            self._command_written(self.attempt)

    def get_buffer(self, size_hint: int) -> memoryview:
        """The one read buffer of all connections: what is read is taken over before another one reads."""
        return self.pool.owner.read_buffer

    def buffer_updated(self, size: int) -> None:
        """So many bytes were read into the buffer."""
        account = self.pool.owner.account
        previous_category = account.enter(CostCategory.BACKENDS)
        try:
            self.data_received(bytes(self.pool.owner.read_buffer[:size]))
        finally:
            account.leave(previous_category)

    def data_received(self, data: bytes) -> None:
        """Read a reply's bytes; a reply that is whole ends its attempt."""
        self.pool.last_received_us = now_us()
        if self.remaining_value_bytes:
            data = self._pass_on(data)
        self.received_bytes += len(data)
        attempt = self.attempt
        if attempt is None or self.received_bytes > MAX_REPLY_BYTES:
            self.abort()
            return
        self.reader.feed(data)
        if self.take_piece is None and not self._begin_long_value(attempt):
            return
        if self.remaining_value_bytes or attempt.has_ended:
            return
        self._read_reply(attempt)

    def eof_received(self) -> None:
        """No reply can come any more. Without the abort the loop would wait until all is written."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """End what was on the connection."""
        self._enter(BackendConnectionState.CLOSED)
        self.pool.discard(self)
        attempt = self.attempt
        self.attempt = None
        if attempt:
            self._end_reset_attempt(attempt)
        if self.abandoned:
            self.abandoned.attempt.finish(self.abandoned.result)

    # --- a command and its reply ---

    def send(self, attempt: Attempt) -> None:
        """Write the attempt's command; only `BackendPool.dispatch` calls this."""
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
            asyncio.get_running_loop().call_later(WRITE_TIMEOUT_S, attempt.write_stalled)
        else:
            self._command_written(attempt)

    def _command_written(self, attempt: Attempt) -> None:
        attempt.mark_written()
        self.pool.owner.sends += 1

    def _begin_long_value(self, attempt: Attempt) -> bool:
        """Begin to pass on a long value, if the reply has one; False where the attempt ended over it."""
        long_value = self.reader.begin_long()
        if not long_value:
            return True
        self.remaining_value_bytes, first_piece = long_value
        self.take_piece = attempt.begin_stream(self.remaining_value_bytes)
        if self.take_piece is None:
            attempt.cancel()  # nobody waits for it any more
            return False
        self._enter(BackendConnectionState.STREAMING)
        self._pass_on(first_piece)
        return True

    def _pass_on(self, data: bytes) -> bytes:
        """Hand on what belongs to a long value; the rest of the data."""
        piece = data[: self.remaining_value_bytes]
        rest = data[self.remaining_value_bytes :]
        self.remaining_value_bytes -= len(piece)
        if not self.remaining_value_bytes:
            self.received_bytes = 0
            self.reader.end_long()
        self.take_piece(piece)
        return rest

    def _read_reply(self, attempt: Attempt) -> None:
        """End the attempt if its reply is whole, and free the connection if nothing else is on it."""
        try:
            reply = self.reader.gets(INCOMPLETE_REPLY)
        except ProtocolError as error:
            log.error("backend reply malformed: server=%s error=%s", self.pool.name, error)
            self.abort()
            return
        if reply is INCOMPLETE_REPLY:
            return
        self.attempt = None
        attempt.connection = None
        self.take_piece = None
        self._note_use(was_reset=False)
        if self.reader.has_data() or not attempt.was_written:
            self.abort()
        else:
            self._enter(BackendConnectionState.IDLE)
            self.pool.connection_ready(self)
        attempt.finish(*read_reply(reply))

    def _end_reset_attempt(self, attempt: Attempt) -> None:
        attempt.connection = None
        self.pool.owner.tally["reset on reuse" if self.use_count > 1 else "reset on first use"] += 1
        self._note_use(was_reset=not self.received_bytes)
        self.pool.suspect_idle_connections(now_us())
        attempt.finish_unanswered()

    def _note_use(self, was_reset: bool) -> None:
        """Learn for how long an idle connection may be trusted."""
        if self.use_count > 1:
            self.pool.owner.idle_limit.note(self.idle_before_use_us, was_reset)

    # --- ends ---

    def close(self) -> None:
        """Close a connection with nothing on it."""
        if self.transport:
            self._enter(BackendConnectionState.CLOSED)
            self.transport.close()

    def abort(self) -> None:
        """Close at once; `close` would first send what is still buffered, and so let the attempt run."""
        self.pool.discard(self)
        if self.transport:
            self._enter(BackendConnectionState.CLOSED)
            self.transport.abort()
