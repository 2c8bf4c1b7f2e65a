"""What answers each management call."""

import asyncio
import logging
from collections.abc import Callable

from orchidhatch.gateway.events import SetEjection
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.event_dispatcher import EventDispatcher
from orchidhatch.proxy.management import Answer
from orchidhatch.proxy.metrics_page import MetricsPage
from orchidhatch.proxy.operator_drain import OperatorDrain
from orchidhatch.proxy.policy_guard import PolicyGuard
from orchidhatch.proxy.process_lifecycle import ProcessLifecycle, ProcessState

log = logging.getLogger(__name__)


class ManagementHandlers:
    """One method for each management call; each returns the status and the text of its answer."""

    def __init__(
        self,
        process: ProcessLifecycle,
        operator_drain: OperatorDrain,
        policy_guard: PolicyGuard,
        dispatcher: EventDispatcher,
        backends: Backends,
        metrics_page: MetricsPage,
    ) -> None:
        self.process = process
        self.operator_drain = operator_drain
        self.policy_guard = policy_guard
        self.dispatcher = dispatcher
        self.backends = backends
        self.metrics_page = metrics_page

    def routes(self) -> dict[tuple[str, str], Callable[..., Answer]]:
        """The handlers by method and path; `{id}` stands for a backend's name."""
        return {
            ("GET", "/healthcheck"): self.health,
            ("GET", "/stats"): self.stats,
            ("GET", "/metrics"): self.metrics,
            ("POST", "/backends/{id}/maint"): self.begin_maintenance,
            ("POST", "/backends/{id}/ready"): self.end_maintenance,
            ("POST", "/healthcheck/fail"): self.leave_service,
            ("POST", "/healthcheck/ok"): self.enter_service,
        }

    def health(self) -> Answer:
        """Whether new clients are admitted, and the policy that they are admitted by."""
        status, text = (200, "serves") if self.operator_drain.is_serving() else (503, "takes no new clients")
        return status, text + self.policy_guard.description()

    def stats(self) -> Answer:
        """The counts of requests by class and ending."""
        return 200, self.metrics_page.stats()

    def metrics(self) -> Answer:
        """The figures of /stats and those beyond them."""
        return 200, self.metrics_page.metrics()

    def begin_maintenance(self, name: str) -> Answer:
        """Send the backend nothing more."""
        return self._set_maintenance(name, True)

    def end_maintenance(self, name: str) -> Answer:
        """Let the backend be chosen again."""
        return self._set_maintenance(name, False)

    def _set_maintenance(self, name: str, is_out: bool) -> Answer:
        """What the decision core rules holds for the connections too, before the answer leaves."""
        ruling = self.dispatcher.ask(SetEjection(name, is_out))
        if not ruling.is_accepted:
            return 404, "no such backend was ever listed"
        log.info("%s is %s by hand", name, "left out" if is_out else "taken back")
        self.backends.ban(name, is_out)
        return 200, "left out" if is_out else "may serve again"

    def leave_service(self) -> Answer:
        """Start to drain."""
        self.operator_drain.begin()
        return 200, "takes no new clients"

    def enter_service(self) -> Answer:
        """Undo a drain and admit clients, if the policy still holds."""
        if self.process.state is ProcessState.ENDING:
            return 409, "the program is ending"
        if not self.policy_guard.resume():
            now_s = asyncio.get_running_loop().time()
            return 409, self.policy_guard.invalid_reason(now_s) or "its policy may hold no more"
        self.operator_drain.undo()
        return 200, "takes clients"
