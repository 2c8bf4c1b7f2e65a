"""The calls of operators: forms, bounds, and what each brings about."""

import asyncio
from dataclasses import replace

import pytest

from orchidhatch.proxy import management
from orchidhatch.proxy.metrics import RequestMetrics
from orchidhatch.proxy.server import GatewayServer
from tests.sockets import HOST, SETTINGS, Backend, Client, front_door, query, resp, value


def at(gateway: GatewayServer) -> tuple[str, int]:
    return gateway.management.server.sockets[0].getsockname()


async def call(gateway: GatewayServer, line: str, more: str = "Host: x\r\n\r\n") -> tuple[int, str]:
    """One call to its end: the status and the body."""
    reader, writer = await asyncio.open_connection(*at(gateway))
    writer.write(f"{line} HTTP/1.1\r\n{more}".encode())
    head, _, body = (await reader.read()).decode().partition("\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body


def operated(*backends: Backend, **changes: object) -> object:
    return front_door(*backends, **{"management": (HOST, 0), **changes})


async def figures(gateway: GatewayServer) -> dict[str, int]:
    status, body = await call(gateway, "GET /stats")
    assert status == 200
    return {name: int(number) for name, number in (line.rsplit(" ", 1) for line in body.splitlines())}


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /healthcheck", 200),
        ("GET /healthcheck?x=1", 200),
        ("GET /stats", 200),
        ("GET /what", 404),
        ("GET /", 404),
        ("POST /stats", 405),
        ("GET /healthcheck/fail", 405),
        ("GET /backends/s0/maint", 405),
        ("POST /backends/s0/maint", 200),
        ("POST /backends/s%30/maint", 200),
        ("POST /backends/s9/maint", 404),
        ("POST /backends/s9/ready", 404),
        ("POST /backends//maint", 404),
        ("POST /backends/s0/what", 404),
        ("GARBAGE", 400),
    ],
)
async def test_call_has_its_status(line: str, status: int) -> None:
    async with operated(Backend()) as (gateway, _):
        assert (await call(gateway, line))[0] == status
        assert (await call(gateway, "GET /healthcheck"))[0] == 200


async def test_head_and_body_are_bounded() -> None:
    async with operated(Backend()) as (gateway, _):
        assert (await call(gateway, "GET /stats", f"X: {'x' * 9000}"))[0] == 431
        for size, status in ((3, 200), (management.MAX_BODY_BYTES + 1, 413)):
            more = f"Host: x\r\nContent-Length: {size}\r\n\r\n{'x' * size}"
            assert (await call(gateway, "POST /backends/s0/maint", more))[0] == status


async def test_slow_callers_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(management, "MAX_CONNECTIONS", 4)

    async with operated(Backend()) as (gateway, _):
        slow = [await asyncio.open_connection(*at(gateway)) for _ in range(8)]
        for _, writer in slow:
            writer.write(b"GET /health")
        assert (await call(gateway, "GET /healthcheck"))[0] == 200
        assert len(gateway.management.connections) <= 4
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await slow[0][0].readexactly(1)
        for _, writer in slow:
            writer.close()


