"""The fleet controller, which carries out tasks such as drains, backups and policy changes.

Any number of controllers may run, on any machines. Tasks are distributed over shards, and each shard is owned
by one controller through a claim at the registry. A task's state is stored before and after each action,
fenced by that claim, so that the next owner can resume the task. The actions of a controller that has lost
its claim without noticing are rejected.
"""

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence

from orchidhatch.control.controller.gateway_fleet_client import GatewayFleetClient
from orchidhatch.control.controller.registry_api import RegistryApi
from orchidhatch.control.controller.session import SESSION_LEASE_MS, Session
from orchidhatch.control.controller.shards import OwnedShards, ShardBalancer
from orchidhatch.control.controller.task_runner import TaskRunner
from orchidhatch.control.http_client import Address
from orchidhatch.control.registry_client import RegistryClient
from orchidhatch.control.supervision import repeat

STEP_INTERVAL_S = 0.25


class Controller:
    """One controller process: its session, the shards that it owns, and the steps of their tasks."""

    def __init__(
        self,
        holder: str,
        registries: Sequence[Address],
        agents: Sequence[Address] = (),
        lease_ms: int = SESSION_LEASE_MS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.registry_client = RegistryClient(list(registries))
        registry = RegistryApi(self.registry_client)
        self.owned_shards = OwnedShards()
        self.session = Session(holder, registry, self, lease_ms, clock)
        self.balancer = ShardBalancer(self.session, self.owned_shards, registry)
        self.runner = TaskRunner(
            self.session, self.owned_shards, self.balancer, registry, GatewayFleetClient(agents)
        )

    async def run(self) -> None:
        """Hold a session and carry out tasks until cancelled; an unexpected session error ends both."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.session.keep_open())
            group.create_task(self._work())

    async def leave(self) -> None:
        """End the session, so that other controllers need not wait for its lease to expire."""
        await self.session.end()

    def session_renewed(self, claim_epochs: Mapping[str, int]) -> None:
        """Adopt the claims, with their epochs, that the registry has for the session."""
        self.owned_shards.session_renewed(claim_epochs)

    def session_lost(self) -> None:
        """Drop all shards and samples."""
        self.owned_shards.session_lost()
        self.runner.forget_samples()

    async def _work(self) -> None:
        await repeat("controller", STEP_INTERVAL_S, self._step)

    async def _step(self) -> None:
        if self.session.may_act:
            await self.balancer.rebalance()
            await self.runner.run_once()
