"""The agent between registries and a gateway: it outlives them all, and its own disk may be slow."""

import asyncio
import signal
import threading
from dataclasses import replace
from pathlib import Path

from orchidhatch.control.agent.service import open_cache
from orchidhatch.control.registry.store import Batch
from orchidhatch.proxy.server import GatewayServer
from tests.control.agent.helpers import register_endpoint, running_agent, start_agent_process, until
from tests.control.registry.helpers import Watcher, address_of, call, lifecycles_by_id, serving, start
from tests.control.test_schemas import body
from tests.sockets import CONFIG, Backend, Client, query, refusing_address


async def test_agent_without_registries_serves_its_list_and_age(
    tmp_path: Path,
) -> None:
    now = [1_000_000]
    async with serving(tmp_path / "r.db") as registry:
        await register_endpoint(registry, "s-1")
        async with running_agent(
            tmp_path / "a.db", address_of(registry), wall_clock_ms=lambda: now[0]
        ) as agent:
            await until(lambda: agent.replicator.connected)
            generation = agent.store.generation
    now[0] += 90_000
    async with running_agent(tmp_path / "a.db", refusing_address(), wall_clock_ms=lambda: now[0]) as agent:
        event = await (await Watcher.open(address_of(agent), generation)).next_event()
        assert (event["generation"], event["reset"], event["instances"]) == (generation, False, [])
        assert lifecycles_by_id((await call(address_of(agent), "GET /catalog/members"))[1]) == {
            "s-1": "SERVING"
        }
        status, health = await call(address_of(agent), "GET /healthcheck")
        assert (status, health["connected"], health["listAgeSeconds"]) == (200, False, 90.0)
        assert "agent_list_age_seconds 90.0\n" in (await call(address_of(agent), "GET /metrics"))[1]


async def test_health_without_a_list_is_unavailable(tmp_path: Path) -> None:
    async with running_agent(tmp_path / "a.db", refusing_address()) as agent:
        assert (await call(address_of(agent), "GET /healthcheck"))[0] == 503
        assert (await call(address_of(agent), "POST /entries", body()))[0] == 404


def test_open_cache_sets_a_damaged_file_aside(tmp_path: Path) -> None:
    path = tmp_path / "a.db"
    path.write_bytes(b"no such thing" * 500)
    store = open_cache(path)
    assert not store.entries and store.generation > 1_000_000_000_000
    assert (tmp_path / "a.db.damaged").read_bytes() == b"no such thing" * 500
    store.close()


async def test_gateway_serves_on_without_registry_and_agent(tmp_path: Path) -> None:
    listen = refusing_address()
    at = refusing_address()
    backend = Backend()
    registry = await start(tmp_path / "r.db", listen, "--create")
    address = await backend.start()
    given = body(instanceId="s-1", hostPort=f"{address[0]}:{address[1]}")
    assert (await call(listen, "POST /entries", given))[0] == 200

    async def agent() -> asyncio.subprocess.Process:
        return await start_agent_process(tmp_path / "a.db", at, listen)

    one = await agent()
    gateway = GatewayServer(replace(CONFIG, discovery=at))
    await gateway.start()
    client = await Client.open(gateway.server.sockets[0].getsockname())
    await until(lambda: gateway.endpoint_list_reader.entries)
    assert await client.ask(query("a0")) == b"ok"
    for process in (registry, one):
        process.send_signal(signal.SIGKILL)
        await process.wait()
    assert await client.ask(query("a1")) == b"ok"
    version = gateway.endpoint_list_reader.version
    one = await agent()  # with no registry: the list that it had
    fresh = GatewayServer(replace(CONFIG, discovery=at))
    await fresh.start()
    await until(lambda: fresh.endpoint_list_reader.entries)
    other = await Client.open(fresh.server.sockets[0].getsockname())
    assert await other.ask(query("b0")) == b"ok"
    registry = await start(tmp_path / "r.db", listen)
    assert (await call(listen, "POST /entries/s-1/lifecycle", b'{"lifecycle":"DRAINING"}'))[0] == 200
    for found in (gateway, fresh):
        await until(lambda found=found: found.endpoint_list_reader.entries["s-1"]["lifecycle"] == "DRAINING")
        assert found.endpoint_list_reader.version > version
        found.close()
    for process in (registry, one):
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


async def test_agent_answers_while_its_disk_is_slow(tmp_path: Path) -> None:
    """A change is on its way to the disk for as long as the test likes; watches go on meanwhile."""
    async with (
        serving(tmp_path / "1.db") as registry,
        running_agent(tmp_path / "a.db", address_of(registry)) as agent,
    ):
        await until(lambda: agent.replicator.connected)
        commit = agent.store.commit
        written = threading.Event()

        def slow(batch: Batch) -> None:
            written.wait()
            commit(batch)

        agent.store.commit = slow
        await register_endpoint(registry, "s-1")
        await until(lambda: agent.store_executor.lock.locked())
        assert (await call(address_of(agent), "GET /healthcheck"))[0] == 200
        watcher = await Watcher.open(address_of(agent))
        assert not (await watcher.next_event())["instances"]
        written.set()
        assert [one["instanceId"] for one in (await watcher.next_event())["instances"]] == ["s-1"]
