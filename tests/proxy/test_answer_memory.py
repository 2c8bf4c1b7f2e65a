"""Answers in memory are bounded on every path, from a backend's first byte to the last one a client takes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from orchidhatch.proxy.piece_buffer import MIN_PIECE_BYTES, PieceBuffer
from orchidhatch.proxy.process_resources import raise_descriptor_limit
from orchidhatch.proxy.request_exchange import RequestExchange
from orchidhatch.proxy.send_backlog import SendBacklog
from orchidhatch.proxy.server import GatewayServer
from tests.proxy.gateway_scripts import (
    MemoryWatch,
    ask_with_one_behind,
    queue_status,
    slow_client,
    until,
)
from tests.proxy.test_main import SETTINGS, start
from tests.sockets import CUSTOMER, Address, Backend, Client, front_door, query, resp, submit, value

MB = 1 << 20
LONGEST = 4 * MB
LONG = bytes(range(256)) * 1024
LONG_HEAD = b"*3\r\n$%d\r\n" % len(LONG)
LONG_TAIL = b"\r\n$-1\r\n$-1\r\n"
SHORT_BYTES = 64 * 1024
UNLIMITED_PLAN = {"name": "team", "units-per-s": 1e6, "burst": 1e6}
WAIT_MS = 6000
"""Longer than any of these clients takes to read."""


def ask(name: str) -> bytes:
    return resp("SVC.QUERY", CUSTOMER, name, f"c=read,t=team,d={WAIT_MS}")


async def read_slowly(client: Client, count: int) -> list[object]:
    """The next answers, read some KiB at a time."""
    answers = []
    while len(answers) < count:
        reply = client.parser.gets()
        if reply is not Client:
            answers.append(reply)
            continue
        data = await client.reader.read(50_000)
        assert data, f"the connection has ended after {len(answers)} of {count} answers"
        client.parser.feed(data)
        await asyncio.sleep(0.004)
    return answers


@contextlib.asynccontextmanager
async def process_of(
    tmp_path: Path, backend: Backend, limit_mb: int, sockets: int = 512
) -> AsyncIterator[tuple[MemoryWatch, Address]]:
    process, address = await start(
        tmp_path,
        backend,
        limits={"sockets": sockets, "memory_mb": limit_mb},
        settings={**SETTINGS, "plans": [UNLIMITED_PLAN]},
    )
    watch = MemoryWatch(process.pid)
    watching = asyncio.create_task(watch.run())
    try:
        yield watch, address
    finally:
        watching.cancel()
        process.kill()
        await process.wait()


@pytest.mark.parametrize(("limit_mb", "count"), [(32, 8), (80, 20)])
async def test_long_values_before_others_stay_within_the_memory(
    tmp_path: Path, limit_mb: int, count: int
) -> None:
    """Guards against a kill for memory: a value that is not the last on its connection stayed there whole."""
    long = b"x" * LONGEST
    backend = Backend(lambda arguments: value(long if arguments[2].startswith(b"long") else b"next"))
    async with process_of(tmp_path, backend, limit_mb) as (watch, address):
        clients = [await slow_client(address) for _ in range(count)]
        for number, client in enumerate(clients):
            client.send(ask(f"long{number}") + ask(f"next{number}"))
        answers = await asyncio.gather(*[read_slowly(client, 2) for client in clients])
        assert [[len(one) for one in answer] for answer in answers] == [[LONGEST, len(b"next")]] * count
        assert 0 < watch.peak_mb <= limit_mb


async def test_answers_behind_an_unanswered_one_are_counted() -> None:
    """Guards against memory beyond every bound: what waits behind an earlier answer was not counted."""
    short, behind = b"x" * SHORT_BYTES, 3
    backend = Backend(lambda arguments: None if arguments[2] == b"a0" else value(short))
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(b"".join(query(f"a{number}") for number in range(1 + behind)))
        await until(lambda: len(backend.commands) == 1 + behind and list(gateway.requests.open) == ["a0"])
        assert gateway.clients.backlog.unsent_bytes >= behind * SHORT_BYTES
        backend.writer_of("a0").write(value(b"first"))
        assert [await client.answer() for _ in range(1 + behind)] == [b"first"] + [short] * behind
        await until(lambda: not gateway.clients.backlog.unsent_bytes)


async def test_answers_that_nobody_reads_stay_within_the_memory(tmp_path: Path) -> None:
    """Guards against a close with answers owed: the slowest clients were closed to free their memory."""
    limit_mb, clients_count, commands = 32, 4, 300
    short = b"x" * SHORT_BYTES
    backend = Backend(lambda arguments: value(short))
    async with process_of(tmp_path, backend, limit_mb) as (watch, address):
        clients = [await slow_client(address) for _ in range(clients_count)]
        for number, client in enumerate(clients):
            client.writer.transport.pause_reading()
            client.send(b"".join(ask(f"a{number}x{place}") for place in range(commands)))
        await backend.came.wait()
        await asyncio.sleep(0.5)
        for client in clients:
            client.writer.transport.resume_reading()
        answers = await asyncio.gather(*[read_slowly(client, commands) for client in clients])
        for answer in answers:
            assert all(one == short or str(one).startswith("BUSY") for one in answer)
        assert 0 < watch.peak_mb <= limit_mb


# --- buffered values ---


def buffering_requests(gateway: GatewayServer) -> list[RequestExchange]:
    return [exchange for exchange in gateway.requests.open.values() if exchange.buffered]


async def test_slow_long_value_before_another_answer_is_not_cut() -> None:
    """Guards against -BUSY for a value that its backend was still giving at the request's deadline."""
    backend = Backend(lambda arguments: None if arguments[2] == b"a1" else value(b"second"))
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        writer = await ask_with_one_behind(gateway, backend, client, wait_ms=300)
        answer = LONG_HEAD + LONG + LONG_TAIL
        piece_bytes = len(answer) // 20
        for start_byte in range(0, len(answer), piece_bytes):
            writer.write(answer[start_byte : start_byte + piece_bytes])
            await asyncio.sleep(0.03)
        assert await client.answer() == LONG
        assert await client.answer() == b"second"


