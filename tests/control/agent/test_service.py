"""The agent between registries and a front door: fails over, goes only forward, outlives them all."""

import asyncio
import contextlib
import json
import signal
import sys
import threading
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from orchidhatch.control.agent.service import Agent, open_cache
from orchidhatch.control.registry import replication as following
from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Batch, Store
from orchidhatch.proxy.server import FrontDoor
from tests.control.registry.test_service import Watcher, address_of, call, named, serving, start
from tests.control.test_schemas import body
from tests.sockets import CONFIG, HOST, Backend, Client, query, refusing_address, run

ROOT = Path(__file__).parents[3]


@pytest.fixture(autouse=True)
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(following, "INITIAL_BACKOFF_S", 0.01)
    monkeypatch.setattr(following, "MAX_BACKOFF_S", 0.02)


@contextlib.asynccontextmanager
async def agent_of(path: Path, *registries: tuple[str, int], **changes: Any) -> AsyncIterator[Agent]:  # noqa: ANN401
    agent = Agent(open_cache(path), registries, seed=2, **changes)
    await agent.start(HOST, 0)
    try:
        yield agent
    finally:
        await agent.close()


async def start_agent(
    path: Path, at: tuple[str, int], *registries: tuple[str, int]
) -> asyncio.subprocess.Process:
    known = [word for registry in registries for word in ("--registry", f"{HOST}:{registry[1]}")]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.agent",
        "--listen",
        f"{HOST}:{at[1]}",
        *known,
        "--cache",
        str(path),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    while b"serves generation" not in (line := await process.stderr.readline()):
        assert line, "the agent has ended"
    return process


async def until(what: object) -> None:
    while not what():
        await asyncio.sleep(0.002)


async def register(registry: Registry, name: str, **changes: object) -> None:
    status, _ = await call(address_of(registry), "POST /entries", body(instanceId=name, **changes))
    assert status == 200


def test_what_the_registry_tells_goes_on_and_only_forward(tmp_path: Path) -> None:
    async def job() -> None:
        async with serving(tmp_path / "r.db") as registry:
            await register(registry, "s-1")
            async with agent_of(tmp_path / "a.db", address_of(registry)) as agent:
                await until(lambda: agent.replicator.connected)
                watcher = await Watcher.open(address_of(agent))
                first = await watcher.news()
                assert first["reset"] and first["instances"] == [json.loads(body(instanceId="s-1"))]
                await register(registry, "s-2")
                await call(address_of(registry), "POST /entries/s-1/lifecycle", b'{"lifecycle":"DRAINING"}')
                told: dict[str, str] = {}
                last = first["generation"]
                while told != {"s-2": "SERVING", "s-1": "DRAINING"}:
                    news = await watcher.news()
                    assert not news["reset"] and news["generation"] > last
                    last = news["generation"]
                    told |= named(news)

    run(job())


def test_other_registry_is_a_whole_list_and_no_step_back(tmp_path: Path) -> None:
    async def job() -> None:
        async with serving(tmp_path / "r2.db") as second:
            await register(second, "s-2")
            async with serving(tmp_path / "r1.db") as first:
                for name in ("s-1", "s-2", "s-3"):
                    await register(first, name)
                async with agent_of(tmp_path / "a.db", address_of(first), address_of(second)) as agent:
                    await until(lambda: agent.replicator.connected)
                    watcher = await Watcher.open(address_of(agent))
                    before = await watcher.news()
                    assert len(before["instances"]) == 3
                    await first.close()
                    after = await watcher.news()
                    assert after["reset"] and named(after) == {"s-2": "SERVING"}
                    assert after["generation"] > before["generation"]
                    await register(second, "s-4")
                    assert named(await watcher.news()) == {"s-4": "SERVING"}
                    assert agent.replicator.upstream_switches == 1

    run(job())


def test_registry_that_is_behind_is_passed_over(tmp_path: Path) -> None:
    async def job() -> None:
        store = Store(tmp_path / "r1.db", create=True)
        store.close()
        (tmp_path / "old.db").write_bytes((tmp_path / "r1.db").read_bytes())  # the same store, of before
        async with serving(tmp_path / "r1.db") as first, serving(tmp_path / "old.db") as old:
            await register(first, "s-1")
            async with agent_of(tmp_path / "a.db", address_of(first), address_of(old)) as agent:
                await until(lambda: agent.replicator.connected)
                await first.close()
                await until(lambda: agent.replicator.stale_lists >= 2)
                assert not agent.replicator.connected and list(agent.store.entries) == ["s-1"]
                old.store.term = agent.store.term - 1  # and so is one of an earlier term
                before = agent.replicator.stale_lists
                await until(lambda: agent.replicator.stale_lists > before)
                assert list(agent.store.entries) == ["s-1"]

    run(job())


def test_list_is_served_while_all_registries_are_down_and_says_its_age(tmp_path: Path) -> None:
    async def job() -> None:
        now = [1_000_000]
        async with serving(tmp_path / "r.db") as registry:
            await register(registry, "s-1")
            async with agent_of(
                tmp_path / "a.db", address_of(registry), wall_clock_ms=lambda: now[0]
            ) as agent:
                await until(lambda: agent.replicator.connected)
                generation = agent.store.generation
        now[0] += 90_000
        async with agent_of(tmp_path / "a.db", refusing_address(), wall_clock_ms=lambda: now[0]) as agent:
            news = await (await Watcher.open(address_of(agent), generation)).news()
            assert (news["generation"], news["reset"], news["instances"]) == (generation, False, [])
            assert named((await call(address_of(agent), "GET /catalog/members"))[1]) == {"s-1": "SERVING"}
            status, health = await call(address_of(agent), "GET /healthcheck")
            assert (status, health["connected"], health["listAgeSeconds"]) == (200, False, 90.0)
            assert "agent_list_age_seconds 90.0\n" in (await call(address_of(agent), "GET /metrics"))[1]

    run(job())


