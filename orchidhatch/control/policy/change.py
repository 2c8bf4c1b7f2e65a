"""A policy change as a task of the fleet controller: every gateway prepares, then a single write decides.

The decision record alone determines the policy in force. The task may be interrupted at any point, and its
next owner resumes from the stored record; the state DECIDING is stored before the decision is written. The
states follow the order of ChangeState. A change that fails before the decision is not applied at any gateway;
one whose gate fails after the decision is undone by a second decision.
"""

from msgspec import UNSET

from orchidhatch.control.controller.countdown import count_down
from orchidhatch.control.controller.errors import StaleRecordError, StepPostponedError, TaskFailedError
from orchidhatch.control.controller.task import Task, TaskContext
from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.policy.change_record import (
    PREPARE_LIMIT_S,
    ChangeRecord,
    ChangeState,
    new_change_id,
)
from orchidhatch.control.policy.fleet_status import (
    FleetStatus,
    GatewayState,
    GatewayStatus,
    decode_fleet_status,
    total_counts,
)
from orchidhatch.control.policy.history import record_decision
from orchidhatch.control.policy.policy_records import (
    DECISION_RECORD,
    Decision,
    decode_decision,
    document_record,
    encode_decision,
)
from orchidhatch.control.policy.rollout_checks import GateOutcome, absence_error, check_gate
from orchidhatch.control.policy.timing import ACTIVATION_DELAY_S

SAVE_INTERVAL_S = 2.0
MAX_NAMED_GATEWAYS = 60
# How long after the activation time present gateways may take to report that they apply the new policy.
CONFIRMATION_LIMIT_S = 5.0


def join_names(names: list[str]) -> str:
    """Return the names as a list for a message, as many of them as fit into a record."""
    return ", ".join(names[:MAX_NAMED_GATEWAYS])


