"""The gateways that are registered at a registry, with the last report of each one's agent."""

from dataclasses import dataclass

from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.policy.change_record import OutcomeCounts
from orchidhatch.control.policy.fleet_status import GatewayStatus, is_absent, state_by_age
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.policy.policy_lease_messages import ListedGateway, PolicyLeaseRenewal
from orchidhatch.control.policy.timing import ABSENT_AFTER_S


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report, and when this process received it by its monotonic clock."""

    received_at_s: float
    report: PolicyLeaseRenewal


class GatewayDirectory:
    """The registered gateways and their reports.

    The gateways are stored in the claims table. The reports are in memory, and only this class writes them.
    """

    def __init__(self, host: LeaseHost) -> None:
        self._host = host
        self.restart()

    def restart(self) -> None:
        """Discard all reports, as is needed for a new process or term."""
        self._reports: dict[str, ReceivedReport] = {}
        self._started_s = self._host.clock()
        # If the directory is empty, there may be gateways that this registry does not know.
        self._is_complete = bool(self._listed)

    def names(self) -> list[str]:
        """Return the names of the registered gateways."""
        return list(self._listed)

    def find(self, name: str) -> Gateway | None:
        """Return a registered gateway; None if there is none of that name."""
        return self._listed.get(name)

    def listed_gateways(self) -> list[ListedGateway]:
        """Return the directory in the form that replicas copy."""
        return [
            ListedGateway(gateway.name, gateway.incarnation, gateway.zone)
            for gateway in self._listed.values()
        ]

    def store_report(self, name: str, report: PolicyLeaseRenewal) -> None:
        """Store a report and its time, which counts as the gateway's last renewal."""
        self._reports[name] = ReceivedReport(self._host.clock(), report)

    def discard_report(self, name: str) -> None:
        """Discard the report of a removed gateway."""
        self._reports.pop(name, None)

    def report_of(self, name: str) -> PolicyLeaseRenewal | None:
        """Return the last report of a gateway's agent; None if there is none since the start."""
        received = self._reports.get(name)
        return received.report if received else None

    def reports(self) -> list[PolicyLeaseRenewal]:
        """Return the last report of each gateway that has sent one."""
        return [received.report for received in self._reports.values()]

    def age_s(self, name: str) -> float:
        """Return the seconds since the gateway's last renewal here, or since the start if there was none."""
        received = self._reports.get(name)
        last_s = received.received_at_s if received else self._started_s
        return self._host.clock() - last_s

    def may_serve(self, name: str) -> bool:
        """Return whether a gateway is registered and its lease may still be valid."""
        return name in self._listed and not is_absent(self.age_s(name))

    def all_reported(self) -> bool:
        """Return whether every gateway that may still serve has reported the decision that it knows."""
        if not self._is_complete and self._host.clock() - self._started_s < ABSENT_AFTER_S:
            return False
        return all(name in self._reports or not self.may_serve(name) for name in self._listed)

    def statuses(self) -> tuple[GatewayStatus, ...]:
        """Return the status of each registered gateway."""
        return tuple(map(self._status, self._listed.values()))

    def _status(self, gateway: Gateway) -> GatewayStatus:
        age_s = self.age_s(gateway.name)
        age_ms = round(age_s * 1000)
        report = self.report_of(gateway.name)
        state = state_by_age(age_s, has_renewed=report is not None)
        if report is None:
            return GatewayStatus(name=gateway.name, zone=gateway.zone, age_ms=age_ms, state=state)
        return GatewayStatus(
            name=gateway.name,
            zone=gateway.zone,
            age_ms=age_ms,
            state=state,
            active_digest=report.active_digest,
            number=report.number,
            ready=report.ready,
            document_error=report.document_error,
            counts=OutcomeCounts(*report.counts),
            serves=report.serves,
        )

    @property
    def _listed(self) -> dict[str, Gateway]:
        return self._host.store.claims_table.gateways
