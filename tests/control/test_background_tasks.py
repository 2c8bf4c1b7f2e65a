"""The tasks of a server."""

import asyncio

import pytest

from orchidhatch.control.background_tasks import BackgroundTasks


async def test_ended_task_of_a_request_is_forgotten() -> None:
    tasks = BackgroundTasks()
    tasks.start_for_request(asyncio.sleep(0))
    [running] = tasks.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    await asyncio.sleep(0)
    assert tasks.cancel() == []


async def test_loops_and_added_tasks_are_cancelled() -> None:
    tasks = BackgroundTasks()
    tasks.start_loops([asyncio.sleep(3600)])
    tasks.add([asyncio.create_task(asyncio.sleep(3600))])
    outcomes = await asyncio.gather(*tasks.cancel(), return_exceptions=True)
    assert [type(outcome) for outcome in outcomes] == [asyncio.CancelledError] * 2
