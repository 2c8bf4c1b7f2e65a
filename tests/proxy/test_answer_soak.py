"""A short soak of answers and restarts; a long one is run by `python -m tests.proxy.answer_soak`."""

from pathlib import Path

import pytest

from tests.proxy.answer_soak import Soak

SECONDS = 8.0
PERIOD_S = 3.0


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_every_command_is_answered_in_bounded_memory(seed: int, tmp_path: Path) -> None:
    soak = Soak(seed, tmp_path / "soak")
    soak.folder.mkdir()
    await soak.run(SECONDS, PERIOD_S)
    assert soak.counts["answers"] > 0 and soak.counts["gateways"] > 1
    assert soak.violations == []
