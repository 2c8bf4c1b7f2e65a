"""The list service over loopback sockets: reads, watches, writes, and what goes wrong."""

import asyncio
import contextlib
import json
import signal
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from orchidhatch.control import http_server as servers
from orchidhatch.control.registry import service as registries
from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Store
from orchidhatch.proxy.server import FrontDoor
from tests.control.test_schemas import body
from tests.sockets import CONFIG, HOST, Backend, Client, query, refusing_address, run

ROOT = Path(__file__).parents[3]


def address_of(registry: Registry) -> tuple[str, int]:
    return registry.listener.sockets[0].getsockname()


@contextlib.asynccontextmanager
async def serving(
    path: Path,
    create: bool = True,
    peers: tuple[tuple[str, int], ...] = (),
    follow: tuple[tuple[str, int], ...] = (),
    **changes: Any,  # noqa: ANN401
) -> AsyncIterator[Registry]:
    registry = Registry(Store(path, create, **changes), seed=1, peers=peers, follow=follow)
    await registry.start(HOST, 0)
    try:
        yield registry
    finally:
        await registry.close()


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "list.db"


async def raw(at: tuple[str, int], data: bytes) -> tuple[int, dict[str, str], bytes]:
    reader, writer = await asyncio.open_connection(*at)
    writer.write(data)
    head, _, text = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    first, *lines = head.decode().split("\r\n")
    return int(first.split()[1]), dict(line.lower().split(": ", 1) for line in lines), text


async def call(at: tuple[str, int], line: str, content: bytes = b"") -> tuple[int, Any]:
    head = f"{line} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(content)}\r\n\r\n"
    status, _, text = await raw(at, head.encode() + content)
    return status, json.loads(text) if text.startswith((b"{", b"[")) else text.decode()


