"""One process after another on one listening socket: state, rules, and what is not a sound hand-over."""

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import AsyncIterator, Iterable
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidhatch.gateway.actions import MetricsSnapshot, SendAttempt
from orchidhatch.gateway.events import (
    HandoverPeerGone,
    HandoverPeerUnknown,
    MetricsRequest,
    SetEjection,
    StartHandover,
)
from orchidhatch.gateway.handover_codec import from_plain, to_plain
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.snapshots import (
    CustomerKey,
    GatewaySnapshot,
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverSpend,
)
from orchidhatch.proxy import handover, process_handover, process_lifecycle
from orchidhatch.proxy.config import Config, Policy
from orchidhatch.proxy.server import GatewayServer
from tests.gateway.held_pair import HeldPair
from tests.helpers import MS, SETTINGS, S, World, of
from tests.sockets import CONFIG, HEAD, HOST, Backend, Client, Watch, catalog, chunk, entry, query, resp, run

# --- the module ---


def handed(world: World) -> GatewaySnapshot:
    state = of(GatewaySnapshot, world.tell(StartHandover()))[0]
    return from_plain(GatewaySnapshot, json.loads(json.dumps(to_plain(state))))


def successor(world: World) -> World:
    later = World(world.gateway.settings)
    later.now = world.now
    later.tell(handed(world))
    return later


def test_quota_and_bans_are_handed_over() -> None:
    world = World()
    world.tell(SetEjection("s1", True))
    for number in range(20):  # the whole burst
        world.ask(f"a{number}")
        world.answer(f"a{number}")
    later = successor(world)
    assert of(SendAttempt, later.ask("b")) == []
    [census] = of(MetricsSnapshot, later.tell(MetricsRequest()))
    assert (census.listed, census.ejected) == (4, 1)
    assert of(SendAttempt, World().ask("b")) != []  # which a fresh start would send


def test_ceiling_and_open_cap_hold_over_both_processes() -> None:
    plan = Plan(
        rate=100.0, burst=100.0, max_in_flight=2, ceiling_rate=10.0, ceiling_burst=4.0, ceiling_slack=1.0
    )
    world = World(replace(SETTINGS, plans=(plan,)))
    world.ask("a0")  # the customer is known, its ceiling fills
    world.run(2 * S)
    later = successor(world)
    sent = of(HandoverAttempt, world.ask("a1")) + of(HandoverAttempt, world.run(40 * MS))
    assert [word.units for word in sent] == [1.0]
    for word in sent:
        later.tell(word)
    assert of(SendAttempt, later.ask("b1")) == []  # one out from before and one since: the cap is reached
    later.tell(HandoverAttemptEnd("a1", 0))
    assert len(of(SendAttempt, later.run(40 * MS))) == 1
    later.tell(HandoverPeerGone())
    assert later.gateway.overload.in_flight == 1 and not later.gateway.handover_peer.in_flight


def test_peer_spending_is_taken_from_the_quota() -> None:
    world = World()
    later = successor(world)
    for word in of(HandoverSpend, world.ask("a", units=20.0)):
        later.tell(word)
    (customer,) = later.gateway.quotas.customers.values()
    assert (customer.quota.local_share, customer.quota.set_level) == (0.0, 0.0)


def test_ceiling_reserves_capacity_for_unknown_predecessor() -> None:
    plan = Plan(rate=100.0, burst=100.0, ceiling_rate=10.0, ceiling_burst=4.0)
    world = World(replace(SETTINGS, plans=(plan,)))
    world.tell(HandoverPeerUnknown())
    world.ask("a")
    assert of(SendAttempt, world.run(500 * MS)) == []
    world.tell(HandoverPeerGone())
    assert of(SendAttempt, world.run(60 * MS)) == []  # the ceiling fills from now on, as after a start
    assert len(of(SendAttempt, world.run(100 * MS))) == 1


def test_peer_is_sent_messages_only_while_there_is_one() -> None:
    world = World()
    assert of(HandoverAttempt, world.ask("a")) == []
    world.tell(StartHandover())
    assert of(HandoverAttempt, world.ask("b")) != []
    world.tell(HandoverPeerGone())
    assert of(HandoverAttempt, world.ask("c")) == []


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=20,
)


@settings(derandomize=True, deadline=None)
@given(JSON)
def test_malformed_snapshot_is_a_value_error(value: object) -> None:
    with pytest.raises(ValueError):
        from_plain(GatewaySnapshot, value)


