"""The invariants at the instant of the effect: what crosses it, and that a breach is refused and counted."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.endpoints import EndpointState
from orchidhatch.proxy import backend_pool
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.guards import Refusal
from orchidhatch.proxy.loop_watch import GAP_US, TURNS_AFTER_GAP, LoopWatch
from orchidhatch.proxy.request_exchange import RequestExchange
from orchidhatch.proxy.server import GatewayServer
from tests.proxy.test_long_values import HEAD as LONG_HEAD
from tests.proxy.test_long_values import LONG
from tests.sockets import (
    CONFIG,
    HEAD,
    HOST,
    Backend,
    Client,
    catalog,
    chunk,
    entry,
    front_door,
    kernel_socket,
    query,
    submit,
    value,
)

SETTLE_TURNS = 20
STANDS_STILL_S = 1.2 * GAP_US / 1e6


async def until(what: Callable[[], object]) -> None:
    while not what():
        await asyncio.sleep(0.001)


def stand_still() -> None:
    """As a process that is stopped and goes on: the event loop runs nothing meanwhile."""
    time.sleep(STANDS_STILL_S)


async def turns() -> None:
    for _ in range(SETTLE_TURNS):
        await asyncio.sleep(0.001)


@contextlib.asynccontextmanager
async def driven_by_hand(*listed: Backend) -> AsyncIterator[tuple[GatewayServer, socket.socket]]:
    """A gateway whose endpoint list events are written by the test, in the turn that it chooses."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        listener.setblocking(False)
        gateway = GatewayServer(replace(CONFIG, discovery=listener.getsockname()))
        await gateway.start()
        watch, _ = await asyncio.get_running_loop().sock_accept(listener)
        entries = [entry(f"s{n}", await backend.start()) for n, backend in enumerate(listed)]
        watch.sendall(HEAD + chunk(catalog(1, entries)))
        await until(lambda: len(gateway.backends.pools) == len(listed))
        try:
            yield gateway, watch
        finally:
            gateway.close()
            watch.close()


def attempt_of(gateway: GatewayServer, results: list[AttemptResult], server: str = "s0") -> Attempt:
    return Attempt("x", 0, server, lambda _: query("x"), lambda _, result, *rest: results.append(result))


