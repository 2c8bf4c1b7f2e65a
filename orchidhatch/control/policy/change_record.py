"""The stored record of a policy change, which is a task of the fleet controller."""

import secrets
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Annotated, Any

from msgspec import UNSET, Meta, Struct, UnsetType, field

from orchidhatch.control.controller.stored_json import decode_stored
from orchidhatch.control.controller.task_records import KIND_FIELD, TaskKind
from orchidhatch.control.policy.policy_records import CHANGE_TASK_RECORD

PREPARE_LIMIT_S = 60.0
CHANGE_ID_BYTES = 6


class ChangeState(StrEnum):
    """The progress of a change; the last three states are final."""

    REQUESTED = "asked"
    PREPARING = "preparing"
    DECIDING = "deciding"
    DECIDED = "decided"
    WATCHED = "watched"
    IN_FORCE = "in force"
    NOT_APPLIED = "nowhere"
    UNDONE = "undone"


# The states in which gateways must prepare for the change's document.
UNDECIDED_STATES = frozenset({ChangeState.REQUESTED, ChangeState.PREPARING, ChangeState.DECIDING})
DROPPABLE_STATES = frozenset({ChangeState.REQUESTED, ChangeState.PREPARING})


class OutcomeCounts(Struct, frozen=True, array_like=True):
    """The number of requests by outcome since the gateways started."""

    answered: int = 0
    deferred: int = 0
    errored: int = 0

    def total(self) -> int:
        """Return the number of requests with any outcome."""
        return self.answered + self.deferred + self.errored


class Gate(Struct, forbid_unknown_fields=True, frozen=True):
    """The limits on failures during the `for_ms` after the switch to a new policy.

    `errored` and `deferred` are the largest accepted increases of these shares of all requests, from 0 to 1;
    with fewer than `min_requests` before or after the switch there is no verdict.
    """

    for_ms: Annotated[int, Meta(ge=1000, le=3_600_000)]
    errored: Annotated[float, Meta(ge=0, le=1)] = 0.02
    deferred: Annotated[float, Meta(ge=0, le=1)] = 0.2
    min_requests: Annotated[int, Meta(ge=1)] = field(name="least", default=200)


class ChangeRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.POLICY_CHANGE)):
    """The stored state of a policy change. Optional fields are set by the step that first needs them.

    `base_number` and `previous_digest` are the number and digest of the decision that the change replaces;
    `undo_reason` says why the change is being undone.
    """

    change_id: str = field(name="id")
    digest: str
    requested_by: str = field(name="who")
    reason: str = field(name="why")
    force: bool = False
    remaining_ms: int = field(name="leftMs")
    gate: Gate | UnsetType = UNSET
    base_number: int | UnsetType = field(name="base", default=UNSET)
    previous_digest: str | UnsetType = field(name="before", default=UNSET)
    counts_before: OutcomeCounts | UnsetType = field(name="counts", default=UNSET)
    counts_at_switch: OutcomeCounts | UnsetType = field(name="at", default=UNSET)
    counted_at_s: float | UnsetType = field(name="since", default=UNSET)
    dropped: bool | UnsetType = UNSET
    undo_reason: str | UnsetType = field(name="undoes", default=UNSET)
    state: ChangeState = ChangeState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)

    @property
    def is_in_force(self) -> bool:
        """Return whether the change has ended with its policy in force."""
        return self.state is ChangeState.IN_FORCE


class ProposedChange(Struct, frozen=True):
    """The part of a change's record that a registry reads to tell gateways which document to prepare."""

    digest: str = ""
    state: str = ""

    @property
    def is_undecided(self) -> bool:
        """Return whether the change may still be decided."""
        return self.state in UNDECIDED_STATES


def new_change_id() -> str:
    """Return a random id for a new change."""
    return secrets.token_hex(CHANGE_ID_BYTES)


def new_change(
    digest: str, requested_by: str, reason: str, gate: Gate | None = None, *, force: bool = False
) -> ChangeRecord:
    """Return a request to put the document with this digest in force.

    `force` allows the change even if many gateways are absent.
    """
    return ChangeRecord(
        change_id=new_change_id(),
        digest=digest,
        requested_by=requested_by,
        reason=reason,
        force=force,
        remaining_ms=round(PREPARE_LIMIT_S * 1000),
        gate=gate or UNSET,
    )


def find_change(records: Iterable[Mapping[str, Any]]) -> tuple[ChangeRecord | None, int]:
    """Return the last change in the registry's records and its version; None and 0 if there is none."""
    for record in records:
        if record["name"] == CHANGE_TASK_RECORD:
            return decode_stored(record["text"], ChangeRecord), record["version"]
    return None, 0
