"""The set of client connections: limits their number, evicts idle ones and drains them."""

import asyncio
import contextlib
import time
from collections.abc import Callable

from orchidhatch.proxy.client_connection import ClientConnection
from orchidhatch.proxy.client_metrics import ClientMetrics
from orchidhatch.proxy.client_sweeper import ClientSweeper
from orchidhatch.proxy.connection_state import CloseReason
from orchidhatch.proxy.cpu_accounting import CpuAccounting
from orchidhatch.proxy.guards import Guard
from orchidhatch.proxy.input_scheduler import InputScheduler
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.memory_budget import MIN_INPUT_BYTES
from orchidhatch.proxy.reply import Reply
from orchidhatch.proxy.send_backlog import SendBacklog

# Bytes per read: as many of each client may wait to be processed, beside an incomplete command.
READ_BUFFER_BYTES = 16 * 1024
DRAINING_ERROR = b"-ERR takes no new clients\r\n"
TOO_MANY_CLIENTS_ERROR = b"-ERR max number of clients reached\r\n"


class Clients:
    """All client connections.

    `start_request` starts a request from a command's arguments; `abandon_request` ends a request whose client
    has disconnected.
    """

    def __init__(
        self,
        max_connections: int,
        start_request: Callable[[list[bytes], Reply], None],
        abandon_request: Callable[[Reply], None],
        account: CpuAccounting | None = None,
        guard: Guard | None = None,
        loop_watch: LoopWatch | None = None,
        backlog: SendBacklog | None = None,
    ) -> None:
        self.max_connections = max_connections
        self.start_request = start_request
        self.abandon_request = abandon_request
        self.account = account or CpuAccounting()
        self.guard = guard or Guard()
        self.loop_watch = loop_watch or LoopWatch()
        self.clock: Callable[[], float] = time.monotonic
        self.metrics = ClientMetrics()
        self.backlog = backlog or SendBacklog()
        self.handover_peer_connections = 0
        """Client connections of the other process of this gateway during a handover."""
        self.max_partial_command_bytes = MIN_INPUT_BYTES
        self.partial_command_bytes = 0
        """Unprocessed bytes of all connections, most of them of incomplete commands."""
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.input_scheduler = InputScheduler(self.account, self.loop_watch)
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}
        """Idle connections that have sent a request; the one idle longest first."""
        self.idle_without_request: dict[ClientConnection, None] = {}
        """Idle connections that have not sent a request; the one idle longest first."""
        self.accepts_clients = True
        """Whether PING is answered positively."""
        self.ping_rejected = asyncio.Event()
        """Set once a PING was answered with DRAINING_ERROR."""
        self.is_draining = False
        self.is_reading_stopped = False
        self.all_closed = asyncio.Event()
        self.sweeper = ClientSweeper(self, self.connections)

    def elapsed_us(self, since_s: float) -> int:
        """Return the microseconds since a time of `clock`."""
        return round((self.clock() - since_s) * 1e6)

    def create_connection(self) -> ClientConnection:
        """Return the protocol object of a newly accepted connection."""
        return ClientConnection(self)

    # --- connection events ---

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection; at the connection limit, close it or an idle one."""
        self.connections.add(connection)
        if len(self.connections) + self.handover_peer_connections > self.max_connections:
            self.make_room(connection)
        if not connection.is_ending:
            self._add_idle(connection)

    def make_room(self, newest: ClientConnection | None) -> None:
        """Close an idle connection to make room for a new one, first among those that have sent a request.

        A first request that crosses the close would be lost, whereas a client that was served before sends a
        request that crosses the close again. Without an idle connection, `newest` gets an error and is
        closed.
        """
        self.metrics.evictions += 1
        for connection in [*self.idle, *self.idle_without_request]:
            if connection is not newest and not connection.has_unfinished_command():
                self.connection_busy(connection)
                connection.close()
                return
        newest.finish(TOO_MANY_CLIENTS_ERROR)

    def connection_busy(self, connection: ClientConnection) -> None:
        """Remove the connection from the idle ones, as it has an unanswered command."""
        self.idle.pop(connection, None)
        self.idle_without_request.pop(connection, None)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Close a connection with all commands answered during a drain, else add it to the idle ones."""
        if connection.is_reading_stopped or (self.is_draining and not connection.has_unfinished_command()):
            connection.close()
        else:
            self._add_idle(connection)

    def _add_idle(self, connection: ClientConnection) -> None:
        idle = self.idle if connection.has_sent_request else self.idle_without_request
        idle[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self.connections.discard(connection)
        self.input_scheduler.discard(connection)
        self.connection_busy(connection)
        if not self.connections:
            self.all_closed.set()

    def answer_ping(self, arguments: list[bytes]) -> bytes:
        """Return the answer to PING: an error if new clients are not accepted, else the argument or PONG."""
        if not self.accepts_clients:
            self.ping_rejected.set()
            return DRAINING_ERROR
        if not arguments:
            return b"+PONG\r\n"
        return b"$%d\r\n%b\r\n" % (len(arguments[0]), arguments[0])

    def schedule_sweep(self) -> None:
        """Schedule a check for connections to be closed or resumed on a time limit."""
        self.sweeper.schedule()

    # --- drain and close ---

    def drain(self) -> None:
        """Close all idle connections and each that becomes idle; partly received commands are awaited."""
        self.is_draining = True
        for connection in [*self.idle, *self.idle_without_request]:
            if not connection.has_unfinished_command():
                connection.close()

    def stop_reading(self) -> None:
        """Drain, and stop reading on each connection after its unanswered commands or its next command."""
        self.drain()
        self.is_reading_stopped = True
        for connection in self.connections:
            connection.stop_reading()

    def close_before_kill(self) -> None:
        """Close the connections on which SIGKILL would find an unread command, as the process ends."""
        for connection in list(self.connections):
            connection.close_before_kill()

    def undo_drain(self) -> None:
        """Accept clients again; connections on which reading has stopped still close."""
        self.accepts_clients = True
        self.is_draining = False
        self.is_reading_stopped = False
        self.ping_rejected.clear()

    async def wait_closed(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s` until all connections are closed; return whether they are."""
        if self.connections:
            self.all_closed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.all_closed.wait(), timeout_s)
        return not self.connections

    def close(self) -> None:
        """Close all connections at once, even with unanswered commands."""
        for connection in list(self.connections):
            self.metrics.closes[CloseReason.PROCESS_ENDS] += 1
            connection.abort()
