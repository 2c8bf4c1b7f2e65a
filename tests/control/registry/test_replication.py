"""A registry that replicates another: what it keeps and refuses, and what it becomes when it is promoted."""

import asyncio
import contextlib
import shutil
import signal
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import replace
from pathlib import Path

import pytest

from orchidhatch.control.errors import StoreError
from orchidhatch.control.registry import peer_terms, replication
from orchidhatch.control.registry.endpoints import RegisterEndpoint
from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Store
from orchidhatch.proxy.server import GatewayServer
from tests.control.agent.helpers import register_endpoint, running_agent, start_agent_process, until
from tests.control.registry.helpers import Watcher, address_of, call, lifecycles_by_id, serving, start
from tests.control.registry.test_store import entry, one
from tests.control.test_cli import client
from tests.control.test_schemas import body
from tests.sockets import CONFIG, HOST, Backend, Client, query, refusing_address


@pytest.fixture(autouse=True)
def fast_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Retry a watch, and ask peers for their term, after milliseconds."""
    monkeypatch.setattr(replication, "INITIAL_BACKOFF_S", 0.01)
    monkeypatch.setattr(replication, "MAX_BACKOFF_S", 0.02)
    monkeypatch.setattr(peer_terms, "CHECK_INTERVAL_S", 0.005)


@contextlib.asynccontextmanager
async def running_replica(path: Path, *upstreams: tuple[str, int]) -> AsyncIterator[Registry]:
    async with serving(path, follow=upstreams) as replica:
        await until(lambda: replica.replicator.connected)
        yield replica


async def test_replica_started_without_follow_is_refused(tmp_path: Path) -> None:
    """Guards against two registries that acknowledge writes in one term, one side's being lost."""
    async with serving(tmp_path / "1.db") as first:
        await register_endpoint(first, "s-1")
        async with running_replica(tmp_path / "2.db", address_of(first)) as second:
            await until(lambda: list(second.store.entries) == ["s-1"])
    for name in ("2.db", "copy.db"):
        if name == "copy.db":
            shutil.copy(tmp_path / "2.db", tmp_path / name)
        store = Store(tmp_path / name)
        with pytest.raises(StoreError, match=r"is a replica's: start it with --follow, and then promote it"):
            Registry(store)
        store.close()


async def test_replica_that_never_had_a_list_is_refused_without_follow(tmp_path: Path) -> None:
    """Guards against an empty list in the term of a registry that was never reached."""
    store = Store(tmp_path / "2.db", create=True)
    Registry(store, follow=[refusing_address()])
    store.close()
    store = Store(tmp_path / "2.db")
    with pytest.raises(StoreError, match="is a replica's"):
        Registry(store)
    store.close()


async def test_promoted_store_starts_without_follow(tmp_path: Path) -> None:
    """Also one whose process was killed between the promotion's write and its answer."""
    async with serving(tmp_path / "1.db") as first:
        await register_endpoint(first, "s-1")
        async with running_replica(tmp_path / "2.db", address_of(first)) as second:
            await until(lambda: list(second.store.entries) == ["s-1"])
            second.store.begin_term(second.replicator.highest_term() + 1, 0)
    store = Store(tmp_path / "2.db")
    assert Registry(store).replicator is None
    store.close()


async def test_promoted_replica_keeps_leases_and_fences(
    tmp_path: Path,
) -> None:
    """Incarnations and leases go on, and the registry before is fenced."""
    async with serving(tmp_path / "1.db") as first:
        await register_endpoint(first, "s-1", leaseMs=60_000)
        await register_endpoint(first, "s-2")
        await call(address_of(first), "DELETE /entries/s-2")
        async with running_replica(tmp_path / "2.db", address_of(first)) as second:
            at = address_of(second)
            await until(lambda: list(second.store.entries) == ["s-1"])
            watcher = await Watcher.open(at)
            before = await watcher.next_event()
            for write in ("POST /entries", "POST /entries/s-1/renew", "DELETE /entries/s-1"):
                given = body() if write == "POST /entries" else b'{"life":1}'
                status, response = await call(at, write, given)
                assert status == 409 and "takes no writes" in response["error"]
            assert (await call(at, "GET /healthcheck"))[1]["health"] == "follows"
            status, response = await call(at, "POST /promote")
            assert status == 409 and "still answers" in response["error"]
            await first.close()
            await until(lambda: not second.replicator.connected)
            async with running_agent(tmp_path / "a.db", at) as agent:
                await until(lambda: agent.replicator.connected)
                status, output, _ = await client(at, "promote")
                assert status == 0 and output.startswith("term 2, generation ") and "1 entries" in output
                assert (await call(at, "POST /entries/s-1/renew", b'{"life":1}'))[0] == 200
                assert second.lease_expiry.leases.leases.keys() == {"s-1"}
                with pytest.raises((asyncio.IncompleteReadError, ValueError)):
                    await watcher.next_event()  # it was sent another term
                again = await (await Watcher.open(at, before["generation"])).next_event()
                assert again["reset"] and again["generation"] > before["generation"]
                assert (await call(at, "POST /promote"))[0] == 409
                await until(lambda: agent.replicator.position.store_name.endswith(" 2"))
                async with serving(tmp_path / "1.db", create=False, peers=(at,)) as old:
                    assert (await call(address_of(old), "POST /entries", body()))[0] == 409
                    agent.replicator.upstreams = [address_of(old)]
                    await second.close()
                    await until(lambda: agent.replicator.stale_lists)
                    assert list(agent.store.entries) == ["s-1"]


