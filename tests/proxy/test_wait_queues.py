"""Where work waits in the gateway: each queue is driven to its bound, and its metrics are read."""

import asyncio
import contextlib
import socket
import zlib
from dataclasses import replace

from orchidhatch.gateway.actions import MetricsSnapshot, SendGossip
from orchidhatch.gateway.events import MetricsRequest
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.peer_outbox import MESSAGES_LIMIT
from orchidhatch.proxy.wait_queues import BUCKET_BOUNDS_MS, WaitHistogram, queue_metrics_text
from tests.helpers import MS, World, of
from tests.helpers import SETTINGS as WORLD
from tests.proxy.gateway_scripts import (
    queue_status,
    until,
    waits_count,
)
from tests.proxy.test_cpu_accounting import samples
from tests.proxy.test_management import call, operated
from tests.sockets import (
    HOST,
    Backend,
    Client,
    front_door,
    query,
)


def test_wait_histogram_has_fixed_buckets() -> None:
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


def test_sum_of_waits_grows_by_each_wait() -> None:
    """Guards against a sum that stands still, and so a mean wait of 0, once it is large."""
    waits = WaitHistogram()
    sums = []
    for us in (1_234_567_000_000, 1_000_000, 1):
        waits.note(us)
        sums.append(samples(waits.samples_text("x"))['proxy_wait_seconds_sum{place="x"}'])
    assert sums == [1_234_567.0, 1_234_568.0, 1_234_568.000001]


async def test_every_queue_is_on_the_metrics_page() -> None:
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


def test_metrics_of_no_queue_are_a_valid_page() -> None:
    assert queue_metrics_text([]).startswith("# HELP proxy_wait_seconds ")


async def test_attempt_over_the_connection_limit_is_rejected() -> None:
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        gateway.backends.max_connections = 1
        client, other = await Client.open(address), await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        assert str(await other.ask(query("a2"))).startswith("-BUSY ")
        assert (
            queue_status(gateway, "connecting").rejected >= 1
            and queue_status(gateway, "connecting").bound == 1
        )


async def test_attempts_wait_for_a_connection_that_hangs() -> None:
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
            await until(lambda: queue_status(gateway, "connecting").depth)
            assert queue_status(gateway, "connecting").oldest_us > 0
            assert str(await client.answer()).startswith("-BUSY")
            assert queue_status(gateway, "connecting").depth == 0


async def test_silent_backend_times_out() -> None:
    """The backend accepts the connection and the command, and never answers."""
    backend = Backend(lambda arguments: None)
    async with operated(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1", wait_ms=300))
        await until(lambda: queue_status(gateway, "backend").depth == 1)
        assert queue_status(gateway, "backend").oldest_us >= 0
        assert (await call(gateway, "GET /healthcheck"))[0] == 200
        assert str(await client.answer()).startswith(("-BUSY", "-ERR"))
        found = queue_status(gateway, "backend")
        assert found.rejected >= 1 and waits_count(found.waits) >= 1
        await until(lambda: queue_status(gateway, "backend").depth == 0)


def test_gossip_over_the_outbox_limit_is_dropped_and_counted() -> None:
    world = World(replace(WORLD, gateway_count=3, peer_messages_per_s=0.01))
    leader = zlib.crc32(b"c2") % 3
    customers = [f"c{n}" for n in range(30) if zlib.crc32(f"c{n}".encode()) % 3 == leader]
    for n in range(MESSAGES_LIMIT + 30):
        world.ask(f"a{n}", customer=customers[n % len(customers)], set_size=3)
    [snapshot] = of(MetricsSnapshot, world.tell(MetricsRequest()))
    assert snapshot.messages == MESSAGES_LIMIT and snapshot.messages_dropped > 0
    world.run(50 * MS)
    assert of(MetricsSnapshot, world.tell(MetricsRequest()))[0].messages_us >= 50 * MS


async def test_datagrams_are_dropped_and_counted() -> None:
    """Those that the socket does not take, malformed ones, and those of strangers."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind((HOST, 0))
        here = (HOST, 0)
        async with operated(Backend(), peer_listen=here, peers=(here, peer.getsockname())) as (
            gateway,
            _,
        ):
            stated = SendGossip(1, (GossipMessage(1, 0, 0, 2),), waited_us=7)
            gateway.peers.pause_writing()
            gateway.peers.send(stated)
            gateway.peers.resume_writing()
            gateway.peers.send(stated)
            assert (
                queue_status(gateway, "peers").rejected == 1
                and waits_count(queue_status(gateway, "peers").waits) == 2
            )
            at = gateway.peers.transport.get_extra_info("sockname")
            for data in (b"", b"x", b"\xa1" + b"y" * 300):
                peer.sendto(data, at)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(b"hello", at)
            await until(lambda: gateway.peers.malformed >= 2 and gateway.peers.from_unknown_senders == 1)
            found = samples((await call(gateway, "GET /metrics"))[1])
            assert found['proxy_datagrams_dropped_total{why="stranger"}'] == 1


async def test_management_connections_over_the_limit_are_counted() -> None:
    async with operated(Backend()) as (gateway, _):
        bound = queue_status(gateway, "management").bound
        at = gateway.management.server.sockets[0].getsockname()
        slow = [await asyncio.open_connection(*at) for _ in range(round(bound) + 3)]
        assert (await call(gateway, "GET /healthcheck"))[0] == 200
        found = queue_status(gateway, "management")
        assert found.rejected >= 3 and found.depth <= bound and waits_count(found.waits) == 1
        for _, writer in slow:
            writer.close()


async def test_malformed_commands_and_streams_are_counted() -> None:
    async with operated(Backend()) as (gateway, address):
        client, other = await Client.open(address), await Client.open(address)
        assert await client.ask(query("a1", c="what")) == "-ERR a field is given twice"
        assert str(await other.ask(b"GET / HTTP/1.1\r\n")).startswith("-ERR Protocol error")
        assert await other.ended() and await client.ask(query("a2")) == b"ok"
        found = samples((await call(gateway, "GET /metrics"))[1])
        assert found['proxy_malformed_total{what="command"}'] == 1
        assert found['proxy_malformed_total{what="stream"}'] == 1
