"""Taking the gateway out of service and back by management calls, and by the loss of its policy lease."""

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

# How long a drain waits at most for the load balancer in front to poll and get the first negative answer.
FRONT_POLL_S = 1.0
# After that answer new connections go on coming for 0.2 s.
LATE_CONNECTIONS_S = 0.4
# After the call: what comes later on a kept connection is left to another gateway.
LAST_READ_S = 1.5


class OperatorDrain:
    """Owner of the drain by management call, which can be undone, and of whether clients are admitted."""

    def __init__(self, process: ProcessLifecycle, clients: Clients, post: Callable[[Event], None]) -> None:
        self.process = process
        self.clients = clients
        self.post = post
        self.policy_guard: PolicyGuard
        self.task: asyncio.Task[None] | None = None
        """The drain under way or finished, until it is undone."""

    def connect(self, policy_guard: PolicyGuard) -> None:
        """Set the policy guard, which is itself created with `suspend_admission`."""
        self.policy_guard = policy_guard

    def is_serving(self) -> bool:
        """Whether new clients are admitted."""
        is_up = self.process.state is ProcessState.SERVING
        return is_up and self.task is None and not self.policy_guard.is_suspended

    def suspend_admission(self, is_suspended: bool) -> None:
        """Have the decision core reject every new request, or admit them again."""
        self.post(SuspendAdmission(is_suspended))
        is_ending = self.process.state is ProcessState.ENDING
        self.clients.accepts_clients = not is_suspended and self.task is None and not is_ending

    def begin(self) -> None:
        """Start to drain, unless a drain is under way or the process is ending."""
        if self.task is None and self.process.state is not ProcessState.ENDING:
            log.info("takes no new clients, by call, at %d us", now_us())
            self.clients.accepts_clients = False
            self.task = asyncio.get_running_loop().create_task(self._drain())

    async def _drain(self) -> None:
        """Serve until the load balancer has been answered no, then close the connections that were kept."""
        loop = asyncio.get_running_loop()
        called_s = loop.time()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.clients.ping_rejected.wait(), FRONT_POLL_S)
        await asyncio.sleep(LATE_CONNECTIONS_S)
        self.clients.drain()
        await asyncio.sleep(called_s + LAST_READ_S - loop.time())
        self.clients.read_no_more()
        if self.policy_guard.policy:  # a late client would be admitted by a policy that may no longer hold
            self.policy_guard.suspend("it was emptied")

    def undo(self) -> None:
        """Admit clients again."""
        if self.task is not None:
            log.info("takes clients again, by call, at %d us", now_us())
            self.task.cancel()
            self.task = None
            self.clients.undo_drain()

    def close(self) -> None:
        """Cancel a drain that is under way."""
        if self.task is not None:
            self.task.cancel()
