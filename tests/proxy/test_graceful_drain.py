"""A drain of the process waits for all that is owed, over loopback."""

import asyncio
import socket
from dataclasses import replace
from itertools import count
from unittest.mock import Mock

import pytest

from orchidhatch.gateway.settings import Plan
from orchidhatch.proxy import (
    process_lifecycle,
)
from orchidhatch.proxy.loop_watch import TURNS_AFTER_GAP, LoopWatch
from orchidhatch.proxy.process_lifecycle import ProcessLifecycle
from tests.proxy.gateway_scripts import (
    start_drain,
)
from tests.sockets import (
    SETTINGS,
    Backend,
    Client,
    front_door,
    query,
    resp,
    value,
)


@pytest.fixture
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A drain that waits for nothing but events."""
    monkeypatch.setattr(process_lifecycle, "LATE_CONNECTIONS_S", 0.0)
    monkeypatch.setattr(process_lifecycle, "DRAIN_POLL_INTERVAL_S", 0.001)


@pytest.mark.usefixtures("at_once")
async def test_drain_waits_for_partial_commands_and_answers() -> None:
    """What is half read and what is half written."""
    long = b"x" * 60_000
    backend = Backend(lambda arguments: value(long))
    async with front_door(backend) as (gateway, address):
        half, slow = await Client.open(address), await Client.open(address)
        half.send(query("a1")[:-1])
        slow.writer.transport.pause_reading()
        slow.send(b"".join(query(f"b{n}") for n in range(16)))
        while (
            not any(one.reader.buffer for one in gateway.clients.connections)
            or sum(sum(ended.values()) for ended in gateway.request_metrics.ended.values()) < 16
        ):
            await asyncio.sleep(0)
        draining = await start_drain(gateway)
        for _ in range(50):
            await asyncio.sleep(0.001)  # the drain looks again and again, and nothing is open
        assert not gateway.requests.open and not draining.done()
        half.send(query("a1")[-1:])
        assert await half.answer() == long and await half.ended()
        slow.writer.transport.resume_reading()
        assert [await slow.answer() for _ in range(16)] == [long] * 16
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_reads_no_further_than_what_is_open() -> None:
    """What is read later than a while after SIGTERM has to be answered before SIGKILL."""

    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        kept, half = await Client.open(address), await Client.open(address)
        kept.send(query("a1"))
        half.send(query("c1", wait_ms=3_600_000)[:-1])
        while not gateway.requests.open or not any(one.reader.buffer for one in gateway.clients.connections):
            await asyncio.sleep(0)
        draining = await start_drain(gateway)
        kept.send(query("a2"))  # crosses the end: it was not read, and is sent elsewhere
        half.send(query("c1")[-1:])
        while len(backend.commands) < 2:
            await asyncio.sleep(0)
        left_us = gateway.requests.open["c1"].deadline_us - gateway.requests.open["c1"].arrived_us
        assert left_us <= process_lifecycle.MAX_DEADLINE_US + process_lifecycle.KILL_GRACE_US
        assert "a2" not in gateway.requests.open
        for writer in backend.writers:
            writer.write(value(b"at last"))
        assert await kept.answer() == b"at last" and await half.answer() == b"at last"
        assert await kept.ended() and await half.ended()
        assert all(arguments[2] != b"a2" for arguments in backend.commands)
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_waits_for_a_slow_reader_of_a_long_value() -> None:
    """Part of it waits here when the drain begins, and for as long as the client takes none."""

    long = bytes(1 << 20)
    backend = Backend(lambda arguments: value(long))
    async with front_door(backend) as (gateway, address):
        slow = await Client.open(address)
        slow.writer.transport.pause_reading()
        while not gateway.clients.connections:
            await asyncio.sleep(0)
        (taken,) = gateway.clients.connections
        end = taken.transport.get_extra_info("socket")  # else the kernel would take it all
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        slow.send(query("a1"))
        while not gateway.clients.backlog.unsent_bytes:
            await asyncio.sleep(0)
        draining = await start_drain(gateway)
        while not gateway.clients.is_reading_stopped:
            await asyncio.sleep(0)
        assert not draining.done()
        slow.writer.transport.resume_reading()
        assert await slow.answer() == long and await slow.ended()
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_waits_for_queued_requests() -> None:
    """Nothing of them has been sent when it begins: their customer has as many out as it may."""

    backend = Backend(lambda arguments: None)
    plans = (Plan(rate=1000.0, burst=1000.0, max_in_flight=1),)
    settings = replace(SETTINGS, plans=plans, gateway_count=1)
    async with front_door(backend, settings=settings) as (gateway, address):
        clients = [await Client.open(address) for _ in range(3)]
        for number, one in enumerate(clients):
            one.send(query(f"a{number}"))
        while len(gateway.core.queue) < 2:
            await asyncio.sleep(0)
        draining = await start_drain(gateway)
        while not gateway.clients.is_reading_stopped:
            await asyncio.sleep(0)
        for number in range(3):
            while len(backend.commands) <= number:
                await asyncio.sleep(0)
            backend.writers[number].write(value(b"at last"))
        assert [await client.answer() for client in clients] == [b"at last"] * 3
        assert all([await client.ended() for client in clients])
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_answers_a_client_of_its_last_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the kernel has accepted it by then, and its request lies there."""

    async with front_door(Backend()) as (gateway, address):
        late, stop_reading = socket.socket(), gateway.clients.stop_reading

        def meanwhile() -> None:
            stop_reading()
            late.connect(address)
            late.sendall(query("a1"))

        monkeypatch.setattr(gateway.clients, "stop_reading", meanwhile)
        await gateway.drain()
        late.settimeout(5)
        assert late.recv(100) == b"$2\r\nok\r\n" and late.recv(100) == b""
        late.close()


@pytest.mark.usefixtures("at_once")
@pytest.mark.parametrize("first", [resp("PING"), query("b1").replace(b"t=team", b"t=none")])
async def test_drain_answers_commands_pipelined_behind_another(first: bytes) -> None:
    """It came in one piece with what was answered in the same turn, after which the connection would rest."""

    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(first[:-1])
        while not any(one.reader.buffer for one in gateway.clients.connections):
            await asyncio.sleep(0)
        draining = await start_drain(gateway)
        while not gateway.clients.is_reading_stopped:
            await asyncio.sleep(0)
        client.send(first[-1:] + query("a1") + query("a2"))
        assert str(await client.answer()).startswith("-ERR")
        while len(backend.commands) < 2:
            await asyncio.sleep(0)
        for writer in backend.writers:
            writer.write(value(b"at last"))
        assert [await client.answer(), await client.answer()] == [b"at last"] * 2
        assert await client.ended()
        await draining


@pytest.mark.parametrize("stalled_reading", range(1, 6))
async def test_stall_while_sigterm_is_noted_counts_once(stalled_reading: int) -> None:
    """Guards against a time of SIGTERM that is a stall too early, computed from several readings."""
    stall_us = 400_000
    signalled_us = 2_000_000
    clock = [signalled_us]
    readings = count(1)
    is_noting = [False]

    def clock_us() -> int:
        if is_noting[0] and next(readings) == stalled_reading:
            clock[0] += stall_us
        return clock[0]

    watch = LoopWatch(clock_us)
    for _ in range(2 * TURNS_AFTER_GAP):
        watch.touch()
        await asyncio.sleep(0)
    assert not watch.is_after_gap
    process = ProcessLifecycle(Mock(), Mock(), Mock(loop_watch=watch))
    is_noting[0] = True
    process.note_termination()
    assert process.terminated_us == signalled_us
