"""SIGKILL behind a planned restart finds no command that is read or unread on an open connection."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from orchidhatch.gateway.actions import CancelAttempt, Fail, Reject
from orchidhatch.gateway.events import EndOpenRequests
from orchidhatch.gateway.settings import Plan
from orchidhatch.proxy import process_lifecycle, socket_inspection
from orchidhatch.proxy.connection_state import ConnectionState
from orchidhatch.proxy.metrics import RequestOutcome
from orchidhatch.proxy.process_lifecycle import ProcessState
from orchidhatch.proxy.server import GatewayServer
from tests.helpers import PLAN, UNSAFE, World, of, with_class
from tests.proxy import test_main
from tests.proxy.gateway_scripts import (
    ask_with_one_behind,
    slow_client,
    slow_client_of_sent_answer,
    start_drain,
    until,
)
from tests.sockets import CUSTOMER, SETTINGS, Address, Backend, Client, front_door, query, resp, submit, value

LONG = bytes(range(256)) * 1024
LONG_START = b"*3\r\n$%d\r\n" % len(LONG) + LONG[:1000]
KILL_GRACE_S = 0.7
SENDS_AFTER_S = 0.8


@pytest.fixture(autouse=True)
def short_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A drain that begins at once, and whose last answers come a second before SIGKILL."""
    monkeypatch.setattr(process_lifecycle, "LATE_CONNECTIONS_S", 0.0)
    monkeypatch.setattr(process_lifecycle, "DRAIN_POLL_INTERVAL_S", 0.01)
    monkeypatch.setattr(process_lifecycle, "MAX_DEADLINE_US", 400_000)
    monkeypatch.setattr(process_lifecycle, "KILL_GRACE_US", 1_000_000)
    monkeypatch.setattr(process_lifecycle, "KILL_MARGIN_US", 1_000_000, raising=False)


@contextlib.asynccontextmanager
async def until_killed(gateway: GatewayServer) -> AsyncIterator[None]:
    """The time from SIGTERM to SIGKILL: the connections that are open then are reset, as by the kernel."""
    draining = await start_drain(gateway)
    kill_after_us = process_lifecycle.MAX_DEADLINE_US + process_lifecycle.KILL_GRACE_US
    try:
        async with asyncio.timeout(kill_after_us / 1e6):
            yield
    finally:
        draining.cancel()


OPEN_REQUESTS = {"safe": (query("a1"), "-BUSY"), "unsafe": (submit("a1"), "-ERR")}


@pytest.mark.parametrize("is_replaced", [False, True])
@pytest.mark.parametrize("kind", OPEN_REQUESTS)
async def test_open_request_is_answered_and_its_connection_closed(kind: str, is_replaced: bool) -> None:
    """Guards against requests lost at SIGKILL: they lay unread behind one whose deadline is later."""
    command, answer = OPEN_REQUESTS[kind]
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(command)
        await backend.came.wait()
        if is_replaced:
            gateway.process.enter(ProcessState.REPLACED)
        async with until_killed(gateway):
            await until(lambda: gateway.clients.is_reading_stopped)
            client.send(query("b1"))
            assert str(await client.answer()).startswith(answer)
            assert await client.ended()
            client.writer.close()
            await until(lambda: not gateway.clients.connections)
        assert all(arguments[2] != b"b1" for arguments in backend.commands)


