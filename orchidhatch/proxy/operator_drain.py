"""Drain and return to service by management call, and suspended admission while the policy is uncertain."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from orchidhatch.gateway.events import Event, SuspendAdmission
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.policy_guard import PolicyGuard
from orchidhatch.proxy.process_lifecycle import ProcessLifecycle, ProcessState

log = logging.getLogger(__name__)

# How long a drain waits for the load balancer in front to poll and get its first negative answer.
FRONT_POLL_TIMEOUT_S = 1.0
# New connections keep arriving for 0.2 s after that answer.
LATE_CONNECTION_GRACE_S = 0.4
# Time after the call at which reading stops; later requests on a kept connection are left to other gateways.
READ_PERIOD_S = 1.5


class OperatorDrain:
    """Owner of the drain by management call, which can be undone, and of whether clients are admitted."""

    def __init__(self, process: ProcessLifecycle, clients: Clients, post: Callable[[Event], None]) -> None:
        self.process = process
        self.clients = clients
        self.post = post
        self.policy_guard: PolicyGuard
        self.task: asyncio.Task[None] | None = None
        """The drain in progress or finished, until it is undone."""

    def set_policy_guard(self, policy_guard: PolicyGuard) -> None:
        """Set the policy guard, which is itself created with `suspend_admission`."""
        self.policy_guard = policy_guard

    def is_serving(self) -> bool:
        """Return whether new clients are admitted."""
        is_up = self.process.state is ProcessState.SERVING
        return is_up and self.task is None and not self.policy_guard.is_suspended

    def suspend_admission(self, is_suspended: bool) -> None:
        """Make the decision core reject every new request, or admit requests again."""
        self.post(SuspendAdmission(is_suspended))
        is_ending = self.process.state is ProcessState.ENDING
        self.clients.accepts_clients = not is_suspended and self.task is None and not is_ending

    def begin(self) -> None:
        """Start a drain, unless a drain is in progress or the process is ending."""
        if self.task is None and self.process.state is not ProcessState.ENDING:
            log.info("takes no new clients, by call, at %d us", now_us())
            self.clients.accepts_clients = False
            self.task = asyncio.get_running_loop().create_task(self._drain())

    async def _drain(self) -> None:
        """Serve until the load balancer got a negative answer, then close the remaining connections."""
        loop = asyncio.get_running_loop()
        called_s = loop.time()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.clients.ping_rejected.wait(), FRONT_POLL_TIMEOUT_S)
        await asyncio.sleep(LATE_CONNECTION_GRACE_S)
        self.clients.drain()
        await asyncio.sleep(called_s + READ_PERIOD_S - loop.time())
        self.clients.stop_reading()
        if (
            self.policy_guard.policy
        ):  # a late client must not be admitted under a policy that may have expired
            self.policy_guard.suspend("drained by management call")

    def undo(self) -> None:
        """Admit clients again."""
        if self.task is not None:
            log.info("takes clients again, by call, at %d us", now_us())
            self.task.cancel()
            self.task = None
            self.clients.undo_drain()

    def close(self) -> None:
        """Cancel a drain that is in progress."""
        if self.task is not None:
            self.task.cancel()
