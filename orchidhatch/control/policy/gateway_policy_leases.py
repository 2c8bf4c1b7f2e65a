"""The policy leases of gateways at a registry, and the policy that each renewal permits a gateway to apply.

A gateway serves only under a lease that its agent renews here; the reply to a renewal contains the current
decision. Until a decision of the store's own term is stored, a later one may be missing here, and no lease is
extended; meanwhile the gateways report the decisions that they know, and the highest one is decided again.
"""

import logging
from collections.abc import Callable, Sequence

import msgspec

from orchidhatch.control.controller.stored_json import decode_stored
from orchidhatch.control.error_signs import OTHER_INCARNATION_SIGN
from orchidhatch.control.errors import ConflictError, NotFoundError
from orchidhatch.control.http_client import Address
from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.ownership.objects import Gateway, Record
from orchidhatch.control.ownership.writes import PutRecord
from orchidhatch.control.policy.change_record import ProposedChange
from orchidhatch.control.policy.current_decision import CurrentDecision
from orchidhatch.control.policy.fleet_status import FleetStatus, GatewayState
from orchidhatch.control.policy.gateway_directory import GatewayDirectory
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.policy.policy_lease_messages import (
    PolicyLeaseAnswer,
    PolicyLeaseRenewal,
    UncertainPolicyLeaseAnswer,
)
from orchidhatch.control.policy.policy_records import ACTIVATED_RECORD, CHANGE_TASK_RECORD, DECISION_RECORD
from orchidhatch.control.policy.policy_replication import PolicyReplication
from orchidhatch.control.policy.term_decision import TermDecision
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, ACTIVATION_DELAY_S, LEASE_S

log = logging.getLogger("orchidhatch.policy")

MAX_QUOTED_NAME_CHARACTERS = 80

LeaseAnswer = PolicyLeaseAnswer | UncertainPolicyLeaseAnswer


