"""The handlers of the management calls."""

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
    """One method per management call; each returns the status and the text of the answer."""

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
        """Return the handlers by method and path; `{id}` stands for a backend's name."""
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
        """Return whether new clients are admitted, and the policy in force."""
        status, text = (200, "serves") if self.operator_drain.is_serving() else (503, "takes no new clients")
        return status, text + self.policy_guard.description()

    def stats(self) -> Answer:
        """Return the counts of requests by class and outcome."""
        return 200, self.metrics_page.stats()

    def metrics(self) -> Answer:
        """Return the counts of /stats and all further metrics."""
        return 200, self.metrics_page.metrics()

    def begin_maintenance(self, name: str) -> Answer:
        """Eject the backend: it gets no new attempts."""
        return self._set_maintenance(name, True)

    def end_maintenance(self, name: str) -> Answer:
        """Readmit the backend."""
        return self._set_maintenance(name, False)

    def _set_maintenance(self, name: str, is_ejected: bool) -> Answer:
        """Eject or readmit a backend in the decision core and in the pools before the call is answered."""
        result = self.dispatcher.query(SetEjection(name, is_ejected))
        if not result.is_accepted:
            return 404, "unknown backend"
        log.info(
            "operator changed backend: server=%s state=%s", name, "ejected" if is_ejected else "readmitted"
        )
        self.backends.set_ejected(name, is_ejected)
        return 200, "left out" if is_ejected else "may serve again"

    def leave_service(self) -> Answer:
        """Start a drain."""
        self.operator_drain.begin()
        return 200, "takes no new clients"

    def enter_service(self) -> Answer:
        """Undo a drain and admit clients, if the policy is still valid."""
        if self.process.state is ProcessState.ENDING:
            return 409, "the gateway is shutting down"
        if not self.policy_guard.resume():
            now_s = asyncio.get_running_loop().time()
            return 409, self.policy_guard.invalid_reason(now_s) or "the policy may no longer be valid"
        self.operator_drain.undo()
        return 200, "takes clients"
