"""A gateway, a registry and the holder of the gateway's policy lease, on one clock that the test moves."""

import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from orchidhatch.control.agent.gateway_setup import GatewaySetup
from orchidhatch.control.agent.policy_lease_holder import PolicyLeaseHolder
from orchidhatch.control.agent.service import Agent
from orchidhatch.control.policy.timing import AGENT_START_GRACE_S
from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Store
from orchidhatch.proxy.config_reader import load
from orchidhatch.proxy.server import GatewayServer
from tests.control.policy.helpers import FakeClock, registry_on_clock, settle
from tests.control.registry.helpers import address_of, call
from tests.gateway_config import write_gateway_config
from tests.sockets import HOST, Backend, front_door

ACCEPT_ALL = "pass"  # a program that checks a configuration, and finds nothing wrong


class LeaseFixture:
    """The three, real but for SIGHUP, which is a call that the gateway may ignore."""

    def __init__(
        self, registry: Registry, gateway: GatewayServer, agent: Agent, setup: GatewaySetup, time: FakeClock
    ) -> None:
        self.registry = registry
        self.gateway = gateway
        self.agent = agent
        self.setup = setup
        self.time = time
        self.ignores_signals = False
        self.holder = self.new_holder()
        self.holder.steering.process.reload = self.reload_gateway
        gateway.policy_guard.clock = time
        gateway.policy_guard.last_contact_s = time

    def new_holder(self) -> PolicyLeaseHolder:
        """A holder as a new process would make it, from what is on the agent's disk."""
        registries = [address_of(self.registry)]
        management = self.gateway.management.server.sockets[0].getsockname()
        return PolicyLeaseHolder(
            self.agent.database, self.agent.broadcaster, registries, management, self.setup, self.time
        )

    def reload_gateway(self) -> None:
        if not self.ignores_signals:
            self.gateway.reload(load({"PROXY_CONFIG": str(self.setup.config_file)}))

    async def advance(self, seconds: float = 0.0, renews: bool = True) -> int:
        """So much later, one renewal and three looks at the gateway; its health as a status."""
        self.time.now += seconds
        self.gateway.policy_guard.last_check_s = self.time.now  # its event loop did not stall
        if renews:
            await self.holder.renew()
            await self.holder.prepare_documents()
        for _ in range(3):
            await self.holder.steering.steer()
        return self.gateway.management_handlers.health()[0]

    async def put_record(self, name: str, text: str) -> None:
        value = json.dumps({"text": text}).encode()
        assert (await call(address_of(self.registry), f"POST /records/{name}", value))[0] == 200


@asynccontextmanager
async def leased_gateway(folder: Path, check_program: str = ACCEPT_ALL) -> AsyncIterator[LeaseFixture]:
    """A gateway whose agent has entered the gateway directory, and whose lease is not renewed yet."""
    time = FakeClock()
    file = write_gateway_config(folder)
    configured = load({"PROXY_CONFIG": str(file)})
    async with (
        registry_on_clock(folder / "1.db", time) as registry,
        front_door(
            Backend(),
            settings=configured.settings,
            class_numbers=configured.class_numbers,
            plan_numbers=configured.plan_numbers,
            management=(HOST, 0),
        ) as (gateway, _),
    ):
        management = gateway.management.server.sockets[0].getsockname()
        store = Store(folder / "a.db", create=True)
        agent = Agent(store, [address_of(registry)], 1, gateway=management)
        command = [sys.executable, "-c", check_program]
        setup = GatewaySetup("door-0", "a", file, folder / "pid", command)
        fixture = LeaseFixture(registry, gateway, agent, setup, time)
        await settle(registry, time)
        fixture.holder.steering.started_s = time.now - AGENT_START_GRACE_S - 1
        await fixture.holder.renew()  # it enters the gateway directory
        yield fixture
        agent.store.close()