class GatewayPolicyLeases:
    """The policy leases of one registry's gateways."""

    def __init__(self, host: LeaseHost) -> None:
        self._host = host
        self.current_decision = CurrentDecision(host)
        self.directory = GatewayDirectory(host)
        self.term_decision = TermDecision(host, self.current_decision, self.directory)
        self.replication = PolicyReplication(host, self.directory)
        self._renewal_count = 0
        self._decision_count = 0

    def restart(self) -> None:
        """Discard all reports and times, as is needed for a new term."""
        self.current_decision.restart()
        self.directory.restart()
        self.term_decision.restart()

    # --- requests ---

    def check_may_register(self, gateway: Gateway) -> None:
        """Raise ConflictError while another agent renews the gateway's lease.

        Otherwise two agents would manage one gateway.
        """
        listed = self.directory.find(gateway.name)
        has_other_agent = listed is not None and listed.incarnation != gateway.incarnation
        if has_other_agent and self.directory.age_s(gateway.name) <= LEASE_S:
            raise ConflictError(
                f"{gateway.name} is managed by {OTHER_INCARNATION_SIGN} until its lease expires"
            )

    def check_may_remove(self, gateway: str) -> None:
        """Raise ConflictError while a gateway may serve, as reports of a removed one are not awaited."""
        if self.directory.may_serve(gateway):
            limit = f"{ABSENT_AFTER_S:.0f} s after its last renewal"
            raise ConflictError(f"{gateway} may still serve; it can be removed {limit}")

    def renew(self, gateway: str, renewal: PolicyLeaseRenewal) -> LeaseAnswer:
        """Renew a gateway's lease, take in its agent's report and return the reply.

        Raises NotFoundError if the gateway is not registered, ConflictError if it has another agent.
        """
        listed = self.directory.find(gateway)
        name = gateway[:MAX_QUOTED_NAME_CHARACTERS]
        if listed is None:
            raise NotFoundError(f"{name} is not registered as a gateway")
        if listed.incarnation != renewal.incarnation:
            raise ConflictError(f"{name} is managed by {OTHER_INCARNATION_SIGN}")
        self._renewal_count += 1
        self.directory.store_report(gateway, renewal)
        self._adopt_activation_time(renewal)
        self._complete_decision()
        return self._answer(gateway)

    def _answer(self, gateway: str) -> LeaseAnswer:
        prepare = self._document_to_prepare()
        decision = self.current_decision.get()
        if not self.current_decision.is_certain() and not self._is_copy_valid():
            requested = self.term_decision.requested_document(gateway)
            return UncertainPolicyLeaseAnswer(requested_digest=requested)
        remaining_ms = self._remaining_ms()
        return PolicyLeaseAnswer(
            is_certain=remaining_ms is not None,
            number=decision.number,
            digest=decision.digest,
            previous_digest=decision.previous_digest,
            prepare=prepare,
            requested_digest="",
            remaining_ms=remaining_ms,
        )

    def _document_to_prepare(self) -> str:
        record = self._host.store.claims_table.records.get(CHANGE_TASK_RECORD)
        if record is None:
            return ""
        change = decode_stored(record.text, ProposedChange)
        return change.digest if change.is_undecided else ""

    def _remaining_ms(self) -> int | None:
        """Return the milliseconds until the activation time, negative after it; None if it is unknown.

        An activation more than ABSENT_AFTER_S ago is given as that long ago, which makes no difference.
        """
        remaining_s = self.current_decision.remaining_s()
        return None if remaining_s is None else round(max(-ABSENT_AFTER_S, remaining_s) * 1000)

    def _is_copy_valid(self) -> bool:
        """Return whether a promoted replica may grant leases by its copy until all gateways have reported.

        It may while no decision that the copy lacks can be activated before a lease granted now expires.
        """
        decision = self.current_decision.get()
        if decision is None or not self.current_decision.is_recorded_as_activated():
            return False
        is_highest = self.term_decision.highest_known().number == decision.number
        first_activation_s = self.replication.last_copied_s + ACTIVATION_DELAY_S
        return is_highest and self._host.clock() + LEASE_S < first_activation_s

    def fleet_status(self) -> FleetStatus:
        """Return all gateways and the current decision."""
        is_certain = self.current_decision.is_certain()
        return FleetStatus(
            is_certain=is_certain,
            decision=self.current_decision.get(),
            remaining_ms=self._remaining_ms() if is_certain else None,
            gateways=self.directory.statuses(),
        )

    # --- replication ---

    async def replicate(self, upstream: Callable[[], Address]) -> None:
        """Copy the upstream's policies while this registry is a replica, until cancelled."""
        await self.replication.keep_copying(upstream)

    # --- timed checks and completed writes ---

    def check(self) -> None:
        """Repeat or activate decisions that are due; called every second."""
        self._complete_decision()
        if not self.current_decision.is_certain() or not self._host.accepts_writes():
            return
        remaining_s = self.current_decision.remaining_s()
        is_activated = remaining_s is not None and remaining_s <= 0
        if is_activated and not self.current_decision.is_recorded_as_activated():
            number = self.current_decision.get().number
            self._host.enqueue_internal(PutRecord(ACTIVATED_RECORD, str(number)))

    def batch_written(self, writes: Sequence[object], outcomes: Sequence[object]) -> None:
        """Set the activation time of a durable decision, and discard the reports of removed gateways."""
        for outcome in outcomes:
            if isinstance(outcome, ConflictError):
                self.term_decision.write_ended()
            elif isinstance(outcome, Record) and outcome.name == DECISION_RECORD:
                self._decision_written(outcome.text)
            elif isinstance(outcome, Gateway) and self.directory.find(outcome.name) is None:
                self.directory.discard_report(outcome.name)

    def batch_failed(self, writes: Sequence[object]) -> None:
        """Allow a decision to be written again, as none of these writes became durable."""
        self.term_decision.write_ended()

    def _decision_written(self, text: str) -> None:
        self.term_decision.write_ended()
        self._decision_count += 1
        self.current_decision.activate_in(self.current_decision.get().activation_delay_ms / 1000)
        log.info("policy decided: decision=%s", text)

    def _adopt_activation_time(self, renewal: PolicyLeaseRenewal) -> None:
        """Adopt the activation time that an agent reports if a restart of this registry discarded it."""
        is_unknown = self.current_decision.is_certain() and self.current_decision.remaining_s() is None
        if not is_unknown or renewal.remaining_ms is msgspec.UNSET:
            return
        if renewal.number == self.current_decision.get().number:
            self.current_decision.activate_in(renewal.remaining_ms / 1000)

    def _complete_decision(self) -> None:
        """Decide again in this term, and set an unknown activation time, as soon as either is possible."""
        if not self._host.may_decide():
            return
        if not self.current_decision.is_certain():
            self.term_decision.advance()
        elif self.current_decision.remaining_s() is None and self.directory.all_reported():
            self.current_decision.activate_in(ACTIVATION_DELAY_S)

    # --- metrics ---

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name, without the registry's prefix."""
        states = [gateway.state for gateway in self.directory.statuses()]
        decision = self.current_decision.get()
        number = decision.number if decision else 0
        return {
            "doors": len(states),
            "doors_silent": states.count(GatewayState.SILENT),
            "doors_absent": states.count(GatewayState.ABSENT),
            "policy_sure": int(self.current_decision.is_certain()),
            "policy_number": number & ((1 << EPOCH_COUNT_BITS) - 1),
            "policy_decisions_total": self._decision_count,
            "door_renewals_total": self._renewal_count,
        }
