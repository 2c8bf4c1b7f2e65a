"""Fixtures of the registry's tests."""

from pathlib import Path

import pytest


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "list.db"