async def test_incomplete_call_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(management, "CALL_TIMEOUT_S", 0.05)

    async with operated(Backend()) as (gateway, _):
        reader, writer = await asyncio.open_connection(*at(gateway))
        writer.write(b"GET /stats HTTP/1.1\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
        writer.close()


def test_label_is_escaped_and_zeros_show() -> None:
    assert 'proxy_errored_total{group="a\\"\\\\\\n"} 0\n' in RequestMetrics(['a"\\\n']).text()


async def test_counters_count_since_the_start() -> None:
    answers = {b"a1": value(b"ok"), b"a2": b"-BUSY\r\n", b"a3": b"-ERR failed\r\n"}

    backend = Backend(lambda arguments: answers.get(arguments[2]))
    changes = {"max_attempts": 1, "may_hedge": False}
    async with operated(backend, settings=replace(SETTINGS, **changes)) as (gateway, address):
        client = await Client.open(address)
        assert (await figures(gateway))['proxy_answered_total{group="read"}'] == 0
        for name in answers:
            await client.ask(query(name.decode()))
        gateway.requests.tally.clear()  # as the log does
        assert await client.ask(query("a1", c="what")) == "-ERR a field is given twice"
        client.send(query("a4"))
        while len(backend.commands) < 4:
            backend.came.clear()
            await backend.came.wait()
        found = await figures(gateway)
        ended = {
            how: found[f'proxy_{how}_total{{group="read"}}'] for how in ("answered", "deferred", "errored")
        }
        # read-like: what failed may be asked again, and is refused rather than failed
        assert ended["answered"] == 1 and ended["deferred"] + ended["errored"] == 2
        assert found["proxy_sends_total"] == 4 and found["proxy_current"] == 1
        assert found["proxy_cluster_size"] == 1 and found['proxy_answered_total{group="book"}'] == 0


async def test_ejected_backend_gets_nothing_until_readmitted() -> None:
    backends = [Backend(), Backend()]
    async with operated(*backends) as (gateway, address):
        client = await Client.open(address)
        for _ in range(2):  # a repeat is a yes
            assert (await call(gateway, "POST /backends/s0/maint"))[0] == 200
        assert (await figures(gateway))["proxy_cluster_unhealthy"] == 1
        for number in range(20):
            assert await client.ask(query(f"a{number}")) == b"ok"
        assert not backends[0].commands and len(backends[1].commands) == 20
        assert (await call(gateway, "POST /backends/s0/ready"))[0] == 200
        number = 20
        while not backends[0].commands:
            assert await client.ask(query(f"a{number}")) == b"ok"
            number += 1


async def test_ejected_backend_loses_waiting_attempts() -> None:
    backend = Backend()
    async with operated(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        pool = gateway.backends.pools["s0"]
        while not pool.waiting_attempts:
            await asyncio.sleep(0)
        gateway.management_handlers.begin_maintenance("s0")
        assert not pool.waiting_attempts
        client.writer.close()
        while pool.connecting or pool.connections:
            await asyncio.sleep(0.01)
        assert not backend.commands


async def test_drain_by_call_and_back() -> None:
    async with operated(Backend()) as (gateway, address):
        idle, kept = [await Client.open(address) for _ in range(2)]
        assert await idle.ask(query("a1")) == b"ok"
        assert (await call(gateway, "POST /healthcheck/fail"))[0] == 200
        assert str(await kept.ask(resp("PING"))).startswith("-ERR")
        assert (await call(gateway, "GET /healthcheck"))[0] == 503
        late = await Client.open(address)
        assert await late.ask(query("a2")) == b"ok"
        for client in (idle, kept, late):
            assert await client.ended()
        last = await Client.open(address)
        assert str(await last.ask(resp("PING"))).startswith("-ERR") and await last.ended()
        assert (await call(gateway, "POST /healthcheck/ok"))[0] == 200
        again = await Client.open(address)
        assert await again.ask(resp("PING")) == b"PONG"
        assert (await call(gateway, "GET /healthcheck"))[0] == 200
        assert await again.ask(query("a3")) == b"ok"
        assert await again.ask(query("a4")) == b"ok"


async def test_ending_process_cannot_be_called_back() -> None:
    async with operated(Backend()) as (gateway, address):
        client = await Client.open(address)
        drain = asyncio.create_task(gateway.drain())
        await asyncio.sleep(0)
        assert str(await client.ask(resp("PING"))).startswith("-ERR")
        assert (await call(gateway, "POST /healthcheck/ok"))[0] == 409
        assert (await call(gateway, "GET /healthcheck"))[0] == 503
        assert await client.ended()
        await drain


async def test_complete_head_beyond_the_limit_is_refused() -> None:
    """Guards against a head that is not bounded where it arrives complete, in one read."""
    async with operated(Backend()) as (gateway, _):
        assert (await call(gateway, "GET /stats", f"Host: x\r\nX: {'x' * 9000}\r\n\r\n"))[0] == 431
