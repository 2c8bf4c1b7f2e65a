"""Who owns what: epochs, fences, leases, shares, and the stewards' work."""

import asyncio
import json
import random
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.control.agent.service import Agent
from orchidhatch.control.controller.service import SHARDS, Controller, shard_of
from orchidhatch.control.controller.shard_assignment import assign_shards
from orchidhatch.control.controller.summary import MetricsSample, parse_gateway_metrics, summarize_fleet
from orchidhatch.control.controller.tasks import drain
from orchidhatch.control.ownership.writes import EndSession
from orchidhatch.control.registry.backups import Backups
from orchidhatch.control.registry.lease_expiry import OWNER_ACTIVE_S
from orchidhatch.control.registry.store import Store, StoreError
from tests.control.agent.test_service import until
from tests.control.ownership.test_service import open_session
from tests.control.registry.helpers import address_of, call, serving
from tests.control.test_cli import client
from tests.control.test_schemas import body
from tests.sockets import HOST, refusing_address, run

# --- shares ---


@given(st.integers(1, 40), st.integers(0, 2**32))
def test_shares_are_even_and_few_move_when_one_comes_or_goes(count: int, seed: int) -> None:
    chance = random.Random(seed)
    everyone = [f"steward-{chance.getrandbits(32):x}" for _ in range(count + 1)]
    few, many = assign_shards(SHARDS, everyone[:count]), assign_shards(SHARDS, everyone)
    for owners, holders_ in ((few, everyone[:count]), (many, everyone)):
        assert set(owners) == set(SHARDS) and set(owners.values()) <= set(holders_)
        assert max(Counter(owners.values()).values()) <= -(-len(SHARDS) // len(holders_))
    if count > 1:  # what one more takes over, and what moves as room shrinks
        assert sum(few[shard] != many[shard] for shard in SHARDS) <= len(SHARDS) * 2 / 3
    assert assign_shards(reversed(SHARDS), everyone[::-1]) == many
    assert assign_shards(SHARDS, everyone[:2], dict.fromkeys(SHARDS, everyone[0])) == dict.fromkeys(
        SHARDS, everyone[min(1, count)] if len(set(everyone[:2])) > 1 else everyone[0]
    )


# --- acts at a front door ---


def test_an_agent_refuses_late_acts_and_asks_first_where_it_knows_no_epochs(tmp_path: Path) -> None:
    calls: list[str] = []

    async def door(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        calls.append((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def act(agent: Agent, call_: str, epoch: int, number: int) -> int:
        value = json.dumps({"claim": "x", "epoch": epoch, "act": number}).encode()
        return (await call(address_of(agent), f"POST /door/{call_}", value))[0]

    async def job() -> None:
        server = await asyncio.start_server(door, HOST, 0)
        path, silent = tmp_path / "a.db", refusing_address()

        async def begin(registry: tuple[str, int]) -> Agent:
            agent = Agent(Store(path, create=True), [registry], 1, gateway=server.sockets[0].getsockname())
            await agent.start(HOST, 0)
            return agent

        agent = await begin(silent)
        assert await act(agent, "backends/s-1/maint", 7, 1) == 503 and not calls
        await agent.close()
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            await open_session(at, "a")
            given_ = b'{"holder":"a","life":"1"}'
            epoch = (await call(at, "POST /claims/x/take", given_))[1]["epoch"]
            agent = await begin(at)
            assert await act(agent, "backends/s-1/maint", epoch - 1, 99) == 409  # it asked, and knows better
            assert await act(agent, "backends/s-1/maint", epoch, 5) == 200
            assert await act(agent, "backends/s-1/ready", epoch, 6) == 200
            assert await act(agent, "backends/s-1/maint", epoch, 5) == 409  # kept back on the way
            assert await act(agent, "backends/s-2/maint", epoch + 1, 5) == 200
            assert await act(agent, "../healthcheck", epoch + 1, 5) == 404
            assert await act(agent, "backends/s-1/maint", 1 << 60, 5) == 400
            await agent.close()
        agent = await begin(silent)  # it remembers, and needs nobody
        assert await act(agent, "backends/s-2/ready", epoch, 9) == 409
        assert await act(agent, "backends/s-2/ready", epoch + 1, 9) == 200
        await agent.close()
        server.close()
        assert calls == [
            "/backends/s-1/maint",
            "/backends/s-1/ready",
            "/backends/s-2/maint",
            "/backends/s-2/ready",
        ]

    run(job())


# --- stewards ---


def test_another_steward_goes_on_with_a_drain_and_the_old_one_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def job() -> None:
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            assert (await call(at, "POST /entries", body(instanceId="s-1")))[0] == 200
            one_ = Controller("steward-1", [at], lease_ms=60_000)
            await one_.open()
            await one_.share()
            assert set(one_.held) == set(SHARDS)
            status, out, _ = await client(at, "drain", "s-1", "--by", "1s", "--then", "remove")
            assert status == 0 and "task.drain-s-1" in out
            assert (await client(at, "drain", "s-1", "--by", "1s"))[0] == 1  # it is being drained already
            await one_.work()
            assert registry.store.entries["s-1"].lifecycle == "DRAINING"
            # It stands still past its lease; another takes over what it held, and ends what was begun.
            registry.writes.enqueue_internal(EndSession(one_.id, one_.life, expired=True))
            await until(lambda: not registry.store.claims_table.sessions)
            two = Controller("steward-2", [at], lease_ms=60_000)
            await two.open()
            await two.share()
            await one_.work()  # woken up: by its own clock it may still act
            assert one_.refused == 1 and registry.ownership.writes_refused >= 1
            while not json.loads(registry.store.claims_table.records["task.drain-s-1"].text)["done"]:
                await two.work()
            assert not registry.store.entries
            assert (await client(at, "owners"))[1].count("steward-2") == len(SHARDS)
            assert "removed" in (await client(at, "tasks"))[1]
            await two.leave()
            assert not registry.store.claims_table.sessions

    run(job())


def test_shares_are_given_up_before_they_are_taken_whatever_was_answered(tmp_path: Path) -> None:
    async def job() -> None:
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            one_, two = (Controller(f"steward-{n}", [at], lease_ms=60_000) for n in (1, 2))
            await one_.open()
            await one_.share()
            await two.open()
            await two.share()
            assert not two.held  # nothing is free yet
            one_.links.registries = [refusing_address()]
            owners = assign_shards(SHARDS, [one_.id, two.id])
            lost = next(shard for shard, owner in owners.items() if owner == two.id)
            await one_.give(lost, one_.held[lost].epoch)  # no answer: the book still has it
            one_.links.registries, one_.links.current_index = [at], 0
            await one_.share()
            await two.share()
            assert not set(one_.held) & set(two.held) and set(one_.held) | set(two.held) == set(SHARDS)
            assert len(one_.held) == len(two.held) == len(SHARDS) // 2
            held = {claim.name: claim.holder for claim in registry.store.claims_table.claims.values()}
            assert all(held[shard] == "steward-2" for shard in two.held)
            handed = next(iter(two.held))
            status, out, _ = await client(at, "hand-over", handed, "steward-1")
            assert status == 0 and "from steward-2 to steward-1" in out
            for steward in (two, one_, two, one_):
                await steward.renew()
                await steward.share()
            assert handed in one_.held and handed not in two.held  # and it stays there

    run(job())


def test_a_task_that_fails_is_given_up_with_its_reason_past_nonsense(tmp_path: Path) -> None:
    async def job() -> None:
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            one_ = Controller("steward-1", [at], lease_ms=60_000)
            await one_.open()
            failing = {**drain("s-1", 100, "back"), "state": "out", "leftMs": "soon"}
            for name, text in (("task.drain-s-1", json.dumps(failing)), ("task.what", "{}")):
                value = json.dumps({"text": text}).encode()
                assert (await call(at, f"POST /records/{name}", value))[0] == 200
            await one_.share()
            while len(one_.held) == len(SHARDS):
                await one_.work()
            [released] = [claim for claim in registry.store.claims_table.claims.values() if claim.reason]
            assert released.released_by == "steward-1" and "task.drain-s-1" in released.reason

    run(job())


def test_leases_end_in_an_owners_name_and_by_the_service_alone_where_no_owner_calls(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def job() -> None:
        async with serving(tmp_path / "1.db") as registry:
            at, now = address_of(registry), registry.clock()
            registry.clock = lambda: now
            for number in range(20):
                written = body(instanceId=f"s-{number}", leaseMs=1000 if number < 3 else 500_000)
                assert (await call(at, "POST /entries", written))[0] == 200
            assert (await client(at, "leases", "--ended-by", "stewards"))[0] == 0
            steward = Controller("steward-1", [at], lease_ms=60_000)
            await steward.open()
            await steward.share()
            epoch = steward.held[shard_of("task.leases")].epoch
            late = json.dumps({"claim": shard_of("task.leases"), "epoch": epoch - 1}).encode()
            now += 1.2
            assert (await call(at, "POST /leases/end", late))[0] == 409 and len(
                registry.lease_expiry.leases.leases
            ) == 20
            assert (await call(at, "POST /leases/end", b"{}"))[0] == 400
            commit = registry.store.commit

            def full(_: object) -> None:
                raise StoreError("disk full")

            registry.store.commit = full
            await steward.work()
            await until(lambda: registry.writes.last_write_error)
            assert (
                len(registry.store.entries) == 20 and registry.lease_expiry.leases.leases["s-1"].due_s == now
            )
            registry.store.commit = commit
            await steward.work()  # they are overdue still, and it is the owner that ends them
            await until(lambda: len(registry.store.entries) == 17)
            assert registry.lease_expiry.expired == 3 and registry.lease_expiry.last_owner_call_s == now
            monkeypatch.setattr("orchidhatch.control.registry.service.CHECK_INTERVAL_S", 0.01)
            entry = registry.store.entries["s-19"]
            registry.lease_expiry.leases.restore_overdue(entry, now)
            assert (
                now - registry.lease_expiry.last_owner_call_s < OWNER_ACTIVE_S
            )  # the service rests meanwhile
            now += OWNER_ACTIVE_S
            await until(lambda: "s-19" not in registry.store.entries)

    run(job())


def reading(answered: int, deferred: int = 0, errored: int = 0, sends: int | None = None) -> MetricsSample:
    return MetricsSample(answered, deferred, errored, answered if sends is None else sends, 1, 0)


@pytest.mark.parametrize(
    ("last", "unlike"),
    [
        (reading(100), {}),
        (None, {}),
        (reading(60, errored=40, sends=100), {"answered": {"d-9": 0.6}, "errored": {"d-9": 0.4}}),
        (reading(100, sends=190), {"sends": {"d-9": 1.9}}),
        (reading(0, errored=19), {}),
    ],
)
def test_a_door_that_is_unlike_the_others_is_named(
    last: MetricsSample | None, unlike: dict[str, Any]
) -> None:
    before = {f"d-{n}": reading(n, n) for n in range(10)}
    now = {f"d-{n}": reading(n + 97 + n % 3, n + 3 - n % 3) for n in range(9)}
    now["d-9"] = last and reading(9 + last.answered, 9, last.errored, 9 + last.sends)
    told = summarize_fleet(before, now)
    assert told["unlike"] == unlike and told["silent"] == ([] if last else ["d-9"])
    assert told["answered"] == 9 * 98 + (last.answered if last else 0) and told["first"] is False
    assert summarize_fleet(before, {"d-0": reading(0, 1)})["deferred"] == 1  # it began anew


def test_the_summary_is_read_through_agents_by_its_owner(tmp_path: Path) -> None:
    page = "\n".join(
        f"proxy_{one} 3"
        for one in (
            'answered_total{group="a b"}',
            'answered_total{group="c"}',
            'deferred_total{group="c"}',
            'errored_total{group="c"}',
            "sends_total",
            "current",
            "cluster_size",
            "cluster_unhealthy",
        )
    )
    assert parse_gateway_metrics(page) == MetricsSample(6, 3, 3, 3, 3, 3)
    assert parse_gateway_metrics(page.replace(" 3", " NaN")) is None and parse_gateway_metrics("") is None

    async def door(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked = (await reader.readuntil(b"\r\n\r\n")).split()[1]
        text = page.encode() if asked == b"/stats" else b""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        writer.close()

    async def job() -> None:
        server = await asyncio.start_server(door, HOST, 0)
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            agent = Agent(
                Store(tmp_path / "a.db", create=True), [at], 1, gateway=server.sockets[0].getsockname()
            )
            await agent.start(HOST, 0)
            steward = Controller("steward-1", [at], [address_of(agent), refusing_address()], lease_ms=60_000)
            assert (await client(at, "summary"))[0] == 1
            assert (await client(at, "summary", "--every", "30s"))[0] == 0
            await steward.open()
            await steward.share()
            await steward.work()
            status, out, _ = await client(at, "summary")
            assert status == 0 and "doors\t1" in out and "answered\t6" in out and "silentCount\t1" in out
            assert (await call(address_of(agent), "GET /door/metrics"))[0] == 404
            await agent.close()
        server.close()

    run(job())


def test_copies_of_the_store_are_tried_kept_by_count_and_age_and_taken_by_owners(tmp_path: Path) -> None:
    async def job() -> None:
        folder = tmp_path / "copies"
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            assert (await client(at, "backup"))[0] == 1  # it was given no folder
            registry.backups = Backups(folder, max_backups=3)
            for number in range(5):
                assert (await call(at, "POST /entries", body(instanceId=f"s-{number}")))[0] == 200
                status, out, _ = await client(at, "backup")
                assert status == 0 and f"{number + 1} entries" in out
            assert [path.name for path in registry.backups.list_files()] == [
                f"list-1-{n}.db" for n in (3, 4, 5)
            ]
            assert (await call(at, "POST /backup", b'{"claim":"x","epoch":1}'))[0] == 404
            assert (await client(at, "backup", "--every", "1h"))[0] == 0
            steward = Controller("steward-1", [at], lease_ms=60_000)
            await steward.open()
            await steward.share()
            assert (await call(at, "DELETE /entries/s-0"))[0] == 200
            await steward.work()
            newest = registry.backups.list_files()[-1]
            told = json.loads(registry.store.claims_table.records["task.backup"].text)
            assert told["told"] == newest.name == "list-1-6.db" and told["leftMs"] == 3_600_000
            registry.backups.wall_clock_s = lambda: newest.stat().st_mtime + 8 * 24 * 3600
            (folder / "list.db.new").write_bytes(b"cut short")
            assert (await client(at, "backup"))[0] == 0
            assert registry.backups.list_files() == [newest]
            newest.unlink()
            folder.rmdir()
            folder.write_bytes(b"")
            assert (await call(at, "POST /backup", b"{}"))[0] == 503
            assert (await call(at, "DELETE /entries/s-1"))[0] == 200  # writes go on

    run(job())
