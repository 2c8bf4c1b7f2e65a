"""Controllers in this process, stepped by the tests, and requests to a registry as JSON."""

import json
from typing import Any

from orchidhatch.control.controller.service import Controller
from orchidhatch.control.http_client import Address
from orchidhatch.control.registry.service import Registry
from tests.control.registry.helpers import address_of, call

# Far longer than a test, so that no lease expires by the clock.
LEASE_MS = 60_000


def new_controller(registry: Registry, name: str, *agents: Address) -> Controller:
    return Controller(name, [address_of(registry)], agents, lease_ms=LEASE_MS)


async def start_controller(registry: Registry, name: str, *agents: Address) -> Controller:
    """A controller with a session, and with the shards that are free for it."""
    controller = new_controller(registry, name, *agents)
    await controller.session.open()
    await controller.balancer.rebalance()
    return controller


async def request(registry: Registry, line: str, body: object = None) -> tuple[int, Any]:
    content = b"" if body is None else json.dumps(body).encode()
    return await call(address_of(registry), line, content)


def stored_task(registry: Registry, name: str) -> dict[str, Any]:
    return json.loads(registry.store.claims_table.records[name].text)
