"""Fenced calls to a gateway through its agent, over HTTP."""

import asyncio
import json
from pathlib import Path

from orchidhatch.control.agent.service import Agent
from orchidhatch.control.registry.store import Store
from tests.control.ownership.test_service import open_session
from tests.control.registry.helpers import address_of, call, serving
from tests.sockets import HOST, refusing_address


async def test_fenced_call_when_late_then_is_refused_and_unknown_epochs_are_learned_first(
    tmp_path: Path,
) -> None:
    calls: list[str] = []

    async def door(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        calls.append((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def act(agent: Agent, call_: str, epoch: int, number: int) -> int:
        value = json.dumps({"claim": "x", "epoch": epoch, "act": number}).encode()
        return (await call(address_of(agent), f"POST /door/{call_}", value))[0]

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
