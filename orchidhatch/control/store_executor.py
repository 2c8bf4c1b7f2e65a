"""Work with a store's file, which blocks: in a thread, one piece after another."""

import asyncio
from collections.abc import Callable, Sequence


class StoreExecutor:
    """Runs work with one store's file. Whoever holds `lock` is the only one that uses the file."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self._current_work: asyncio.Future[None] | None = None

    async def run(self, work: Callable[[], None]) -> None:
        """Run work once the work before it is done; what it raises is raised here.

        A thread cannot be cancelled: the work goes on where the caller is cancelled.
        """
        async with self.lock:
            self._current_work = asyncio.ensure_future(asyncio.to_thread(work))
            await asyncio.shield(self._current_work)

    def pending_work(self) -> Sequence[asyncio.Future[None]]:
        """The work that may still be using the file, for whoever closes it."""
        return [self._current_work] if self._current_work else []