async def leave_idle_connection(
    gateway: GatewayServer, backend: Backend, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection to the backend that has rested and may be used."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 0)
    results: list[AttemptResult] = []
    gateway.backends.send(attempt_of(gateway, results), 5_000_000)
    await until(lambda: results)
    backend.commands.clear()


@pytest.mark.parametrize("lifecycle", ["DRAINING", "DELETED"])
@pytest.mark.parametrize("dialled", [False, True])
async def test_unread_list_events_go_before_an_attempt(
    lifecycle: str, dialled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process that stood still wakes up with a timer due and the news unread: the news come first."""
    backend = Backend()
    async with driven_by_hand(backend) as (gateway, watch):
        results: list[AttemptResult] = []
        pool = gateway.backends.pools["s0"]
        if dialled:  # it waits for its connection, which comes up in the turn in which the news do
            release = pool.connection_ready

            def news_first(connection: object) -> None:
                pool.connection_ready = release
                stand_still()
                watch.sendall(chunk(catalog(2, [entry("s0", backend.address, lifecycle)], reset=False)))
                release(connection)

            pool.connection_ready = news_first
        else:  # a connection is idle, so that it could be written at once
            await leave_idle_connection(gateway, backend, monkeypatch)
            watch.sendall(chunk(catalog(2, [entry("s0", backend.address, lifecycle)], reset=False)))
            stand_still()
        gateway.backends.send(attempt_of(gateway, results), 5_000_000)
        await until(lambda: results)
        assert results == [AttemptResult.LOCAL_FAILURE] and backend.commands == []
        assert gateway.backends.tally["deferred for news"] >= 1


async def test_unread_watch_defers_an_attempt_for_few_turns_only() -> None:
    backend = Backend()
    async with driven_by_hand(backend) as (gateway, _):
        results: list[AttemptResult] = []
        gateway.backends.list_events_are_unread = lambda: True
        stand_still()
        gateway.backends.send(attempt_of(gateway, results), 5_000_000)
        await until(lambda: results)
        assert results == [AttemptResult.OK]


async def test_nothing_is_sent_for_client_whose_end_is_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    backend = Backend()
    async with front_door(backend) as (gateway, address):
        await leave_idle_connection(gateway, backend, monkeypatch)
        gateway.core.queue.dequeue = lambda: None  # the core holds what comes
        client = await Client.open(address)
        client.send(query("a1"))
        await until(lambda: "a1" in gateway.requests.open)
        kernel_socket(client.writer).shutdown(socket.SHUT_RDWR)
        stand_still()
        gateway.requests.send(SendAttempt("a1", "s0"))  # in the same turn: its end was not read yet
        await until(lambda: not gateway.requests.open and not gateway.requests.ended)
        await turns()
        assert backend.commands == []
        assert not gateway.guard.refusals


async def test_nothing_is_sent_on_connection_up_after_client_left() -> None:
    """The client's end and the connection to the backend come in one turn."""
    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        pool = gateway.backends.pools["s0"]
        release = pool.connection_ready

        def left_first(connection: object) -> None:
            kernel_socket(client.writer).shutdown(socket.SHUT_RDWR)
            stand_still()
            release(connection)

        pool.connection_ready = left_first
        client.send(query("a1"))
        await until(lambda: gateway.requests.tally["asked"])
        await until(lambda: not gateway.requests.open and not gateway.requests.ended)
        await turns()
        assert backend.commands == [] and not gateway.guard.refusals


@contextlib.asynccontextmanager
async def held_request(command: bytes) -> AsyncIterator[tuple[GatewayServer, RequestExchange, Backend]]:
    """A request that the core has been made to hold, so that the test acts for the core."""
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        gateway.core.queue.dequeue = lambda: None
        client = await Client.open(address)
        client.send(command)
        await until(lambda: "a1" in gateway.requests.open)
        yield gateway, gateway.requests.open["a1"], backend


def metric(gateway: GatewayServer, refusal: Refusal) -> str:
    lines = gateway.metrics_page.metrics().splitlines()
    return next(line for line in lines if line.startswith(f'proxy_guard_refusals_total{{reason="{refusal}"'))


@pytest.mark.refusals
async def test_second_attempt_in_flight_is_refused() -> None:
    async with held_request(query("a1")) as (gateway, _, backend):
        gateway.requests.send(SendAttempt("a1", "s0"))
        await until(lambda: backend.commands)
        gateway.requests.send(SendAttempt("a1", "s0"))
        await until(lambda: gateway.guard.refusals)
        assert gateway.guard.refusals == {Refusal.OVERLAPPING_ATTEMPT: 1}
        assert metric(gateway, Refusal.OVERLAPPING_ATTEMPT).endswith(" 1")
        await turns()
        assert len(backend.commands) == 1


@pytest.mark.refusals
@pytest.mark.parametrize(
    ("command", "first_possible_run_us", "refusal"),
    [
        (submit("a1"), 1, Refusal.REPEAT_FORBIDDEN),
        (submit("a1", kind="book"), 1, Refusal.PAST_REPEAT_WINDOW),
    ],
)
async def test_forbidden_repeat_is_refused(
    command: bytes, first_possible_run_us: int, refusal: Refusal
) -> None:
    async with held_request(command) as (gateway, exchange, backend):
        exchange.first_possible_run_us = first_possible_run_us
        gateway.requests.send(SendAttempt("a1", "s0"))
        await until(lambda: gateway.guard.refusals)
        assert gateway.guard.refusals == {refusal: 1}
        await turns()
        assert backend.commands == []


@pytest.mark.refusals
async def test_attempt_past_deadline_or_maximum_is_refused() -> None:
    async with held_request(query("a1")) as (gateway, exchange, _):
        deadline_us, exchange.deadline_us = exchange.deadline_us, 1
        attempt = Attempt(
            "a1", 0, "s0", lambda _: b"", lambda *_: None, may_send=gateway.requests.checks.may_send
        )
        exchange.in_flight[0] = attempt
        assert not gateway.requests.checks.may_send(attempt)
        exchange.deadline_us, exchange.in_flight = deadline_us, {9: attempt}
        attempt.number = 9
        assert not gateway.requests.checks.may_send(attempt)
        exchange.in_flight = {}
        assert not gateway.requests.checks.may_send(attempt)
        assert gateway.guard.refusals == {
            Refusal.PAST_DEADLINE: 1,
            Refusal.TOO_MANY_ATTEMPTS: 1,
            Refusal.REQUEST_ENDED: 1,
        }


@pytest.mark.refusals
async def test_attempt_to_a_leaving_backend_is_refused() -> None:
    backend = Backend()
    async with front_door(backend) as (gateway, _):
        results: list[AttemptResult] = []
        pool = gateway.backends.pools["s0"]
        gateway.backends.update({"s0": EndpointState.DRAINING}, {}, is_full=False)
        pool.start(attempt_of(gateway, results))
        await until(lambda: results)
        assert results == [AttemptResult.LOCAL_FAILURE] and backend.commands == []
        assert gateway.guard.refusals == {Refusal.SERVER_LEAVING: 1}


@pytest.mark.refusals
async def test_close_while_an_answer_is_owed_is_refused() -> None:
    async with held_request(query("a1")) as (gateway, exchange, _):
        connection = exchange.reply.connection
        connection.close_gracefully()
        assert gateway.guard.refusals == {Refusal.ANSWER_OWED: 1}
        assert not connection.transport.is_closing()


async def test_requests_behind_a_broken_long_value_are_answered() -> None:
    answers = {b"a1": None, b"a2": value(b"second")}
    backend = Backend(lambda arguments: answers[arguments[2]])
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1") + query("a2"))
        await until(lambda: len(backend.commands) == 2 and "a2" not in gateway.requests.open)
        first = next(n for n, arguments in enumerate(backend.commands) if arguments[2] == b"a1")
        answers[b"a1"] = b"-ERR failed\r\n"
        backend.writers[first].write(LONG_HEAD + LONG[:1000])
        await until(lambda: gateway.clients.backlog.reserved_bytes)
        backend.writers[first].transport.abort()
        first_answer, second_answer = await client.answer(), await client.answer()
        assert str(first_answer).startswith("-") and second_answer == b"second"
        assert gateway.clients.backlog.reserved_bytes == 0
        assert not gateway.guard.refusals


async def test_no_command_is_read_while_a_long_value_streams() -> None:
    """Its break ends the connection; what was not read the client sends on a new one."""
    backend = Backend(lambda arguments: LONG_HEAD + LONG[:1000])
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await until(lambda: any(one.streaming_attempt for one in gateway.requests.open.values()))
        client.send(query("a2"))
        await turns()
        assert list(gateway.requests.open) == ["a1"]
        assert await client.reader.readline() == b"$%d\r\n" % len(LONG)
        backend.writers[0].transport.abort()
        assert await client.ended()  # by a reset, as the second command lies unread
        await until(lambda: not gateway.requests.open)
        assert len(backend.commands) == 1
        assert not gateway.guard.refusals


async def test_event_loop_gap_is_suspicious_for_few_turns() -> None:
    now = [1_000_000]
    watch = LoopWatch(lambda: now[0])
    watch.touch()  # the first of all
    assert watch.is_after_gap
    for _ in range(TURNS_AFTER_GAP + 1):
        await asyncio.sleep(0)
    assert not watch.is_after_gap
    now[0] += GAP_US - 1
    watch.touch()
    assert not watch.is_after_gap
    now[0] += GAP_US
    watch.touch()
    watch.touch()
    assert watch.is_after_gap


async def test_backlog_of_a_gap_ends_with_the_first_turns_without_an_accept() -> None:
    """Guards against fresh connections that count as old for long after a gap."""
    now = [1_000_000]
    watch = LoopWatch(lambda: now[0])
    now[0] += 2 * GAP_US
    for _ in range(3 * TURNS_AFTER_GAP):
        assert watch.accepted_since_us() == 1_000_000
        now[0] += 1000
        await asyncio.sleep(0)
    for _ in range(TURNS_AFTER_GAP + 1):
        await asyncio.sleep(0)
    assert watch.accepted_since_us() == 0


async def test_end_of_a_paused_client_is_checked_at_once() -> None:
    """Where its reading is paused no gap is needed for the end to be unread."""
    backend = Backend()
    async with front_door(backend) as (gateway, address):
        gateway.core.queue.dequeue = lambda: None
        client = await Client.open(address)
        client.send(query("a1"))
        await until(lambda: "a1" in gateway.requests.open)
        reply = gateway.requests.open["a1"].reply
        reply.connection.is_reading = False
        kernel_socket(client.writer).shutdown(socket.SHUT_RDWR)
        assert reply.has_client_left(may_be_unread=False)
        assert not gateway.requests.open