async def test_forced_promotion_reports_the_lag(tmp_path: Path) -> None:
    async with (
        serving(tmp_path / "1.db") as first,
        running_replica(tmp_path / "2.db", address_of(first)) as second,
    ):
        await register_endpoint(first, "s-1")
        await until(lambda: second.replicator.position.generation == first.store.generation)
        replicator = second.replicator
        replicator.wall_clock_ms = lambda: replicator.position.confirmed_at_ms + 2500
        text = (await call(address_of(second), "GET /metrics"))[1]
        for figure in ("following 1", "lag_seconds 2.5", "followed_generation 1"):
            assert f"\nregistry_{figure}\n" in text
        status, done = await call(address_of(second), "POST /promote", b'{"force":true}')
        assert (status, done["term"], done["entries"], done["heardGeneration"]) == (200, 2, 1, 1)
        assert (await call(address_of(second), "POST /entries/s-1/lifecycle", b'{"lifecycle":"DRAINING"}'))[
            0
        ] == 200
        assert first.store.entries["s-1"].lifecycle == "SERVING"  # it is not followed any more


async def test_promotion_is_rejected_after_a_term_query(
    tmp_path: Path,
) -> None:
    """A first one that wakes up at the moment of the promotion has asked just before it."""
    async with (
        serving(tmp_path / "1.db") as first,
        running_replica(tmp_path / "2.db", address_of(first)) as second,
    ):
        await first.close()
        await until(lambda: not second.replicator.connected)
        assert (await call(address_of(second), "GET /term"))[1] == {"term": 1}
        status, response = await call(address_of(second), "POST /promote")
        assert status == 409 and "a peer asked" in response["error"]
        second.clock = lambda: time.monotonic() + peer_terms.PROMOTION_DELAY_S
        assert (await call(address_of(second), "POST /promote"))[0] == 200


async def test_promotion_without_a_list_is_rejected(tmp_path: Path) -> None:
    async with serving(tmp_path / "2.db", follow=(refusing_address(),)) as second:
        status, response = await call(address_of(second), "POST /promote", b'{"force":true}')
        assert status == 409 and "never received" in response["error"]
        assert (await call(address_of(second), "GET /healthcheck"))[0] == 503
        assert (await call(address_of(second), "POST /promote", b'{"force":1}'))[0] == 400


async def test_promoted_registry_stays_promoted_over_a_restart(
    tmp_path: Path,
) -> None:
    """As a supervisor does; it would else refuse all writes, and follow the one that it replaced."""
    async with serving(tmp_path / "1.db") as first:
        async with running_replica(tmp_path / "2.db", address_of(first)) as second:
            assert (await call(address_of(second), "POST /promote", b'{"force":true}'))[0] == 200
        async with serving(tmp_path / "2.db", create=False, follow=(address_of(first),)) as again:
            assert (await call(address_of(again), "POST /entries", body()))[0] == 200
            assert again.store.term == 2


def test_new_term_is_durable_and_ends_the_history(tmp_path: Path) -> None:
    """No watch resumes over it."""
    path = tmp_path / "list.db"
    store = Store(path, create=True)
    made = one(store, RegisterEndpoint(entry(1)))
    store.begin_term(5, 1000)
    one(store, RegisterEndpoint(entry(2)))
    with pytest.raises(StoreError):
        store.begin_term(5, 2000)
    store.close()
    again = Store(path)
    assert (again.term, again.generation) == (5, 1001) and again.entries["s-1"] == made
    assert again.changes_after(made.version) is None and len(again.changes_after(1000)) == 1
    again.close()


async def register_backends(registry: tuple[str, int], backends: Sequence[Backend]) -> None:
    for number, backend in enumerate(backends):
        address = await backend.start()
        given = body(instanceId=f"s-{number}", hostPort=f"{address[0]}:{address[1]}", leaseMs=60_000)
        assert (await call(registry, "POST /entries", given))[0] == 200


class Traffic:
    """A client that sends one request after another, within the quota."""

    def __init__(self, requester: Client) -> None:
        self.answers: list[bytes] = []
        self._requester = requester

    async def run(self) -> None:
        while True:
            self.answers.append(await self._requester.ask(query(f"r{len(self.answers)}")))
            await asyncio.sleep(0.005)


async def terminate(*processes: asyncio.subprocess.Process) -> None:
    """End processes by a signal; each says that it has ended well."""
    for process in processes:
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


