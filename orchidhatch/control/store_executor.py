"""Runs blocking work on a store's file in a thread, one function at a time."""

import asyncio
from collections.abc import Callable, Sequence


class StoreExecutor:
    """Runs work on one store's file. The holder of `lock` has exclusive use of the file."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self._current_work: asyncio.Future[None] | None = None

    async def run(self, work: Callable[[], None]) -> None:
        """Run work in a thread after earlier work has finished. Exceptions of the work propagate.

        A thread cannot be cancelled, so the work continues if the caller is cancelled.
        """
        async with self.lock:
            self._current_work = asyncio.ensure_future(asyncio.to_thread(work))
            await asyncio.shield(self._current_work)

    def pending_work(self) -> Sequence[asyncio.Future[None]]:
        """Return the work that may still use the file; wait for it before closing the file."""
        return [self._current_work] if self._current_work else []
