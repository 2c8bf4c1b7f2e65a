"""What all tests of the controller share."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path

import pytest

from orchidhatch.control.registry.service import Registry
from tests.control.registry.helpers import serving


@pytest.fixture
def running_registry(tmp_path: Path) -> Callable[[], AbstractAsyncContextManager[Registry]]:
    """Starts a registry with a new store."""
    return lambda: serving(tmp_path / "registry.db")
