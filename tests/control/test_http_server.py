"""The HTTP server of an endpoint list, over loopback sockets: reads, watches and invalid requests."""

import asyncio
import json
import socket
from pathlib import Path

import pytest

from orchidhatch.control import http_connection, list_handlers, watch_broadcaster
from orchidhatch.control.http_response import STORE_HEADER
from tests.control.registry.helpers import Watcher, address_of, call, lifecycles_by_id, raw, serving
from tests.control.test_schemas import body


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "list.db"


async def test_list_and_watch_have_the_protocols_form(path: Path) -> None:
    async with serving(path) as registry:
        at = address_of(registry)
        early = await Watcher.open(at)
        assert await early.next_event() == {"generation": 0, "reset": True, "instances": []}
        assert (await call(at, "POST /entries", body(instanceId="s-1")))[0] == 200
        assert await early.next_event() == {
            "generation": 1,
            "reset": False,
            "instances": [json.loads(body(instanceId="s-1"))],
        }
        status, made = await call(at, "POST /entries/s-1/lifecycle", b'{"lifecycle":"DRAINING"}')
        assert status == 200 and made["version"] == 2 and made["life"] == 1
        assert lifecycles_by_id(await early.next_event()) == {"s-1": "DRAINING"}
        status, whole = await call(at, "GET /catalog/members")
        assert (status, whole["generation"], whole["reset"]) == (200, 2, True)
        assert lifecycles_by_id(whole) == {"s-1": "DRAINING"}
        assert (await call(at, "DELETE /entries/s-1"))[0] == 200
        assert lifecycles_by_id(await early.next_event()) == {"s-1": "DELETED"}
        _, whole = await call(at, "GET /catalog/members")
        assert whole == {"generation": 3, "reset": True, "instances": []}


async def test_watch_resumes_within_the_history(
    path: Path,
) -> None:
    """Otherwise it begins with the whole list."""
    async with serving(path, max_history=3) as registry:
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
            event = await (await Watcher.open(at, after)).next_event()
            assert (event["generation"], event["reset"], sorted(lifecycles_by_id(event))) == (5, reset, names)


async def test_watch_receives_heartbeats(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_broadcaster, "HEARTBEAT_INTERVAL_S", 0.01)
    async with serving(path) as registry:
        watcher = await Watcher.open(address_of(registry))
        await watcher.next_event()
        assert [await watcher.chunk() for _ in range(3)] == [b"\n"] * 3


@pytest.mark.parametrize(
    ("line", "content", "status", "reason"),
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
async def test_invalid_request_is_rejected_with_a_reason(
    path: Path, line: str, content: bytes, status: int, reason: str
) -> None:
    """It changes nothing."""
    async with serving(path) as registry:
        at = address_of(registry)
        await call(at, "POST /entries", body())
        found = await call(at, line, content)
        assert found[0] == status and reason in found[1]["error"]
        assert registry.store.generation == 1
        assert (await call(at, "GET /healthcheck"))[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET /catalog",
        b"POST /entries HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{",
    ],
)
async def test_incomplete_request_times_out(path: Path, data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_connection, "REQUEST_TIMEOUT_S", 0.05)
    async with serving(path) as registry:
        assert (await raw(address_of(registry), data))[0] == 408
        while registry.requests.open:
            await asyncio.sleep(0.001)


async def test_unread_watch_is_aborted(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_connection, "MAX_UNSENT_BYTES", 20_000)
    async with serving(path) as registry:
        at = address_of(registry)
        with socket.socket() as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(slow, at)
            await loop.sock_sendall(slow, b"GET /catalog/members?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n")
            while not registry.broadcaster.watches:
                await asyncio.sleep(0.001)
            quick = await Watcher.open(at)
            await quick.next_event()
            for _ in range(100):  # what the kernel holds is not ours to bound
                for connection in list(registry.broadcaster.watches):
                    registry.broadcaster.send(connection, http_connection.encode_chunk(b" " * 60_000 + b"\n"))
                await quick.chunk()
                if registry.broadcaster.aborted:
                    break
            assert registry.broadcaster.aborted == 1 and len(registry.broadcaster.watches) == 1
            await call(at, "POST /entries", body(instanceId="s-1"))
            assert lifecycles_by_id(await quick.next_event()) == {"s-1": "SERVING"}


async def test_excess_request_gets_retry_after(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_connection, "MAX_REQUESTS", 0)
    async with serving(path) as registry:
        at = address_of(registry)
        status, headers, _ = await raw(at, b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
        assert status == 503 and 1 <= int(headers["retry-after"]) <= 5
        assert registry.requests.rejected == 1


async def test_excess_watch_is_rejected(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_handlers, "MAX_WATCHES", 1)
    async with serving(path) as registry:
        at = address_of(registry)
        first = await Watcher.open(at)
        status, response = await call(at, "GET /catalog/members?watch=1")
        assert status == 503 and "too many watches" in response["error"]
        assert await first.next_event() and registry.requests.rejected == 1


async def test_watch_of_another_store_begins_with_the_whole_list(path: Path) -> None:
    async with serving(path) as registry:
        at = address_of(registry)
        assert (await call(at, "POST /entries", body(instanceId="s-1")))[0] == 200
        for store_name, is_whole in ((registry.store_name(), False), ("0011223344556677 1", True)):
            reader, writer = await asyncio.open_connection(*at)
            head = f"GET /catalog/members?watch=1&after=1 HTTP/1.1\r\nHost: x\r\n{STORE_HEADER}: {store_name}"
            writer.write(f"{head}\r\n\r\n".encode())
            await reader.readuntil(b"\r\n\r\n")
            size = int(await reader.readline(), 16)
            assert json.loads(await reader.readexactly(size))["reset"] is is_whole
            writer.close()


async def test_watch_receives_each_change_once(
    path: Path,
) -> None:
    async with serving(path) as registry:
        at = address_of(registry)
        watcher = await Watcher.open(at)
        assert lifecycles_by_id(await watcher.next_event()) == {}
        for name in ("s-1", "s-2", "s-3"):
            assert (await call(at, "POST /entries", body(instanceId=name)))[0] == 200
            assert lifecycles_by_id(await watcher.next_event()) == {name: "SERVING"}
