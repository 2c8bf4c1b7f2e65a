"""Where the agent makes its management calls while processes of its gateway replace each other."""

import asyncio

from orchidhatch.control.agent import gateway_client
from orchidhatch.control.agent.gateway_client import SUSPEND_PATH, GatewayClient
from orchidhatch.control.http_client import Address
from tests.control.policy.helpers import FakeClock
from tests.sockets import HOST, refusing_address

FIRST, SECOND, THIRD = ((HOST, port) for port in (1, 2, 3))


class Calls:
    """A management address that answers each call with a yes, and notes its target."""

    def __init__(self) -> None:
        self.targets: list[str] = []

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self.answer, HOST, 0)
        address: Address = self.server.sockets[0].getsockname()
        return address

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.targets.append((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()


def test_calls_follow_the_gateways_process() -> None:
    client, moves = GatewayClient(FIRST, FakeClock()), []
    client.on_moved = moves.append
    client.move(None)
    client.move(FIRST)
    client.move(SECOND)
    client.move(SECOND)
    assert client.address == SECOND and moves == [SECOND]


def test_calls_go_back_if_a_successor_is_gone() -> None:
    """Once only: the process that it was to replace may be the third one of its gateway."""
    client = GatewayClient(FIRST, FakeClock())
    client.move(SECOND)
    client.move(THIRD)
    for _ in range(3):
        client.move(None)
        assert client.address == SECOND


def test_calls_do_not_go_back_long_after_a_hand_over() -> None:
    time = FakeClock()
    client = GatewayClient(FIRST, time)
    client.move(SECOND)
    time.now += gateway_client.MAX_HANDOVER_S + 1
    client.move(None)
    assert client.address == SECOND


async def test_process_that_is_being_replaced_is_suspended_too() -> None:
    """It serves until the hand-over, and hears nothing of a lease that lapsed or of a new policy."""
    time = FakeClock()
    old = Calls()
    client = GatewayClient(await old.start(), time)
    await client.suspend_predecessor()
    assert old.targets == []
    client.move(SECOND)
    await client.suspend_predecessor()
    assert old.targets == [SUSPEND_PATH]
    time.now += gateway_client.MAX_HANDOVER_S + 1
    await client.suspend_predecessor()
    assert old.targets == [SUSPEND_PATH]


async def test_process_that_is_gone_needs_no_suspension() -> None:
    client = GatewayClient(refusing_address(), FakeClock())
    client.move(SECOND)
    await client.suspend_predecessor()
