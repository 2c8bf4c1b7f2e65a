"""The registry's checks of all leases."""

import asyncio
import logging
from pathlib import Path

import pytest

from tests.control.registry.helpers import serving


async def test_lease_checks_go_on_after_one_that_failed(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async with serving(tmp_path / "r.db") as registry:
        checks = 0

        def check() -> None:
            nonlocal checks
            checks += 1
            raise ValueError("odd")

        check.__qualname__ = "check"
        task = asyncio.create_task(registry._check_forever(check))
        while checks < 2:
            await asyncio.sleep(0.005)
        task.cancel()
    assert any(record.levelno == logging.ERROR for record in caplog.records)
