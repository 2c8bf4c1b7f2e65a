"""What of a replicated endpoint list has to be on disk before it is shown to others."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

from orchidhatch.control.errors import StoreError
from orchidhatch.control.http_server import EndpointListServer
from orchidhatch.control.registry.batch import Batch

log = logging.getLogger("orchidhatch.replication")

CATCH_UP_INTERVAL_S = 1.0
"""How often at most the whole list is written again to a disk that failed."""
MAX_RANDOM_SKIP = 1000
"""Generations that are skipped at random, at most, where the wall clock is behind them."""


class ListPersistence(Protocol):
    """How a replica keeps its list on disk."""

    @property
    def is_behind(self) -> bool:
        """Whether the file lacks some of the list that is shown."""

    async def commit(self, batch: Batch) -> bool:
        """Called before a batch is published: whether it may be. Raises StoreError where its writes may not.

        Where it may not be, its writes are to be planned anew, as generations have moved on.
        """

    async def catch_up(self) -> None:
        """Called from time to time, after what was committed has been published."""


class DurableList:
    """Everything is durable before it is shown, as by a registry that may be promoted."""

    is_behind = False

    def __init__(self, server: EndpointListServer) -> None:
        self._server = server

    async def commit(self, batch: Batch) -> bool:
        """Make the batch durable, in a thread: heartbeats go on while the disk is slow."""
        await self._server.store_executor.run(lambda: self._server.store.commit(batch))
        return True

    async def catch_up(self) -> None:
        """There is nothing to catch up on."""


class CachedList:
    """What is received is shown though the disk fails: the file is a cache of what the registries have.

    After a failed commit the file lacks a change, and later ones do not fit it. So nothing is committed until
    the whole list could be written anew.
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
        self._tried_s = -CATCH_UP_INTERVAL_S
        # Whether the process before this one may have shown more than the file has.
        self._may_lag = bool(server.store.entries)
        self.is_behind = False
        self.failures = 0

    async def commit(self, batch: Batch) -> bool:
        """Try to make the batch durable."""
        if self._may_lag and batch.changed:
            self._may_lag = False
            self._skip_generations()
            return False
        if self.is_behind:
            return True
        try:
            await self._server.store_executor.run(lambda: self._server.store.commit(batch))
        except StoreError as error:
            self._fall_behind(error)
            return False
        return True

    def _fall_behind(self, error: StoreError) -> None:
        """From now on changes are shown that the file does not have."""
        self.failures += 1
        self._tried_s = self._clock()
        self._skip_generations()
        log.error("cache not written, the list goes on in memory: error=%s", error)

    def _skip_generations(self) -> None:
        """Go on above all generations that another process may show or have shown.

        One that goes on from the same file does this at its first change, and lists change less often than
        the wall clock's milliseconds pass. Where that was stepped back, chance keeps the two apart, and a
        watch that names a generation from the future is sent the whole list.
        """
        self.is_behind = True
        store = self._server.store
        now_ms = self._wall_clock_ms()
        random_skip = store.generation + 1 + self._server.random.randrange(MAX_RANDOM_SKIP)
        store.skip_generations(now_ms if now_ms > store.generation else random_skip)

    async def catch_up(self) -> None:
        """Write the whole list where the file lacks some of it, not more often than CATCH_UP_INTERVAL_S."""
        if not self.is_behind or self._clock() - self._tried_s < CATCH_UP_INTERVAL_S:
            return
        self._tried_s = self._clock()
        try:
            await self._server.store_executor.run(self._server.store.rewrite)
        except StoreError:
            self.failures += 1
            return
        self.is_behind = False
        log.info("cache written again: generation=%d", self._server.store.generation)
