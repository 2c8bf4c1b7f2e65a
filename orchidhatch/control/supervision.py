"""Loops that run as long as their process: an unexpected error of one step is logged and ends no loop.

A task that ends over an exception is not seen by anybody until it is garbage-collected, while what depends
on it has stopped.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger("orchidhatch.supervision")


async def repeat(name: str, interval_s: float, step: Callable[[], Awaitable[None] | None]) -> None:
    """Take a step at intervals until cancelled, whatever a step raises."""
    while True:
        await asyncio.sleep(interval_s)
        try:
            pending = step()
            if pending is not None:
                await pending
        except Exception:
            log.exception("step failed: loop=%s", name)


def log_end(task: asyncio.Task[None]) -> None:
    """A callback for tasks that are to run until cancelled: one that fails is logged at once."""
    if task.cancelled():
        return
    if error := task.exception():
        log.critical("task ended: task=%s", task.get_name(), exc_info=error)
