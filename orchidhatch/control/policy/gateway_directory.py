"""The gateways that a registry has listed, and what each one's agent reported last."""

from dataclasses import dataclass

from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.policy.change_record import EndCounts
from orchidhatch.control.policy.fleet_status import GatewayStatus, is_absent, state_by_age
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.policy.policy_lease_messages import ListedGateway, PolicyLeaseRenewal
from orchidhatch.control.policy.timing import ABSENT_AFTER_S


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report, and when it came by this process's clock."""

    received_at_s: float
    report: PolicyLeaseRenewal


class GatewayDirectory:
    """The listed gateways are in the claims table; the reports are in memory, and written here only."""

    def __init__(self, host: LeaseHost) -> None:
        self._host = host
        self.restart()

    def restart(self) -> None:
        """Forget all reports, as with a new process or term: no gateway has reported anything here yet."""
        self._reports: dict[str, ReceivedReport] = {}
        self._started_s = self._host.clock()
        # Without a directory there may be gateways that this registry does not know.
        self._is_complete = bool(self._listed)

    def names(self) -> list[str]:
        """The listed gateways."""
        return list(self._listed)

    def find(self, name: str) -> Gateway | None:
        """A listed gateway."""
        return self._listed.get(name)

    def listed(self) -> list[ListedGateway]:
        """The directory, as replicas copy it."""
        return [
            ListedGateway(gateway.name, gateway.incarnation, gateway.zone)
            for gateway in self._listed.values()
        ]

    def receive(self, name: str, report: PolicyLeaseRenewal) -> None:
        """Keep a report, which also renews the gateway's lease."""
        self._reports[name] = ReceivedReport(self._host.clock(), report)

    def forget(self, name: str) -> None:
        """Drop the report of a gateway that was removed."""
        self._reports.pop(name, None)

    def report_of(self, name: str) -> PolicyLeaseRenewal | None:
        """What a gateway's agent reported last; None where it has not since the start."""
        received = self._reports.get(name)
        return received.report if received else None

    def reports(self) -> list[PolicyLeaseRenewal]:
        """The last report of each gateway that has sent one."""
        return [received.report for received in self._reports.values()]

    def age_s(self, name: str) -> float:
        """Since the gateway's last renewal here; since the start, if it never renewed."""
        received = self._reports.get(name)
        last_s = received.received_at_s if received else self._started_s
        return self._host.clock() - last_s

    def may_serve(self, name: str) -> bool:
        """Whether a listed gateway's lease may still be valid."""
        return name in self._listed and not is_absent(self.age_s(name))

    def all_reported(self) -> bool:
        """Whether every gateway that may still serve has reported what it knows."""
        if not self._is_complete and self._host.clock() - self._started_s < ABSENT_AFTER_S:
            return False
        return all(name in self._reports or not self.may_serve(name) for name in self._listed)

    def statuses(self) -> tuple[GatewayStatus, ...]:
        """How each listed gateway is."""
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
            counts=EndCounts(*report.counts),
            serves=report.serves,
        )

    @property
    def _listed(self) -> dict[str, Gateway]:
        return self._host.store.claims_table.gateways
