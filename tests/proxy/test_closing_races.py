"""Bytes that arrive in the very moment in which a connection is shut or closed, forced over loopback."""

import asyncio
import json
import socket

import pytest

from orchidhatch.proxy import socket_inspection
from tests.sockets import (
    HEAD,
    Backend,
    Client,
    Watch,
    catalog,
    chunk,
    front_door,
    query,
    resp,
    value,
)

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
LONG_VALUE = bytes(
    1 << 20
)  # more than a client that does not read takes, and less than the system holds for it


async def test_last_answer_is_delivered_whole_when_the_client_sent_more_behind_it() -> None:
    """Unread bytes at the close would have the system reset the connection, and drop what it still holds."""

    backend = Backend(lambda words: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        gateway.clients.read_no_more()
        client.writer.transport.pause_reading()
        client.send(query("a2"))
        (connection,) = gateway.clients.connections
        while not socket_inspection.unread(connection.transport):
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
        assert [words[2] for words in backend.commands] == [b"a1"]


async def test_error_line_is_delivered_when_a_flood_follows_the_malformed_command() -> None:
    async with front_door(Backend()) as (_, address):
        client = await Client.open(address)
        client.send(b"GET / HTTP/1.1\r\n" + bytes(2 << 20))
        assert str(await client.answer()).startswith("-ERR Protocol error")
        assert await client.ended()


async def test_flood_of_a_client_that_never_ends_is_not_read_for_ever() -> None:
    """The connection is reset after a while, and its descriptor is free again."""

    async with front_door(Backend()) as (gateway, address):
        client = await Client.open(address)
        client.send(b"GET / HTTP/1.1\r\n" + bytes(1 << 20))
        assert str(await client.answer()).startswith("-ERR Protocol error")
        while gateway.clients.connections:
            client.send(bytes(1024))
            await asyncio.sleep(0.01)


async def test_request_that_arrives_behind_the_close_of_a_resting_connection_is_not_sent_on() -> None:
    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        gateway.clients.drain()
        client.send(query("a2"))
        assert await client.ended()
        assert [words[2] for words in backend.commands] == [b"a1"]
        assert not gateway.requests.open


async def test_small_writes_are_never_held_back_by_the_system() -> None:
    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        (pool,) = gateway.backends.pools.values()
        ends = [one.transport for one in (*gateway.clients.connections, *pool.connections)]
        sockets = [end.get_extra_info("socket") for end in ends]
        assert len(sockets) == 2
        for end in sockets:
            assert end.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_further_attempt_tells_its_backend_no_more_time_than_the_client_has_left() -> None:
    def told_ms(words: list[bytes]) -> int:
        fields = dict(part.split(b"=") for part in words[3].split(b","))
        return int(fields[b"d"])

    backends = [Backend(lambda words: None), Backend(lambda words: None)]
    async with front_door(*backends) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1", wait_ms=3000))
        while not (first := next((one for one in backends if one.commands), None)):
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        first.writers[0].transport.abort()
        while not all(one.commands for one in backends):
            await asyncio.sleep(0)
        left_ms = (gateway.requests.open["a1"].end_us - gateway.requests.open["a1"].came_us) / 1000 - 100
        second = next(one for one in backends if one is not first)
        assert told_ms(second.commands[0]) <= left_ms
        second.writers[0].write(value(b"ok"))
        assert await client.answer() == b"ok"


@pytest.mark.parametrize("indent", [None, 2], ids=["on one line", "indented"])
async def test_list_without_a_length_is_taken_when_its_connection_ends(indent: int | None) -> None:
    """An answer over HTTP that states no length is whole at the end of its connection."""
    listed = json.loads(catalog(9, []))
    body = json.dumps(listed, indent=indent).encode()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD_WITHOUT_LENGTH + body)
        await writer.drain()

    discovery = await Watch(script).start()
    async with front_door(Backend()) as (gateway, _):
        gateway.discovery.move(discovery)
        while gateway.catalog.version != 9:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("head", [HEAD_WITHOUT_LENGTH, HEAD], ids=["no length", "chunked"])
async def test_list_that_a_reset_cuts_is_not_taken(head: bytes) -> None:
    """What was read of it makes sense as it stands; a reset is no end all the same."""
    cut = catalog(9, []).rstrip()

    async def reset(writer: asyncio.StreamWriter) -> None:
        writer.write(head + (chunk(cut) if head is HEAD else cut))
        await writer.drain()
        await asyncio.sleep(0.05)
        end = writer.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        writer.transport.abort()

    watch = Watch(reset)
    discovery = await watch.start()
    async with front_door(Backend()) as (gateway, _):
        gateway.discovery.move(discovery)
        while len(watch.targets) < 3:
            await asyncio.sleep(0.01)
        assert gateway.catalog.version == 7


async def test_unreadable_bytes_of_a_backend_at_its_close_end_the_attempt_once() -> None:
    """Half a line, then the end: the attempt may have run, and its request gets one answer."""

    backend = Backend(lambda words: None)
    async with front_door(backend) as (_, address):
        client = await Client.open(address)
        client.send(resp("SVC.SUBMIT", "00000000b4d65521", "u1", "c=settle,t=team,d=2000", "B"))
        await backend.came.wait()
        backend.writers[0].write(b"*3\r\n$2\r\no")
        backend.writers[0].close()
        assert str(await client.answer()).startswith("-ERR")
        client.send(query("a2"))
        while len(backend.commands) < 2:
            await asyncio.sleep(0)
        backend.writers[1].write(value(b"ok"))
        assert await client.answer() == b"ok"
