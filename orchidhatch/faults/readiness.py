"""Whether the processes of a trial serve yet: probes of one process, and waits for the whole fleet."""

import asyncio
from collections.abc import Awaitable, Callable

from orchidhatch.control.http_client import HttpResponse, call
from orchidhatch.faults.network import Network
from orchidhatch.faults.plan import Plan
from orchidhatch.faults.processes import LOOK_S, READY_S, TrialError

HEALTH_TIMEOUT_S = 0.5

Ready = Callable[[], Awaitable[bool]]
"""A probe of one process: whether it is ready."""


async def always_ready() -> bool:
    """The probe of a process that nothing waits for."""
    return True


class ReadinessProbes:
    """Probes the processes of a plan at their own addresses, past the relays."""

    def __init__(self, plan: Plan, network: Network) -> None:
        self.plan = plan
        self.at = network.at

    async def answers(self, name: str, status: int = 0) -> bool:
        """Whether a process answers its health call; with this status, if one is given."""
        result = await call(self.at[name], "GET", "/healthcheck", timeout_s=HEALTH_TIMEOUT_S)
        return result.status == status if status else isinstance(result, HttpResponse)

    async def listens(self, name: str) -> bool:
        """Whether a process accepts connections."""
        try:
            _, writer = await asyncio.open_connection(*self.at[name])
        except OSError:
            return False
        writer.close()
        return True

    async def wait_until_listed(self, name: str) -> None:
        """Wait until a registry or agent lists all backends. Raises TrialError."""
        try:
            async with asyncio.timeout(READY_S):
                while not await self._lists_all_backends(name):
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise TrialError(f"the backends are not in the list of {name} within {READY_S:g} s") from None

    async def _lists_all_backends(self, name: str) -> bool:
        result = await call(self.at[name], "GET", "/catalog/members")
        return result.ok and len(result.value["instances"]) >= self.plan.backends.count

    async def wait_until_under_policy(self) -> None:
        """Wait until all gateways serve under their agents' policy leases. Raises TrialError."""
        try:
            async with asyncio.timeout(READY_S):
                while not await self._all_under_policy():
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise TrialError(f"the doors are not kept to a policy within {READY_S:g} s") from None

    async def _all_under_policy(self) -> bool:
        result = await call(self.at["registry-0"], "GET", "/doors")
        if not result.ok or not result.value["sure"]:
            return self.plan.doors == 0
        number = result.value["now"]["number"]
        serving = [
            gateway
            for gateway in result.value["doors"]
            if gateway.get("serves") and gateway["number"] == number
        ]
        return len(serving) == self.plan.doors