def test_agent_that_never_heard_a_list_is_not_ready(tmp_path: Path) -> None:
    async def job() -> None:
        async with agent_of(tmp_path / "a.db", refusing_address()) as agent:
            assert (await call(address_of(agent), "GET /healthcheck"))[0] == 503
            assert (await call(address_of(agent), "POST /entries", body()))[0] == 404

    run(job())


def test_damaged_cache_is_put_aside_and_begun_anew(tmp_path: Path) -> None:
    path = tmp_path / "a.db"
    path.write_bytes(b"no such thing" * 500)
    store = open_cache(path)
    assert not store.entries and store.generation > 1_000_000_000_000
    assert (tmp_path / "a.db.damaged").read_bytes() == b"no such thing" * 500
    store.close()


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"[]",
        b'{"generation":1}',
        b'{"generation":"x","reset":true,"instances":[]}',
        b"null",
        b'{"generation":1e999,"reset":true,"instances":[]}',
        b'{"generation":2,"reset":true,"instances":7}',
    ],
)
def test_line_that_makes_no_sense_changes_nothing(tmp_path: Path, line: bytes) -> None:
    agent = Agent(open_cache(tmp_path / "a.db"), [(HOST, 1)])
    told = b'{"generation":1,"reset":true,"instances":[%b,{"odd":1},5]}' % body(instanceId="s-1")
    asyncio.run(agent.replicator.apply_event("x 1", told))
    assert list(agent.store.entries) == ["s-1"] and agent.replicator.malformed_endpoints == 2
    before = agent.store.generation
    with pytest.raises(following.InvalidRequestError):
        asyncio.run(agent.replicator.apply_event("x 1", line))
    assert agent.store.generation == before and list(agent.store.entries) == ["s-1"]


def test_front_door_lives_through_the_death_of_registry_and_agent(tmp_path: Path) -> None:
    async def job() -> None:
        listen, at, backend = refusing_address(), refusing_address(), Backend()
        registry = await start(tmp_path / "r.db", listen, "--create")
        address = await backend.start()
        given = body(instanceId="s-1", hostPort=f"{address[0]}:{address[1]}")
        assert (await call(listen, "POST /entries", given))[0] == 200

        async def agent() -> asyncio.subprocess.Process:
            return await start_agent(tmp_path / "a.db", at, listen)

        one = await agent()
        door = FrontDoor(replace(CONFIG, discovery=at))
        await door.start()
        client = await Client.open(door.server.sockets[0].getsockname())
        await until(lambda: door.catalog.entries)
        assert await client.ask(query("a0")) == b"ok"
        for process in (registry, one):
            process.send_signal(signal.SIGKILL)
            await process.wait()
        assert await client.ask(query("a1")) == b"ok"
        version = door.catalog.version
        one = await agent()  # with no registry: the list that it had
        fresh = FrontDoor(replace(CONFIG, discovery=at))
        await fresh.start()
        await until(lambda: fresh.catalog.entries)
        other = await Client.open(fresh.server.sockets[0].getsockname())
        assert await other.ask(query("b0")) == b"ok"
        registry = await start(tmp_path / "r.db", listen)
        assert (await call(listen, "POST /entries/s-1/lifecycle", b'{"lifecycle":"DRAINING"}'))[0] == 200
        for found in (door, fresh):
            await until(lambda found=found: found.catalog.entries["s-1"]["lifecycle"] == "DRAINING")
            assert found.catalog.version > version
            found.close()
        for process in (registry, one):
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(job())


def test_moving_discovery_to_another_list_service_is_a_whole_list(tmp_path: Path) -> None:
    """As a SIGHUP does, by a configuration that names another address."""

    async def job() -> None:
        backends = [Backend(), Backend()]
        async with serving(tmp_path / "r1.db") as first, serving(tmp_path / "r2.db") as second:
            for registry, backend in zip((first, second), backends, strict=True):
                at = await backend.start()
                await register(registry, f"s-{registry is second}", hostPort=f"{at[0]}:{at[1]}")
            async with agent_of(tmp_path / "a.db", address_of(second)) as agent:
                await until(lambda: agent.replicator.connected)
                door = FrontDoor(replace(CONFIG, discovery=address_of(first)))
                await door.start()
                await until(lambda: "s-False" in door.catalog.entries)
                client = await Client.open(door.server.sockets[0].getsockname())
                assert await client.ask(query("a0")) == b"ok" and len(backends[0].commands) == 1
                door.reload(replace(door.config, discovery=address_of(agent)))
                await until(lambda: list(door.catalog.entries) == ["s-True"])
                assert await client.ask(query("a1")) == b"ok" and len(backends[1].commands) == 1
                door.close()

    run(job())


def test_a_slow_disk_keeps_no_front_door_waiting(tmp_path: Path) -> None:
    """News is on its way to the disk for as long as the test likes; watches go on hearing of the agent."""

    async def job() -> None:
        async with (
            serving(tmp_path / "1.db") as registry,
            agent_of(tmp_path / "a.db", address_of(registry)) as agent,
        ):
            await until(lambda: agent.replicator.connected)
            commit, written = agent.store.commit, threading.Event()

            def slow(batch: Batch) -> None:
                written.wait()
                commit(batch)

            agent.store.commit = slow
            await register(registry, "s-1")
            await until(lambda: agent.turn.locked())
            assert (await call(address_of(agent), "GET /healthcheck"))[0] == 200
            watcher = await Watcher.open(address_of(agent))
            assert not (await watcher.news())["instances"]
            written.set()
            assert [one["instanceId"] for one in (await watcher.news())["instances"]] == ["s-1"]

    run(job())