async def test_queued_request_is_answered_and_its_connection_closed() -> None:
    """The same for a request that was never sent, as its customer has as many out as it may."""
    backend = Backend(lambda arguments: None)
    plans = (Plan(rate=1000.0, burst=1000.0, max_in_flight=1),)
    async with front_door(backend, settings=replace(SETTINGS, plans=plans, gateway_count=1)) as (
        gateway,
        address,
    ):
        clients = [await Client.open(address) for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(query(f"a{number}"))
        await until(lambda: len(gateway.core.queue) == 1)
        async with until_killed(gateway):
            for client in clients:
                assert str(await client.answer()) == "-BUSY"
                assert await client.ended()


async def test_incomplete_command_gets_an_error_line() -> None:
    async with front_door(Backend()) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1")[:-1])
        await until(lambda: any(one.reader.buffer for one in gateway.clients.connections))
        async with until_killed(gateway):
            assert str(await client.answer()).startswith("-ERR the command is incomplete")
            assert await client.ended()


async def test_value_that_is_kept_ends_before_the_kill() -> None:
    backend = Backend(lambda arguments: LONG_START if arguments[2] == b"a1" else value(b"second"))
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1") + query("a2"))
        await until(lambda: any(one.buffered for one in gateway.requests.open.values()))
        async with until_killed(gateway):
            assert str(await client.answer()) == "-BUSY"
            assert await client.answer() == b"second"
            assert await client.ended()


async def test_slow_value_is_not_begun_at_its_deadline_in_a_drain() -> None:
    """Guards against the loss of the answer behind it: SIGKILL comes before such a value is complete."""
    backend = Backend(lambda arguments: None if arguments[2] == b"a1" else value(b"second"))
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        writer = await ask_with_one_behind(gateway, backend, client, wait_ms=500)
        writer.write(LONG_START)
        async with until_killed(gateway):
            while gateway.requests.open:
                writer.write(b"x" * 100)
                await asyncio.sleep(0.01)
            assert str(await client.answer()).startswith("-BUSY")
            assert await client.answer() == b"second"
            assert await client.ended()


async def test_value_behind_an_open_request_ends_before_the_kill() -> None:
    """It is streamed, but nothing of it has been written."""
    backend = Backend(lambda arguments: LONG_START if arguments[2] == b"a2" else None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1") + query("a2"))
        await until(lambda: any(one.streaming_attempt for one in gateway.requests.open.values()))
        async with until_killed(gateway):
            assert str(await client.answer()) == "-BUSY"
            assert str(await client.answer()).startswith("-ERR")
            assert await client.ended()


@pytest.mark.parametrize("is_late", [False, True])
async def test_unread_command_behind_an_endless_value_is_sent_elsewhere(is_late: bool) -> None:
    """SIGKILL would end the value anyway; the command behind it may come at any time up to then."""
    backend = Backend(lambda arguments: LONG_START)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await until(lambda: any(one.reply.has_begun for one in gateway.requests.open.values()))
        async with until_killed(gateway):
            await until(lambda: gateway.clients.is_reading_stopped)
            if is_late:
                await asyncio.sleep(process_lifecycle.MAX_DEADLINE_US / 1e6 + 0.1)
                assert gateway.clients.connections
            client.send(query("b1"))
            with pytest.raises((EOFError, ConnectionError)):
                await client.answer()
        assert len(backend.commands) == 1


async def answers_until_eof(client: Client) -> list[object]:
    """All answers up to the end of the connection. Raises ConnectionResetError if it is a reset."""
    answers = []
    with contextlib.suppress(EOFError):
        while True:
            answers.append(await client.answer())
    return answers


async def test_command_behind_a_slow_reader_costs_no_sent_answer() -> None:
    """Guards against a reset before SIGKILL that drops what the kernel has not sent: all is answered."""
    answer = b"x" * 60_000
    backend = Backend(lambda arguments: value(answer))
    async with front_door(backend) as (gateway, address):
        client = await slow_client(address)
        client.writer.transport.pause_reading()
        await until(lambda: gateway.clients.connections)
        (connection,) = gateway.clients.connections
        outcomes = gateway.request_metrics.ended["read"]
        while not connection.is_write_paused:
            answered = outcomes[RequestOutcome.ANSWERED]
            client.send(query(f"a{answered}"))
            await until(lambda: outcomes[RequestOutcome.ANSWERED] > answered)  # noqa: B023 - at once
        async with until_killed(gateway):
            await until(lambda: connection.state is ConnectionState.LINGERING)
            client.send(query("b1"))
            await asyncio.sleep(process_lifecycle.MAX_DEADLINE_US / 1e6 + 0.1)
            assert not socket_inspection.has_unread_bytes(connection.transport)
        gateway.close()
        client.writer.transport.resume_reading()
        answers = await answers_until_eof(client)
        assert answers and set(answers) == {answer}
        assert all(arguments[2] != b"b1" for arguments in backend.commands)


async def test_command_behind_an_endless_value_costs_no_sent_answer() -> None:
    """The same where the last answer has begun: it is cut, what was sent before it is not."""
    first = b"x" * 24_000
    backend = Backend(lambda arguments: value(first) if arguments[2] == b"a1" else LONG_START)
    async with front_door(backend) as (gateway, address):
        client = await slow_client_of_sent_answer(gateway, address)
        client.send(query("a2"))
        await until(lambda: any(one.reply.has_begun for one in gateway.requests.open.values()))
        (connection,) = gateway.clients.connections
        async with until_killed(gateway):
            await until(lambda: gateway.clients.is_reading_stopped)
            client.send(query("b1"))
            await until(lambda: connection.state is ConnectionState.LINGERING)
            await until(lambda: not socket_inspection.has_unread_bytes(connection.transport))
        gateway.close()
        client.writer.transport.resume_reading()
        assert await answers_until_eof(client) == [first]
        assert len(backend.commands) == 2


async def test_command_behind_a_complete_answer_is_not_processed_after_the_close() -> None:
    """Guards against a request that is read after the sending side is closed, and sent on."""
    first, long = b"x" * 24_000, b"x" * (4 << 20)
    whole = b"*1\r\n$%d\r\n%b\r\n" % (len(long), long)
    backend = Backend(lambda arguments: value(first) if arguments[2] == b"a1" else whole)
    async with front_door(backend, memory_mb=80) as (gateway, address):
        client = await slow_client(address)
        client.writer.transport.pause_reading()
        client.send(query("a1") + query("a2"))
        await until(lambda: len(backend.commands) == 2 and not gateway.requests.open)
        (connection,) = gateway.clients.connections
        await until(lambda: connection.replies and connection.replies[0].has_begun)
        assert connection.state is ConnectionState.ANSWERING
        async with until_killed(gateway):
            await until(lambda: gateway.clients.is_reading_stopped)
            client.send(query("b1"))
            await until(lambda: connection.state is ConnectionState.LINGERING)
            await until(lambda: not socket_inspection.has_unread_bytes(connection.transport))
            assert not gateway.requests.open
        gateway.close()
        client.writer.transport.resume_reading()
        assert await answers_until_eof(client) == [first]
        assert len(backend.commands) == 2


# --- the decision core ---


def test_open_requests_end_by_what_may_have_run() -> None:
    """An unsafe request that may have run is failed, as a retry elsewhere could run it twice."""
    plan = replace(PLAN, max_in_flight=1)
    world = World(with_class(UNSAFE, plans=(plan,)))
    world.ask("sent")
    world.ask("queued")
    actions = world.tell(EndOpenRequests())
    assert of(Fail, actions) == [Fail("sent")]
    assert of(Reject, actions) == [Reject("queued", 0)]
    assert of(CancelAttempt, actions) == [CancelAttempt("sent", 0)]
    assert world.gateway.requests.open_count == 0
    assert of(Fail, world.tell(EndOpenRequests())) == []


def test_open_safe_request_is_rejected() -> None:
    world = World()
    world.ask("sent")
    assert of(Reject, world.tell(EndOpenRequests())) == [Reject("sent", 0)]
    assert dict(world.gateway.counters.ended) == {"process_ends": 1}


# --- the process ---


def read_command(name: str, wait_ms: int) -> bytes:
    return resp("SVC.QUERY", CUSTOMER, name, f"c=read,t=team,d={wait_ms}")


def settings_with_deadline(deadline_ms: int) -> dict[str, object]:
    categories = [
        {**category, "deadline-us": deadline_ms * 1000, "on-time-us": min(750, deadline_ms // 2) * 1000}
        for category in test_main.SETTINGS["categories"]
    ]
    plans = [{"name": "team", "units-per-s": 1e6, "burst": 1e6}]
    return {**test_main.SETTINGS, "categories": categories, "plans": plans}


async def ended_at(client: Client, answers: list[object], clock: Callable[[], float]) -> float:
    """When the client's connection ends; its answers until then."""
    with contextlib.suppress(EOFError, ConnectionError):
        while True:
            answers.append(await client.answer())
    return clock()


@pytest.mark.parametrize(("deadline_ms", "wait_ms"), [(500, 5000), (4000, 4000)])
async def test_sigkill_finds_nothing_unanswered(tmp_path: Path, deadline_ms: int, wait_ms: int) -> None:
    """Guards against requests lost at SIGKILL, by the times of a real restart and any deadline."""
    backend = Backend(lambda arguments: None)
    process, address = await test_main.start(tmp_path, backend, settings=settings_with_deadline(deadline_ms))
    try:
        await restart_under_load(process, address, backend, deadline_ms, wait_ms)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def restart_under_load(
    process: asyncio.subprocess.Process, address: Address, backend: Backend, deadline_ms: int, wait_ms: int
) -> None:
    """SIGTERM with requests open, further ones behind them, and SIGKILL as early as it may come."""
    clients = [await Client.open(address) for _ in range(8)]
    for number, client in enumerate(clients):
        client.send(read_command(f"first{number}", wait_ms))
    await backend.came.wait()
    await asyncio.sleep(0.1)
    process.send_signal(signal.SIGTERM)
    signalled_s = time.monotonic()
    answers: list[list[object]] = [[] for _ in clients]
    ends = [
        asyncio.create_task(ended_at(client, answers[number], time.monotonic))
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(SENDS_AFTER_S)
    sent_on = [number for number, end in enumerate(ends) if not end.done()]
    for number in sent_on:
        clients[number].send(read_command(f"next{number}", wait_ms))
    assert sent_on
    kill_after_s = min(3000, deadline_ms) / 1000 + KILL_GRACE_S
    await asyncio.sleep(signalled_s + kill_after_s - time.monotonic())
    killed_s = time.monotonic()
    process.kill()
    await process.wait()
    for number in sent_on:
        assert await ends[number] < killed_s or len(answers[number]) == 2
