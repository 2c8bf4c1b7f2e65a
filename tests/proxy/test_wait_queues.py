"""Where work waits in the gateway: each place is driven to its bound, and what it then answers is seen."""

import asyncio
import contextlib
import logging
import os
import re
import socket
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import MetricsSnapshot, Reject, SendAttempt, SendGossip
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import ClientGone, MetricsRequest, StreamStarted
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.peer_outbox import MESSAGES_LIMIT
from orchidhatch.gateway.settings import Plan, RequestClass
from orchidhatch.proxy import process_limits
from orchidhatch.proxy.client_connection import COMMAND_TIMEOUT_S, MAX_PIPELINED_COMMANDS
from orchidhatch.proxy.client_sweeper import SEND_STALL_TIMEOUT_S
from orchidhatch.proxy.log_writer import LogWriter
from orchidhatch.proxy.send_backlog import SHED_LIMITS
from orchidhatch.proxy.server import GatewayServer
from orchidhatch.proxy.wait_queues import BUCKET_BOUNDS_MS, QueueStatus, WaitHistogram, queue_metrics_text
from tests.helpers import MS, S, World, of, servers
from tests.helpers import SETTINGS as WORLD
from tests.proxy.test_cpu_accounting import samples
from tests.proxy.test_management import call, operated
from tests.sockets import (
    HOST,
    SETTINGS,
    Backend,
    Client,
    front_door,
    query,
    resp,
    submit,
    value,
)


def line(gateway: GatewayServer, name: str) -> QueueStatus:
    return next(
        line
        for line in gateway.queues.statuses(gateway.dispatcher.ask(MetricsRequest()))
        if line.name == name
    )


async def until(what: object) -> None:
    while not what():
        await asyncio.sleep(0.001)


def total(waits: WaitHistogram) -> int:
    return sum(waits.counts)


# --- the counts of waits ---


def test_waits_are_counted_in_fixed_classes() -> None:
    waits = WaitHistogram()
    for us in (0, 1000, 1001, 10_000_000, 10_000_001, 10**12):
        waits.note(us)
    assert len(waits.counts) == len(BUCKET_BOUNDS_MS) + 1
    found = samples(waits.samples_text("x"))
    assert found['proxy_wait_seconds_bucket{place="x",le="0.001"}'] == 2
    assert found['proxy_wait_seconds_bucket{place="x",le="0.005"}'] == 3
    assert found['proxy_wait_seconds_bucket{place="x",le="10"}'] == 4
    assert found['proxy_wait_seconds_bucket{place="x",le="+Inf"}'] == 6
    assert found['proxy_wait_seconds_count{place="x"}'] == 6


async def test_every_place_is_shown() -> None:
    async with operated(Backend()) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        found = samples((await call(gateway, "GET /metrics"))[1])
        for place in (
            "unread",
            "partial",
            "held",
            "connecting",
            "backend",
            "unsent_bytes",
            "peers",
            "management",
        ):
            assert found[f'proxy_waiting{{place="{place}"}}'] <= 1
            assert f'proxy_waiting_bound{{place="{place}"}}' in found
            assert f'proxy_waiting_oldest_seconds{{place="{place}"}}' in found
            assert found[f'proxy_turned_away_total{{place="{place}"}}'] == 0
        for place in ("held", "connecting", "backend"):
            assert found[f'proxy_wait_seconds_count{{place="{place}"}}'] == 1


def test_figures_of_no_line_are_still_a_page() -> None:
    assert queue_metrics_text([]).startswith("# HELP proxy_wait_seconds ")


# --- clients: what they write and do not read ---


