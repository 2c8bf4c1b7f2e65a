"""Policy leases of gateways at a registry: who they are, and which policy each renewal entitles them to.

Gateways serve only under a lease that their agent renews here. A renewal is answered with the decision that
holds. Until a decision of this store's own term is stored, it is not known whether one is missing here, and
no lease begins anew: then the gateways report what they know, and the highest decision is decided again.
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
        """Begin anew with a new term: no gateway has reported anything here yet."""
        self.current_decision.restart()
        self.directory.restart()
        self.term_decision.restart()

    # --- requests ---

    def check_may_register(self, gateway: Gateway) -> None:
        """Raise ConflictError while another agent renews the gateway's lease: two would steer one gateway."""
        listed = self.directory.find(gateway.name)
        is_other = listed is not None and listed.incarnation != gateway.incarnation
        if is_other and self.directory.age_s(gateway.name) <= LEASE_S:
            raise ConflictError(f"{gateway.name} is kept by {OTHER_INCARNATION_SIGN} until its lease ends")

    def check_may_remove(self, gateway: str) -> None:
        """Raise ConflictError while a gateway may serve: what it knows is not waited for afterwards."""
        if self.directory.may_serve(gateway):
            limit = f"{ABSENT_AFTER_S:.0f} s after its last renewal"
            raise ConflictError(f"{gateway} may still serve; it is absent {limit}")

    def renew(self, gateway: str, renewal: PolicyLeaseRenewal) -> LeaseAnswer:
        """Renew a gateway's lease and learn from what its agent reports with it.

        Raises NotFoundError for a gateway that is not listed, ConflictError for another agent than its own.
        """
        listed = self.directory.find(gateway)
        name = gateway[:MAX_QUOTED_NAME_CHARACTERS]
        if listed is None:
            raise NotFoundError(f"{name} is not listed as a gateway")
        if listed.incarnation != renewal.incarnation:
            raise ConflictError(f"{name} is kept by {OTHER_INCARNATION_SIGN}")
        self._renewal_count += 1
        self.directory.receive(gateway, renewal)
        self._learn_activation(renewal)
        self._settle()
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
        """Until the activation time, bounded below: how long ago it was makes no difference beyond that."""
        remaining_s = self.current_decision.remaining_s()
        return None if remaining_s is None else round(max(-ABSENT_AFTER_S, remaining_s) * 1000)

    def _is_copy_valid(self) -> bool:
        """Whether a promoted replica may grant leases by its copy until all gateways have reported.

        A decision that the copy lacks must not have been activated by the end of a lease that begins now.
        """
        decision = self.current_decision.get()
        if decision is None or not self.current_decision.is_recorded_as_activated():
            return False
        is_highest = self.term_decision.highest_known().number == decision.number
        first_activation_s = self.replication.last_copied_s + ACTIVATION_DELAY_S
        return is_highest and self._host.clock() + LEASE_S < first_activation_s

    def fleet_status(self) -> FleetStatus:
        """All gateways and the decision that holds."""
        is_certain = self.current_decision.is_certain()
        return FleetStatus(
            is_certain=is_certain,
            decision=self.current_decision.get(),
            remaining_ms=self._remaining_ms() if is_certain else None,
            gateways=self.directory.statuses(),
        )

    # --- replication ---

    async def replicate(self, upstream: Callable[[], Address]) -> None:
        """While this registry is a replica: copy the upstream's policies, until this is cancelled."""
        await self.replication.keep_copying(upstream)

    # --- what follows from time and from writes ---

    def check(self) -> None:
        """What the passing of time alone brings about; called each second."""
        self._settle()
        if not self.current_decision.is_certain() or not self._host.accepts_writes():
            return
        remaining_s = self.current_decision.remaining_s()
        is_over = remaining_s is not None and remaining_s <= 0
        if is_over and not self.current_decision.is_recorded_as_activated():
            number = self.current_decision.get().number
            self._host.enqueue_internal(PutRecord(ACTIVATED_RECORD, str(number)))

    def batch_written(self, writes: Sequence[object], outcomes: Sequence[object]) -> None:
        """A decision that is durable now has its activation time from here on."""
        for outcome in outcomes:
            if isinstance(outcome, ConflictError):
                self.term_decision.write_ended()
            elif isinstance(outcome, Record) and outcome.name == DECISION_RECORD:
                self._decided(outcome.text)
            elif isinstance(outcome, Gateway) and self.directory.find(outcome.name) is None:
                self.directory.forget(outcome.name)

    def batch_failed(self, writes: Sequence[object]) -> None:
        """None of these writes is durable; a decision among them is written again."""
        self.term_decision.write_ended()

    def _decided(self, text: str) -> None:
        self.term_decision.write_ended()
        self._decision_count += 1
        self.current_decision.activate_in(self.current_decision.get().activation_delay_ms / 1000)
        log.info("policy decided: decision=%s", text)

    def _learn_activation(self, renewal: PolicyLeaseRenewal) -> None:
        """Take the activation time from an agent, after this registry was restarted since the decision."""
        is_unknown = self.current_decision.is_certain() and self.current_decision.remaining_s() is None
        if not is_unknown or renewal.remaining_ms is msgspec.UNSET:
            return
        if renewal.number == self.current_decision.get().number:
            self.current_decision.activate_in(renewal.remaining_ms / 1000)

    def _settle(self) -> None:
        """Decide again in this term, and set an activation time that nobody knows, as soon as is possible."""
        if not self._host.may_decide():
            return
        if not self.current_decision.is_certain():
            self.term_decision.advance()
        elif self.current_decision.remaining_s() is None and self.directory.all_reported():
            self.current_decision.activate_in(ACTIVATION_DELAY_S)

    # --- metrics ---

    def metrics(self) -> dict[str, float]:
        """Metrics by name, without the registry's prefix."""
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