# --- the processes ---


@contextlib.asynccontextmanager
async def gateway_count(
    backend: Backend, tmp_path: Path
) -> AsyncIterator[tuple[Config, list[GatewayServer]]]:
    """A configuration on an inherited socket, and the front doors to close at the end."""
    listed = catalog(7, [entry("s0", await backend.start())])

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(listed))
        await asyncio.Event().wait()

    with socket.create_server((HOST, 0)) as held:
        started: list[GatewayServer] = []
        yield (
            replace(
                CONFIG,
                discovery=await Watch(script).start(),
                listen=held.getsockname(),
                socket_fd=held.fileno(),
                shared_directory=tmp_path,
            ),
            started,
        )
        for door in started:
            door.close()


async def start(config: Config, started: list[GatewayServer]) -> GatewayServer:
    """A front door with a descriptor of its own, as another process has."""
    door = GatewayServer(replace(config, socket_fd=os.dup(config.socket_fd)))
    started.append(door)
    await door.start()
    return door


def test_successor_takes_over_and_no_request_is_lost(tmp_path: Path) -> None:
    async def job() -> None:
        backend = Backend(
            lambda arguments: None if arguments[2] == b"a2" else b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
        )
        async with gateway_count(backend, tmp_path) as (config, started):
            old = await start(config, started)
            idle, busy = [await Client.open(config.listen) for _ in range(2)]
            assert await idle.ask(query("a1")) == b"ok"
            busy.send(query("a2"))
            while len(backend.commands) < 2:
                backend.came.clear()
                await backend.came.wait()
            assert old.management_handlers.begin_maintenance("s0")[0] == 200
            new = await start(config, started)
            assert new.service_state.is_serving() and not old.service_state.is_serving()
            assert len(new.core.handover_peer.in_flight) == 1 and "s0" in new.backends.ejected
            assert new.management_handlers.end_maintenance("s0")[0] == 200
            assert await idle.ended()
            client = await Client.open(config.listen)
            assert await client.ask(resp("PING")) == b"PONG"
            assert await client.ask(query("a3")) == b"ok"
            backend.writers[1].write(b"*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n")
            assert await busy.answer() == b"late" and await busy.ended()
            while new.core.handover_peer.in_flight:
                await asyncio.sleep(0.01)
            assert len(old.clients.connections) == 0 and new.request_metrics.ended["read"]["answered"] == 1

    run(job())


def test_successor_goes_on_with_the_drain_of_operators(tmp_path: Path) -> None:
    """Guards against an upgrade that takes a drained gateway back; one that is not drained serves at once."""

    async def job() -> None:
        async with gateway_count(Backend(), tmp_path) as (config, started):
            old = await start(config, started)
            assert old.management_handlers.leave_service()[0] == 200
            new = await start(config, started)
            assert new.management_handlers.health() == (503, "takes no new clients; suspended by operator")
            assert new.management_handlers.enter_service()[0] == 200
            client = await Client.open(config.listen)
            assert await client.ask(resp("PING")) == b"PONG"
            newest = await start(config, started)
            assert newest.service_state.is_serving()

    run(job())


@pytest.mark.parametrize("end", ["confirmed", "terminated", "predecessor gone"])
def test_predecessor_serves_until_the_policy_is_confirmed(tmp_path: Path, end: str) -> None:
    """Guards against a successor that takes over and refuses all requests (review case 10)."""

    async def job() -> None:
        async with gateway_count(Backend(), tmp_path) as (config, started):
            kept = replace(config, policy=Policy(1, "", 60.0))
            old = await start(kept, started)
            assert old.management_handlers.confirm_policy()[0] == 200
            starting = asyncio.create_task(start(kept, started))
            while len(started) < 2 or not started[1].handover.peer.resumed.is_set():
                await asyncio.sleep(0.001)
            new = started[1]
            await asyncio.sleep(0.1)
            client = await Client.open(config.listen)
            assert await client.ask(query("a1")) == b"ok" and old.service_state.is_serving()
            if end == "confirmed":
                assert new.management_handlers.confirm_policy()[0] == 200
            elif end == "terminated":
                new.process.note_termination()
            else:
                old.handover.close()
            await starting
            assert new.service_state.is_serving() is (end == "confirmed")
            assert old.service_state.is_serving() is (end != "confirmed")
            if end == "terminated":
                assert new.server is None
                assert await client.ask(query("a2")) == b"ok"

    run(job())


