"""Fenced calls to a gateway through its agent, over HTTP."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path

from orchidhatch.control.agent.service import Agent
from orchidhatch.control.registry.store import Store
from tests.control.ownership.test_service import open_session
from tests.control.registry.helpers import address_of, call, serving
from tests.sockets import HOST, refusing_address


class FakeGateway:
    """Says yes to each management call, and notes its path."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.answer, HOST, 0)

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls.append((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()


@contextlib.asynccontextmanager
async def agent_of(gateway: FakeGateway, path: Path, registry: tuple[str, int]) -> AsyncIterator[Agent]:
    address = gateway.server.sockets[0].getsockname()
    agent = Agent(Store(path, create=True), [registry], 1, gateway=address)
    await agent.start(HOST, 0)
    try:
        yield agent
    finally:
        await agent.close()


async def call_gateway(agent: Agent, call_path: str, epoch: int, number: int) -> int:
    """The status of a call that is made under the claim x."""
    value = json.dumps({"claim": "x", "epoch": epoch, "act": number}).encode()
    return (await call(address_of(agent), f"POST /door/{call_path}", value))[0]


async def take_claim(registry_address: tuple[str, int]) -> int:
    """The epoch of the claim x, taken in a new session."""
    await open_session(registry_address, "a")
    content = b'{"holder":"a","life":"1"}'
    return (await call(registry_address, "POST /claims/x/take", content))[1]["epoch"]


async def test_late_fenced_call_is_rejected(tmp_path: Path) -> None:
    """The agent learns the epochs from a registry before its first call, and remembers them."""
    path = tmp_path / "a.db"
    silent = refusing_address()
    gateway = FakeGateway()
    await gateway.start()
    async with agent_of(gateway, path, silent) as agent:
        assert await call_gateway(agent, "backends/s-1/maint", 7, 1) == 503 and not gateway.calls
    async with serving(tmp_path / "1.db") as registry:
        address = address_of(registry)
        epoch = await take_claim(address)
        async with agent_of(gateway, path, address) as agent:
            assert await call_gateway(agent, "backends/s-1/maint", epoch - 1, 99) == 409
            assert await call_gateway(agent, "backends/s-1/maint", epoch, 5) == 200
            assert await call_gateway(agent, "backends/s-1/ready", epoch, 6) == 200
            assert await call_gateway(agent, "backends/s-1/maint", epoch, 5) == 409  # delayed on the way
            assert await call_gateway(agent, "backends/s-2/maint", epoch + 1, 5) == 200
            assert await call_gateway(agent, "../healthcheck", epoch + 1, 5) == 404
            assert await call_gateway(agent, "backends/s-1/maint", 1 << 60, 5) == 400
    async with agent_of(gateway, path, silent) as agent:
        assert await call_gateway(agent, "backends/s-2/ready", epoch, 9) == 409
        assert await call_gateway(agent, "backends/s-2/ready", epoch + 1, 9) == 200
    gateway.server.close()
    assert gateway.calls == [
        "/backends/s-1/maint",
        "/backends/s-1/ready",
        "/backends/s-2/maint",
        "/backends/s-2/ready",
    ]
