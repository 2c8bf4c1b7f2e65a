"""The connections to one backend: dialling, reuse, and the attempts that wait for a connection."""

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Coroutine
from typing import Protocol

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.backend_connection import BackendConnection
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.config import Address
from orchidhatch.proxy.cpu_accounting import CpuAccounting
from orchidhatch.proxy.guards import Guard, Refusal
from orchidhatch.proxy.idle_limit import IdleLimit
from orchidhatch.proxy.local_errors import retry_local
from orchidhatch.proxy.send_backlog import SendBacklog
from orchidhatch.proxy.wait_queues import WaitHistogram

log = logging.getLogger(__name__)

REUSE_DELAY_US = 50_000
"""A malformed reply may be followed by further late bytes, which must not be read as the next reply."""


class PoolOwner(Protocol):
    """The state that the pools of all backends share."""

    account: CpuAccounting
    backlog: SendBacklog
    guard: Guard
    idle_limit: IdleLimit
    tally: Counter[str]
    connect_waits: WaitHistogram
    connect_timeout_s: float
    read_buffer: memoryview
    attempts_written: int
    connection_count: int
    attempts_without_socket: int
    ejected: set[str]
    idle_pools: dict["BackendPool", None]

    def may_open(self) -> bool:
        """Return whether one more connection may be opened."""

    def must_read_list_events_first(self, attempt: Attempt) -> bool:
        """Return whether the attempt must wait one event loop turn for unread endpoint list events."""

    def note_local_failure(self, error: OSError, server: str) -> None:
        """Record a dial that failed for a reason on this machine."""

    def schedule_sweep(self) -> None:
        """Schedule the closing of connections that are idle for too long."""

    def spawn(self, job: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, charged to the backends."""


class BackendPool:
    """The connections to one backend, and the attempts that wait for a connection."""

    def __init__(self, owner: PoolOwner, name: str, address: Address) -> None:
        self.owner = owner
        self.name = name
        self.address = address
        self.is_up = True
        """Whether the endpoint list allows new attempts."""
        self.connections: set[BackendConnection] = set()
        self.idle_connections: list[BackendConnection] = []
        """Ordered by last use; the most recent is reused first, so that surplus ones time out."""
        self.waiting_attempts: deque[Attempt] = deque()
        self.connecting = 0
        self.last_received_us = 0

    def accepts_new_attempts(self) -> bool:
        """Return whether the endpoint list and the operators allow new attempts."""
        return self.is_up and self.name not in self.owner.ejected

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on an idle connection, or dial a new one for it."""
        attempt.pool = self
        connection = self.take_reusable_connection()
        if connection:
            self.dispatch(connection, attempt)
            return
        if not self.owner.may_open():
            self.owner.attempts_without_socket += 1
            attempt.finish(AttemptResult.LOCAL_FAILURE)
            return
        self.waiting_attempts.append(attempt)
        self._open_connection()

    def dispatch(self, connection: BackendConnection, attempt: Attempt) -> None:
        """Send the attempt now if all checks pass; attempts are sent from nowhere else."""
        if attempt.has_ended:
            self.return_to_pool(connection)
        elif not self.accepts_new_attempts():
            self.owner.guard.refuse(Refusal.SERVER_LEAVING, attempt.request_id, f"server={self.name}")
            attempt.finish(AttemptResult.LOCAL_FAILURE)
            connection.close()
        elif attempt.is_sendable():
            connection.send(attempt)
        else:
            self.return_to_pool(connection)

    # --- dialling ---

    def _open_connection(self) -> None:
        self.connecting += 1
        self.owner.tally["opened"] += 1
        connection = BackendConnection(self)
        self.connections.add(connection)  # before it is up, as the connection limit includes it
        self.owner.connection_count += 1
        self.owner.spawn(self.connect(connection))

    async def connect(self, connection: BackendConnection) -> None:
        """Dial, within the connect timeout, for the attempt that has waited longest."""
        result = AttemptResult.CONNECT_FAILED

        def failed_locally(error: OSError) -> None:
            connection.failed_locally = True
            self.owner.note_local_failure(error, self.name)

        try:
            async with asyncio.timeout(self.owner.connect_timeout_s):
                await retry_local(lambda: self.dial(connection), asyncio.sleep, failed_locally)
        except (OSError, TimeoutError):
            if connection.failed_locally:
                result = AttemptResult.LOCAL_FAILURE
        except Exception:
            log.exception("dial failed unexpectedly: server=%s", self.name)
            result = AttemptResult.LOCAL_FAILURE
        else:
            self.connecting -= 1
            self.connection_ready(connection)
            return
        self.discard(connection)
        self.connecting -= 1
        self.handle_failed_dial(result)

    async def dial(self, connection: BackendConnection) -> None:
        """Connect once. Raises OSError."""
        connection.failed_locally = False
        await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)

    def fails_locally(self) -> bool:
        """Return whether dials currently fail for a reason on this machine, not the backend's."""
        return any(connection.failed_locally for connection in self.connections)

    def handle_failed_dial(self, result: AttemptResult = AttemptResult.CONNECT_FAILED) -> None:
        """Handle a failed dial: if attempts now outnumber dials, send one on an idle connection or end it.

        `result` is the outcome of an attempt that is ended.
        """
        self._drop_ended_attempts()
        if len(self.waiting_attempts) <= self.connecting:
            return
        if self.owner.must_read_list_events_first(self.waiting_attempts[0]):
            asyncio.get_running_loop().call_soon(self.handle_failed_dial, result)
            return
        attempt = self.waiting_attempts.popleft()
        connection = self.take_reusable_connection()
        if connection:
            self.dispatch(connection, attempt)
        else:
            attempt.finish(result)

    def connection_ready(self, connection: BackendConnection) -> None:
        """Give a new connection to the attempt that has waited longest; keep any other connection as idle."""
        if not connection.is_usable():
            self.handle_failed_dial()  # an overloaded backend may accept a connection and close it at once
            return
        self._drop_ended_attempts()
        if not self.waiting_attempts or connection.use_count:
            self.return_to_pool(connection)
        elif self.owner.must_read_list_events_first(self.waiting_attempts[0]):
            asyncio.get_running_loop().call_soon(self.connection_ready, connection)
        else:
            attempt = self.waiting_attempts.popleft()
            self.owner.connect_waits.note(now_us() - attempt.sent_us)
            self.dispatch(connection, attempt)

    def _drop_ended_attempts(self) -> None:
        """Remove the attempts at the head of the queue that have ended or are too late to be sent."""
        while self.waiting_attempts:
            first = self.waiting_attempts[0]
            if not first.has_ended and not first.is_start_window_over():
                return
            self.waiting_attempts.popleft().finish(AttemptResult.CONNECT_FAILED)

    # --- idle connections ---

    def take_reusable_connection(self) -> BackendConnection | None:
        """Return the most recently used idle connection that can get no late reply, None if there is none."""
        now = now_us()
        self.close_idle(now - self.owner.idle_limit.limit_us)
        for connection in reversed(self.idle_connections):
            if connection.use_count and connection.idle_since_us > now - REUSE_DELAY_US:
                continue
            self.idle_connections.remove(connection)
            self._note_idle_connections()
            if connection.is_usable() and not socket_inspection.has_input_or_close(connection.transport):
                return connection
            connection.abort()  # the backend closed it or sent bytes without a command
        return None

    def return_to_pool(self, connection: BackendConnection) -> None:
        """Keep the connection as idle, or close it if the backend accepts no new attempts."""
        if self.accepts_new_attempts():
            connection.idle_since_us = now_us()
            self.idle_connections.append(connection)
            self.owner.idle_pools[self] = None
            self.owner.schedule_sweep()
        else:
            connection.close()

    def discard(self, connection: BackendConnection) -> None:
        """Remove a connection that is closed or about to be closed."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.connection_count -= 1
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
        self._note_idle_connections()

    def _note_idle_connections(self) -> None:
        """Unregister the pool from `idle_pools` if it has no idle connections left."""
        if not self.idle_connections:
            self.owner.idle_pools.pop(self, None)

    def suspect_idle_connections(self, since_us: int) -> None:
        """Close the idle connections if nothing was received since `since_us`: the machine may be down.

        Connections to a machine that is down stay open and silent, and are reset once it is back. A request
        sent on one of them would end with a reset, and an unsafe request cannot be retried after that.
        """
        if self.last_received_us < since_us:
            self.owner.tally["doubted"] += len(self.idle_connections)
            self.close_idle()

    def close_idle(self, before_us: int | None = None) -> None:
        """Close the idle connections; with `before_us`, only those idle since before that time."""
        while self.idle_connections:
            if before_us is not None and self.idle_connections[0].idle_since_us >= before_us:
                break
            self.idle_connections.pop(0).close()
        self._note_idle_connections()

    def drain(self) -> None:
        """Close the idle connections and end the attempts that wait for a connection."""
        self.close_idle()
        waiting = self.waiting_attempts
        self.waiting_attempts = deque()
        for attempt in waiting:
            attempt.finish(AttemptResult.LOCAL_FAILURE)
