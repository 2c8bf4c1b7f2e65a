"""When an agent may show its list after its start: the cache may lack what was shown last."""

import asyncio
import time
from collections.abc import Callable

from orchidhatch.control.registry.replication import Replicator

READY_WITHIN_S = 1.0  # how long a watch waits for a registry's list, after the start
READY_CHECK_INTERVAL_S = 0.01


class ReadinessGate:
    """Delays the watches that begin before a registry has answered, or every one has failed to."""

    def __init__(self, replicator: Replicator, is_ready: bool) -> None:
        self.is_ready = is_ready
        self._replicator = replicator
        self._delayed: list[Callable[[], None]] = []

    def when_ready(self, begin: Callable[[], None]) -> None:
        """Call this now, or once the list may be shown."""
        if self.is_ready:
            begin()
        else:
            self._delayed.append(begin)

    async def wait(self) -> None:
        """Until a list was received, every registry was contacted, or READY_WITHIN_S has passed."""
        until_s = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until_s and not self._has_contacted_all():
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        self.is_ready = True
        delayed = self._delayed
        self._delayed = []
        for begin in delayed:
            begin()

    def _has_contacted_all(self) -> bool:
        replicator = self._replicator
        return replicator.connected or replicator.upstream_switches >= len(replicator.upstreams)
