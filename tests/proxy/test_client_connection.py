"""A client connection over loopback: its answers' order, its faults, its client's end, its close."""

import asyncio

import pytest

from orchidhatch.proxy import (
    socket_inspection,
)
from orchidhatch.proxy.client_connection import MAX_PIPELINED_COMMANDS
from tests.proxy.gateway_scripts import (
    queue_status,
    until,
    waits_count,
)
from tests.sockets import (
    Backend,
    Client,
    front_door,
    query,
    resp,
    run,
    value,
)


async def test_answers_keep_the_order_of_commands() -> None:
    backend = Backend(lambda arguments: None if arguments[2] == b"a1" else value(arguments[2]))
    async with front_door(backend) as (_, address):
        client = await Client.open(address)
        client.send(query("a1") + resp("PING") + query("a2") + resp("WHAT"))
        while len(backend.commands) < 2:
            backend.came.clear()
            await backend.came.wait()
        slow = next(n for n, arguments in enumerate(backend.commands) if arguments[2] == b"a1")
        backend.writers[slow].write(value(b"a1"))
        answers = [await client.answer() for _ in range(4)]
        assert answers == [b"a1", b"PONG", b"a2", "-ERR unknown command"]


def test_internal_fault_answers_what_is_owed(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        backend = Backend(lambda arguments: None)
        async with front_door(backend) as (gateway, address):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.came.wait()

            def broken(arguments: list[bytes], reply: object) -> None:
                raise RuntimeError("a fault of ours")

            gateway.clients.start_request = broken
            client.send(query("a2"))
            answers = [await client.answer() for _ in range(3)]
            assert answers == ["-ERR failed", "-ERR failed", "-ERR internal error"]
            assert await client.ended()
            assert not gateway.requests.open

    run(job())
    assert "a fault of ours" in caplog.text


async def test_reading_pauses_at_the_pipelining_limit() -> None:
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(b"".join(query(f"a{n}") for n in range(3 * MAX_PIPELINED_COMMANDS)))
        await until(lambda: queue_status(gateway, "unread").depth)
        assert queue_status(gateway, "held").depth + len(backend.commands) <= 3 * MAX_PIPELINED_COMMANDS
        backend.answer = lambda arguments: value(b"ok")
        for _ in range(len(backend.commands)):
            backend.writers.pop().write(value(b"ok"))
        while waits_count(queue_status(gateway, "unread").waits) == 0:
            for writer in backend.writers:
                writer.write(value(b"ok"))
            backend.writers.clear()
            await asyncio.sleep(0.001)
        client.writer.close()


async def test_client_that_leaves_is_noticed_while_reading_pauses() -> None:
    """Its end lies behind what it had pipelined, or its answers could not leave."""

    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(b"".join(query(f"a{n}") for n in range(40)))
        while all(connection.is_reading for connection in gateway.clients.connections):
            await asyncio.sleep(0)
        client.writer.close()
        while gateway.requests.open or gateway.clients.connections or gateway.core.requests:
            await asyncio.sleep(0.001)


async def test_half_close_behind_unsent_answers_ends_requests() -> None:
    """The loop tells of a connection's loss only when all is written."""

    backend = Backend(lambda arguments: None if arguments[2] == b"a2" else value(b"x" * 60_000))
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1") + query("a2"))
        while len(backend.commands) < 2 or "a1" in gateway.requests.open:
            await asyncio.sleep(0)
        (connection,) = gateway.clients.connections
        connection.transport.set_write_buffer_limits(1 << 24)
        connection.transport.write(b"x" * (1 << 23))  # more than the kernel takes for who reads nothing
        client.writer.write_eof()
        while "a2" in gateway.requests.open:
            await asyncio.sleep(0)
        assert connection in gateway.clients.connections


LONG_VALUE = bytes(
    1 << 20
)  # more than a client that does not read takes, and less than the system holds for it


async def test_last_answer_is_complete_despite_unread_bytes() -> None:
    """Unread bytes at the close would have the system reset the connection, and drop what it still holds."""

    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        gateway.clients.stop_reading()
        client.writer.transport.pause_reading()
        client.send(query("a2"))
        (connection,) = gateway.clients.connections
        while not socket_inspection.has_unread_bytes(connection.transport):
            await asyncio.sleep(0)
        backend.writers[0].write(value(LONG_VALUE))
        while (
            gateway.requests.open or not connection.is_ending or connection.transport.get_write_buffer_size()
        ):
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        client.writer.transport.resume_reading()
        assert await client.answer() == LONG_VALUE
        assert await client.ended()
        assert [arguments[2] for arguments in backend.commands] == [b"a1"]


async def test_error_line_is_delivered_despite_a_flood() -> None:
    """The flood follows the malformed command."""
    async with front_door(Backend()) as (_, address):
        client = await Client.open(address)
        client.send(b"GET / HTTP/1.1\r\n" + bytes(2 << 20))
        assert str(await client.answer()).startswith("-ERR Protocol error")
        assert await client.ended()


async def test_endless_flood_is_read_for_a_bounded_time() -> None:
    """The connection is reset after a while, and its descriptor is free again."""

    async with front_door(Backend()) as (gateway, address):
        client = await Client.open(address)
        client.send(b"GET / HTTP/1.1\r\n" + bytes(1 << 20))
        assert str(await client.answer()).startswith("-ERR Protocol error")
        while gateway.clients.connections:
            client.send(bytes(1024))
            await asyncio.sleep(0.01)