def test_replaced_process_ends_by_itself(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(process_lifecycle, "REPLACED_EXIT_DELAY_S", 0.01)

    async def job() -> None:
        async with gateway_count(Backend(), tmp_path) as (config, started):
            old = await start(config, started)
            await start(config, started)
            await old.process.finished.wait()

    run(job())


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"what\n",
        b"[]\n",
        b'{"version":2,"say":"state"}\n',
        b'{"version":1,"say":"state"}\n',
        b'{"version":1,"say":"state","state":[1],"known":{},"count":[1,1]}\n',
        b'{"version":1,"say":"odd"}\n',
    ],
)
def test_malformed_handover_is_a_fresh_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answer: bytes
) -> None:
    monkeypatch.setattr(handover, "ANSWER_TIMEOUT_S", 0.2)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(answer)
        await reader.read()
        writer.close()

    async def job() -> None:
        path = tmp_path / process_handover.HANDOVER_SOCKET
        server = await asyncio.start_unix_server(serve, str(path))
        async with gateway_count(Backend(), tmp_path) as (config, started):
            new = await start(config, started)
            client = await Client.open(config.listen)
            assert await client.ask(query("a1")) == b"ok" and new.service_state.is_serving()
        server.close()

    run(job())


def test_ceilings_wait_until_the_peer_address_is_free(tmp_path: Path) -> None:
    async def job() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind((HOST, 0))
            async with gateway_count(Backend(), tmp_path) as (config, started):
                door = await start(replace(config, peer_listen=taken.getsockname()), started)
                client = await Client.open(config.listen)
                assert await client.ask(query("a1")) == b"ok"  # of a plan without a ceiling
                assert door.core.context.has_unknown_peer
                taken.close()
                while door.core.context.has_unknown_peer:
                    await asyncio.sleep(0.01)

    run(job())


def test_stranger_at_the_handover_path_ends_nothing(tmp_path: Path) -> None:
    async def job() -> None:
        async with gateway_count(Backend(), tmp_path) as (config, started):
            door = await start(config, started)
            for line in (b"what\n", b'{"version":1,"say":"serving"}\n', b'{"version":1,"say":"TwinEnd"}\n'):
                reader, writer = await asyncio.open_unix_connection(str(door.handover.peer.path))
                writer.write(line)
                assert await reader.read() == b""
                writer.close()
            client = await Client.open(config.listen)
            assert await client.ask(query("a1")) == b"ok" and door.service_state.is_serving()

    run(job())


def test_line_of_another_version_is_an_error() -> None:
    lines: list[str] = []
    connection = handover.HandoverConnection(
        lambda _, name, values: lines.append(name), lambda connection: None
    )
    with pytest.raises(handover.HandoverError, match="version 2"):
        connection.receive({"version": 2, "say": "released"})
    connection.receive({"version": 1, "say": "released"})
    assert lines == ["released"]


class RecordingHost:
    """A gateway's process whose core is a world; it keeps what the other process has sent."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.received: list[object] = []

    def create_handover_state(self) -> dict[str, object]:
        [state] = of(GatewaySnapshot, self.world.tell(StartHandover()))
        return {"state": to_plain(state), "known": {}, "count": [0, 0], **handover.optional_fields(state)}

    def resume(
        self, state: GatewaySnapshot, _: object, recent_requests: Iterable[str], is_drained_by_operator: bool
    ) -> None:
        assert not list(recent_requests)  # as from a process of an earlier version
        self.received.append(state)

    def apply_peer_event(self, event: object) -> None:
        self.received.append(event)

    def set_peer_socket_counts(self, *_: int) -> None:
        """Not recorded."""


def test_optional_fields_go_over_the_connection(tmp_path: Path) -> None:
    pair = HeldPair()
    pair.ask("a", units=6.0)
    spend = HandoverSpend(CustomerKey(1, 0, 0, 4), 6.0, counted=6.0)

    async def job() -> None:
        path = tmp_path / process_handover.HANDOVER_SOCKET
        old = handover.HandoverPeer(RecordingHost(pair.member), path)
        new = handover.HandoverPeer(RecordingHost(World()), path)
        await old.listen_for_successor()
        assert await new.take_over()
        old.send(spend)
        while len(new.host.received) < 2:
            await asyncio.sleep(0.001)
        state, received = new.host.received
        assert [request.units for request in state.grant_requests] == [6.0]
        assert received == spend
        new.close()
        old.close()

    run(job())
