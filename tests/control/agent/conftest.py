"""What all tests of the agent share."""

import pytest

from orchidhatch.control.registry import replication


@pytest.fixture(autouse=True)
def fast_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Retry a watch after milliseconds."""
    monkeypatch.setattr(replication, "INITIAL_BACKOFF_S", 0.01)
    monkeypatch.setattr(replication, "MAX_BACKOFF_S", 0.02)
