"""Whether the process admits new clients, and who has suspended that.

There are three reasons for suspended admission, each ended by its own owner only. Operators drain the
gateway and take it back by the management calls `healthcheck/fail` and `healthcheck/ok`; a successor process
goes on with their drain. The policy suspends admission while its lease may have expired: the agent by the
same calls with `?reason=policy`, or the policy guard by itself; the agent ends it. The process suspends it
before it serves, once a successor does, and as it ends.

An agent of the previous version makes its calls without the reason, so they are taken for an operator's. Its
`healthcheck/ok` confirms the policy only if no operator's drain is in progress, which that call ends.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from enum import StrEnum

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


class SuspensionReason(StrEnum):
    """Who has suspended admission; the values are those of the health check and of /metrics."""

    OPERATOR = "operator"
    POLICY = "policy"
    PROCESS = "process"


class ServiceState:
    """Owner of the drains by management call, and of whether clients are admitted."""

    def __init__(self, process: ProcessLifecycle, clients: Clients, post: Callable[[Event], None]) -> None:
        self.process = process
        self.clients = clients
        self.post = post
        self.policy_guard: PolicyGuard
        self.drains: set[SuspensionReason] = set()
        """Who has drained the gateway by a call and has not taken it back."""
        self.drain_task: asyncio.Task[None] | None = None
        """The drain in progress or finished, while there is a reason for it."""

    def set_policy_guard(self, policy_guard: PolicyGuard) -> None:
        """Set the policy guard, which is itself created with `suspend_admission`."""
        self.policy_guard = policy_guard

    # --- what is in force ---

    def suspensions(self) -> list[SuspensionReason]:
        """Return all reasons for which new clients are not admitted; empty if they are."""
        reasons = set(self.drains)
        if self.policy_guard.is_suspended:
            reasons.add(SuspensionReason.POLICY)
        if self.process.state is not ProcessState.SERVING:
            reasons.add(SuspensionReason.PROCESS)
        return [reason for reason in SuspensionReason if reason in reasons]

    def is_serving(self) -> bool:
        """Return whether new clients are admitted."""
        return not self.suspensions()

    def is_drained_by_operator(self) -> bool:
        """Return whether an operator has drained the gateway and has not taken it back."""
        return SuspensionReason.OPERATOR in self.drains

    def suspend_admission(self, is_suspended: bool) -> None:
        """Make the decision core reject every new request over the policy, or admit requests again."""
        self.post(SuspendAdmission(is_suspended))
        self._update_clients()

    def _update_clients(self) -> None:
        """Answer the load balancer's polls by what is in force; a starting process does not listen yet."""
        is_ending = self.process.state is ProcessState.ENDING
        is_suspended = self.policy_guard.is_suspended or bool(self.drains)
        self.clients.accepts_clients = not is_suspended and not is_ending

    # --- drains by management call ---

    def begin_drain(self, reason: SuspensionReason) -> None:
        """Drain the gateway for a reason, unless it is drained for that already or the process is ending."""
        if reason in self.drains or self.process.state is ProcessState.ENDING:
            return
        log.info("takes no new clients, by call, at %d us: reason=%s", now_us(), reason)
        self.drains.add(reason)
        self._update_clients()
        if self.drain_task is None:
            self.drain_task = asyncio.get_running_loop().create_task(self._drain())
        elif self.drain_task.done():
            self._suspend_policy()

    def end_drain(self, reason: SuspensionReason) -> None:
        """End the drain for a reason; clients are admitted again if there is no other one."""
        if reason not in self.drains:
            return
        log.info("takes clients again, by call, at %d us: reason=%s", now_us(), reason)
        self.drains.discard(reason)
        if not self.drains:
            self.drain_task.cancel()
            self.drain_task = None
            self.clients.undo_drain()
        self._update_clients()

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
        self._suspend_policy()

    def _suspend_policy(self) -> None:
        """Admit no late client under a policy that may have expired; the agent confirms one that has not."""
        if self.policy_guard.policy:
            self.policy_guard.suspend("drained by management call")

    def close(self) -> None:
        """Cancel a drain that is in progress."""
        if self.drain_task is not None:
            self.drain_task.cancel()
