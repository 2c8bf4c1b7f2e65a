"""The write pipeline: queue, group commit, acknowledgement.

Writes that are queued while a batch is written to disk form the next batch. A write is acknowledged once it
is durable and a recent check of the peers' terms has shown that this registry was not replaced. Watches are
notified after that.
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
MAX_BATCH_WRITES = 500  # writes in one transaction


class QueuedWrite(NamedTuple):
    """A write and the connection that waits for its outcome; None for a write of the registry itself."""

    write: Write
    connection: Connection | None

    @property
    def is_awaited(self) -> bool:
        """Whether the write is still to be carried out: its client, if any, has not disconnected."""
        return self.connection is None or not self.connection.is_closing

    def acknowledge(self, outcome: Outcome | ControlError) -> None:
        """Send the outcome to the client, if there is one."""
        if self.connection is None:
            return
        if isinstance(outcome, ControlError):
            self.connection.answer(error_response(outcome))
        else:
            self.connection.answer(Response(200, outcome_value(outcome)))


class WriteObserver(Protocol):
    """A service that derives state from writes. It is notified before the clients are answered."""

    def batch_written(self, writes: Sequence[QueuedWrite], outcomes: Sequence[Outcome]) -> None:
        """Handle a durable batch; a write whose outcome is a ConflictError was rejected."""

    def batch_failed(self, writes: Sequence[QueuedWrite]) -> None:
        """Handle a batch of which no write was made durable."""


class WritePipeline:
    """The queue of writes and the loop that writes them in batches.

    `last_write_error` is the error of the last batch; None if it was written.
    """

    def __init__(
        self,
        store: Store,
        access: WriteAccess,
        peer_terms: PeerTermGuard,
        run_serialized: Callable[[Callable[[], None]], Awaitable[None]],
        broadcast: Callable[[], None],
    ) -> None:
        self.observers: list[WriteObserver] = []
        self.last_write_error: StoreError | None = None
        self.rejected_writes = 0  # the queue was full, or the client had disconnected
        self.batches = 0
        self.writes = 0
        self.commit_s = 0.0
        self.longest_commit_s = 0.0
        self._store = store
        self._access = access
        self._peer_terms = peer_terms
        self._run_serialized = run_serialized
        self._broadcast = broadcast
        self._queue: deque[QueuedWrite] = deque()
        self._has_queued_writes = asyncio.Event()

    @property
    def queued(self) -> int:
        """The number of queued writes."""
        return len(self._queue)

    # --- queue ---

    def enqueue(self, write: Write, connection: Connection | None) -> None:
        """Queue a write, whose outcome is sent to the connection.

        Raises ConflictError if this registry accepts no writes, UnavailableError if the queue is full.
        """
        self._access.check_writable()
        if len(self._queue) >= MAX_QUEUED_WRITES:
            self.rejected_writes += 1
            raise UnavailableError("too many writes wait")
        self._queue.append(QueuedWrite(write, connection))
        self._has_queued_writes.set()

    def enqueue_internal(self, write: Write) -> bool:
        """Queue a write of the registry itself and return whether it was queued."""
        try:
            self.enqueue(write, None)
        except (ConflictError, UnavailableError):
            return False
        return True

    # --- group commit ---

    async def run(self) -> None:
        """Write one batch after another until cancelled."""
        while True:
            await self._has_queued_writes.wait()
            self._has_queued_writes.clear()
            while self._queue:
                queued_writes = self._next_batch()
                if queued_writes:
                    await self._process(queued_writes)

    def _next_batch(self) -> list[QueuedWrite]:
        """Remove the next writes from the queue; those whose clients have disconnected are dropped."""
        count = min(MAX_BATCH_WRITES, len(self._queue))
        dequeued = [self._queue.popleft() for _ in range(count)]
        queued_writes = [queued for queued in dequeued if queued.is_awaited]
        self.rejected_writes += len(dequeued) - len(queued_writes)
        return queued_writes

    async def _process(self, queued_writes: Sequence[QueuedWrite]) -> None:
        """Write a batch. An unexpected error fails only this batch, whose outcome is then unknown."""
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
        """Make a batch durable, then notify the observers, the clients and the watches, in this order."""
        batch = self._store.plan([queued.write for queued in queued_writes])
        if not await self._commit(batch, queued_writes):
            return
        generation = self._store.generation
        self._store.publish(batch)
        for observer in self.observers:
            observer.batch_written(queued_writes, batch.outcomes)
        # The process may have been paused during the commit, and another registry promoted meanwhile.
        if await self._peer_terms.ensure_current():
            for queued, outcome in zip(queued_writes, batch.outcomes, strict=True):
                queued.acknowledge(outcome)
        else:
            self._reject_as_fenced(queued_writes)
        if self._store.generation != generation:
            self._broadcast()

    async def _commit(self, batch: Batch, queued_writes: Sequence[QueuedWrite]) -> bool:
        """Commit the batch and return whether it is durable; if not, all clients have been answered."""
        started_s = time.monotonic()
        try:
            await self._run_serialized(lambda: self._store.commit(batch))
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
            log.error("write failed, reads continue: reason=%s", error)
        self.last_write_error = error
        for queued in queued_writes:
            queued.acknowledge(error)
        for observer in self.observers:
            observer.batch_failed(queued_writes)

    def _reject_as_fenced(self, queued_writes: Sequence[QueuedWrite]) -> None:
        for queued in queued_writes:
            queued.acknowledge(ConflictError(self._peer_terms.fencing_reason()))

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name, without the registry's prefix."""
        return {
            "writes_waiting": self.queued,
            "writes_total": self.writes,
            "batches_total": self.batches,
            "commit_seconds_total": round(self.commit_s, 6),
            "longest_commit_seconds": round(self.longest_commit_s, 6),
        }

    # --- writes that bypass the queue ---

    async def write_aside(self, writes: Sequence[Write]) -> None:
        """Write a replica's own data, which is not part of the replicated list. Raises StoreError."""
        if not writes:
            return
        batches: list[Batch] = []

        def plan_and_commit() -> None:
            """Plan and commit while no other batch can be planned."""
            batch = self._store.plan(writes)
            self._store.commit(batch)
            batches.append(batch)

        await self._run_serialized(plan_and_commit)
        self._store.publish(batches[0])
