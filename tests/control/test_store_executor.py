"""Work with a store's file: one piece after another, each to its end."""

import asyncio
import threading

import pytest

from orchidhatch.control.store_executor import StoreExecutor


async def test_work_runs_one_after_another() -> None:
    executor = StoreExecutor()
    release = threading.Event()
    events: list[str] = []

    def first() -> None:
        release.wait()
        events.append("first")

    pending = asyncio.gather(executor.run(first), executor.run(lambda: events.append("second")))
    await asyncio.sleep(0.05)
    events_before = list(events)
    release.set()
    await pending
    assert events_before == []
    assert events == ["first", "second"]


async def test_work_of_a_cancelled_caller_goes_on() -> None:
    executor = StoreExecutor()
    assert list(executor.pending_work()) == []
    release = threading.Event()
    events: list[str] = []

    def work() -> None:
        release.wait()
        events.append("done")

    caller = asyncio.create_task(executor.run(work))
    await asyncio.sleep(0.05)
    caller.cancel()
    with pytest.raises(asyncio.CancelledError):
        await caller
    pending = list(executor.pending_work())
    release.set()
    await asyncio.gather(*pending)
    assert len(pending) == 1
    assert events == ["done"]
