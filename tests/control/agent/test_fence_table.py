"""The fences that an agent has seen: never lower, also after a restart."""

import sqlite3
from collections.abc import Callable
from pathlib import Path

import pytest

from orchidhatch.control.agent import fence_table
from orchidhatch.control.agent.cache_database import CacheDatabase
from orchidhatch.control.agent.fence_table import FenceTable, StaleCallError
from orchidhatch.control.ownership.objects import Fence


async def run_directly(work: Callable[[], None]) -> None:
    work()


@pytest.fixture
def connection(tmp_path: Path) -> sqlite3.Connection:
    return sqlite3.connect(tmp_path / "cache.db", isolation_level=None)


@pytest.fixture
def database(connection: sqlite3.Connection) -> CacheDatabase:
    return CacheDatabase(connection, run_directly)


async def test_check_rejects_an_older_epoch_or_call(database: CacheDatabase) -> None:
    table = FenceTable(database)
    await table.record(Fence("x", 5), "backends/s-1", 7)
    table.check(Fence("x", 5), "backends/s-1", 7)
    table.check(Fence("x", 6), "backends/s-1", 8)
    table.check(Fence("y", 1), "backends/s-2", 1)
    with pytest.raises(StaleCallError, match="claim x is at epoch 5 here, not 4"):
        table.check(Fence("x", 4), "backends/s-1", 8)
    with pytest.raises(StaleCallError, match="act 6 on backends/s-1 comes after 7"):
        table.check(Fence("x", 5), "backends/s-1", 6)


async def test_fences_keep_the_highest_values(database: CacheDatabase) -> None:
    """Also where lower ones are recorded, and over a restart."""
    table = FenceTable(database)
    assert not table.initialized
    await table.initialize({"x": 3})
    await table.record(Fence("x", 5), "backends/s-1", 7)
    await table.record(Fence("x", 4), "backends/s-1", 6)
    reopened = FenceTable(database)
    assert reopened.initialized
    assert (reopened.epochs, reopened.call_numbers) == ({"x": 5}, {"backends/s-1": 7})


async def test_fences_stay_unchanged_if_the_disk_fails(
    database: CacheDatabase, connection: sqlite3.Connection
) -> None:
    table = FenceTable(database)
    await table.record(Fence("x", 5), "backends/s-1", 7)
    connection.execute("PRAGMA query_only = 1")
    with pytest.raises(sqlite3.Error):
        await table.initialize({"x": 9})
    assert not table.initialized and table.epochs == {"x": 5} and not connection.in_transaction


async def test_table_is_full_at_its_limit(database: CacheDatabase, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fence_table, "MAX_CLAIMS_AND_SUBJECTS", 2)
    table = FenceTable(database)
    assert not table.is_full()
    await table.record(Fence("x", 5), "backends/s-1", 7)
    assert table.is_full()
