"""Decides which changes of a replicated endpoint list must be on disk before they are published."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

from orchidhatch.control.errors import StoreError
from orchidhatch.control.http_server import EndpointListServer
from orchidhatch.control.registry.batch import Batch

log = logging.getLogger("orchidhatch.replication")

CATCH_UP_INTERVAL_S = 1.0
"""The minimum interval between attempts to rewrite the whole list after a disk failure."""
MAX_RANDOM_SKIP = 1000
"""The bound of the random skip of generations that is used if the wall clock is behind the generation."""


class ListPersistence(Protocol):
    """How a replica keeps its list on disk."""

    @property
    def is_behind(self) -> bool:
        """Whether the file lacks changes that were published."""

    async def commit(self, batch: Batch) -> bool:
        """Commit a batch before it is published, and return whether it may be published as planned.

        If not, generations were skipped, and the caller must plan the writes again. Raises StoreError if the
        writes must not be published.
        """

    async def catch_up(self) -> None:
        """Make up for failed commits; called regularly, while all committed batches are published."""


class DurableList:
    """Makes every change durable before it is published, for a registry that may be promoted."""

    is_behind = False

    def __init__(self, server: EndpointListServer) -> None:
        self._server = server

    async def commit(self, batch: Batch) -> bool:
        """Make the batch durable, in a thread so that heartbeats continue while the disk is slow."""
        await self._server.store_executor.run(lambda: self._server.store.commit(batch))
        return True

    async def catch_up(self) -> None:
        """Do nothing, as the file is never behind."""


class CachedList:
    """Publishes changes even if the disk fails, as the file is only a cache of the registries' list.

    After a failed commit the file lacks a change, and later ones cannot be applied to it. So nothing is
    committed until the whole list has been rewritten.
    """

    def __init__(
        self,
        server: EndpointListServer,
        wall_clock_ms: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._server = server
        self._wall_clock_ms = wall_clock_ms
        self._clock = clock
        self._last_attempt_s = -CATCH_UP_INTERVAL_S
        # Whether the previous process may have published changes that the file lacks.
        self._may_be_stale = bool(server.store.entries)
        self.is_behind = False
        self.failures = 0

    async def commit(self, batch: Batch) -> bool:
        """Try to make the batch durable; return False after a failure, as generations were skipped then."""
        if self._may_be_stale and batch.changed:
            self._may_be_stale = False
            self._skip_generations()
            return False
        if self.is_behind:
            return True
        try:
            await self._server.store_executor.run(lambda: self._server.store.commit(batch))
        except StoreError as error:
            self._record_failure(error)
            return False
        return True

    def _record_failure(self, error: StoreError) -> None:
        """Record a failed commit: from now on published changes are missing from the file."""
        self.failures += 1
        self._last_attempt_s = self._clock()
        self._skip_generations()
        log.error("cache write failed, the list is kept in memory: error=%s", error)

    def _skip_generations(self) -> None:
        """Advance above all generations that an earlier or later process on this file may publish.

        Each process that continues from the file does this at its first change. The generation becomes the
        wall clock's milliseconds, which pass faster than lists change. If the clock was set back, a random
        skip keeps the generations of two processes apart, and a watch that names a future generation is sent
        the whole list.
        """
        self.is_behind = True
        store = self._server.store
        now_ms = self._wall_clock_ms()
        random_skip = store.generation + 1 + self._server.random.randrange(MAX_RANDOM_SKIP)
        store.skip_generations(now_ms if now_ms > store.generation else random_skip)

    async def catch_up(self) -> None:
        """Rewrite the whole list if the file lacks changes, at most once per CATCH_UP_INTERVAL_S."""
        if not self.is_behind or self._clock() - self._last_attempt_s < CATCH_UP_INTERVAL_S:
            return
        self._last_attempt_s = self._clock()
        try:
            await self._server.store_executor.run(self._server.store.rewrite)
        except StoreError:
            self.failures += 1
            return
        self.is_behind = False
        log.info("cache rewritten: generation=%d", self._server.store.generation)
