"""The instants in which something ends while something is still owed, each forced over loopback sockets."""

import asyncio
import json
import os
import socket
import zlib
from collections.abc import Callable
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.events import ClientGone, PeerMessage
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.snapshots import HandoverEjection
from orchidhatch.proxy import (
    attempt,
    backend_connection,
    backend_pool,
    backends,
    event_dispatcher,
    process_lifecycle,
    request_lifecycle,
)
from orchidhatch.proxy import socket_inspection as looks
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.backend_connection import BackendConnection
from orchidhatch.proxy.backend_pool import BackendPool
from orchidhatch.proxy.client_connection import COMMAND_TIMEOUT_S
from orchidhatch.proxy.config import Policy
from orchidhatch.proxy.reply import Reply
from orchidhatch.proxy.server import GatewayServer
from tests import helpers
from tests.helpers import S, World, of
from tests.sockets import (
    SETTINGS,
    Backend,
    Client,
    catalog,
    entry,
    front_door,
    query,
    resp,
    run,
    submit,
    value,
)


def tell(gateway: GatewayServer, *entries: dict[str, object]) -> None:
    """Discovery's news, as its watch hands them on."""
    gateway.apply_endpoints(
        gateway.catalog.read(json.loads(catalog(gateway.catalog.version + 1, entries, reset=False)))
    )


def meanwhile(gateway: GatewayServer, what: Callable[[], None]) -> None:
    """Have it come in right behind the next request, before the module is asked about that."""
    take = gateway.clients.take

    def taken(words: list[bytes], reply: Reply) -> None:
        gateway.clients.take = take
        take(words, reply)
        what()

    gateway.clients.take = taken


async def warm(gateway: GatewayServer, client: Client, *backends: Backend) -> None:
    """Ask until each of the backends has an idle connection."""
    number = 0
    while not all(backend.commands for backend in backends):
        number += 1
        assert await client.ask(query(f"warm{number}")) == b"ok"
    for backend in backends:
        backend.commands.clear()
        backend.came.clear()


# --- servers that leave ---

NEWS: dict[str, Callable[[GatewayServer, Backend], None]] = {
    "drains": lambda gateway, backend: tell(gateway, entry("s0", backend.address, "DRAINING")),
    "gone": lambda gateway, backend: tell(gateway, {"instanceId": "s0", "lifecycle": "DELETED"}),
    "not in the whole list": lambda gateway, backend: gateway.apply_endpoints(
        gateway.catalog.read(json.loads(catalog(gateway.catalog.version + 1, [])))
    ),
    "left out at the other process": lambda gateway, backend: gateway.handover.handover_peer_sent(
        HandoverEjection("s0", True)
    ),
}


@pytest.mark.parametrize("news", NEWS)
@pytest.mark.parametrize("connected", [False, True])
async def test_nothing_is_begun_at_a_backend_whose_leaving_came_in_behind_the_request(
    news: str, connected: bool
) -> None:
    """The request is decided by what the module knew: the sockets know better by then."""

    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        if connected:
            await warm(gateway, client, backend)
        opened = backend.opened
        meanwhile(gateway, lambda: NEWS[news](gateway, backend))
        assert str(await client.ask(query("a1", wait_ms=300))).startswith("-BUSY")
        assert not backend.commands and backend.opened == opened


async def test_what_waits_for_a_connection_to_a_backend_that_drains_goes_elsewhere_unwritten() -> None:
    leaving, other = Backend(), Backend()
    elsewhere = await other.start()
    async with front_door(leaving) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        pool = gateway.backends.pools["s0"]
        while not pool.waiting_attempts:
            await asyncio.sleep(0)
        tell(gateway, entry("s0", leaving.address, "DRAINING"), entry("s1", elsewhere))
        assert await client.answer() == b"ok"
        while pool.connections:
            await asyncio.sleep(0)
        assert not leaving.commands and len(other.commands) == 1