async def test_stalled_value_before_another_answer_ends_at_its_deadline() -> None:
    """What a backend has stopped giving is not waited for; the connection and the next answer live on."""
    backend = Backend(lambda arguments: None if arguments[2] == b"a1" else value(b"second"))
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        writer = await ask_with_one_behind(gateway, backend, client, wait_ms=400)
        writer.write(LONG_HEAD + LONG[:1000])
        assert str(await client.answer()).startswith("-BUSY")
        assert await client.answer() == b"second"
        assert await client.ask(query("a3")) == b"second"
        await until(lambda: not gateway.requests.ended)
        assert not gateway.clients.backlog.total_bytes()


async def test_values_wait_for_memory_in_turn() -> None:
    """One value at a time has room: the second backend is not read on until the first value is sent."""
    backend = Backend(
        lambda arguments: value(b"next") if arguments[2].startswith(b"next") else LONG_HEAD + LONG[:1000]
    )
    async with front_door(backend) as (gateway, address):
        gateway.clients.backlog.limit_bytes = len(LONG) + 8192
        clients = [await Client.open(address) for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(query(f"long{number}") + query(f"next{number}"))
        await until(lambda: len(buffering_requests(gateway)) == 2)
        first, second = sorted(
            buffering_requests(gateway), key=lambda exchange: not exchange.buffered.is_reserved
        )
        assert first.buffered.is_reserved and not second.buffered.is_reserved
        assert list(gateway.clients.backlog.waiting_values) == [second.buffered]
        rest = LONG[1000:] + LONG_TAIL
        for arguments, writer in zip(backend.commands, backend.writers, strict=True):
            if arguments[2].startswith(b"long"):
                writer.write(rest)
        for client in clients:
            assert [await client.answer(), await client.answer()] == [LONG, b"next"]
        await until(lambda: not gateway.requests.open and not gateway.clients.backlog.total_bytes())


async def test_value_without_memory_at_its_deadline_is_streamed() -> None:
    backend = Backend(
        lambda arguments: value(b"next") if arguments[2] == b"a2" else LONG_HEAD + LONG + LONG_TAIL
    )
    async with front_door(backend) as (gateway, address):
        gateway.clients.backlog.limit_bytes = len(LONG) // 2
        client = await Client.open(address)
        client.send(query("a1", wait_ms=400) + query("a2"))
        assert [await client.answer(), await client.answer()] == [LONG, b"next"]
        await until(lambda: not gateway.requests.open and not gateway.clients.backlog.total_bytes())


async def test_value_that_broke_while_it_waited_is_not_streamed() -> None:
    """Guards against the loss of the answers behind it: it was passed on although its backend had gone."""
    backend = Backend(
        lambda arguments: value(b"next") if arguments[2] == b"a2" else LONG_HEAD + LONG[:50_000]
    )
    async with front_door(backend) as (gateway, address):
        gateway.clients.backlog.limit_bytes = len(LONG) // 2
        client = await Client.open(address)
        client.send(query("a1", wait_ms=400) + query("a2"))
        await until(lambda: gateway.clients.backlog.waiting_values and "a2" not in gateway.requests.open)
        backend.writer_of("a1").transport.abort()
        assert str(await client.answer()).startswith("-ERR")
        assert await client.answer() == b"next"


async def test_client_that_leaves_frees_a_value_that_waits() -> None:
    backend = Backend(
        lambda arguments: value(b"next") if arguments[2] == b"a2" else LONG_HEAD + LONG + LONG_TAIL
    )
    async with front_door(backend) as (gateway, address):
        gateway.clients.backlog.limit_bytes = len(LONG) // 2
        client = await Client.open(address)
        client.send(query("a1") + query("a2"))
        await until(lambda: gateway.clients.backlog.waiting_values)
        client.writer.transport.abort()
        await until(lambda: not gateway.requests.open and not gateway.requests.ended)
        backlog = gateway.clients.backlog
        assert not backlog.waiting_values and not backlog.total_bytes()


async def test_short_replies_wait_while_there_is_no_memory() -> None:
    """One incomplete reply is always read on, so that not all of them wait for each other."""
    half = value(b"x" * SHORT_BYTES)[:40_000]
    backend = Backend(lambda arguments: half)
    async with front_door(backend) as (gateway, address):
        backlog = gateway.clients.backlog
        backlog.limit_bytes = 1000
        clients = [await Client.open(address) for _ in range(3)]
        for number, client in enumerate(clients):
            client.send(query(f"a{number}"))
        await until(lambda: len(backlog.waiting_replies) == 2 and backlog.exempt_reply)
        await until(lambda: backlog.partial_bytes >= len(half))
        for writer in backend.writers:
            writer.write(value(b"x" * SHORT_BYTES)[40_000:])
        for client in clients:
            assert await client.answer() == b"x" * SHORT_BYTES
        assert not backlog.waiting_replies and backlog.exempt_reply is None
        assert not backlog.partial_bytes


# --- the accounts ---


class Value:
    """A value that waits for memory, and what it was told."""

    def __init__(self, size: int) -> None:
        self.size, self.is_granted = size, False

    def grant(self) -> None:
        self.is_granted = True


def test_memory_is_reserved_in_order_of_arrival() -> None:
    backlog = SendBacklog()
    backlog.limit_bytes = 100
    first, large, small = Value(60), Value(90), Value(10)
    assert backlog.reserve_or_wait(first)
    assert not backlog.reserve_or_wait(large)
    assert not backlog.reserve_or_wait(small)  # it would fit, but nobody overtakes
    backlog.release(first)
    assert large.is_granted and small.is_granted
    assert backlog.reserved_bytes == 100


def test_leaving_the_line_lets_the_next_value_in() -> None:
    backlog = SendBacklog()
    backlog.limit_bytes = 100
    first, large, small = Value(60), Value(90), Value(10)
    for each in (first, large, small):
        backlog.reserve_or_wait(each)
    backlog.stop_waiting(large)
    assert small.is_granted and not large.is_granted


@pytest.mark.parametrize("length", [1, 7, MIN_PIECE_BYTES, 40_000])
def test_pieces_keep_their_bytes_and_their_number_is_bounded(length: int) -> None:
    data = bytes(range(256)) * 300
    buffer = PieceBuffer()
    for start_byte in range(0, len(data), length):
        buffer.append(data[start_byte : start_byte + length])
    assert buffer.size == len(data)
    assert len(buffer.pieces) <= 2 + 2 * len(data) // MIN_PIECE_BYTES
    pieces = []
    while buffer:
        pieces.append(buffer.pop())
    assert b"".join(pieces) == data and buffer.size == 0


# --- commands ---


async def test_incomplete_commands_stay_within_the_memory(tmp_path: Path) -> None:
    """Guards against a kill for memory by many clients that stop amid a long command."""
    limit_mb, clients_count = 32, 560
    begun = resp("SVC.SUBMIT", CUSTOMER, "a1", f"c=settle,t=team,d={WAIT_MS}", b"x" * 60_000)[:-1]
    raise_descriptor_limit(4 * clients_count)
    async with process_of(tmp_path, Backend(), limit_mb, sockets=1024) as (watch, address):
        clients = []
        for _ in range(clients_count):
            client = await Client.open(address)
            client.send(begun)
            await client.writer.drain()
            clients.append(client)
        lines = await asyncio.gather(*[client.answer() for client in clients])
        assert {str(line).split()[0] for line in lines} == {"-BUSY", "-ERR"}
        assert 0 < watch.peak_mb <= limit_mb
        for client in clients:
            client.writer.close()


async def test_excess_incomplete_command_is_refused_behind_earlier_answers() -> None:
    backend = Backend(lambda arguments: None if arguments[2] == b"a1" else value(b"ok"))
    async with front_door(backend) as (gateway, address):
        gateway.clients.max_partial_command_bytes = 300
        client, other = await Client.open(address), await Client.open(address)
        client.send(query("a1") + submit("a2", body=b"x" * 500)[:-1])
        await backend.came.wait()
        backend.writers[0].write(value(b"first"))
        assert await client.answer() == b"first"
        assert await client.answer() == "-BUSY"
        assert await client.ended()
        assert gateway.clients.partial_command_bytes == 0
        assert queue_status(gateway, "partial").rejected == 1
        other.send(submit("a3", body=b"x" * 20)[:-1])
        await until(lambda: gateway.clients.partial_command_bytes)
        assert await other.ask(b"\n") == b"ok"
        assert gateway.clients.partial_command_bytes == 0
