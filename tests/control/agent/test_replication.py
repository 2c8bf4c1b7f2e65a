"""The agent's copy of the endpoint list: it fails over between registries and goes only forward."""

import json
from dataclasses import replace
from pathlib import Path

import pytest

from orchidhatch.control.agent.service import Agent, open_cache
from orchidhatch.control.errors import InvalidRequestError
from orchidhatch.control.registry.store import Store
from orchidhatch.proxy.server import GatewayServer
from tests.control.agent.helpers import register_endpoint, running_agent, until
from tests.control.registry.helpers import Watcher, address_of, call, lifecycles_by_id, serving
from tests.control.test_schemas import body
from tests.sockets import CONFIG, HOST, Backend, Client, query


async def test_watch_passes_on_changes_with_rising_generations(
    tmp_path: Path,
) -> None:
    async with serving(tmp_path / "r.db") as registry:
        await register_endpoint(registry, "s-1")
        async with running_agent(tmp_path / "a.db", address_of(registry)) as agent:
            await until(lambda: agent.replicator.connected)
            watcher = await Watcher.open(address_of(agent))
            first = await watcher.next_event()
            assert first["reset"] and first["instances"] == [json.loads(body(instanceId="s-1"))]
            await register_endpoint(registry, "s-2")
            await call(address_of(registry), "POST /entries/s-1/lifecycle", b'{"lifecycle":"DRAINING"}')
            lifecycles: dict[str, str] = {}
            last = first["generation"]
            while lifecycles != {"s-2": "SERVING", "s-1": "DRAINING"}:
                event = await watcher.next_event()
                assert not event["reset"] and event["generation"] > last
                last = event["generation"]
                lifecycles |= lifecycles_by_id(event)


async def test_other_registrys_list_is_a_later_generation(
    tmp_path: Path,
) -> None:
    """Replication from another registry sends the watches its whole list."""
    async with serving(tmp_path / "r2.db") as second:
        await register_endpoint(second, "s-2")
        async with serving(tmp_path / "r1.db") as first:
            for name in ("s-1", "s-2", "s-3"):
                await register_endpoint(first, name)
            async with running_agent(tmp_path / "a.db", address_of(first), address_of(second)) as agent:
                await until(lambda: agent.replicator.connected)
                watcher = await Watcher.open(address_of(agent))
                before = await watcher.next_event()
                assert len(before["instances"]) == 3
                await first.close()
                after = await watcher.next_event()
                assert after["reset"] and lifecycles_by_id(after) == {"s-2": "SERVING"}
                assert after["generation"] > before["generation"]
                await register_endpoint(second, "s-4")
                assert lifecycles_by_id(await watcher.next_event()) == {"s-4": "SERVING"}
                assert agent.replicator.upstream_switches == 1


async def test_registry_that_is_behind_is_passed_over(
    tmp_path: Path,
) -> None:
    store = Store(tmp_path / "r1.db", create=True)
    store.close()
    (tmp_path / "old.db").write_bytes((tmp_path / "r1.db").read_bytes())  # the same store, of before
    async with serving(tmp_path / "r1.db") as first, serving(tmp_path / "old.db") as old:
        await register_endpoint(first, "s-1")
        async with running_agent(tmp_path / "a.db", address_of(first), address_of(old)) as agent:
            await until(lambda: agent.replicator.connected)
            await first.close()
            await until(lambda: agent.replicator.stale_lists >= 2)
            assert not agent.replicator.connected and list(agent.store.entries) == ["s-1"]
            old.store.term = agent.store.term - 1  # and so is one of an earlier term
            before = agent.replicator.stale_lists
            await until(lambda: agent.replicator.stale_lists > before)
            assert list(agent.store.entries) == ["s-1"]


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
async def test_malformed_watch_event_changes_nothing(tmp_path: Path, line: bytes) -> None:
    agent = Agent(open_cache(tmp_path / "a.db"), [(HOST, 1)])
    first_line = b'{"generation":1,"reset":true,"instances":[%b,{"odd":1},5]}' % body(instanceId="s-1")
    await agent.replicator.apply_event("x 1", first_line)
    assert list(agent.store.entries) == ["s-1"] and agent.replicator.malformed_endpoints == 2
    before = agent.store.generation
    with pytest.raises(InvalidRequestError):
        await agent.replicator.apply_event("x 1", line)
    assert agent.store.generation == before and list(agent.store.entries) == ["s-1"]


async def test_gateway_uses_the_list_of_its_new_service(tmp_path: Path) -> None:
    """As a SIGHUP does, by a configuration that names another address."""
    backends = [Backend(), Backend()]
    async with serving(tmp_path / "r1.db") as first, serving(tmp_path / "r2.db") as second:
        for registry, backend in zip((first, second), backends, strict=True):
            at = await backend.start()
            await register_endpoint(registry, f"s-{registry is second}", hostPort=f"{at[0]}:{at[1]}")
        async with running_agent(tmp_path / "a.db", address_of(second)) as agent:
            await until(lambda: agent.replicator.connected)
            gateway = GatewayServer(replace(CONFIG, discovery=address_of(first)))
            await gateway.start()
            await until(lambda: "s-False" in gateway.endpoint_list_reader.entries)
            client = await Client.open(gateway.server.sockets[0].getsockname())
            assert await client.ask(query("a0")) == b"ok" and len(backends[0].commands) == 1
            gateway.reload(replace(gateway.active.config, discovery=address_of(agent)))
            await until(lambda: list(gateway.endpoint_list_reader.entries) == ["s-True"])
            assert await client.ask(query("a1")) == b"ok" and len(backends[1].commands) == 1
            gateway.close()
