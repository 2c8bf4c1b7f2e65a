"""A client's connection: commands in, answers out in the order of the commands."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.client_metrics import ClientMetrics
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.command_parser import CommandError
from orchidhatch.proxy.command_reader import CommandReader
from orchidhatch.proxy.connection_state import ENDING_STATES, TRANSITIONS, CloseReason, ConnectionState
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.guards import Guard, Refusal
from orchidhatch.proxy.loop_watch import GAP_US, LoopWatch
from orchidhatch.proxy.reply import FAILED_ANSWER, Reply
from orchidhatch.proxy.resp import ProtocolError
from orchidhatch.proxy.send_backlog import SendBacklog

log = logging.getLogger(__name__)

# Answers owed on a connection before its reading pauses.
MAX_PIPELINED_COMMANDS = 16
# A client may take 2 s for a command, and is owed an error line or a close within 3 s.
COMMAND_TIMEOUT_S = 2.4
# Bytes that wait for a client before it counts as slow.
WRITE_BUFFER_BYTES = 16 * 1024
# For the client to shut its side after this one was shut.
LINGER_TIMEOUT_S = 1.0
INTERNAL_ERROR = b"-ERR internal error\r\n"


class ConnectionOwner(Protocol):
    """The set of connections that a connection belongs to, and what all of them share."""

    account: CpuAccounting
    guard: Guard
    metrics: ClientMetrics
    backlog: SendBacklog
    loop_watch: LoopWatch
    clock: Callable[[], float]
    start_request: Callable[[list[bytes], Reply], None]
    abandon_request: Callable[[Reply], None]
    reads_no_more: bool

    def elapsed_us(self, since_s: float) -> int:
        """The microseconds since a time of the clock."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Add a connection, or close it or another one for want of room."""

    def connection_idle(self, connection: "ClientConnection") -> None:
        """All that was read on the connection is answered."""

    def connection_busy(self, connection: "ClientConnection") -> None:
        """An answer is owed on the connection."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Remove a connection."""

    def answer_ping(self, arguments: list[bytes]) -> bytes:
        """The answer to PING with these arguments."""

    def schedule_sweep(self) -> None:
        """See soon what time alone ends or lets go on."""


