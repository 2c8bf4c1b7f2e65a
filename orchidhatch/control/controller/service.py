"""The fleet controller: carries out drains, backups, policy changes and more, each by one owner at a time.

Any number of controllers may run, on any machines. Tasks lie in shards, each owned by one controller through
a claim at the registry. A task's state is stored before and after each action, on behalf of that claim, so
that the next owner goes on from it; a controller that has lost its claim without knowing is rejected wherever
it acts.
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
    """One process: its session, the shards that it owns, and the steps of the tasks in them."""

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
        self.owned = OwnedShards()
        self.session = Session(holder, registry, self, lease_ms, clock)
        self.balancer = ShardBalancer(self.session, self.owned, registry)
        self.runner = TaskRunner(
            self.session, self.owned, self.balancer, registry, GatewayFleetClient(agents)
        )

    async def run(self) -> None:
        """Hold a session and work until this is cancelled; an unexpected error of the session ends both."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.session.keep())
            group.create_task(self._work())

    async def leave(self) -> None:
        """Release everything, so that nobody has to wait for the lease to expire."""
        await self.session.end()

    def session_renewed(self, claim_epochs: Mapping[str, int]) -> None:
        """The registry has these claims in the session's name, each at that epoch."""
        self.owned.session_renewed(claim_epochs)

    def session_lost(self) -> None:
        """Nothing is held any more."""
        self.owned.session_lost()
        self.runner.forget_samples()

    async def _work(self) -> None:
        await repeat("controller", STEP_INTERVAL_S, self._step)

    async def _step(self) -> None:
        if self.session.may_act:
            await self.balancer.rebalance()
            await self.runner.run_once()
