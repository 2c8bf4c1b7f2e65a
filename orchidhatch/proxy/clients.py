"""The set of client connections: bounded in number, kept by use, and drained."""

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
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.reply import Reply
from orchidhatch.proxy.send_backlog import SendBacklog

DRAINING_ERROR = b"-ERR takes no new clients\r\n"
TOO_MANY_CLIENTS_ERROR = b"-ERR max number of clients reached\r\n"


class Clients:
    """All client connections.

    `take` starts a request from a command's arguments, `gone` ends one whose client has left.
    """

    def __init__(
        self,
        max_connections: int,
        start_request: Callable[[list[bytes], Reply], None],
        abandon_request: Callable[[Reply], None],
        account: CpuAccounting | None = None,
        guard: Guard | None = None,
        loop_watch: LoopWatch | None = None,
    ) -> None:
        self.max_connections = max_connections
        self.start_request = start_request
        self.abandon_request = abandon_request
        self.account = account or CpuAccounting()
        self.guard = guard or Guard()
        self.loop_watch = loop_watch or LoopWatch()
        self.clock: Callable[[], float] = time.monotonic
        self.metrics = ClientMetrics()
        self.backlog = SendBacklog()
        self.handover_peer_connections = 0
        """Connections of the other process of this gateway, during a handover."""
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}
        """Those between requests; the one idle longest first."""
        self.idle_without_request: dict[ClientConnection, None] = {}
        """The same for those that have sent no request yet."""
        self.accepts_clients = True
        """What PING is answered by."""
        self.ping_rejected = asyncio.Event()
        """PING was answered that no new clients are accepted."""
        self.is_draining = False
        self.reads_no_more = False
        self.all_closed = asyncio.Event()
        self.sweeper = ClientSweeper(self, self.connections)

    def elapsed_us(self, since_s: float) -> int:
        """The microseconds since a time of the clock."""
        return round((self.clock() - since_s) * 1e6)

    def create_connection(self) -> ClientConnection:
        """Return the protocol of a connection that was just accepted."""
        return ClientConnection(self)

    # --- connections open, rest and close ---

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection, or close it or another one for want of room."""
        self.connections.add(connection)
        if len(self.connections) + self.handover_peer_connections > self.max_connections:
            self.make_room(connection)
        if not connection.is_ending:
            self._add_idle(connection)

    def make_room(self, newest: ClientConnection | None) -> None:
        """Close one for a new one: first of those that have sent requests.

        The first request on a connection may come late, and would be lost with it; a client that has been
        served sends one that crosses the close again.
        """
        self.metrics.evictions += 1
        for connection in [*self.idle, *self.idle_without_request]:
            if connection is not newest and not connection.has_unfinished_command():
                self.connection_busy(connection)
                connection.close()
                return
        newest.finish(TOO_MANY_CLIENTS_ERROR)

    def connection_busy(self, connection: ClientConnection) -> None:
        """An answer is owed on the connection."""
        self.idle.pop(connection, None)
        self.idle_without_request.pop(connection, None)

    def connection_idle(self, connection: ClientConnection) -> None:
        """All that was read on the connection is answered: close it in a drain, else let it rest."""
        if connection.reads_no_more or (self.is_draining and not connection.has_unfinished_command()):
            connection.close()
        else:
            self._add_idle(connection)

    def _add_idle(self, connection: ClientConnection) -> None:
        idle = self.idle if connection.has_sent_request else self.idle_without_request
        idle[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self.connections.discard(connection)
        self.connection_busy(connection)
        if not self.connections:
            self.all_closed.set()

    def answer_ping(self, arguments: list[bytes]) -> bytes:
        """The answer to PING: an error while no new clients are accepted, else the argument or PONG."""
        if not self.accepts_clients:
            self.ping_rejected.set()
            return DRAINING_ERROR
        if not arguments:
            return b"+PONG\r\n"
        return b"$%d\r\n%b\r\n" % (len(arguments[0]), arguments[0])

    def schedule_sweep(self) -> None:
        """See soon what time alone ends or lets go on."""
        self.sweeper.schedule()

    # --- drain and end ---

    def drain(self) -> None:
        """Close what is idle, and what becomes so; a command that has begun to come is awaited."""
        self.is_draining = True
        for connection in [*self.idle, *self.idle_without_request]:
            if not connection.has_unfinished_command():
                connection.close()

    def read_no_more(self) -> None:
        """Drain, and read nothing behind what is owed now, or behind the next command that comes."""
        self.drain()
        self.reads_no_more = True
        for connection in self.connections:
            connection.read_no_more()

    def undo_drain(self) -> None:
        """Accept clients again; connections that were to close do so."""
        self.accepts_clients = True
        self.is_draining = False
        self.reads_no_more = False
        self.ping_rejected.clear()

    async def wait_closed(self, timeout_s: float) -> bool:
        """Wait for the last connection to end, for `timeout_s` at most; whether it has."""
        if self.connections:
            self.all_closed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.all_closed.wait(), timeout_s)
        return not self.connections

    def close(self) -> None:
        """Close all connections, whatever is owed on them."""
        for connection in list(self.connections):
            self.metrics.closes[CloseReason.PROCESS_ENDS] += 1
            connection.abort()