class PolicyChange(Task[ChangeRecord]):
    """The task of one policy change; the module's docstring describes its steps."""

    record_type = ChangeRecord

    async def step(self, context: TaskContext) -> None:
        """Carry out the action for the stored state, or nothing while the registry may lack a decision."""
        reply = await context.read("/doors")
        if not reply.ok:
            raise StepPostponedError("the registry did not return the gateways")
        fleet = decode_fleet_status(reply.body)
        if not fleet.is_certain:
            return
        match self.record.state:
            case ChangeState.REQUESTED:
                await self._begin_preparation(context, fleet, fleet.decision)
            case ChangeState.PREPARING:
                await self._prepare(context, fleet, fleet.decision)
            case ChangeState.DECIDING:
                await self._decide(context, fleet, fleet.decision)
            case ChangeState.DECIDED:
                await self._await_activation(context, fleet, fleet.decision)
            case ChangeState.WATCHED:
                await self._watch(context, fleet, fleet.decision)

    def is_decided(self, current: Decision) -> bool:
        """Return whether the current decision is this change's, or repeats it in a new term."""
        if current.change_id == self.record.change_id:
            return True
        base_number = self.record.base_number
        is_newer = base_number is not UNSET and current.number > base_number
        return is_newer and not current.change_id and current.digest == self.record.digest

    def unready_gateways(self, fleet: FleetStatus) -> list[str]:
        """Return the names of the gateways that may serve but are not ready for the document."""
        return [
            gateway.name
            for gateway in fleet.gateways
            if gateway.state is not GatewayState.ABSENT and self.record.digest not in (gateway.ready or ())
        ]

    async def _end_not_applied(self, context: TaskContext, message: str) -> None:
        await self.move_to(context, ChangeState.NOT_APPLIED, done=True, message=message)

    # --- before the decision ---

    async def _begin_preparation(self, context: TaskContext, fleet: FleetStatus, current: Decision) -> None:
        """Record the decision that the change replaces, and have the gateways prepare."""
        if await context.read_record(document_record(self.record.digest)) is None:
            await self._end_not_applied(context, "there is no such document")
            return
        if current.digest == self.record.digest:
            await self._end_not_applied(context, "this policy is already in force")
            return
        error = absence_error(fleet.gateways)
        if error and not self.record.force:
            await self._end_not_applied(context, f"{error}; use --force to change the policy anyway")
            return
        self.record.base_number = current.number
        self.record.previous_digest = current.digest
        self.record.counts_before = total_counts(fleet.gateways)
        await self.move_to(context, ChangeState.PREPARING)

    async def _prepare(self, context: TaskContext, fleet: FleetStatus, current: Decision) -> None:
        """Wait until all gateways that may serve are ready for the document."""
        if current.number != self.record.base_number:
            if self.is_decided(current):
                await self.move_to(context, ChangeState.DECIDED)
                return
            # The previous policy was decided again in a new term. Any other policy blocks the change below.
            self.record.base_number = current.number
        blocking_reason = self._blocking_reason(fleet, current)
        unready = self.unready_gateways(fleet)
        if blocking_reason is not None:
            await self._end_not_applied(context, blocking_reason)
        elif not unready:
            await self.move_to(context, ChangeState.DECIDING)
        elif not count_down(self.record, SAVE_INTERVAL_S):
            return
        elif self.record.remaining_ms <= 0:
            await self._end_not_applied(context, f"not ready in time: {join_names(unready)}")
        else:
            await context.save(self)

    def _blocking_reason(self, fleet: FleetStatus, current: Decision) -> str | None:
        """Return why the change can no longer be applied; None if it can."""
        errors = [
            f"{gateway.name}: {gateway.document_error}"
            for gateway in fleet.gateways
            if gateway.document_error and gateway.document_error.startswith(self.record.digest)
        ]
        if errors:
            return errors[0]
        if self.record.dropped:
            return "dropped"
        if current.digest != self.record.previous_digest:
            return "another policy was put in force in the meantime"
        return None if self.record.force else absence_error(fleet.gateways)

    async def _decide(self, context: TaskContext, fleet: FleetStatus, current: Decision) -> None:
        """Write the decision, on condition that no other decision was written since the preparation."""
        if self.is_decided(current):
            await self.move_to(context, ChangeState.DECIDED)
            return
        if current.number != self.record.base_number or self.unready_gateways(fleet):
            # A gateway or a term is new since the preparation, so prepare again from the current decision.
            await self.move_to(context, ChangeState.PREPARING)
            return
        stored = await context.read_record(DECISION_RECORD)
        if stored is None or decode_decision(stored.text).number != self.record.base_number:
            raise StaleRecordError("another decision was written first")
        decision = self._new_decision(context.claim_term(), fleet)
        reply = await context.put_record(DECISION_RECORD, encode_decision(decision), stored.version)
        if reply.is_conflict:
            raise StaleRecordError(f"another decision was written first: {reply.error_text}")
        if not reply.ok:
            raise TaskFailedError(f"cannot write the decision: {reply.body}")
        self.record.counts_at_switch = total_counts(fleet.gateways)
        await self.move_to(context, ChangeState.DECIDED)

    def _new_decision(self, term: int, fleet: FleetStatus) -> Decision:
        absent = [gateway.name for gateway in fleet.gateways if gateway.state is GatewayState.ABSENT]
        return Decision(
            number=max(self.record.base_number + 1, term << EPOCH_COUNT_BITS | 1),
            digest=self.record.digest,
            previous_digest=self.record.previous_digest,
            term=term,
            activation_delay_ms=round(ACTIVATION_DELAY_S * 1000),
            change_id=self.record.change_id,
            requested_by=self.record.requested_by,
            reason=self.record.reason,
            absent=absent[:MAX_NAMED_GATEWAYS],
            absent_count=len(absent),
        )

    # --- after the decision ---

    async def _await_activation(self, context: TaskContext, fleet: FleetStatus, current: Decision) -> None:
        """Wait until the activation time has passed and all present gateways report the new policy.

        Gateways that do not report it within CONFIRMATION_LIMIT_S are named in the message.
        """
        if not self.is_decided(current):
            message = "another policy was decided in the meantime"
            await self.move_to(context, ChangeState.UNDONE, done=True, message=message)
            return
        await record_decision(context, current)
        lagging = [gateway.name for gateway in fleet.gateways if is_lagging(gateway, current)]
        confirmation_limit_ms = -CONFIRMATION_LIMIT_S * 1000 if lagging else 0
        if fleet.remaining_ms is None or fleet.remaining_ms > confirmation_limit_ms:
            return
        message = f"out of service because they do not apply it: {join_names(lagging)}" if lagging else ""
        if self.record.gate:
            await self._begin_watch(context, fleet, message)
            return
        undo_reason = self.record.undo_reason or ""
        state = ChangeState.UNDONE if undo_reason else ChangeState.IN_FORCE
        await self.move_to(context, state, done=True, message=message or undo_reason)

    async def _begin_watch(self, context: TaskContext, fleet: FleetStatus, message: str) -> None:
        self.record.remaining_ms = self.record.gate.for_ms
        self.record.counts_at_switch = total_counts(fleet.gateways)
        self.record.counted_at_s = UNSET
        await self.move_to(context, ChangeState.WATCHED, message=message)

    async def _watch(self, context: TaskContext, fleet: FleetStatus, current: Decision) -> None:
        """Evaluate the gate until its period is over, and undo the change as soon as the gate fails."""
        if not count_down(self.record, SAVE_INTERVAL_S):
            return
        verdict = check_gate(
            self.record.counts_before,
            self.record.counts_at_switch,
            total_counts(fleet.gateways),
            self.record.gate,
        )
        if verdict.outcome is GateOutcome.FAILED:
            await self._undo(context, current, verdict.reason)
        elif self.record.remaining_ms > 0:
            await context.save(self)
        else:
            message = (
                "its gate could not be evaluated: too few requests, or gateways were restarted"
                if verdict.outcome is GateOutcome.TOO_FEW_REQUESTS
                else ""
            )
            await self.move_to(context, ChangeState.IN_FORCE, done=True, message=message)

    async def _undo(self, context: TaskContext, current: Decision, reason: str) -> None:
        """Turn this task into a change to the previous policy, whose document all gateways still have."""
        self.record.change_id = new_change_id()
        self.record.digest = self.record.previous_digest
        self.record.undo_reason = reason
        self.record.reason = f"its gate failed: {reason}"
        self.record.remaining_ms = round(PREPARE_LIMIT_S * 1000)
        self.record.previous_digest = current.digest
        self.record.base_number = current.number
        self.record.gate = UNSET
        await self.move_to(context, ChangeState.PREPARING, message=reason)


def is_lagging(gateway: GatewayStatus, current: Decision) -> bool:
    """Return whether a present gateway does not apply the policy of the current decision."""
    return gateway.state is GatewayState.PRESENT and gateway.active_digest != current.digest