async def test_client_that_writes_many_commands_is_read_no_further() -> None:
    backend = Backend(lambda words: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(b"".join(query(f"a{n}") for n in range(3 * MAX_PIPELINED_COMMANDS)))
        await until(lambda: line(gateway, "unread").depth)
        assert line(gateway, "held").depth + len(backend.commands) <= 3 * MAX_PIPELINED_COMMANDS
        backend.answer = lambda words: value(b"ok")
        for _ in range(len(backend.commands)):
            backend.writers.pop().write(value(b"ok"))
        while total(line(gateway, "unread").waits) == 0:
            for writer in backend.writers:
                writer.write(value(b"ok"))
            backend.writers.clear()
            await asyncio.sleep(0.001)
        client.writer.close()


async def test_one_client_more_than_there_is_room_for_costs_the_one_idle_longest() -> None:
    async with front_door(Backend()) as (gateway, address):
        gateway.clients.max_connections = 2
        first, second, third = [await Client.open(address) for _ in range(3)]
        assert await first.ended()
        assert await third.ask(query("a1")) == b"ok" and await second.ask(query("a2")) == b"ok"
        found = line(gateway, "unread")
        assert (found.rejected, found.bound) == (1, 2)


async def test_half_a_command_is_waited_for_only_so_long() -> None:
    async with front_door(Backend()) as (gateway, address):
        now = [100.0]
        gateway.clients.clock = lambda: now[0]
        slow, quick = await Client.open(address), await Client.open(address)
        slow.send(query("a1")[:20])
        quick.send(query("a2")[:20])
        await until(lambda: line(gateway, "partial").depth == 2)
        now[0] += COMMAND_TIMEOUT_S / 2
        assert line(gateway, "partial").oldest_us == pytest.approx(COMMAND_TIMEOUT_S / 2 * 1e6)
        assert await quick.ask(query("a2")[20:]) == b"ok"
        assert total(line(gateway, "partial").waits) == 1
        now[0] += COMMAND_TIMEOUT_S
        gateway.clients.sweeper.sweep()
        assert await slow.answer() == "-ERR no whole command came in time" and await slow.ended()
        assert line(gateway, "partial").rejected == 1


def flood(count: int) -> bytes:
    return b"".join(query(f"f{n}") for n in range(count))


async def clogged(gateway: GatewayServer, address: tuple[str, int]) -> Client:
    """A client that has asked for more than it reads."""
    reader = Client()
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, address)
    reader.raw = raw
    for n in range(400):
        if line(gateway, "unsent_bytes").depth:
            break
        await asyncio.get_running_loop().sock_sendall(raw, query(f"c{n}"))
        await asyncio.sleep(0.002)
    assert line(gateway, "unsent_bytes").depth
    return reader


async def test_client_that_never_reads_is_cut_at_last() -> None:
    async with front_door(Backend(lambda words: value(b"v" * 60_000))) as (gateway, address):
        now = [100.0]
        gateway.clients.clock = lambda: now[0]
        client = await clogged(gateway, address)
        now[0] += SEND_STALL_TIMEOUT_S - 1
        gateway.clients.sweeper.sweep()
        found = line(gateway, "unsent_bytes")
        assert found.rejected == 0 and found.oldest_us >= (SEND_STALL_TIMEOUT_S - 1) * 1e6
        now[0] += 2
        gateway.clients.sweeper.sweep()
        await until(lambda: not gateway.clients.connections)
        found = line(gateway, "unsent_bytes")
        assert (found.rejected, found.depth) == (1, 0)
        client.raw.close()


async def test_the_client_that_took_nothing_longest_goes_first_when_too_much_waits() -> None:
    async with front_door(Backend(lambda words: value(b"v" * 60_000))) as (gateway, address):
        client = await clogged(gateway, address)
        gateway.clients.backlog.limit_bytes = (
            gateway.clients.backlog.unsent_bytes
        )  # as much as may wait, and no more
        gateway.clients.sweeper.sweep()
        assert line(gateway, "unsent_bytes").rejected == 0
        gateway.clients.backlog.limit_bytes = gateway.clients.backlog.unsent_bytes // SHED_LIMITS - 1
        gateway.clients.sweeper.sweep()
        await until(lambda: not gateway.clients.connections)
        found = line(gateway, "unsent_bytes")
        assert found.rejected == 1 and found.depth == 0
        other = await Client.open(address)
        assert await other.ask(query("a1")) == b"v" * 60_000
        client.raw.close()