async def replace_registry(
    first: asyncio.subprocess.Process, replica: tuple[str, int], gateway: GatewayServer
) -> None:
    """Kill a registry amid its work, and have the replica go on; the gateway is sent what comes after."""
    while len((await call(replica, "GET /catalog/members"))[1]["instances"]) < 2:
        await asyncio.sleep(0.01)
    version = gateway.endpoint_list_reader.version
    first.send_signal(signal.SIGKILL)
    await first.wait()
    while (await call(replica, "GET /healthcheck"))[1]["connected"]:
        await asyncio.sleep(0.01)
    assert (await client(replica, "promote"))[0] == 0
    assert (await client(replica, "drain", "s-0"))[0] == 0
    await until(lambda: gateway.endpoint_list_reader.entries["s-0"]["lifecycle"] == "DRAINING")
    assert gateway.endpoint_list_reader.version > version and len(gateway.endpoint_list_reader.entries) == 2


async def test_promotion_amid_traffic_loses_no_request(tmp_path: Path) -> None:
    """Two registries, an agent and a gateway; the first is killed, the second promoted by command."""
    at1 = refusing_address()
    at2 = refusing_address()
    agent_address = refusing_address()
    follow = ("--create", "--follow", f"{HOST}:{at1[1]}", "--peer", f"{HOST}:{at1[1]}")
    first = await start(tmp_path / "1.db", at1, "--create")
    second = await start(tmp_path / "2.db", at2, *follow)
    backends = [Backend(), Backend()]
    await register_backends(at1, backends)
    agent = await start_agent_process(tmp_path / "a.db", agent_address, at1, at2)
    gateway = GatewayServer(replace(CONFIG, discovery=agent_address))
    await gateway.start()
    traffic = Traffic(await Client.open(gateway.server.sockets[0].getsockname()))
    await until(lambda: len(gateway.endpoint_list_reader.entries) == 2)
    sending = asyncio.create_task(traffic.run())
    await replace_registry(first, at2, gateway)
    commands_before = len(backends[0].commands)
    answers_before = len(traffic.answers)
    await until(lambda: len(traffic.answers) > answers_before + 20)
    assert len(backends[0].commands) == commands_before
    first = await start(tmp_path / "1.db", at1, "--peer", f"{HOST}:{at2[1]}")
    assert (await call(at1, "DELETE /entries/s-1"))[0] == 409
    sending.cancel()
    assert set(traffic.answers) == {b"ok"}  # each was answered, once, through all of it
    gateway.close()
    await terminate(first, second, agent)


async def test_replaced_registry_acknowledges_nothing(tmp_path: Path) -> None:
    """Real processes: the writes that waited on its socket while it stood still are lost if acknowledged."""
    at1 = refusing_address()
    at2 = refusing_address()
    one = await start(tmp_path / "1.db", at1, "--create", "--peer", f"{HOST}:{at2[1]}")
    two = await start(tmp_path / "2.db", at2, "--create", "--follow", f"{HOST}:{at1[1]}")
    assert (await call(at1, "POST /entries", body(instanceId="s-0", leaseMs=60_000)))[0] == 200
    while (await call(at2, "GET /catalog/members"))[1]["instances"] == []:
        await asyncio.sleep(0.01)
    one.send_signal(signal.SIGSTOP)
    writes = [
        asyncio.create_task(call(at1, "POST /entries", body(instanceId=f"s-{number}")))
        for number in range(1, 31)
    ]
    renewal = asyncio.create_task(call(at1, "POST /entries/s-0/renew", b'{"life":1}'))
    while (await call(at2, "POST /promote"))[0] != 200:  # never forced: refused until it is silent
        await asyncio.sleep(0.05)
    one.send_signal(signal.SIGCONT)
    assert {status for status, _ in await asyncio.gather(*writes)} == {409}
    assert (await renewal)[0] in (409, 503)
    assert (await call(at2, "POST /entries", body(instanceId="s-1")))[0] == 200
    await terminate(one, two)


async def test_cut_log_holds_the_first_writes(
    tmp_path: Path,
) -> None:
    """The real process started on what was on disk: the log of its store cut at lengths over all of it."""
    listen = refusing_address()
    path = tmp_path / "list.db"
    process = await start(path, listen, "--create")
    for number in range(20):
        assert (await call(listen, "POST /entries", body(instanceId=f"s-{number:02}")))[0] == 200
    copy = tmp_path / "copy.db"
    shutil.copy(path, copy)
    log = Path(f"{path}-wal").read_bytes()
    process.send_signal(signal.SIGKILL)
    await process.wait()
    counts = []
    for eighth in range(9):
        for name in (copy, Path(f"{copy}-wal"), Path(f"{copy}-shm")):
            name.unlink(missing_ok=True)
        shutil.copy(path, copy)
        Path(f"{copy}-wal").write_bytes(log[: len(log) * eighth // 8])
        try:
            process = await start(copy, listen)
        except AssertionError:  # cut before the store itself was made: refused, not served
            counts.append(0)
            continue
        names = sorted(lifecycles_by_id((await call(listen, "GET /catalog/members"))[1]))
        assert names == [f"s-{number:02}" for number in range(len(names))]
        counts.append(len(names))
        process.send_signal(signal.SIGKILL)
        await process.wait()
    assert counts == sorted(counts) and counts[-1] == 20 and len(set(counts)) > 4
