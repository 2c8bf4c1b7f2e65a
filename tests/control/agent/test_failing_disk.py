"""The agent's disk fails: its cache is no source of truth, and the endpoint list goes on without it."""

import json
import sqlite3
from pathlib import Path

import pytest

from orchidhatch.control.agent.service import Agent, open_cache
from orchidhatch.control.errors import StoreError
from orchidhatch.control.registry import list_persistence, replication
from tests.control.agent.helpers import register_endpoint, running_agent, until
from tests.control.registry.helpers import Watcher, address_of, lifecycles_by_id, serving
from tests.control.test_schemas import body
from tests.sockets import HOST


def fail_writes(agent: Agent, failing: bool) -> None:
    """As on a disk without room: nothing can be written to the cache."""
    agent.store.db.execute(f"PRAGMA query_only = {int(failing)}")


async def test_changes_are_passed_on_while_the_disk_fails(tmp_path: Path) -> None:
    async with serving(tmp_path / "r.db") as registry:
        await register_endpoint(registry, "first")
        async with running_agent(tmp_path / "a.db", address_of(registry)) as agent:
            await until(lambda: agent.replicator.connected)
            watcher = await Watcher.open(address_of(agent))
            known = lifecycles_by_id(await watcher.next_event())
            fail_writes(agent, failing=True)
            for number in range(20):
                await register_endpoint(registry, f"s-{number}")
            while len(known) < 21:
                known |= lifecycles_by_id(await watcher.next_event())
            assert agent.replicator.upstream_switches == 0


async def test_cache_is_rewritten_once_the_disk_works(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(list_persistence, "CATCH_UP_INTERVAL_S", 0.0)
    async with (
        serving(tmp_path / "r.db") as registry,
        running_agent(tmp_path / "a.db", address_of(registry)) as agent,
    ):
        await until(lambda: agent.replicator.connected)
        fail_writes(agent, failing=True)
        await register_endpoint(registry, "s-1")
        await register_endpoint(registry, "s-2")
        await until(lambda: agent.cached_list.is_behind and len(agent.store.entries) == 2)
        assert "agent_cache_behind 1" in agent.metrics_text()
        fail_writes(agent, failing=False)
        await register_endpoint(registry, "s-3")
        await until(lambda: not agent.cached_list.is_behind)
        await register_endpoint(registry, "s-4")  # what follows is an ordinary commit again
        await until(lambda: len(agent.store.entries) == 4)
        generation = agent.store.generation
    reopened = open_cache(tmp_path / "a.db")
    assert list(reopened.entries) == ["s-1", "s-2", "s-3", "s-4"] and reopened.generation == generation
    assert not list(tmp_path.glob("*.damaged*"))
    reopened.close()


async def test_restarted_agent_never_shows_an_earlier_list(tmp_path: Path) -> None:
    """Its cache lacks what it showed last; a gateway gets neither the old list nor an old generation."""
    async with serving(tmp_path / "r.db") as registry:
        await register_endpoint(registry, "s-1")
        async with running_agent(tmp_path / "a.db", address_of(registry)) as agent:
            await until(lambda: agent.replicator.connected)
            fail_writes(agent, failing=True)
            await register_endpoint(registry, "s-2")
            await until(lambda: len(agent.store.entries) == 2)
            shown_generation = agent.store.generation
        for number in range(3, 9):
            await register_endpoint(registry, f"s-{number}")
        async with running_agent(tmp_path / "a.db", address_of(registry)) as agent:
            event = await (await Watcher.open(address_of(agent), shown_generation)).next_event()
            assert event["reset"] and len(event["instances"]) == 8 and event["generation"] > shown_generation
            await until(lambda: not agent.cached_list.is_behind)  # the watch is sent the list before the disk
        reopened = open_cache(tmp_path / "a.db")
        assert len(reopened.entries) == 8
        reopened.close()


async def test_list_is_updated_though_its_position_is_not_saved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A commit that is durable and not shown would make every later one clash with it."""
    agent = Agent(open_cache(tmp_path / "a.db"), [(HOST, 1)])

    def fail(*_: object) -> None:
        raise sqlite3.OperationalError("database or disk is full")

    monkeypatch.setattr(replication.UpstreamPositionTable, "save", fail)
    for generation in (1, 2, 3):
        line = json.dumps(
            {
                "generation": generation,
                "reset": True,
                "instances": [json.loads(body(instanceId=f"s-{generation}"))],
            }
        )
        await agent.replicator.apply_event("x 1", line.encode())
    assert list(agent.store.entries) == ["s-3"] and not agent.cached_list.is_behind


def test_agent_starts_in_memory_on_a_failing_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    connect = sqlite3.connect

    def connect_failing(path: object, **options: object) -> sqlite3.Connection:
        if str(path) != ":memory:":
            raise sqlite3.OperationalError("disk I/O error")
        return connect(path, **options)

    monkeypatch.setattr(sqlite3, "connect", connect_failing)
    store = open_cache(tmp_path / "a.db")
    assert store.entries == {} and store.generation > 0


def test_open_cache_rejects_a_locked_file_or_missing_folder(tmp_path: Path) -> None:
    first = open_cache(tmp_path / "a.db")
    with pytest.raises(StoreError, match="locked"):
        open_cache(tmp_path / "a.db")
    first.close()
    with pytest.raises(StoreError):
        open_cache(tmp_path / "nowhere" / "a.db")
