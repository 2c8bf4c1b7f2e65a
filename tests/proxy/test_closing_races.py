"""Bytes that arrive in the moment in which a connection to a backend or a watch closes, over loopback."""

import asyncio
import json
import socket

import pytest

from orchidhatch.proxy import socket_inspection
from tests.proxy.gateway_scripts import slow_client_of_sent_answer, until
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


async def test_sockets_send_small_writes_without_delay() -> None:
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


async def test_retry_states_the_time_that_is_left() -> None:
    """A further attempt tells its backend no more time than the client has left."""

    def stated_ms(arguments: list[bytes]) -> int:
        fields = dict(part.split(b"=") for part in arguments[3].split(b","))
        return int(fields[b"d"])

    backends = [Backend(lambda arguments: None), Backend(lambda arguments: None)]
    async with front_door(*backends) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1", wait_ms=3000))
        while not (first := next((one for one in backends if one.commands), None)):
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        first.writers[0].transport.abort()
        while not all(one.commands for one in backends):
            await asyncio.sleep(0)
        left_ms = (
            gateway.requests.open["a1"].deadline_us - gateway.requests.open["a1"].arrived_us
        ) / 1000 - 100
        second = next(one for one in backends if one is not first)
        assert stated_ms(second.commands[0]) <= left_ms
        second.writers[0].write(value(b"ok"))
        assert await client.answer() == b"ok"


@pytest.mark.parametrize("indent", [None, 2], ids=["on one line", "indented"])
async def test_list_without_length_ends_with_its_connection(indent: int | None) -> None:
    """An answer over HTTP that states no length is whole at the end of its connection."""
    listed = json.loads(catalog(9, []))
    body = json.dumps(listed, indent=indent).encode()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD_WITHOUT_LENGTH + body)
        await writer.drain()

    discovery = await Watch(script).start()
    async with front_door(Backend()) as (gateway, _):
        gateway.discovery.move(discovery)
        while gateway.endpoint_list_reader.version != 9:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("head", [HEAD_WITHOUT_LENGTH, HEAD], ids=["no length", "chunked"])
async def test_list_cut_by_a_reset_is_not_applied(head: bytes) -> None:
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
        assert gateway.endpoint_list_reader.version == 7


async def test_partial_answer_at_a_close_ends_the_attempt_once() -> None:
    """Half a line, then the end: the attempt may have run, and its request gets one answer."""

    backend = Backend(lambda arguments: None)
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


async def test_inspection_of_a_closed_socket_finds_nothing() -> None:
    """Guards against an exception in a drain that looks at a connection which has just been lost."""
    async with front_door(Backend()) as (gateway, address):
        client = await Client.open(address)
        await until(lambda: gateway.clients.connections)
        (connection,) = gateway.clients.connections
        connection.abort()
        assert await client.ended()
        await until(lambda: not gateway.clients.connections)
        assert not socket_inspection.has_unread_bytes(connection.transport)
        assert socket_inspection.unsent_bytes(connection.transport) == 0


async def test_sent_answer_is_delivered_though_a_command_crosses_the_close() -> None:
    """Guards against a reset that discards an answer in the kernel: the client was slow to read it."""
    answer = b"x" * 24_000
    async with front_door(Backend(lambda arguments: value(answer))) as (gateway, address):
        client = await slow_client_of_sent_answer(gateway, address)
        (connection,) = gateway.clients.connections
        assert not connection.transport.get_write_buffer_size()
        gateway.clients.stop_reading()
        await asyncio.sleep(0.02)
        client.send(query("a2"))
        await asyncio.sleep(0.02)
        client.writer.transport.resume_reading()
        assert await client.answer() == answer
        assert await client.ended()
