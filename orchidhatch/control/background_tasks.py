"""The asyncio tasks of a server: they run until it closes, and one that fails is logged."""

import asyncio
from collections.abc import Coroutine, Iterable

from orchidhatch.control.supervision import log_end


class BackgroundTasks:
    """The tasks of one server."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start_loops(self, loops: Iterable[Coroutine[None, None, None]]) -> None:
        """Run coroutines until the server closes; one that fails is logged, and not unseen."""
        for loop in loops:
            task = asyncio.get_running_loop().create_task(loop, name=loop.__qualname__)
            task.add_done_callback(log_end)
            self._tasks.append(task)

    def start_for_request(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine for a request that takes a while; it is cancelled when the server closes."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def add(self, tasks: Iterable[asyncio.Task[None]]) -> None:
        """Cancel these tasks, too, when the server closes."""
        self._tasks += tasks

    def cancel(self) -> list[asyncio.Task[None]]:
        """Cancel all tasks; the caller waits for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks
