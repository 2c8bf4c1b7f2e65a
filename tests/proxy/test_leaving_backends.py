"""Backends whose leaving crosses a request that is just to be sent, over loopback."""

import asyncio
import json
from collections.abc import Callable

import pytest

from orchidhatch.gateway.snapshots import HandoverEjection
from orchidhatch.proxy.server import GatewayServer
from tests.proxy.gateway_scripts import (
    announce_endpoints,
    run_behind_next_request,
    warm_up,
)
from tests.sockets import (
    Backend,
    Client,
    catalog,
    entry,
    front_door,
    query,
)

NEWS: dict[str, Callable[[GatewayServer, Backend], None]] = {
    "drains": lambda gateway, backend: announce_endpoints(gateway, entry("s0", backend.address, "DRAINING")),
    "gone": lambda gateway, backend: announce_endpoints(
        gateway, {"instanceId": "s0", "lifecycle": "DELETED"}
    ),
    "not in the whole list": lambda gateway, backend: gateway.apply_endpoints(
        gateway.endpoint_list_reader.read(json.loads(catalog(gateway.endpoint_list_reader.version + 1, [])))
    ),
    "left out at the other process": lambda gateway, backend: gateway.handover.apply_peer_event(
        HandoverEjection("s0", True)
    ),
}


@pytest.mark.parametrize("news", NEWS)
@pytest.mark.parametrize("connected", [False, True])
async def test_no_attempt_starts_at_a_backend_that_is_leaving(news: str, connected: bool) -> None:
    """The request is decided by what the module knew: the sockets know better by then."""

    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        if connected:
            await warm_up(gateway, client, backend)
        opened = backend.opened
        run_behind_next_request(gateway, lambda: NEWS[news](gateway, backend))
        assert str(await client.ask(query("a1", wait_ms=300))).startswith("-BUSY")
        assert not backend.commands and backend.opened == opened


async def test_attempt_waiting_at_a_draining_backend_moves() -> None:
    """It waits for a connection when its backend starts to drain, and goes elsewhere unwritten."""
    leaving, other = Backend(), Backend()
    elsewhere = await other.start()
    async with front_door(leaving) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        pool = gateway.backends.pools["s0"]
        while not pool.waiting_attempts:
            await asyncio.sleep(0)
        announce_endpoints(gateway, entry("s0", leaving.address, "DRAINING"), entry("s1", elsewhere))
        assert await client.answer() == b"ok"
        while pool.connections:
            await asyncio.sleep(0)
        assert not leaving.commands and len(other.commands) == 1
