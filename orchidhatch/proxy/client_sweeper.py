"""Ends client connections whose time is over, and lets paused answers go on."""

import asyncio
import logging
from collections.abc import Iterable

from orchidhatch.proxy.client_connection import ClientConnection, ConnectionOwner
from orchidhatch.proxy.connection_state import CloseReason, ConnectionState
from orchidhatch.proxy.cpu_accounting import CostCategory

log = logging.getLogger(__name__)

IDLE_SWEEP_INTERVAL_S = 0.1
# How long a client may take nothing of what waits for it.
SEND_STALL_TIMEOUT_S = 30.0
COMMAND_TIMEOUT_ERROR = b"-ERR no whole command came in time\r\n"


class ClientSweeper:
    """Looks at all connections each IDLE_SWEEP_INTERVAL_S, while time alone may change any of them."""

    def __init__(self, clients: ConnectionOwner, connections: Iterable[ClientConnection]) -> None:
        """`connections` is the owner's set, which changes."""
        self.clients = clients
        self.connections = connections
        self.is_scheduled = False

    def schedule(self) -> None:
        """Sweep after the interval, if no sweep is due."""
        if self.is_scheduled:
            return
        self.is_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(IDLE_SWEEP_INTERVAL_S, self.clients.account.run, CostCategory.CLIENTS, self.sweep)

    def sweep(self) -> None:
        """Look at all connections now, and again later if any may need it."""
        self.is_scheduled = False
        now_s = self.clients.clock()
        self._end_left()
        self._end_overdue(now_s)
        self._end_lingering(now_s)
        self._resume_sources()
        self._shed_slow_readers(now_s)
        if any(connection.is_swept() for connection in self.connections):
            self.schedule()

    def _end_left(self) -> None:
        """Close the connections that are not read from and whose clients have left."""
        for connection in [one for one in self.connections if not one.is_reading]:
            connection.end_if_left()

    def _end_overdue(self, now_s: float) -> None:
        """Close the connections on which no complete command came in time."""
        for connection in [one for one in self.connections if one.is_command_overdue(now_s)]:
            self.clients.metrics.command_timeouts += 1
            if connection.reader.buffer:
                connection.finish(COMMAND_TIMEOUT_ERROR)
            else:
                connection.close()  # an error line could be taken for the answer to what comes late

    def _end_lingering(self, now_s: float) -> None:
        for connection in [one for one in self.connections if one.state is ConnectionState.LINGERING]:
            connection.end_linger(now_s)

    def _resume_sources(self) -> None:
        """Measure anew what waits; where there is room, go on with the values that were paused."""
        for connection in self.connections:
            if connection.unsent_bytes:
                connection.measure_unsent()
        for connection in self.connections:
            for reply in connection.replies:
                if reply.is_paused and not self.clients.backlog.is_over_limit():
                    reply.set_paused(False)

    def _shed_slow_readers(self, now_s: float) -> None:
        """Close clients that take nothing of what waits for them, for long or while too much waits for all.

        A streamed value has a time limit of its own, as its backend may be what does not move.
        """
        backlog = self.clients.backlog
        for connection in self._slow_readers():
            stalled_s = now_s - connection.progress_s
            is_over_limit = backlog.unsent_bytes > backlog.shed_limit_bytes()
            if stalled_s < SEND_STALL_TIMEOUT_S and not is_over_limit:
                break
            self._shed(connection, stalled_s)

    def _slow_readers(self) -> list[ClientConnection]:
        """Connections for which something waits and no value is streamed; the one stalled longest first."""
        waiting = [
            connection
            for connection in self.connections
            if connection.unsent_bytes and not any(reply.source for reply in connection.replies)
        ]
        return sorted(waiting, key=lambda connection: connection.progress_s)

    def _shed(self, connection: ClientConnection, stalled_s: float) -> None:
        log.warning(
            "client connection closed: reason=%s unsent_bytes=%d stalled_s=%.1f",
            CloseReason.READS_NOTHING.value,
            connection.unsent_bytes,
            stalled_s,
        )
        self.clients.metrics.slow_readers += 1
        self.clients.metrics.closes[CloseReason.READS_NOTHING] += 1
        connection.abort()
        self.clients.backlog.unsent_bytes -= connection.unsent_bytes
        connection.unsent_bytes = 0