class ClientConnection(asyncio.Protocol):
    """A client's connection; its state goes by `TRANSITIONS`.

    Beside the state stand four facts that hold in several states: whether the transport reads, whether it
    takes no more to write (`is_write_paused`), whether a drain has stopped the reading for good
    (`reads_no_more`), and whether a request ever came (`has_sent_request`). Times are of the owner's clock.
    """

    def __init__(self, clients: ConnectionOwner) -> None:
        self.clients = clients
        self.state = ConnectionState.IDLE
        self.reader = CommandReader()
        self.replies: deque[Reply] = deque()
        self.transport: asyncio.Transport | None = None
        self.is_reading = True
        self.is_write_paused = False
        self.reads_no_more = False
        self.has_sent_request = False
        self.unsent_bytes = 0
        """What waits for the client, when last measured."""
        self.command_due_s: float | None = None
        """When the command that is awaited has to be complete."""
        self.read_paused_s = 0.0
        self.write_paused_s = 0.0
        self.progress_s = 0.0
        """When the client last took some of what waits."""
        self.linger_until_s = 0.0
        self.arrived_us = 0
        """When what was read last came, at the earliest, in microseconds of the process's clock."""
        self.unread_since_us = 0
        """The same for a command that lay unread and is read in pieces; else 0."""
        self.read_us = 0
        """When the connection was last read, or accepted."""

    @property
    def is_ending(self) -> bool:
        """Whether no further command is taken."""
        return self.state in ENDING_STATES

    def now_s(self) -> float:
        """The time of the owner's clock."""
        return self.clients.clock()

    def _enter(self, state: ConnectionState) -> None:
        """Go to `state`; a state that does not follow the present one is not entered."""
        if state in TRANSITIONS[self.state]:
            self.state = state

    # --- commands ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin: who connects has something to ask."""
        self.transport = transport
        self.unread_since_us = self.clients.loop_watch.accepted_since_us()
        self.read_us = now_us()
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self._await_command()
        self.clients.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Take the commands that are complete now."""
        previous = self.clients.account.enter(CostCategory.CLIENTS)
        try:
            if not self.is_ending:
                self._note_arrival()
                self._take_commands(data)
            if not self.reader.buffer:
                self.unread_since_us = 0
        finally:
            self.clients.account.leave(previous)

    def _note_arrival(self) -> None:
        """Note when the bytes that were just read came, at the earliest.

        What lay unread may be read in several pieces; a piece that comes later was sent later.
        """
        arrival_us = self.clients.loop_watch.arrival_us()
        if self.unread_since_us and now_us() - self.read_us >= GAP_US:
            self.unread_since_us = 0
        self.read_us = now_us()
        self.arrived_us = min(arrival_us, self.unread_since_us or arrival_us)
        is_old = self.read_us - self.arrived_us >= GAP_US
        self.unread_since_us = self.arrived_us if is_old else 0

    def _take_commands(self, data: bytes) -> None:
        self._enter(ConnectionState.TAKING)
        try:
            for arguments in self.reader.feed(data):
                self._note_command()
                self._take_command(arguments)
            if self.reader.buffer and self.command_due_s is None:
                self._await_command()
        except ProtocolError as error:
            self.clients.metrics.malformed_streams += 1
            self.finish(b"-ERR Protocol error: %b\r\n" % str(error).encode())
        except Exception:
            # An internal fault costs this connection only, which still answers what it owes.
            log.exception("client connection failed")
            self._fail_replies()
            self.finish(INTERNAL_ERROR)
        self._end_taking()
        self.update_reading()

    def _end_taking(self) -> None:
        if self.state is not ConnectionState.TAKING:
            return
        if self.replies:
            self._enter(ConnectionState.ANSWERING)
        else:
            self._become_idle()

    def _become_idle(self) -> None:
        self._enter(ConnectionState.IDLE)
        self.clients.connection_idle(self)

    def _take_command(self, arguments: list[bytes]) -> None:
        reply = Reply(self)
        self.replies.append(reply)
        self.clients.connection_busy(self)
        self.reads_no_more = self.reads_no_more or self.clients.reads_no_more
        name = arguments[0].upper()
        if name == b"PING" and len(arguments) <= 2:
            reply.send(self.clients.answer_ping(arguments[1:]))
            return
        try:
            self.clients.start_request(arguments, reply)
            self.has_sent_request = True
        except CommandError as error:
            self.clients.metrics.malformed_commands += 1
            reply.send(b"-ERR %b\r\n" % str(error).encode())

    def _fail_replies(self) -> None:
        """Answer what is owed with an error."""
        for reply in self._owed_replies():
            self.clients.abandon_request(reply)
            reply.send(FAILED_ANSWER)

    def _owed_replies(self) -> list[Reply]:
        return [reply for reply in self.replies if not reply.is_complete]

    # --- the time in which a command has to come ---

    def _await_command(self) -> None:
        self.command_due_s = self.now_s() + COMMAND_TIMEOUT_S
        self.clients.schedule_sweep()

    def awaiting_since_s(self) -> float | None:
        """Since when a command is awaited; None if none is."""
        if self.command_due_s is None:
            return None
        return self.command_due_s - COMMAND_TIMEOUT_S

    def _note_command(self) -> None:
        since_s = self.awaiting_since_s()
        if since_s is not None:
            self.clients.metrics.partial_waits.note(self.clients.elapsed_us(since_s))
            self.command_due_s = None

    def is_command_overdue(self, now_s: float) -> bool:
        """Whether the time for a command is over, and nothing lies unread."""
        if self.state is not ConnectionState.IDLE or self.command_due_s is None:
            return False
        if now_s < self.command_due_s:
            return False
        # After a long turn of the event loop timers go ahead of what has come meanwhile.
        return not socket_inspection.unread(self.transport)

    def has_unfinished_command(self) -> bool:
        """Whether a command has begun to come, or lies unread at the socket."""
        return bool(self.reader.buffer) or socket_inspection.unread(self.transport)

    # --- answers ---

    def flush(self) -> None:
        """Write what is ready at the head of the answers."""
        previous = self.clients.account.enter(CostCategory.CLIENTS)
        try:
            self._write_ready()
        finally:
            self.clients.account.leave(previous)

    def _write_ready(self) -> None:
        ready = self._take_ready()
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))
            if self.is_write_paused:
                self.measure_unsent()
        if not self.replies:
            self._all_answered()
        self.update_reading()

    def _take_ready(self) -> list[bytes]:
        """Remove and return what may be written now: no answer before those of earlier commands."""
        ready = []
        while self.replies and self.replies[0].data is not None:
            first = self.replies[0]
            ready.append(first.data)
            if not first.is_complete:
                first.data = b""
                break
            self.replies.popleft()
        return ready

    def _all_answered(self) -> None:
        if self.is_ending:
            self.shut()
        elif self.state is not ConnectionState.TAKING:
            self._become_idle()

    def begin_stream(self) -> None:
        """Read no further command until the streamed answer has ended."""
        self._enter(ConnectionState.STREAMING)
        self.update_reading()

    def end_stream(self) -> None:
        """The streamed answer is complete."""
        self._enter(ConnectionState.ANSWERING)

    # --- flow control ---

    def read_no_more(self) -> None:
        """Answer what is owed and read nothing behind it: the client sends that elsewhere."""
        self.reads_no_more = bool(self.replies)
        self.update_reading()

    def update_reading(self) -> None:
        """Read no further ahead than what fits: neither many commands nor answers that nobody reads."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.state is ConnectionState.LINGERING:
            return
        should_read = self._should_read()
        if should_read and not self.is_reading:
            self.clients.metrics.unread_waits.note(self.clients.elapsed_us(self.read_paused_s))
            self.transport.resume_reading()
        elif self.is_reading and not should_read:
            self.read_paused_s = self.now_s()
            self.transport.pause_reading()
            self.clients.schedule_sweep()  # the client's end would not be read meanwhile
        self.is_reading = should_read

    def _should_read(self) -> bool:
        has_room = len(self.replies) < MAX_PIPELINED_COMMANDS and not self.is_write_paused
        return has_room and not self.reads_no_more and self.state is not ConnectionState.STREAMING

    def pause_writing(self) -> None:
        """The client takes less than is written for it."""
        self.is_write_paused = True
        self.write_paused_s = self.now_s()
        self.progress_s = self.write_paused_s
        self.measure_unsent()
        self.update_reading()

    def resume_writing(self) -> None:
        """The client has taken what was written for it."""
        self.is_write_paused = False
        self.clients.metrics.unsent_waits.note(self.clients.elapsed_us(self.write_paused_s))
        self.measure_unsent()
        if self.replies:
            self.replies[0].set_paused(False)
        self.update_reading()

    def must_pause_source(self) -> bool:
        """Whether too much waits for slow clients to read more for this one."""
        return self.clients.backlog.is_over_limit()

    def measure_unsent(self) -> None:
        """Count what waits here for the client among what waits for all of them."""
        unsent_bytes = 0
        if self.transport and self.state is not ConnectionState.LOST:
            blocked_bytes = sum(len(reply.data) for reply in self.replies if reply.data)
            unsent_bytes = self.transport.get_write_buffer_size() + blocked_bytes
        if unsent_bytes < self.unsent_bytes or not self.unsent_bytes:
            self.progress_s = self.now_s()
        self.clients.backlog.unsent_bytes += unsent_bytes - self.unsent_bytes
        self.unsent_bytes = unsent_bytes
        if unsent_bytes:
            self.clients.schedule_sweep()

    def is_swept(self) -> bool:
        """Whether time alone may end it, or let it go on."""
        has_deadline = self.command_due_s is not None or self.state is ConnectionState.LINGERING
        return has_deadline or bool(self.unsent_bytes) or not self.is_reading

    # --- the end, by this side ---

    def finish(self, error_line: bytes) -> None:
        """Send a last answer, then close; what is owed before it is answered first."""
        self._enter(ConnectionState.FINISHING)
        self.replies.append(Reply(self, error_line))
        self.flush()

    def close(self) -> None:
        """Close between requests; ignored where an answer is owed."""
        if self.state is ConnectionState.IDLE and self.transport:
            self.shut()

    def shut(self) -> None:
        """Close once all that was written has reached the client; refused where an answer is owed.

        Where bytes of the client lie unread, the system would answer a close by a reset, and drop what it
        still holds for the client. Then only this side is shut, and what comes is read and dropped until the
        client shuts its own, or LINGER_TIMEOUT_S is over.
        """
        if self.state is ConnectionState.LINGERING:
            return
        if self.transport.is_closing():
            self._enter(ConnectionState.CLOSING)
            return
        if self._refuse_if_owed(CloseReason.BETWEEN_REQUESTS):
            return
        self.clients.metrics.closes[CloseReason.BETWEEN_REQUESTS] += 1
        if not self.transport.get_write_buffer_size() and not socket_inspection.unread(self.transport):
            self._enter(ConnectionState.CLOSING)
            self.transport.close()
        else:
            self._linger()

    def _linger(self) -> None:
        self._enter(ConnectionState.LINGERING)
        self.linger_until_s = self.now_s() + LINGER_TIMEOUT_S
        self.transport.write_eof()
        if not self.is_reading:
            self.is_reading = True
            self.transport.resume_reading()
        self.clients.schedule_sweep()

    def end_linger(self, now_s: float) -> None:
        """Close a lingering connection whose client has not ended it in time after all was written."""
        if self.transport.get_write_buffer_size():
            self.linger_until_s = now_s + LINGER_TIMEOUT_S
        elif now_s >= self.linger_until_s:
            self._enter(ConnectionState.CLOSING)
            self.transport.close()

    def break_off(self) -> None:
        """Close at once over an answer that cannot be completed."""
        self._enter(ConnectionState.CLOSING)
        self._refuse_if_owed(CloseReason.VALUE_BROKE)
        self.clients.metrics.closes[CloseReason.VALUE_BROKE] += 1
        self.abort()

    def _refuse_if_owed(self, reason: CloseReason) -> bool:
        """Count the close as a broken rule if answers are owed here; whether they are."""
        owed = self._owed_replies()
        for reply in owed:
            self.clients.guard.refuse(Refusal.ANSWER_OWED, reply.request_id or "", f"close={reason.value}")
        return bool(owed)

    def abort(self) -> None:
        """Close at once; `connection_lost` follows in the next turn of the event loop."""
        if self.transport:
            self.transport.abort()

    # --- the end, by the client ---

    def eof_received(self) -> None:
        """The client has gone: the loop writes what is left for it, and only then tells of the loss."""
        self.leave()

    def end_if_left(self) -> bool:
        """Close if the client has left, also where its end was not read yet; whether it has."""
        if self.transport is None:
            return False
        if not self.transport.is_closing() and not socket_inspection.left(self.transport):
            return False
        self.clients.metrics.closes[CloseReason.CLIENT_LEFT] += 1
        self.leave()
        self.abort()
        return True

    def leave(self) -> None:
        """Give up what is owed here: nobody waits for it."""
        self._enter(ConnectionState.CLIENT_LEFT)
        replies = list(self.replies)
        self.replies.clear()
        for reply in replies:
            if not reply.is_complete:
                self.clients.abandon_request(reply)

    def connection_lost(self, error: Exception | None) -> None:
        """The event loop has let go of the connection, closed by either side."""
        self._enter(ConnectionState.LOST)
        self.leave()
        self.measure_unsent()
        self.clients.connection_closed(self)
