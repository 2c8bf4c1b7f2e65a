"""Loops that nobody watches go on over errors, and tasks that end over one are logged."""

import asyncio

import pytest

from orchidhatch.control.supervision import log_end, repeat

DEEP = "[" * 100_000


class EnoughError(BaseException):
    """Ends a loop that goes on over every error."""


async def test_step_that_fails_does_not_end_its_loop(caplog: pytest.LogCaptureFixture) -> None:
    steps = 0

    async def step() -> None:
        nonlocal steps
        steps += 1
        if steps == 3:
            raise EnoughError
        raise ValueError("odd")

    with pytest.raises(EnoughError):
        await repeat("example", 0.0, step)
    assert caplog.text.count("step failed: loop=example") == 2


async def test_task_that_ends_over_an_error_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def fail() -> None:
        raise ValueError("odd")

    task = asyncio.create_task(fail(), name="example")
    task.add_done_callback(log_end)
    await asyncio.wait([task])
    await asyncio.sleep(0)
    assert "task ended: task=example" in caplog.text