# --- requests: held, on their way, at a backend ---


async def test_request_beyond_those_that_may_be_open_is_told_to_come_again_at_once() -> None:
    backend = Backend(lambda words: None)
    async with operated(backend, max_open=3) as (gateway, address):
        client, other = await Client.open(address), await Client.open(address)
        client.send(flood(3))
        await until(lambda: len(gateway.requests.open) == 3)
        assert str(await other.ask(query("a1"))).startswith("-BUSY ")
        found = line(gateway, "held")
        assert (found.rejected, found.bound) == (1, 3)
        metrics = samples((await call(gateway, "GET /metrics"))[1])
        assert metrics['proxy_unserved_total{reason="crowded"}'] == 1
        assert metrics['proxy_deferred_total{group="read"}'] == 1
        client.writer.close()
        await until(lambda: not gateway.requests.open and not gateway.core.requests.open_count)
        backend.answer = lambda words: value(b"ok")
        assert await other.ask(query("a2")) == b"ok"


async def test_what_open_requests_hold_is_bounded_by_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(process_limits, "MIN_COMMAND_BYTES", 100_000)

    backend = Backend(lambda words: None)
    async with front_door(backend, memory_mb=32) as (gateway, address):
        client, other = await Client.open(address), await Client.open(address)
        client.send(submit("f1", body=b"B" * 60_000))
        await until(lambda: gateway.requests.open)
        assert str(await other.ask(submit("a1", body=b"B" * 60_000))).startswith("-BUSY ")
        assert gateway.requests.open_command_bytes == gateway.core.requests.open_bytes < 100_000
        client.writer.close()
        await until(lambda: not gateway.core.requests.open_bytes)
        assert gateway.requests.open_command_bytes == 0


def test_module_counts_what_is_open_through_every_end() -> None:
    world = World(replace(WORLD, max_open_requests=4, max_open_bytes=1000), servers(4))
    ends = [
        lambda name: world.answer(name),
        lambda name: world.answer(name, AttemptResult.TIMEOUT),
        lambda name: world.tell(ClientGone(name)),
        lambda name: world.tell(StreamStarted(name, 0, world.out[(name, 0)][0], 5)),
    ]
    for n in range(4):
        assert of(SendAttempt, world.ask(f"a{n}", size_bytes=100))
    assert world.gateway.requests.open_count == 4 and world.gateway.requests.open_bytes == 400
    [refused] = of(Reject, world.ask("b", size_bytes=100))
    assert 0 < refused.retry_after_us <= WORLD.max_retry_after_us
    for n, end in enumerate(ends):
        end(f"a{n}")
        world.run(7 * S)  # past the time of what is tried again
    assert world.gateway.requests.open_count == 0 and world.gateway.requests.open_bytes == 0
    assert of(Reject, world.ask("c", size_bytes=1001))


async def test_attempt_without_a_connection_to_be_had_is_told_so() -> None:
    backend = Backend(lambda words: None)
    async with front_door(backend) as (gateway, address):
        gateway.backends.most = 1
        client, other = await Client.open(address), await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        assert str(await other.ask(query("a2"))).startswith("-BUSY ")
        assert line(gateway, "connecting").rejected >= 1 and line(gateway, "connecting").bound == 1


async def test_attempts_wait_for_a_connection_that_does_not_come_up() -> None:
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        for _ in range(3):  # its backlog is full
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        dead = [listener.getsockname()]
        async with front_door(addresses=dead, connect_timeout_us=50_000) as (gateway, at):
            client = await Client.open(at)
            client.send(query("a1", wait_ms=400))
            await until(lambda: line(gateway, "connecting").depth)
            assert line(gateway, "connecting").oldest_us > 0
            assert str(await client.answer()).startswith("-BUSY")
            assert line(gateway, "connecting").depth == 0


