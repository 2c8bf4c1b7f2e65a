"""The connections to one backend: dialling, reuse, and the attempts that wait for one."""

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
from orchidhatch.proxy.wait_queues import WaitHistogram

log = logging.getLogger(__name__)

REUSE_DELAY_US = 50_000
"""A malformed reply may be followed by another, late one, which must not meet the next command."""


class PoolOwner(Protocol):
    """What the pools of all backends share."""

    account: CpuAccounting
    guard: Guard
    idle_limit: IdleLimit
    tally: Counter[str]
    connect_waits: WaitHistogram
    connect_timeout_s: float
    read_buffer: memoryview
    sends: int
    held: int
    no_room: int
    banned: set[str]
    idle_pools: dict["BackendPool", None]

    def may_open(self) -> bool:
        """Whether a socket is free for one more connection."""

    def must_read_list_events_first(self, attempt: Attempt) -> bool:
        """Whether an attempt has to wait a turn of the event loop for unread endpoint list events."""

    def note_local_failure(self, error: OSError, server: str) -> None:
        """A dial failed for a reason on this machine."""

    def schedule_sweep(self) -> None:
        """Idle connections are to be closed in a while."""

    def spawn(self, job: Coroutine[None, None, None]) -> None:
        """Run a task of the backends."""


class BackendPool:
    """The connections to one backend, and the attempts that wait for one to come up."""

    def __init__(self, owner: PoolOwner, name: str, address: Address) -> None:
        self.owner = owner
        self.name = name
        self.address = address
        self.is_up = True
        """Whether the endpoint list says that it takes new attempts."""
        self.connections: set[BackendConnection] = set()
        self.idle_connections: list[BackendConnection] = []
        """By when they were used last, so that spare ones grow old."""
        self.waiting_attempts: deque[Attempt] = deque()
        self.connecting = 0
        self.last_received_us = 0

    def accepts_new_attempts(self) -> bool:
        """Whether anything new may go there, by the endpoint list and by the operators."""
        return self.is_up and self.name not in self.owner.banned

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on an idle connection, or dial one for it."""
        attempt.pool = self
        connection = self.take_reusable_connection()
        if connection:
            self.dispatch(connection, attempt)
            return
        if not self.owner.may_open():
            self.owner.no_room += 1
            attempt.finish(AttemptResult.LOCAL_FAILURE)
            return
        self.waiting_attempts.append(attempt)
        self._open_connection()

    def dispatch(self, connection: BackendConnection, attempt: Attempt) -> None:
        """Send an attempt now, if that breaks no rule; the only place from which one is sent."""
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
        self.connections.add(connection)  # at once, as the bound counts those that are still connecting
        self.owner.held += 1
        self.owner.spawn(self.connect(connection))

    async def connect(self, connection: BackendConnection) -> None:
        """Open a connection for whoever waits longest, within the connect timeout."""
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
        self.connect_failed(result)

    async def dial(self, connection: BackendConnection) -> None:
        """Connect once. Raises OSError."""
        connection.failed_locally = False
        await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)

    def fails_locally(self) -> bool:
        """Whether dials fail now for a reason on this machine, which says nothing of the backend."""
        return any(connection.failed_locally for connection in self.connections)

    def connect_failed(self, result: AttemptResult = AttemptResult.CONNECT_FAILED) -> None:
        """One connection fewer comes up than attempts wait for: one goes on an idle one, or ends so."""
        self._drop_ended_attempts()
        if len(self.waiting_attempts) <= self.connecting:
            return
        if self.owner.must_read_list_events_first(self.waiting_attempts[0]):
            asyncio.get_running_loop().call_soon(self.connect_failed, result)
            return
        attempt = self.waiting_attempts.popleft()
        connection = self.take_reusable_connection()
        if connection:
            self.dispatch(connection, attempt)
        else:
            attempt.finish(result)

    def connection_ready(self, connection: BackendConnection) -> None:
        """Give a new connection to the attempt that waits longest; keep others for a while."""
        if not connection.is_usable():
            self.connect_failed()  # a backend that is full accepts a connection and closes it at once
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
        """End the attempts at the head of the queue that must not be started any more."""
        while self.waiting_attempts:
            first = self.waiting_attempts[0]
            if not first.has_ended and not first.start_window_has_passed():
                return
            self.waiting_attempts.popleft().finish(AttemptResult.CONNECT_FAILED)

    # --- idle connections ---

    def take_reusable_connection(self) -> BackendConnection | None:
        """The idle connection used last of those on which no other command's reply can come any more."""
        now = now_us()
        self.close_idle(now - self.owner.idle_limit.us)
        for connection in reversed(self.idle_connections):
            if connection.use_count and connection.idle_since_us > now - REUSE_DELAY_US:
                continue
            self.idle_connections.remove(connection)
            self._note_idle_connections()
            if connection.is_usable() and not socket_inspection.spoken(connection.transport):
                return connection
            connection.abort()  # closed by the other side, or with bytes on it that nobody asked for
        return None

    def return_to_pool(self, connection: BackendConnection) -> None:
        """Keep a connection with nothing on it for a while, if anything new may go there."""
        if self.accepts_new_attempts():
            connection.idle_since_us = now_us()
            self.idle_connections.append(connection)
            self.owner.idle_pools[self] = None
            self.owner.schedule_sweep()
        else:
            connection.close()

    def discard(self, connection: BackendConnection) -> None:
        """Forget a connection that is closed, or about to be."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.held -= 1
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
        self._note_idle_connections()

    def _note_idle_connections(self) -> None:
        """Forget among the pools with idle connections that this one has none left."""
        if not self.idle_connections:
            self.owner.idle_pools.pop(self, None)

    def suspect_idle_connections(self, since_us: int) -> None:
        """Close what is idle where nothing was received since: the machine may have vanished.

        Connections to it stay open and silent, and are reset when it is back; the next request on one
        would end as a reset, which an unsafe class cannot repeat.
        """
        if self.last_received_us < since_us:
            self.owner.tally["doubted"] += len(self.idle_connections)
            self.close_idle()

    def close_idle(self, before_us: int | None = None) -> None:
        """Close the idle connections, or those that have been idle since before a time."""
        while self.idle_connections:
            if before_us is not None and self.idle_connections[0].idle_since_us >= before_us:
                break
            self.idle_connections.pop(0).close()
        self._note_idle_connections()

    def drain(self) -> None:
        """Stop anything new: neither on idle connections nor on those that still come up."""
        self.close_idle()
        waiting = self.waiting_attempts
        self.waiting_attempts = deque()
        for attempt in waiting:
            attempt.finish(AttemptResult.LOCAL_FAILURE)
