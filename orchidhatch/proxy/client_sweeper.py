"""Closes client connections that exceed a time limit, and resumes paused answers."""

import asyncio
import logging
from collections.abc import Iterable

from orchidhatch.proxy.client_connection import SEND_STALL_TIMEOUT_S, ClientConnection, ConnectionOwner
from orchidhatch.proxy.connection_state import CloseReason, ConnectionState
from orchidhatch.proxy.cpu_accounting import CostCategory

log = logging.getLogger(__name__)

IDLE_SWEEP_INTERVAL_S = 0.1
COMMAND_TIMEOUT_ERROR = b"-ERR no whole command came in time\r\n"


class ClientSweeper:
    """Checks all connections every IDLE_SWEEP_INTERVAL_S while a time limit applies to any of them."""

    def __init__(self, clients: ConnectionOwner, connections: Iterable[ClientConnection]) -> None:
        """Create a sweeper; `connections` is the owner's live set."""
        self.clients = clients
        self.connections = connections
        self.is_scheduled = False

    def schedule(self) -> None:
        """Schedule a sweep after the interval, unless one is scheduled."""
        if self.is_scheduled:
            return
        self.is_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(IDLE_SWEEP_INTERVAL_S, self.clients.account.run, CostCategory.CLIENTS, self.sweep)

    def sweep(self) -> None:
        """Check all connections now, and schedule another sweep if any may need one."""
        self.is_scheduled = False
        now_s = self.clients.clock()
        self._close_disconnected()
        self._close_overdue(now_s)
        self._close_lingering(now_s)
        self._resume_sources()
        self._close_slow_readers(now_s)
        if any(connection.may_need_sweep() for connection in self.connections):
            self.schedule()

    def _close_disconnected(self) -> None:
        """Close the connections whose clients have disconnected while reading was paused."""
        for connection in [one for one in self.connections if not one.is_reading]:
            connection.close_if_client_left()

    def _close_overdue(self, now_s: float) -> None:
        """Close the connections on which no complete command arrived in time."""
        for connection in [one for one in self.connections if one.is_command_overdue(now_s)]:
            self.clients.metrics.command_timeouts += 1
            if connection.reader.buffer:
                connection.finish(COMMAND_TIMEOUT_ERROR)
            else:
                connection.close()  # a late command's client could take an error line for its answer

    def _close_lingering(self, now_s: float) -> None:
        for connection in [one for one in self.connections if one.state is ConnectionState.LINGERING]:
            connection.end_linger(now_s)

    def _resume_sources(self) -> None:
        """Measure the unsent bytes again and resume paused answers while the backlog allows."""
        for connection in self.connections:
            if connection.unsent.memory_bytes:
                connection.update_unsent_bytes()
        self.clients.backlog.resume_waiting()
        for connection in self.connections:
            for reply in connection.replies:
                if reply.is_paused and not self.clients.backlog.is_over_limit():
                    reply.set_paused(False)

    def _close_slow_readers(self, now_s: float) -> None:
        """Close the slowest clients: stalled too long, or while the backlog is too large.

        Streamed values are excluded: they have their own time limit, as their backend may be what stalls.
        """
        backlog = self.clients.backlog
        for connection in self._slow_readers():
            stalled_s = now_s - connection.unsent.last_progress_s
            is_over_limit = backlog.unsent_bytes > backlog.shed_limit_bytes()
            if stalled_s < SEND_STALL_TIMEOUT_S and not is_over_limit:
                break
            self._close_slow_reader(connection, stalled_s)

    def _slow_readers(self) -> list[ClientConnection]:
        """Return the connections with unsent bytes and no streamed answer, the one stalled longest first."""
        waiting = [connection for connection in self.connections if connection.is_awaiting_client()]
        return sorted(waiting, key=lambda connection: connection.unsent.last_progress_s)

    def _close_slow_reader(self, connection: ClientConnection, stalled_s: float) -> None:
        log.warning(
            "client connection closed: reason=%s unsent_bytes=%d stalled_s=%.1f",
            CloseReason.READS_NOTHING.value,
            connection.unsent.memory_bytes,
            stalled_s,
        )
        self.clients.metrics.slow_readers += 1
        self.clients.metrics.closes[CloseReason.READS_NOTHING] += 1
        connection.abort()
        connection.unsent.discard()
