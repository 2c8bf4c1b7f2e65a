"""A client connection: processes commands and sends their answers in the order of the commands."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.arrival_times import ArrivalTimes
from orchidhatch.proxy.client_metrics import ClientMetrics
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.command_input import CommandInput
from orchidhatch.proxy.command_parser import CommandError
from orchidhatch.proxy.command_reader import CommandReader
from orchidhatch.proxy.connection_state import ENDING_STATES, TRANSITIONS, CloseReason, ConnectionState
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.guards import Guard, Refusal
from orchidhatch.proxy.input_scheduler import MAX_SLICE_COMMANDS, MAX_SLICE_US, InputScheduler
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.reply import FAILED_ANSWER, Reply
from orchidhatch.proxy.resp import ProtocolError
from orchidhatch.proxy.send_backlog import SendBacklog
from orchidhatch.proxy.unsent_answers import UnsentAnswers

log = logging.getLogger(__name__)

# Unanswered commands on a connection at which reading pauses.
MAX_PIPELINED_COMMANDS = 16
# Unsent bytes of a connection above which its client counts as slow.
WRITE_BUFFER_BYTES = 16 * 1024
# How long the client may take to close its side after this side was closed.
LINGER_TIMEOUT_S = 1.0
# How long a client may read nothing while bytes wait for it.
SEND_STALL_TIMEOUT_S = 30.0
# How long after its client's close a request may still be sent, less the way to the backend.
MAX_HIDDEN_CLOSE_S = 0.09
COMMAND_REFUSED = b"-BUSY\r\n"
INTERNAL_ERROR = b"-ERR internal error\r\n"
INCOMPLETE_COMMAND_ERROR = b"-ERR the command is incomplete and the process ends\r\n"


class ConnectionOwner(Protocol):
    """The set of client connections that a connection belongs to, with the state that all of them share."""

    account: CpuAccounting
    guard: Guard
    metrics: ClientMetrics
    backlog: SendBacklog
    loop_watch: LoopWatch
    read_buffer: memoryview
    input_scheduler: InputScheduler
    clock: Callable[[], float]
    start_request: Callable[[list[bytes], Reply], None]
    abandon_request: Callable[[Reply], None]
    is_reading_stopped: bool
    max_partial_command_bytes: int
    partial_command_bytes: int

    def elapsed_us(self, since_s: float) -> int:
        """Return the microseconds since a time of `clock`."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Add a connection; at the connection limit, close it or an idle one."""

    def connection_idle(self, connection: "ClientConnection") -> None:
        """Handle that all commands read on the connection are answered."""

    def connection_busy(self, connection: "ClientConnection") -> None:
        """Handle that the connection has an unanswered command."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Remove a connection."""

    def answer_ping(self, arguments: list[bytes]) -> bytes:
        """Return the answer to PING with these arguments."""

    def schedule_sweep(self) -> None:
        """Schedule a check for connections to be closed or resumed on a time limit."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client connection; `TRANSITIONS` lists the changes of its state.

    Commands are processed in slices, and only while few are unanswered. Input that is not processed yet is
    kept, and no more is read until it is.

    Four flags are independent of the state: whether the transport reads (`is_reading`), whether its write
    buffer is full (`is_write_paused`), whether a drain has permanently stopped reading
    (`is_reading_stopped`), and whether the client has sent a request (`has_sent_request`). Times in seconds
    are of the owner's clock.
    """

    def __init__(self, clients: ConnectionOwner) -> None:
        self.clients = clients
        self.state = ConnectionState.IDLE
        self.input = CommandInput(clients)
        self.is_in_slice = False
        """Whether commands are being processed; the flow control is updated after the last one."""
        self.replies: deque[Reply] = deque()
        self.transport: asyncio.Transport | None = None
        self.is_reading = True
        self.is_write_paused = False
        self.is_reading_stopped = False
        self.has_sent_request = False
        self.unsent = UnsentAnswers(clients.backlog)
        self.read_paused_s = 0.0
        self.write_paused_s = 0.0
        self.linger_until_s = 0.0
        self.lingering_bytes = 0
        """Bytes that waited for the client when a lingering connection was last checked."""
        self.arrivals = ArrivalTimes(clients.loop_watch)

    @property
    def is_ending(self) -> bool:
        """Whether no further command is processed."""
        return self.state in ENDING_STATES

    @property
    def arrived_us(self) -> int:
        """The earliest time at which the last read bytes may have arrived, in microseconds of `now_us`."""
        return self.arrivals.arrived_us

    @property
    def reader(self) -> CommandReader:
        """The reader of the client's commands."""
        return self.input.reader

    @property
    def has_unprocessed_commands(self) -> bool:
        """Whether commands may be complete that are not processed yet."""
        return self.input.has_commands

    def now_s(self) -> float:
        """Return the time of the owner's clock."""
        return self.clients.clock()

    def _enter(self, state: ConnectionState) -> None:
        """Change to `state` if TRANSITIONS allows it, else keep the current state."""
        if state in TRANSITIONS[self.state]:
            self.state = state

    # --- commands ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the new connection and wait for its first command."""
        self.transport = transport
        self.arrivals.note_accept()
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.input.await_command()
        self.clients.connection_opened(self)

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return the buffer for the next read, which all client connections share."""
        return self.clients.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Handle the `size` bytes that were read into the buffer."""
        self.data_received(bytes(self.clients.read_buffer[:size]))

    def data_received(self, data: bytes) -> None:
        """Process the first commands that are complete now, unless this turn has lasted too long."""
        previous = self.clients.account.enter(CostCategory.CLIENTS)
        try:
            if self.is_ending:
                return
            self.arrivals.note_read()
            self.input.append(data)
            self._enter(ConnectionState.PROCESSING)
            if self.clients.input_scheduler.is_turn_over() and self.input.reader.may_have_command():
                self.clients.input_scheduler.add_first(self)
                self.update_reading()
            else:
                self._process_slice()
            if not self.input.reader.buffer:
                self.arrivals.note_commands_complete()
        finally:
            self.input.count()
            self.clients.account.leave(previous)

    def process_waiting_input(self) -> int:
        """Process a slice of the input that waits; return how many commands were processed."""
        if self.is_ending or self.close_if_client_left():
            return 0
        self._enter(ConnectionState.PROCESSING)
        count = self._process_slice()
        self.input.count()
        return count

    def _process_slice(self) -> int:
        """Process some of the complete commands; return how many."""
        count = 0
        self.is_in_slice = True
        try:
            count = self._process_commands()
            if self.input.reader.buffer and self.input.exceeds_memory():
                self.clients.metrics.refused_commands += 1
                self.finish(COMMAND_REFUSED)  # the incomplete command has not run anywhere
        except ProtocolError as error:
            self.clients.metrics.malformed_streams += 1
            self.finish(b"-ERR Protocol error: %b\r\n" % str(error).encode())
        except Exception:
            # An internal error ends only this connection, after all its commands are answered.
            log.exception("client connection failed")
            self._fail_replies()
            self.finish(INTERNAL_ERROR)
        finally:
            self.is_in_slice = False
        self._finish_processing()
        self.update_reading()
        return count

    def _process_commands(self) -> int:
        """Process up to MAX_SLICE_COMMANDS commands, in MAX_SLICE_US, as far as there is room for answers."""
        count = 0
        until_us = 0
        while self.input.has_commands and count < MAX_SLICE_COMMANDS and self._has_room():
            arguments = self.input.next_command()
            if arguments is None:
                break
            count += 1
            if arguments:
                self._process_command(arguments)
            if not self.input.has_commands:
                break
            now = now_us()
            until_us = until_us or now + MAX_SLICE_US
            if now >= until_us:
                break
        return count

    def _finish_processing(self) -> None:
        if self.state is not ConnectionState.PROCESSING:
            return
        if self.replies:
            self._enter(ConnectionState.ANSWERING)
        elif not self.input.has_commands:
            self._become_idle()

    def _become_idle(self) -> None:
        self._enter(ConnectionState.IDLE)
        self.clients.connection_idle(self)

    def _process_command(self, arguments: list[bytes]) -> None:
        reply = Reply(self)
        self.replies.append(reply)
        self.clients.connection_busy(self)
        self.is_reading_stopped = self.is_reading_stopped or self.clients.is_reading_stopped
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
        """Answer all unanswered commands with an error."""
        for reply in self._unanswered_replies():
            self.clients.abandon_request(reply)
            reply.send(FAILED_ANSWER)

    def _unanswered_replies(self) -> list[Reply]:
        return [reply for reply in self.replies if not reply.is_complete]

    # --- command timeout ---

    def is_command_overdue(self, now_s: float) -> bool:
        """Return whether the command timeout has passed and the socket has no unread bytes."""
        if self.state is not ConnectionState.IDLE or not self.input.is_command_overdue(now_s):
            return False
        # After a stall of the event loop, timers run before bytes that arrived meanwhile are read.
        return not socket_inspection.has_unread_bytes(self.transport)

    def has_unfinished_command(self) -> bool:
        """Return whether a command was read in part, or bytes are unread at the socket."""
        return bool(self.input) or socket_inspection.has_unread_bytes(self.transport)

    # --- answers ---

    def flush(self) -> None:
        """Write the answers that are ready and next in order."""
        previous = self.clients.account.enter(CostCategory.CLIENTS)
        try:
            self._write_ready()
        finally:
            self.clients.account.leave(previous)

    def _write_ready(self) -> None:
        """Hand answers to the transport in order, piece by piece, until its write buffer is full."""
        while self.replies and self._write_pieces(self.replies[0]):
            self.replies.popleft()
        if self.is_write_paused or self.unsent.queued_bytes or self.unsent.memory_bytes:
            self.update_unsent_bytes()
        if not self.replies:
            self._handle_all_answered()
        elif not self.is_write_paused and not self.replies[0].pieces:
            self.replies[0].set_paused(False)  # its client has read all there was, so it goes on at any limit
        if not self.is_reading:
            self.update_reading()

    def _write_pieces(self, reply: Reply) -> bool:
        """Write the answer's pieces while the client reads; return whether the answer is fully written."""
        is_closing = self.transport.is_closing()
        while reply.pieces:
            if self.is_write_paused and not is_closing:
                return False
            piece = reply.pieces.pop()
            self.unsent.note_written(len(piece))
            if not is_closing:
                reply.has_begun = True
                self.transport.write(piece)
        return reply.is_complete

    def _handle_all_answered(self) -> None:
        if self.is_ending:
            self.close_gracefully()
        elif self.input.has_commands:
            self._enter(ConnectionState.PROCESSING)
        elif self.state is not ConnectionState.PROCESSING:
            self._become_idle()

    def begin_stream(self) -> None:
        """Pause reading commands until the streamed answer has ended."""
        self._enter(ConnectionState.STREAMING)
        self.update_reading()

    def end_stream(self) -> None:
        """Resume reading commands, unless another answer is streamed."""
        if not any(reply.is_streaming() for reply in self.replies):
            self._enter(ConnectionState.ANSWERING)

    # --- flow control ---

    def stop_reading(self) -> None:
        """Stop reading if commands are unanswered; the client sends later commands to another gateway."""
        self.is_reading_stopped = bool(self.replies)
        self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading by the number of unanswered commands and the state of the write buffer.

        Input that is not processed yet goes first, when there is room for its answers.
        """
        if self.is_in_slice or self.transport is None or self.transport.is_closing():
            return
        if self.input.has_commands and self._has_room() and not self.is_ending:
            self.clients.input_scheduler.add(self)
        should_read = self._should_read()
        if should_read == self.is_reading or self.state is ConnectionState.LINGERING:
            return
        if should_read:
            self.clients.metrics.unread_waits.note(self.clients.elapsed_us(self.read_paused_s))
            self.transport.resume_reading()
        else:
            self.read_paused_s = self.now_s()
            self.transport.pause_reading()
            self.clients.schedule_sweep()  # detects a disconnect, which is not read while paused
        self.is_reading = should_read

    def _should_read(self) -> bool:
        return self._has_room() and not self.is_reading_stopped and not self.input.has_commands

    def _has_room(self) -> bool:
        """Return whether a further command can be processed."""
        is_open = self.state is not ConnectionState.STREAMING and not self.is_write_paused
        return is_open and len(self.replies) < MAX_PIPELINED_COMMANDS

    def pause_writing(self) -> None:
        """Pause reading commands, as the client reads too slowly and the write buffer is full."""
        self.is_write_paused = True
        self.write_paused_s = self.now_s()
        self.unsent.last_progress_s = self.write_paused_s
        self.update_unsent_bytes()
        self.update_reading()

    def resume_writing(self) -> None:
        """Continue to write, stream and read, as the write buffer has drained."""
        self.is_write_paused = False
        self.unsent.last_progress_s = self.now_s()
        self.clients.metrics.unsent_waits.note(self.clients.elapsed_us(self.write_paused_s))
        self.update_unsent_bytes()
        self.flush()

    def must_pause_source(self) -> bool:
        """Return whether too many bytes wait for slow clients to read more of a streamed answer."""
        return self.clients.backlog.is_over_limit()

    def update_unsent_bytes(self) -> None:
        """Measure the bytes not yet sent to the client and update the backlog of all clients."""
        if self.transport is None or self.state is ConnectionState.LOST:
            self.unsent.discard()
            return
        self.unsent.measure(self.transport.get_write_buffer_size(), self.now_s())
        if self.unsent.memory_bytes:
            self.clients.schedule_sweep()

    def is_awaiting_client(self) -> bool:
        """Return whether bytes wait for the client to read, and no streamed answer is incomplete."""
        return self.unsent.is_awaiting_client() and not any(reply.is_streaming() for reply in self.replies)

    def may_need_sweep(self) -> bool:
        """Return whether a time limit may close the connection or resume it."""
        has_deadline = self.input.command_deadline_s is not None or self.state is ConnectionState.LINGERING
        return has_deadline or bool(self.unsent.memory_bytes) or not self.is_reading

    # --- close by the gateway ---

    def finish(self, error_line: bytes) -> None:
        """Send a final error line behind all earlier answers, then close."""
        self._enter(ConnectionState.FINISHING)
        self.input.clear()  # no further command is processed
        self.replies.append(Reply(self, error_line))
        self.flush()

    def close(self) -> None:
        """Close an idle connection; ignored if a command is unanswered."""
        if self.state is ConnectionState.IDLE and self.transport:
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Close once all written data has reached the client; refused if a command is unanswered.

        If bytes from the client are unread at a close, or arrive after it, the kernel resets the connection
        and discards the data that it has not yet sent. So with unread or unsent bytes only the sending side
        is closed, and further input is read and discarded until the client closes its side or
        LINGER_TIMEOUT_S has passed.
        """
        if self.state is ConnectionState.LINGERING:
            return
        if self.transport.is_closing():
            self._enter(ConnectionState.CLOSING)
            return
        if self._refuse_if_unanswered(CloseReason.BETWEEN_REQUESTS):
            return
        self.clients.metrics.closes[CloseReason.BETWEEN_REQUESTS] += 1
        if not self._bytes_to_deliver() and not socket_inspection.has_unread_bytes(self.transport):
            self._enter(ConnectionState.CLOSING)
            self.transport.close()
        else:
            self._linger()

    def _linger(self) -> None:
        self._enter(ConnectionState.LINGERING)
        self.linger_until_s = self.now_s() + LINGER_TIMEOUT_S
        self.unsent.last_progress_s = self.now_s()
        self.transport.write_eof()
        if not self.is_reading:
            self.is_reading = True
            self.transport.resume_reading()
        self.clients.schedule_sweep()

    def end_linger(self, now_s: float) -> None:
        """Close a lingering connection if its client has not closed it within LINGER_TIMEOUT_S.

        The timeout starts once all data is sent, or the client has read none of it for SEND_STALL_TIMEOUT_S.
        """
        bytes_to_deliver = self._bytes_to_deliver()
        if bytes_to_deliver != self.lingering_bytes:
            self.lingering_bytes = bytes_to_deliver
            self.unsent.last_progress_s = now_s
        if bytes_to_deliver and now_s - self.unsent.last_progress_s < SEND_STALL_TIMEOUT_S:
            self.linger_until_s = now_s + LINGER_TIMEOUT_S
        elif now_s >= self.linger_until_s:
            self._enter(ConnectionState.CLOSING)
            self.transport.close()

    def _bytes_to_deliver(self) -> int:
        """Return how many written bytes the client's machine has no room for yet."""
        return self.transport.get_write_buffer_size() + socket_inspection.unsent_bytes(self.transport)

    def abort_stream(self) -> None:
        """Close, as a streamed answer of which a part was written cannot be completed.

        Earlier answers are delivered first: a reset would discard what the client has not received of them.
        """
        self._refuse_if_unanswered(CloseReason.VALUE_BROKE)
        self.clients.metrics.closes[CloseReason.VALUE_BROKE] += 1
        self._close_behind_sent_bytes()

    def _close_behind_sent_bytes(self) -> None:
        """Close without the answers that were not written, but deliver the bytes that were."""
        if self._bytes_to_deliver():
            self._drop_replies()
            self._linger()
        else:
            self._enter(ConnectionState.CLOSING)
            self.abort()

    def close_before_kill(self) -> None:
        """Close if a command is incomplete, or unread behind an answer that cannot be completed in time.

        The client sends such a command on a new connection once this one is closed; SIGKILL would lose it,
        and as it is unread, would reset the connection: that discards earlier answers which the kernel has
        not sent. The answer that is cut here would be cut by SIGKILL.
        """
        if self.is_ending:
            return
        if self.state is ConnectionState.IDLE and self.input:
            self.finish(INCOMPLETE_COMMAND_ERROR)
        elif self._waits_for_only_answer() and socket_inspection.has_unread_bytes(self.transport):
            self.clients.metrics.closes[CloseReason.PROCESS_ENDS] += 1
            self._close_behind_sent_bytes()

    def _waits_for_only_answer(self) -> bool:
        """Return whether one answer is left, and no error line can take its place."""
        if len(self.replies) != 1:
            return False
        return self.replies[0].has_begun or self.replies[0].is_complete

    def _refuse_if_unanswered(self, reason: CloseReason) -> bool:
        """Have the guard count the close for each unanswered command; return whether there are any."""
        unanswered = self._unanswered_replies()
        for reply in unanswered:
            self.clients.guard.refuse(Refusal.ANSWER_OWED, reply.request_id or "", f"close={reason.value}")
        return bool(unanswered)

    def abort(self) -> None:
        """Close at once; `connection_lost` is called in the next iteration of the event loop."""
        if self.transport:
            self.transport.abort()

    # --- close by the client ---

    def eof_received(self) -> None:
        """Abandon all answers now, as the loop reports the loss only after it has written all data."""
        self.abandon_replies()

    def close_if_client_left(self) -> bool:
        """Close if the client has disconnected, even if that is still unread; return whether it has."""
        if self.transport is None:
            return False
        if not self.transport.is_closing() and not socket_inspection.has_peer_closed(self.transport):
            return False
        self.clients.metrics.closes[CloseReason.CLIENT_LEFT] += 1
        self.abandon_replies()
        self.abort()
        return True

    def may_hide_departure(self) -> bool:
        """Return whether a disconnect may have waited behind unread input for MAX_HIDDEN_CLOSE_S."""
        if self.now_s() - self.read_paused_s < MAX_HIDDEN_CLOSE_S:
            return False
        return socket_inspection.may_hide_close(self.transport)

    def abandon_replies(self) -> None:
        """Discard all answers and end the requests behind them, as the client has disconnected."""
        self._enter(ConnectionState.CLIENT_LEFT)
        self.input.clear()
        self._drop_replies()

    def _drop_replies(self) -> None:
        replies = list(self.replies)
        self.replies.clear()
        self.unsent.queued_bytes = 0
        for reply in replies:
            if not reply.is_complete:
                self.clients.abandon_request(reply)

    def connection_lost(self, error: Exception | None) -> None:
        """Release the connection after either side has closed it."""
        self._enter(ConnectionState.LOST)
        self.abandon_replies()
        self.update_unsent_bytes()
        self.clients.connection_closed(self)
