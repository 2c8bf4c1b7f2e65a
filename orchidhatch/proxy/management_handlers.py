"""The handlers of the management calls."""

import logging
from collections.abc import Callable

from orchidhatch.gateway.events import SetEjection
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.event_dispatcher import EventDispatcher
from orchidhatch.proxy.management import Answer
from orchidhatch.proxy.metrics_page import MetricsPage, metric_text
from orchidhatch.proxy.policy_guard import PolicyGuard
from orchidhatch.proxy.process_lifecycle import ProcessLifecycle, ProcessState
from orchidhatch.proxy.service_state import ServiceState, SuspensionReason

log = logging.getLogger(__name__)


class ManagementHandlers:
    """One method per management call; each returns the status and the text of the answer."""

    def __init__(
        self,
        process: ProcessLifecycle,
        service_state: ServiceState,
        policy_guard: PolicyGuard,
        dispatcher: EventDispatcher,
        backends: Backends,
        metrics_page: MetricsPage,
    ) -> None:
        self.process = process
        self.service_state = service_state
        self.policy_guard = policy_guard
        self.dispatcher = dispatcher
        self.backends = backends
        self.metrics_page = metrics_page

    def routes(self) -> dict[tuple[str, str], Callable[..., Answer]]:
        """Return the handlers by method and path; `{id}` stands for a backend's name.

        A path with a query is that of calls with just this query.
        """
        return {
            ("GET", "/healthcheck"): self.health,
            ("GET", "/stats"): self.stats,
            ("GET", "/metrics"): self.metrics,
            ("POST", "/backends/{id}/maint"): self.begin_maintenance,
            ("POST", "/backends/{id}/ready"): self.end_maintenance,
            ("POST", "/healthcheck/fail"): self.leave_service,
            ("POST", "/healthcheck/ok"): self.enter_service,
            ("POST", "/healthcheck/fail?reason=policy"): self.suspend_policy,
            ("POST", "/healthcheck/ok?reason=policy"): self.confirm_policy,
        }

    def health(self) -> Answer:
        """Return whether new clients are admitted, the policy in force, and the reasons if they are not."""
        suspensions = self.service_state.suspensions()
        if not suspensions:
            return 200, "serves" + self.policy_guard.description()
        reasons = ", ".join(suspensions)
        return 503, f"takes no new clients{self.policy_guard.description()}; suspended by {reasons}"

    def stats(self) -> Answer:
        """Return the counts of requests by class and outcome."""
        return 200, self.metrics_page.stats()

    def metrics(self) -> Answer:
        """Return the counts of /stats and all further metrics."""
        suspensions = self.service_state.suspensions()
        is_suspended = {f'reason="{reason}"': int(reason in suspensions) for reason in SuspensionReason}
        text = metric_text(
            "admission_suspended", "gauge", "Whether admission is suspended, by reason.", is_suspended
        )
        return 200, self.metrics_page.metrics() + text

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
        """Start the operators' drain."""
        self.service_state.begin_drain(SuspensionReason.OPERATOR)
        return 200, "takes no new clients"

    def enter_service(self) -> Answer:
        """End the operators' drain; without one, confirm the policy for an agent of the previous version."""
        if self.process.state is ProcessState.ENDING:
            return 409, "the gateway is shutting down"
        if not self.service_state.is_drained_by_operator():
            return self.confirm_policy()
        self.service_state.end_drain(SuspensionReason.OPERATOR)
        return self._describe_admission()

    def suspend_policy(self) -> Answer:
        """Start a drain for the agent, whose policy lease has lapsed."""
        self.service_state.begin_drain(SuspensionReason.POLICY)
        return 200, "takes no new clients"

    def confirm_policy(self) -> Answer:
        """End what the policy has suspended, as the agent confirms it; a drain of the operators goes on."""
        if self.process.state is ProcessState.ENDING:
            return 409, "the gateway is shutting down"
        if not self.policy_guard.resume():
            return 409, self.policy_guard.invalid_reason() or "the policy may no longer be valid"
        self.service_state.end_drain(SuspensionReason.POLICY)
        return self._describe_admission()

    def _describe_admission(self) -> Answer:
        suspensions = self.service_state.suspensions()
        if suspensions:
            return 200, f"still suspended by {', '.join(suspensions)}"
        return 200, "takes clients"
