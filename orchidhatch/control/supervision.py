"""Loops that run until their process ends: an unexpected error in a step is logged and does not end the loop.

Otherwise asyncio reports a failed task only when it is garbage-collected, while its function has stopped.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger("orchidhatch.supervision")


async def repeat(name: str, interval_s: float, step: Callable[[], Awaitable[None] | None]) -> None:
    """Run `step` at intervals until cancelled; an exception in a step is logged."""
    while True:
        await asyncio.sleep(interval_s)
        try:
            pending = step()
            if pending is not None:
                await pending
        except Exception:
            log.exception("step failed: loop=%s", name)


def log_end(task: asyncio.Task[None]) -> None:
    """Log the exception of a task that failed; a done callback of tasks that run until cancelled."""
    if task.cancelled():
        return
    if error := task.exception():
        log.critical("task ended: task=%s", task.get_name(), exc_info=error)