async def test_backend_that_accepts_and_stays_silent_is_waited_for_only_so_long() -> None:
    backend = Backend(lambda words: None)
    async with operated(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1", wait_ms=300))
        await until(lambda: line(gateway, "backend").depth == 1)
        assert line(gateway, "backend").oldest_us >= 0
        assert (await call(gateway, "GET /healthcheck"))[0] == 200
        assert str(await client.answer()).startswith(("-BUSY", "-ERR"))
        found = line(gateway, "backend")
        assert found.rejected >= 1 and total(found.waits) >= 1
        await until(lambda: line(gateway, "backend").depth == 0)


# --- peers, management, log ---


def test_words_for_a_peer_are_bounded_and_dropped_with_a_count() -> None:
    world = World(replace(WORLD, gateway_count=3, peer_messages_per_s=0.01))
    for n in range(MESSAGES_LIMIT + 30):
        world.ask(f"a{n}", customer="c2", set_size=3)
    [snapshot] = of(MetricsSnapshot, world.tell(MetricsRequest()))
    assert snapshot.messages == MESSAGES_LIMIT and snapshot.messages_dropped > 0
    world.run(50 * MS)
    assert of(MetricsSnapshot, world.tell(MetricsRequest()))[0].messages_us >= 50 * MS


async def test_datagrams_that_the_socket_does_not_take_are_dropped_with_a_count() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind((HOST, 0))
        here = (HOST, 0)
        async with operated(Backend(), peer_listen=here, peers=(here, peer.getsockname())) as (
            gateway,
            _,
        ):
            told = SendGossip(1, (GossipMessage(1, 0, 0, 2),), waited_us=7)
            gateway.peers.pause_writing()
            gateway.peers.send(told)
            gateway.peers.resume_writing()
            gateway.peers.send(told)
            assert line(gateway, "peers").rejected == 1 and total(line(gateway, "peers").waits) == 2
            at = gateway.peers.transport.get_extra_info("sockname")
            for data in (b"", b"x", b"\xa1" + b"y" * 300):
                peer.sendto(data, at)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(b"hello", at)
            await until(lambda: gateway.peers.malformed >= 2 and gateway.peers.strange == 1)
            found = samples((await call(gateway, "GET /metrics"))[1])
            assert found['proxy_datagrams_dropped_total{why="stranger"}'] == 1


async def test_management_connections_beyond_the_bound_are_counted() -> None:
    async with operated(Backend()) as (gateway, _):
        bound = line(gateway, "management").bound
        at = gateway.management.server.sockets[0].getsockname()
        slow = [await asyncio.open_connection(*at) for _ in range(round(bound) + 3)]
        assert (await call(gateway, "GET /healthcheck"))[0] == 200
        found = line(gateway, "management")
        assert found.rejected >= 3 and found.depth <= bound and total(found.waits) == 1
        for _, writer in slow:
            writer.close()


def test_log_that_nobody_reads_stops_nothing_and_counts_what_it_drops() -> None:
    out, into = os.pipe()
    os.set_blocking(into, False)
    with contextlib.suppress(BlockingIOError):
        while os.write(into, b"." * 4096):
            pass  # until the pipe holds no more
    os.set_blocking(into, True)
    writer = LogWriter(into, max_lines=10)
    log = logging.getLogger("tests.log")
    log.propagate = False
    log.addHandler(writer)
    try:
        for number in range(40):
            log.warning("line %d", number)
        found = writer.queue_status()
        assert (found.depth, found.bound, found.rejected) == (10, 10, 30)
        with os.fdopen(out, "rb") as reader:
            text = b""
            while b"line 9\n" not in text:
                text += reader.readline()
            assert sum(map(int, re.findall(rb"log lines dropped: reason=not_read count=(\d+)", text))) == 30
            assert re.findall(rb"line (\d+)", text) == [b"%d" % number for number in range(10)]
            log.warning("last")
            assert reader.readline() == b"last\n"
            writer.close()
            assert total(writer.queue_status().waits) == 11
            os.close(into)
            assert reader.read() == b""
    finally:
        log.removeHandler(writer)


def test_log_to_nowhere_ends_nothing() -> None:
    out, into = os.pipe()
    os.close(out)
    writer = LogWriter(into)
    writer.handle(logging.makeLogRecord({"msg": "lost"}))
    writer.close()
    assert not writer.thread.is_alive() and writer.queue_status().depth == 0
    os.close(into)


# --- overload ---

FULL_AGAIN = 7  # periods of steps by a fifth, from half to nine of ten


async def test_one_customers_flood_costs_the_others_nothing() -> None:
    settings = replace(SETTINGS, gateway_count=1, plans=(Plan(rate=5.0, burst=5.0),))
    async with operated(Backend(), settings=settings) as (gateway, address):
        rude, polite = await Client.open(address), await Client.open(address)
        rude.send(flood(100))
        for n in range(5):
            words = resp("SVC.QUERY", f"{n + 1:016x}", f"a{n}", "c=read,t=team,d=3000")
            assert await polite.ask(words) == b"ok"
            assert (await call(gateway, "GET /healthcheck"))[0] == 200
        answers = [await rude.answer() for _ in range(100)]
        assert sum(str(answer).startswith("-BUSY ") for answer in answers) >= 80


async def test_when_an_overload_ends_nothing_of_it_is_left() -> None:
    backend = Backend(lambda words: None)  # all backends slow at once
    async with operated(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(b"".join(query(f"f{n}", wait_ms=400) for n in range(60)))
        for _ in range(60):
            assert str(await client.answer()).startswith(("-BUSY", "-ERR"))
        assert (await call(gateway, "GET /healthcheck"))[0] == 200
        await until(lambda: not gateway.requests.ended)
        for name in ("unread", "held", "connecting", "backend", "unsent_bytes"):
            assert line(gateway, name).depth == 0, name
        assert (
            not gateway.requests.open
            and gateway.requests.open_command_bytes == 0
            and not gateway.core.requests
        )
        backend.answer = lambda words: value(b"ok")
        number, answer = 0, None
        while answer != b"ok":
            answer, number = await client.ask(query(f"a{number}")), number + 1


async def test_what_is_no_request_is_counted() -> None:
    async with operated(Backend()) as (gateway, address):
        client, other = await Client.open(address), await Client.open(address)
        assert await client.ask(query("a1", c="what")) == "-ERR a field is given twice"
        assert str(await other.ask(b"GET / HTTP/1.1\r\n")).startswith("-ERR Protocol error")
        assert await other.ended() and await client.ask(query("a2")) == b"ok"
        found = samples((await call(gateway, "GET /metrics"))[1])
        assert found['proxy_malformed_total{what="command"}'] == 1
        assert found['proxy_malformed_total{what="stream"}'] == 1


def test_service_comes_back_by_the_mechanisms_steps_after_an_overload() -> None:
    """All servers hang for 8 s under 20 requests a second, then each answers after 50 ms again."""
    settings = replace(
        WORLD,
        classes=(RequestClass(latency_objective_us=750 * MS, deadline_us=2 * S),),
        plans=(Plan(rate=100.0, burst=100.0),),
    )
    world, served = World(settings, servers(10)), [0] * 20
    ends_us = world.now + 8 * S
    for step in range(20 * 20):
        world.ask(f"a{step}", time_left_us=2 * S)
        world.run(50 * MS)
        for (name, attempt), (_, sent_us, _) in list(world.out.items()):
            if sent_us >= ends_us:
                world.answer(name, attempt=attempt)
                served[step // 20] += 1
            elif world.now - sent_us >= 1900 * MS:
                world.answer(name, AttemptResult.TIMEOUT, attempt=attempt)
    assert not any(served[:8])
    after = served[8:]
    assert min(after) >= 9  # nearly half at once, of what N was left at
    assert min(after[FULL_AGAIN:]) >= 18, after
    assert len(world.gateway.requests) <= 2 and not world.gateway.queue
