"""The way of a write: queue, group commit, acknowledgement.

What is queued while one batch is being written to disk is the next batch. A write is acknowledged once it is
durable and the peers' terms are known to allow it; watches are sent each change after that.
"""

import asyncio
import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from orchidhatch.control.errors import ConflictError, ControlError, StoreError, UnavailableError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response, error_response
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.store import Batch, Outcome, Store, Write
from orchidhatch.control.registry.write_access import WriteAccess
from orchidhatch.control.responses import outcome_value

log = logging.getLogger("orchidhatch.registry")

MAX_QUEUED_WRITES = 1_000
MAX_BATCH_WRITES = 500  # that go to disk together


class QueuedWrite(NamedTuple):
    """A write, and the connection that waits for its outcome; None for a write of the registry itself."""

    write: Write
    connection: Connection | None

    @property
    def is_awaited(self) -> bool:
        """Whether the client still waits for it."""
        return self.connection is None or not self.connection.is_closing

    def acknowledge(self, outcome: Outcome | ControlError) -> None:
        """Answer the client, if there is one."""
        if self.connection is None:
            return
        if isinstance(outcome, ControlError):
            self.connection.answer(error_response(outcome))
        else:
            self.connection.answer(Response(200, outcome_value(outcome)))


class WriteObserver(Protocol):
    """A service that keeps state about what was written. It is notified before clients are answered."""

    def batch_written(self, writes: Sequence[QueuedWrite], outcomes: Sequence[Outcome]) -> None:
        """These writes are durable, or were rejected: an outcome that is a ConflictError."""

    def batch_failed(self, writes: Sequence[QueuedWrite]) -> None:
        """None of these writes is durable."""


class WritePipeline:
    """The queue of writes and its writer.

    `last_write_error` is why the last batch could not be written, None when it was.
    """

    def __init__(
        self,
        store: Store,
        access: WriteAccess,
        peer_terms: PeerTermGuard,
        run_in_turn: Callable[[Callable[[], None]], Awaitable[None]],
        broadcast: Callable[[], None],
    ) -> None:
        self.observers: list[WriteObserver] = []
        self.last_write_error: StoreError | None = None
        self.rejected_writes = 0  # over the queue's limit, or because their clients had gone
        self.batches = 0
        self.writes = 0
        self.commit_s = 0.0
        self.longest_commit_s = 0.0
        self._store = store
        self._access = access
        self._peer_terms = peer_terms
        self._run_in_turn = run_in_turn
        self._broadcast = broadcast
        self._queue: deque[QueuedWrite] = deque()
        self._is_queued = asyncio.Event()

    @property
    def queued(self) -> int:
        """The number of writes that wait."""
        return len(self._queue)

    # --- queue ---

    def enqueue(self, write: Write, connection: Connection | None) -> None:
        """Queue a write; the connection is answered with its outcome. Raises ConflictError where no writes
        are taken, UnavailableError where too many wait.
        """
        self._access.check_writable()
        if len(self._queue) >= MAX_QUEUED_WRITES:
            self.rejected_writes += 1
            raise UnavailableError("too many writes wait")
        self._queue.append(QueuedWrite(write, connection))
        self._is_queued.set()

    def enqueue_internal(self, write: Write) -> bool:
        """Queue a write of the registry itself; whether it is queued."""
        try:
            self.enqueue(write, None)
        except (ConflictError, UnavailableError):
            return False
        return True

    # --- group commit ---

    async def run(self) -> None:
        """Write one batch after another until cancelled."""
        while True:
            await self._is_queued.wait()
            self._is_queued.clear()
            while self._queue:
                queued_writes = self._next_batch()
                if queued_writes:
                    await self._process(queued_writes)

    def _next_batch(self) -> list[QueuedWrite]:
        """The next writes, without those whose clients have gone: they are not carried out."""
        count = min(MAX_BATCH_WRITES, len(self._queue))
        taken = [self._queue.popleft() for _ in range(count)]
        queued_writes = [queued for queued in taken if queued.is_awaited]
        self.rejected_writes += len(taken) - len(queued_writes)
        return queued_writes

    async def _process(self, queued_writes: Sequence[QueuedWrite]) -> None:
        """Write a batch; an unexpected error fails its writes, whose outcome is unknown, and no others."""
        try:
            await self._write_if_current(queued_writes)
        except Exception as error:
            log.exception("batch failed: writes=%d", len(queued_writes))
            self._fail(StoreError(f"unexpected error: {error}"), queued_writes)

    async def _write_if_current(self, queued_writes: Sequence[QueuedWrite]) -> None:
        if await self._peer_terms.ensure_current():
            await self.write_batch(queued_writes)
        else:
            self._reject_as_fenced(queued_writes)
            for observer in self.observers:
                observer.batch_failed(queued_writes)

    async def write_batch(self, queued_writes: Sequence[QueuedWrite]) -> None:
        """Make a batch durable, tell the observers, then the clients, then the watches."""
        batch = self._store.plan([queued.write for queued in queued_writes])
        if not await self._commit(batch, queued_writes):
            return
        generation = self._store.generation
        self._store.publish(batch)
        for observer in self.observers:
            observer.batch_written(queued_writes, batch.outcomes)
        # It may have stood still on the way to the disk.
        if await self._peer_terms.ensure_current():
            for queued, outcome in zip(queued_writes, batch.outcomes, strict=True):
                queued.acknowledge(outcome)
        else:
            self._reject_as_fenced(queued_writes)
        if self._store.generation != generation:
            self._broadcast()

    async def _commit(self, batch: Batch, queued_writes: Sequence[QueuedWrite]) -> bool:
        """Whether the batch is durable; otherwise all were answered."""
        started_s = time.monotonic()
        try:
            await self._run_in_turn(lambda: self._store.commit(batch))
        except StoreError as error:
            self._fail(error, queued_writes)
            return False
        duration_s = time.monotonic() - started_s
        self.last_write_error = None
        self.batches += 1
        self.writes += len(batch.changed)
        self.commit_s += duration_s
        self.longest_commit_s = max(self.longest_commit_s, duration_s)
        return True

    def _fail(self, error: StoreError, queued_writes: Sequence[QueuedWrite]) -> None:
        if self.last_write_error is None:
            log.error("write failed, reads go on: reason=%s", error)
        self.last_write_error = error
        for queued in queued_writes:
            queued.acknowledge(error)
        for observer in self.observers:
            observer.batch_failed(queued_writes)

    def _reject_as_fenced(self, queued_writes: Sequence[QueuedWrite]) -> None:
        for queued in queued_writes:
            queued.acknowledge(ConflictError(self._peer_terms.fenced_text()))

    def metrics(self) -> dict[str, float]:
        """Metrics by name, without the registry's prefix."""
        return {
            "writes_waiting": self.queued,
            "writes_total": self.writes,
            "batches_total": self.batches,
            "commit_seconds_total": round(self.commit_s, 6),
            "longest_commit_seconds": round(self.longest_commit_s, 6),
        }

    # --- writes beside the queue ---

    async def write_aside(self, writes: Sequence[Write]) -> None:
        """Write what a replica keeps for itself, beside what it replicates. Raises StoreError."""
        if not writes:
            return
        batches: list[Batch] = []

        def plan_and_commit() -> None:
            """Plan in its turn, as nothing else is planned meanwhile."""
            batch = self._store.plan(writes)
            self._store.commit(batch)
            batches.append(batch)

        await self._run_in_turn(plan_and_commit)
        self._store.publish(batches[0])
