"""Delays an agent's watches after its start, as its cache may be older than the list it served last."""

import asyncio
import time
from collections.abc import Callable

from orchidhatch.control.registry.replication import Replicator

READY_WITHIN_S = 1.0  # the longest wait for a registry's list after the start
READY_CHECK_INTERVAL_S = 0.01


class ReadinessGate:
    """Delays watches until a registry has answered, or all registries have failed to."""

    def __init__(self, replicator: Replicator, is_ready: bool) -> None:
        self.is_ready = is_ready
        self._replicator = replicator
        self._delayed: list[Callable[[], None]] = []

    def when_ready(self, begin: Callable[[], None]) -> None:
        """Call `begin` now, or once the list may be served."""
        if self.is_ready:
            begin()
        else:
            self._delayed.append(begin)

    async def wait(self) -> None:
        """Wait until a list was received, every registry was tried, or READY_WITHIN_S has passed."""
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