class Watcher:
    """A watch, read line by line."""

    @classmethod
    async def open(cls, at: tuple[str, int], after: int = 0) -> "Watcher":
        watcher = cls()
        watcher.reader, watcher.writer = await asyncio.open_connection(*at)
        target = f"/catalog/members?watch=1&after={after}"
        watcher.writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert (await watcher.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        return watcher

    async def chunk(self) -> bytes:
        size = int(await self.reader.readline(), 16)
        data = await self.reader.readexactly(size + 2)
        return data[:-2]

    async def news(self) -> dict[str, Any]:
        """The next line that is not empty."""
        while not (line := await self.chunk()).strip():
            pass
        assert line.endswith(b"\n") and line.count(b"\n") == 1
        return json.loads(line)


def named(news: dict[str, Any]) -> dict[str, str]:
    return {entry["instanceId"]: entry["lifecycle"] for entry in news["instances"]}


def test_list_and_watch_are_the_protocols(path: Path) -> None:
    async def job() -> None:
        async with serving(path) as registry:
            at = address_of(registry)
            early = await Watcher.open(at)
            assert await early.news() == {"generation": 0, "reset": True, "instances": []}
            assert (await call(at, "POST /entries", body(instanceId="s-1")))[0] == 200
            assert await early.news() == {
                "generation": 1,
                "reset": False,
                "instances": [json.loads(body(instanceId="s-1"))],
            }
            status, made = await call(at, "POST /entries/s-1/lifecycle", b'{"lifecycle":"DRAINING"}')
            assert status == 200 and made["version"] == 2 and made["life"] == 1
            assert named(await early.news()) == {"s-1": "DRAINING"}
            status, whole = await call(at, "GET /catalog/members")
            assert (status, whole["generation"], whole["reset"]) == (200, 2, True)
            assert named(whole) == {"s-1": "DRAINING"}
            assert (await call(at, "DELETE /entries/s-1"))[0] == 200
            assert named(await early.news()) == {"s-1": "DELETED"}
            _, whole = await call(at, "GET /catalog/members")
            assert whole == {"generation": 3, "reset": True, "instances": []}

    run(job())


def test_watch_resumes_where_it_can_and_else_begins_with_the_whole_list(path: Path) -> None:
    async def job() -> None:
        async with serving(path, most_history=3) as registry:
            at = address_of(registry)
            for number in range(5):
                await call(at, "POST /entries", body(instanceId=f"s-{number}"))
            expected = {
                3: (False, ["s-3", "s-4"]),
                5: (False, []),
                2: (False, ["s-2", "s-3", "s-4"]),
                1: (True, [f"s-{n}" for n in range(5)]),
                99: (True, [f"s-{n}" for n in range(5)]),
            }
            for after, (reset, names) in expected.items():
                news = await (await Watcher.open(at, after)).news()
                assert (news["generation"], news["reset"], sorted(named(news))) == (5, reset, names)

    run(job())


def test_watch_without_news_has_an_empty_line_now_and_then(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(servers, "BEAT_S", 0.01)

    async def job() -> None:
        async with serving(path) as registry:
            watcher = await Watcher.open(address_of(registry))
            await watcher.news()
            assert [await watcher.chunk() for _ in range(3)] == [b"\n"] * 3

    run(job())


@pytest.mark.parametrize(
    ("line", "content", "status", "told"),
    [
        ("POST /entries", b"{", 400, "not JSON"),
        ("POST /entries", body(extra=1), 400, "extra"),
        ("POST /entries", body(ifVersion=9), 409, "at version 1, not 9"),
        ("POST /entries", b" " * 9000, 413, "longer"),
        ("POST /entries/s-9/lifecycle", b'{"lifecycle":"DRAINING"}', 404, "not listed"),
        ("POST /entries/s-5be2a07c/lifecycle", b'{"lifecycle":"DELETED"}', 400, "lifecycle"),
        ("POST /entries/s-5be2a07c/renew", b'{"life":1}', 409, "no lease"),
        ("POST /entries/s-9/renew", b'{"life":1}', 404, "not listed"),
        ("DELETE /entries/s-5be2a07c", b'{"life":7}', 409, "another life"),
        ("DELETE /entries/..%2Fx", b"", 400, "instanceId"),
        ("GET /entries/s-9", b"", 404, "not listed"),
        ("GET /what", b"", 404, "no such call"),
        ("PUT /entries", b"", 404, "no such call"),
        ("GET /catalog/members?watch=1&after=x", b"", 400, "after"),
        ("GET //[", b"", 400, ""),
    ],
)
def test_what_does_not_fit_is_a_4xx_with_a_reason_and_changes_nothing(
    path: Path, line: str, content: bytes, status: int, told: str
) -> None:
    async def job() -> None:
        async with serving(path) as registry:
            at = address_of(registry)
            await call(at, "POST /entries", body())
            found = await call(at, line, content)
            assert found[0] == status and told in found[1]["error"]
            assert registry.store.generation == 1
            assert (await call(at, "GET /healthcheck"))[0] == 200

    run(job())


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET /catalog",
        b"POST /entries HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{",
    ],
)
def test_half_a_call_is_timed_out(path: Path, data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(servers, "PATIENCE_S", 0.05)

    async def job() -> None:
        async with serving(path) as registry:
            assert (await raw(address_of(registry), data))[0] == 408
            while registry.calls:
                await asyncio.sleep(0.001)

    run(job())


def test_writes_that_come_together_go_to_disk_together(path: Path) -> None:
    async def job() -> None:
        async with serving(path) as registry:
            at = address_of(registry)
            calls = [call(at, "POST /entries", body(instanceId=f"s-{number}")) for number in range(60)]
            answers = await asyncio.gather(*calls)
            assert [status for status, _ in answers] == [200] * 60
            assert sorted(made["version"] for _, made in answers) == list(range(1, 61))
            assert registry.writes == 60 and registry.batches < 60
            text = (await call(at, "GET /metrics"))[1]
            assert "\nregistry_writes_total 60\n" in text and "registry_generation 60\n" in text

    run(job())


def test_write_whose_writer_has_gone_is_not_carried_out(path: Path) -> None:
    async def job() -> None:
        async with serving(path) as registry:
            gone, stays = [servers.Connection(registry) for _ in range(2)]
            for connection, closing in ((gone, True), (stays, False)):
                connection.transport = type(
                    "Transport",
                    (),
                    {
                        "is_closing": lambda self, closing=closing: closing,
                        "write": lambda self, data: None,
                        "close": lambda self: None,
                    },
                )()
                name = "s-gone" if closing else "s-stays"
                registry.queue(registries.read_register(body(instanceId=name)), connection)
            while not registry.writes:
                await asyncio.sleep(0.001)
            assert list(registry.store.entries) == ["s-stays"] and registry.shed == 1

    run(job())


def test_more_writes_than_may_wait_are_turned_away_with_a_time(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(registries, "MOST_WRITES", 0)

    async def job() -> None:
        async with serving(path) as registry:
            head = f"POST /entries HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body())}\r\n\r\n".encode()
            status, headers, _ = await raw(address_of(registry), head + body())
            assert status == 503 and 1 <= int(headers["retry-after"]) <= 5

    run(job())


def test_disk_that_takes_nothing_refuses_writes_and_reads_go_on(path: Path) -> None:
    async def job() -> None:
        async with serving(path) as registry:
            at = address_of(registry)
            await call(at, "POST /entries", body(instanceId="s-1"))
            registry.store.db.execute("PRAGMA query_only = 1")
            status, told = await call(at, "POST /entries", body(instanceId="s-2"))
            assert status == 503 and "readonly" in told["error"]
            assert (await call(at, "GET /healthcheck"))[0] == 503
            assert named((await call(at, "GET /catalog/members"))[1]) == {"s-1": "SERVING"}
            registry.store.db.execute("PRAGMA query_only = 0")
            assert (await call(at, "POST /entries", body(instanceId="s-2")))[1]["version"] == 2
            assert (await call(at, "GET /healthcheck"))[0] == 200

    run(job())


def test_watch_that_is_not_read_is_cut_and_not_buffered(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(servers, "MOST_UNSENT", 20_000)

    async def job() -> None:
        async with serving(path) as registry:
            at = address_of(registry)
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                slow.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(slow, at)
                await loop.sock_sendall(slow, b"GET /catalog/members?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n")
                while not registry.watches:
                    await asyncio.sleep(0.001)
                quick = await Watcher.open(at)
                await quick.news()
                for _ in range(100):  # what the kernel holds is not ours to bound
                    for connection in list(registry.watches):
                        connection.tell(servers.chunk(b" " * 60_000 + b"\n"))
                    await quick.chunk()
                    if registry.cut:
                        break
                assert registry.cut == 1 and len(registry.watches) == 1
                await call(at, "POST /entries", body(instanceId="s-1"))
                assert named(await quick.news()) == {"s-1": "SERVING"}

    run(job())


def test_lease_that_is_not_renewed_ends_the_entry(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registries, "TICK_S", 0.005)

    async def job() -> None:
        async with serving(path) as registry:
            at, now = address_of(registry), [registry.clock()]
            registry.clock = lambda: now[0]
            for name in ("s-1", "s-2"):
                await call(at, "POST /entries", body(instanceId=name, leaseMs=1500))
            watcher = await Watcher.open(at)
            assert named(await watcher.news()) == {"s-1": "SERVING", "s-2": "SERVING"}
            now[0] += 1.0
            assert (await call(at, "POST /entries/s-1/renew", b'{"life":9}'))[0] == 409
            assert (await call(at, "POST /entries/s-1/renew", b'{"life":1}'))[0] == 200
            while registry.leases.looked_s < now[0]:
                await asyncio.sleep(0.001)
            now[0] += 1.0
            assert named(await watcher.news()) == {"s-2": "DELETED"}
            assert (await call(at, "GET /entries/s-1"))[1]["life"] == 1 and registry.expired == 1

    run(job())


def test_one_that_was_replaced_takes_no_writes_and_goes_on_reading(
    path: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(registries, "ASK_S", 0.005)

    async def job() -> None:
        silent = refusing_address()
        async with serving(tmp_path / "new.db", term=1) as new:
            async with serving(path, peers=(silent, address_of(new))) as old:
                at = address_of(old)
                assert (await call(at, "POST /entries", body(instanceId="s-1")))[0] == 200
                new.store.term = 2  # promoted meanwhile
                while not old.fenced:
                    await asyncio.sleep(0.001)
                status, told = await call(at, "POST /entries", body(instanceId="s-2"))
                assert status == 409 and "is of term 2, this is of 1" in told["error"]
                assert (await call(at, "GET /healthcheck"))[0] == 503
                assert named((await call(at, "GET /catalog/members"))[1]) == {"s-1": "SERVING"}
            async with serving(path, peers=(address_of(new),)) as back:  # fenced before its first write
                assert (await call(address_of(back), "DELETE /entries/s-1"))[0] == 409
                assert back.store.generation == 1

    run(job())


# --- the real processes ---


async def start(path: Path, listen: tuple[str, int], *more: str) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.registry",
        "--listen",
        f"{HOST}:{listen[1]}",
        "--store",
        str(path),
        *more,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    while b"serves generation" not in (line := await process.stderr.readline()):
        assert line, "the registry has ended"
    return process


def test_killed_registry_has_all_it_acknowledged(path: Path) -> None:
    async def job() -> None:
        listen, made = refusing_address(), {}
        process = await start(path, listen, "--create")
        for round_ in range(4):

            async def write(number: int, round_: int = round_) -> None:
                with contextlib.suppress(OSError, IndexError, ValueError):
                    given = body(instanceId=f"s-{round_}-{number}")
                    status, entry = await call(listen, "POST /entries", given)
                    if status == 200:
                        made[entry["instanceId"]] = entry["version"]

            calls = [asyncio.create_task(write(number)) for number in range(40)]
            while len(made) < 40 * round_ + 10 * round_ // 3 + 1 and not all(one.done() for one in calls):
                await asyncio.sleep(0)
            process.send_signal(signal.SIGKILL)
            await process.wait()
            await asyncio.gather(*calls)
            process = await start(path, listen)
            whole = (await call(listen, "GET /catalog/members"))[1]
            assert made.keys() <= named(whole).keys()
            assert all(version <= whole["generation"] for version in made.values())
            known = {entry["instanceId"]: entry for entry in whole["instances"]}
            assert all(json.loads(body(instanceId=name)) == known[name] for name in made)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(job())


@pytest.mark.parametrize(
    ("more", "told"),
    [
        ((), b"there is no store"),
        (("--listen", "x"), b"not host:port"),
    ],
)
def test_start_that_cannot_be_is_told_plainly(path: Path, more: tuple[str, ...], told: bytes) -> None:
    async def job() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "orchidhatch.registry",
            "--listen",
            f"{HOST}:0",
            "--store",
            str(path),
            *more,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode in (1, 2) and told in errors and b"Traceback" not in errors
        assert not path.exists()

    run(job())


def test_front_door_serves_from_the_registry_and_lives_through_its_death(path: Path) -> None:
    async def job() -> None:
        listen, backends = refusing_address(), [Backend(), Backend()]
        process = await start(path, listen, "--create")
        for number, backend in enumerate(backends):
            at = await backend.start()
            given = body(instanceId=f"s-{number}", hostPort=f"{at[0]}:{at[1]}")
            assert (await call(listen, "POST /entries", given))[0] == 200
        door = FrontDoor(replace(CONFIG, discovery=listen))
        await door.start()
        client = await Client.open(door.server.sockets[0].getsockname())
        assert await client.ask(query("a0")) == b"ok"
        drain = await call(listen, "POST /entries/s-0/lifecycle", b'{"lifecycle":"DRAINING"}')
        assert drain[0] == 200
        while door.catalog.version < drain[1]["version"]:
            await asyncio.sleep(0.001)
        before = len(backends[0].commands)
        for number in range(20):
            assert await client.ask(query(f"b{number}")) == b"ok"
        assert len(backends[0].commands) == before
        process.send_signal(signal.SIGKILL)
        await process.wait()
        assert await client.ask(query("c0")) == b"ok"
        process = await start(path, listen)
        assert (await call(listen, "DELETE /entries/s-0"))[0] == 200
        while len(door.catalog.entries) > 1:
            await asyncio.sleep(0.01)
        assert await client.ask(query("d0")) == b"ok"
        door.close()
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(job())
