"""The asyncio tasks of a server, which run until it closes; failed loops are logged."""

import asyncio
from collections.abc import Coroutine, Iterable

from orchidhatch.control.supervision import log_end


class BackgroundTasks:
    """The tasks of one server."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start_loops(self, loops: Iterable[Coroutine[None, None, None]]) -> None:
        """Run coroutines as tasks until the server closes. A task that fails is logged at once."""
        for loop in loops:
            task = asyncio.get_running_loop().create_task(loop, name=loop.__qualname__)
            task.add_done_callback(log_end)
            self._tasks.append(task)

    def start_for_request(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine for a long request; it is cancelled when the server closes."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def add(self, tasks: Iterable[asyncio.Task[None]]) -> None:
        """Add tasks to be cancelled when the server closes."""
        self._tasks += tasks

    def cancel(self) -> list[asyncio.Task[None]]:
        """Cancel all tasks and return them, for the caller to wait for."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks
