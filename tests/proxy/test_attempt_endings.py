"""Attempts that end, or must not begin, while something is still owed, over loopback."""

import asyncio
import os
import socket
import zlib
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.events import ClientGone, PeerMessage
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.settings import Plan
from orchidhatch.proxy import (
    attempt,
    backend_connection,
    backend_pool,
    backends,
    event_dispatcher,
    request_lifecycle,
    socket_inspection,
)
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.backend_connection import BackendConnection
from orchidhatch.proxy.backend_pool import BackendPool
from orchidhatch.proxy.config import Policy
from tests import helpers
from tests.helpers import S, World, of
from tests.proxy.gateway_scripts import (
    run_behind_next_request,
    warm_up,
)
from tests.sockets import (
    SETTINGS,
    Backend,
    Client,
    front_door,
    query,
    run,
    submit,
    value,
)


async def test_retry_starts_after_the_previous_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The module's turn may be due already when an attempt is given up, ahead of the close in the queue."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 0)

    both = [Backend(), Backend()]
    async with front_door(*both) as (gateway, address):
        client = await Client.open(address)
        await warm_up(gateway, client, *both)
        for backend in both:
            backend.answer = lambda arguments: None
        client.send(query("a1"))
        while not any(backend.commands for backend in both):
            await asyncio.sleep(0)
        first = next(backend for backend in both if backend.commands)
        other = next(backend for backend in both if backend is not first)
        attempt, closed = gateway.requests.open["a1"].in_flight[0], []
        send = BackendConnection.send

        def sent(connection: BackendConnection, following: Attempt) -> None:
            closed.append(socket_inspection.has_peer_closed(first.writers[-1].transport))
            send(connection, following)

        monkeypatch.setattr(BackendConnection, "send", sent)
        gateway.dispatcher.post(ClientGone("somebody else"))
        attempt.time_out()
        other.answer = lambda arguments: value(b"at last")
        assert await client.answer() == b"at last"
        assert closed == [True]


@pytest.mark.parametrize("late", ["read", "unread"])
async def test_late_second_answer_is_dropped(late: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes on a connection that rests, or just before the next request is written there."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 0 if late == "unread" else 3_600_000_000)

    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        (resting,) = gateway.backends.pools["s0"].idle_connections
        backend.answer = lambda arguments: None

        def spoil() -> None:
            backend.writers[0].write(value(b"another's"))

        run_behind_next_request(
            gateway, spoil
        )  # the gateway has not read it when the module has the request sent
        client.send(query("a2"))
        while len(backend.commands) < 2:
            await asyncio.sleep(0)
        while resting.is_usable():
            await asyncio.sleep(0)
        backend.writers[1].write(value(b"its own"))
        assert await client.answer() == b"its own"
        assert backend.opened == 2


async def test_closed_idle_connection_is_not_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Written there it would end as a reset, after which it may have run and must not be sent again."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 0)

    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        peer = socket.socket(fileno=os.dup(backend.writers[0].get_extra_info("socket").fileno()))
        run_behind_next_request(gateway, lambda: peer.shutdown(socket.SHUT_RDWR))
        assert await client.ask(submit("a2")) == b"ok"


def test_retry_past_its_deduplication_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The module decided on it in time; what it repeats may have run, and is forgotten there by now."""
    real, late_us = backends.now_us, 0
    modules = (attempt, backend_connection, backend_pool, backends)
    for module in (*modules, event_dispatcher, request_lifecycle):
        monkeypatch.setattr(module, "now_us", lambda: real() + late_us)
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 3_600_000_000)

    async def job() -> None:
        nonlocal late_us
        both = [Backend(lambda arguments: b"-ERR failed\r\n"), Backend(lambda arguments: b"-ERR failed\r\n")]
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


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_request_of_a_departed_client_is_not_sent(
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
def test_grant_for_a_departed_client_is_returned_once(level: float) -> None:
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


async def test_queued_request_outlives_a_change_of_plans() -> None:
    """Its plan's number is another's, or nobody's, by then."""

    backend = Backend(lambda arguments: None)
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
        backend.answer = lambda arguments: value(b"second")
        backend.writers[0].write(value(b"first"))
        assert await client.answer() == b"first" and await other.answer() == b"second"
        assert [arguments[3].split(b",")[1] for arguments in backend.commands] == [b"t=crew"] * 2
        assert not gateway.core.requests and gateway.core.overload.in_flight == 0


async def test_attempt_that_fails_to_start_is_not_in_flight() -> None:
    async with front_door(Backend()) as (gateway, address):

        def broken(attempt: Attempt, timeout_us: int) -> None:
            raise RuntimeError("a fault of ours")

        gateway.backends.send = broken
        client = await Client.open(address)
        assert await client.ask(query("a1")) == "-ERR failed"
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not gateway.core.requests and gateway.core.overload.in_flight == 0