# --- attempts ---


async def test_the_next_attempt_is_begun_when_the_one_before_is_closed_and_no_sooner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The module's turn may be due already when an attempt is given up, ahead of the close in the queue."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 0)

    both = [Backend(), Backend()]
    async with front_door(*both) as (gateway, address):
        client = await Client.open(address)
        await warm(gateway, client, *both)
        for backend in both:
            backend.answer = lambda words: None
        client.send(query("a1"))
        while not any(backend.commands for backend in both):
            await asyncio.sleep(0)
        first = next(backend for backend in both if backend.commands)
        other = next(backend for backend in both if backend is not first)
        attempt, closed = gateway.requests.open["a1"].out[0], []
        send = BackendConnection.send

        def sent(connection: BackendConnection, following: Attempt) -> None:
            closed.append(looks.left(first.writers[-1].transport))
            send(connection, following)

        monkeypatch.setattr(BackendConnection, "send", sent)
        gateway.dispatcher.post(ClientGone("somebody else"))
        attempt.time_out()
        other.answer = lambda words: value(b"at last")
        assert await client.answer() == b"at last"
        assert closed == [True]


@pytest.mark.parametrize("late", ["read", "unread"])
async def test_second_answer_that_comes_late_goes_to_nobody(
    late: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It comes on a connection that rests, or just before the next request is written there."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 0 if late == "unread" else 3_600_000_000)

    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        (resting,) = gateway.backends.pools["s0"].idle_connections
        backend.answer = lambda words: None

        def spoil() -> None:
            backend.writers[0].write(value(b"another's"))

        meanwhile(gateway, spoil)  # the gateway has not read it when the module has the request sent
        client.send(query("a2"))
        while len(backend.commands) < 2:
            await asyncio.sleep(0)
        while resting.is_usable():
            await asyncio.sleep(0)
        backend.writers[1].write(value(b"its own"))
        assert await client.answer() == b"its own"
        assert backend.opened == 2


async def test_connection_that_the_backend_has_closed_is_not_taken_for_an_unsafe_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Written there it would end as a reset, after which it may have run and must not be sent again."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 0)

    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        peer = socket.socket(fileno=os.dup(backend.writers[0].get_extra_info("socket").fileno()))
        meanwhile(gateway, lambda: peer.shutdown(socket.SHUT_RDWR))
        assert await client.ask(submit("a2")) == b"ok"


def test_repeat_that_waits_past_its_window_for_a_connection_is_not_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The module decided on it in time; what it repeats may have run, and is forgotten there by now."""
    real, late_us = backends.now_us, 0
    modules = (attempt, backend_connection, backend_pool, backends)
    for module in (*modules, event_dispatcher, request_lifecycle, process_lifecycle):
        monkeypatch.setattr(module, "now_us", lambda: real() + late_us)
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 3_600_000_000)

    async def job() -> None:
        nonlocal late_us
        both = [Backend(lambda words: b"-ERR failed\r\n"), Backend(lambda words: b"-ERR failed\r\n")]
        classes = (SETTINGS.classes[0], replace(SETTINGS.classes[1], dedup_window_us=S), SETTINGS.classes[2])
        async with front_door(*both, settings=replace(SETTINGS, classes=classes)) as (gateway, address):
            client, up, connect = await Client.open(address), asyncio.Event(), BackendPool.connect

            async def connect_late(pool: BackendPool, connection: BackendConnection) -> None:
                if sum(len(backend.commands) for backend in both):
                    await up.wait()
                await connect(pool, connection)

            monkeypatch.setattr(BackendPool, "connect", connect_late)
            client.send(submit("a1", kind="book"))
            while not any(pool.waiting_attempts for pool in gateway.backends.pools.values()) or not sum(
                len(backend.commands) for backend in both
            ):
                await asyncio.sleep(0)
            late_us += S + 1
            up.set()
            assert await client.answer() == "-ERR failed"
            assert sum(len(backend.commands) for backend in both) == 1 and not gateway.core.requests

    run(job())


# --- clients that leave ---


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_request_of_a_client_that_left_while_connecting_is_not_sent(
    may_cancel: bool,
) -> None:
    """Where no attempt may be called off, too: one that was not written is nobody's yet."""

    backend = Backend()
    plans = (Plan(rate=1.0, burst=4.0),)
    settings = replace(SETTINGS, may_cancel=may_cancel, plans=plans, gateway_count=1)
    async with front_door(backend, settings=settings) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1", units="2"))
        pool = gateway.backends.pools["s0"]
        while not pool.waiting_attempts:
            await asyncio.sleep(0)
        (customer,) = gateway.core.quotas.customers.values()
        assert customer.quota.set_level < 3
        connect = pool.connecting
        for connection in list(gateway.clients.connections):
            connection.connection_lost(None)  # before the one to the backend is told to be up
        assert connect == 1 and not gateway.requests.ended
        while not pool.idle_connections:
            await asyncio.sleep(0)
        assert not backend.commands and not gateway.core.requests
        assert customer.quota.set_level == pytest.approx(4, abs=0.2)  # given back, once
        assert customer.in_flight == 0


@pytest.mark.parametrize("level", [15.0, 5.0])
def test_what_the_home_has_counted_for_a_client_that_left_meanwhile_is_given_back_once(level: float) -> None:
    """The home counts what it lets in with its answer, which finds nobody any more."""
    world = World(replace(helpers.SETTINGS, gateway_count=3))
    name = next(str(n) for n in range(9) if zlib.crc32(str(n).encode()) % 3)  # at home elsewhere
    world.ask("r1", customer=name, units=10.0, set_size=3)
    (customer,) = world.gateway.quotas.customers.values()
    assert world.gateway.admission.awaiting_grant and not customer.is_leader
    world.tell(ClientGone("r1"))
    word = GossipMessage(*customer.key, True, 10.0, 0.0, 10.0, level, 0, SlotGrant.NONE)
    for _ in range(2):
        world.tell(PeerMessage(customer.leader, (word,), ()))
    assert customer.quota.unreported_spend == (-10.0 if level >= 10 else 0.0)
    assert (
        not world.gateway.admission.awaiting_grant
        and not world.gateway.requests
        and not of(SendAttempt, world.run(S))
    )


async def test_client_that_leaves_is_noticed_while_nothing_is_read_from_it() -> None:
    """Its end lies behind what it had pipelined, or its answers could not leave."""

    backend = Backend(lambda words: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(b"".join(query(f"a{n}") for n in range(40)))
        while all(connection.is_reading for connection in gateway.clients.connections):
            await asyncio.sleep(0)
        client.writer.close()
        while gateway.requests.open or gateway.clients.connections or gateway.core.requests:
            await asyncio.sleep(0.001)


async def test_client_whose_end_comes_behind_answers_that_wait_is_gone_at_once() -> None:
    """The loop tells of a connection's loss only when all is written."""

    backend = Backend(lambda words: None if words[2] == b"a2" else value(b"x" * 60_000))
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


# --- the end of a process ---


async def drain(gateway: GatewayServer) -> asyncio.Task[None]:
    draining = asyncio.create_task(gateway.drain())
    while not gateway.clients.is_draining:
        await asyncio.sleep(0)
    return draining


@pytest.fixture
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A drain that waits for nothing but events."""
    monkeypatch.setattr(process_lifecycle, "SETTLE_S", 0.0)
    monkeypatch.setattr(process_lifecycle, "DRAIN_LOOK_S", 0.001)


@pytest.mark.usefixtures("at_once")
async def test_drain_waits_for_what_is_half_read_and_for_what_is_half_written() -> None:
    long = b"x" * 60_000
    backend = Backend(lambda words: value(long))
    async with front_door(backend) as (gateway, address):
        half, slow = await Client.open(address), await Client.open(address)
        half.send(query("a1")[:-1])
        slow.writer.transport.pause_reading()
        slow.send(b"".join(query(f"b{n}") for n in range(16)))
        while (
            not any(one.reader.buffer for one in gateway.clients.connections)
            or sum(sum(ended.values()) for ended in gateway.figures.ended.values()) < 16
        ):
            await asyncio.sleep(0)
        draining = await drain(gateway)
        for _ in range(50):
            await asyncio.sleep(0.001)  # the drain looks again and again, and nothing is open
        assert not gateway.requests.open and not draining.done()
        half.send(query("a1")[-1:])
        assert await half.answer() == long and await half.ended()
        slow.writer.transport.resume_reading()
        assert [await slow.answer() for _ in range(16)] == [long] * 16
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_reads_no_further_than_what_is_open_and_all_is_answered_in_time() -> None:
    """What is read later than a while after SIGTERM has to be answered before SIGKILL."""

    backend = Backend(lambda words: None)
    async with front_door(backend) as (gateway, address):
        kept, half = await Client.open(address), await Client.open(address)
        kept.send(query("a1"))
        half.send(query("c1", wait_ms=3_600_000)[:-1])
        while not gateway.requests.open or not any(one.reader.buffer for one in gateway.clients.connections):
            await asyncio.sleep(0)
        draining = await drain(gateway)
        kept.send(query("a2"))  # crosses the end: it was not read, and is sent elsewhere
        half.send(query("c1")[-1:])
        while len(backend.commands) < 2:
            await asyncio.sleep(0)
        left_us = gateway.requests.open["c1"].end_us - gateway.requests.open["c1"].came_us
        assert left_us <= process_lifecycle.MOST_DEADLINE_US + process_lifecycle.KILL_AFTER_US
        assert "a2" not in gateway.requests.open
        for writer in backend.writers:
            writer.write(value(b"at last"))
        assert await kept.answer() == b"at last" and await half.answer() == b"at last"
        assert await kept.ended() and await half.ended()
        assert all(words[2] != b"a2" for words in backend.commands)
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_waits_for_a_long_value_that_a_slow_client_takes() -> None:
    """Part of it waits here when the drain begins, and for as long as the client takes none."""

    long = bytes(1 << 20)
    backend = Backend(lambda words: value(long))
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
        draining = await drain(gateway)
        while not gateway.clients.reads_no_more:
            await asyncio.sleep(0)
        assert not draining.done()
        slow.writer.transport.resume_reading()
        assert await slow.answer() == long and await slow.ended()
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_waits_for_requests_that_are_held() -> None:
    """Nothing of them has been sent when it begins: their customer has as many out as it may."""

    backend = Backend(lambda words: None)
    plans = (Plan(rate=1000.0, burst=1000.0, max_in_flight=1),)
    settings = replace(SETTINGS, plans=plans, gateway_count=1)
    async with front_door(backend, settings=settings) as (gateway, address):
        clients = [await Client.open(address) for _ in range(3)]
        for number, one in enumerate(clients):
            one.send(query(f"a{number}"))
        while len(gateway.core.queue) < 2:
            await asyncio.sleep(0)
        draining = await drain(gateway)
        while not gateway.clients.reads_no_more:
            await asyncio.sleep(0)
        for number in range(3):
            while len(backend.commands) <= number:
                await asyncio.sleep(0)
            backend.writers[number].write(value(b"at last"))
        assert [await client.answer() for client in clients] == [b"at last"] * 3
        assert all([await client.ended() for client in clients])
        await draining


@pytest.mark.usefixtures("at_once")
async def test_drain_answers_who_connects_in_its_last_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the kernel has accepted it by then, and its request lies there."""

    async with front_door(Backend()) as (gateway, address):
        late, read_no_more = socket.socket(), gateway.clients.read_no_more

        def meanwhile() -> None:
            read_no_more()
            late.connect(address)
            late.sendall(query("a1"))

        monkeypatch.setattr(gateway.clients, "read_no_more", meanwhile)
        await gateway.drain()
        late.settimeout(5)
        assert late.recv(100) == b"$2\r\nok\r\n" and late.recv(100) == b""
        late.close()


@pytest.mark.usefixtures("at_once")
@pytest.mark.parametrize("first", [resp("PING"), query("b1").replace(b"t=team", b"t=none")])
async def test_what_is_read_in_a_drain_behind_an_answer_given_at_once_is_answered_too(first: bytes) -> None:
    """It came in one piece with what was answered in the same turn, after which the connection would rest."""

    backend = Backend(lambda words: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(first[:-1])
        while not any(one.reader.buffer for one in gateway.clients.connections):
            await asyncio.sleep(0)
        draining = await drain(gateway)
        while not gateway.clients.reads_no_more:
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


async def test_room_is_made_and_silence_punished_only_where_nothing_has_come() -> None:
    """Timers, and connections that come up, may go ahead of what lies unread."""

    async with front_door(Backend()) as (gateway, address):
        now_s = 100.0
        gateway.clients.clock = lambda: now_s
        first, second = await Client.open(address), await Client.open(address)
        for client in (first, second):
            assert await client.ask(resp("PING")) == b"PONG"
        late = await Client.open(address)
        while len(gateway.clients.connections) < 3:
            await asyncio.sleep(0)
        gateway.clients.max_connections = 3
        for client, name in ((first, "a1"), (late, "a2")):
            os.write(client.writer.get_extra_info("socket").fileno(), query(name))  # in this very turn
        now_s += COMMAND_TIMEOUT_S
        gateway.clients.sweeper.sweep()
        gateway.clients.make_room(None)
        assert await second.ended()
        assert await first.answer() == b"ok" and await late.answer() == b"ok"


# --- what belongs to somebody else by then ---


async def test_request_that_is_held_over_a_change_of_plans_is_sent_as_it_came() -> None:
    """Its plan's number is another's, or nobody's, by then."""

    backend = Backend(lambda words: None)
    plans = (Plan(rate=1000.0, burst=1000.0), Plan(rate=1000.0, burst=1000.0, max_in_flight=1))
    settings = replace(SETTINGS, plans=plans, gateway_count=1)
    async with front_door(backend, settings=settings, plan_numbers={"team": 0, "crew": 1}) as (
        gateway,
        address,
    ):
        client, other = await Client.open(address), await Client.open(address)
        client.send(query("a1").replace(b"t=team", b"t=crew"))
        await backend.came.wait()
        other.send(query("a2").replace(b"t=team", b"t=crew"))
        while len(gateway.requests.open) < 2:
            await asyncio.sleep(0)
        new = replace(settings, plans=plans[:1])
        gateway.reloader.switch_policy(
            replace(
                gateway.active.config,
                settings=new,
                plan_numbers={"team": 0},
                policy=Policy(1, "0" * 16, 5.0),
            )
        )
        backend.answer = lambda words: value(b"second")
        backend.writers[0].write(value(b"first"))
        assert await client.answer() == b"first" and await other.answer() == b"second"
        assert [words[3].split(b",")[1] for words in backend.commands] == [b"t=crew"] * 2
        assert not gateway.core.requests and gateway.core.overload.in_flight == 0


async def test_attempt_that_cannot_be_begun_is_not_counted_as_out() -> None:
    async with front_door(Backend()) as (gateway, address):

        def broken(attempt: Attempt, timeout_us: int) -> None:
            raise RuntimeError("a fault of ours")

        gateway.backends.send = broken
        client = await Client.open(address)
        assert await client.ask(query("a1")) == "-ERR failed"
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not gateway.core.requests and gateway.core.overload.in_flight == 0
