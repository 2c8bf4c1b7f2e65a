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
    """How far a change is; the last three are its ends."""

    REQUESTED = "asked"
    PREPARING = "preparing"
    DECIDING = "deciding"
    DECIDED = "decided"
    WATCHED = "watched"
    IN_FORCE = "in force"
    NOT_APPLIED = "nowhere"
    UNDONE = "undone"


# In these the gateways are to be ready for the change's document.
UNDECIDED_STATES = frozenset({ChangeState.REQUESTED, ChangeState.PREPARING, ChangeState.DECIDING})
DROPPABLE_STATES = frozenset({ChangeState.REQUESTED, ChangeState.PREPARING})


class EndCounts(Struct, frozen=True, array_like=True):
    """How many requests ended in which way, since the gateways' start."""

    answered: int = 0
    deferred: int = 0
    errored: int = 0

    def total(self) -> int:
        """All that ended."""
        return self.answered + self.deferred + self.errored


class Gate(Struct, forbid_unknown_fields=True, frozen=True):
    """How much more of the requests than before may fail in `for_ms` after the switch, as shares of them."""

    for_ms: Annotated[int, Meta(ge=1000, le=3_600_000)]
    errored: Annotated[float, Meta(ge=0, le=1)] = 0.02
    deferred: Annotated[float, Meta(ge=0, le=1)] = 0.2
    min_requests: Annotated[int, Meta(ge=1)] = field(name="least", default=200)


class ChangeRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.POLICY_CHANGE)):
    """A policy change. What is optional is set by the step that first needs it.

    `base_number` and `previous_digest` are those of the decision that the change replaces; `undo_reason` says
    why a change is being undone.
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
    counts_before: EndCounts | UnsetType = field(name="counts", default=UNSET)
    counts_at_switch: EndCounts | UnsetType = field(name="at", default=UNSET)
    counted_at_s: float | UnsetType = field(name="since", default=UNSET)
    dropped: bool | UnsetType = UNSET
    undo_reason: str | UnsetType = field(name="undoes", default=UNSET)
    state: ChangeState = ChangeState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)

    @property
    def is_in_force(self) -> bool:
        """Whether the change has ended with its policy in force."""
        return self.state is ChangeState.IN_FORCE


class ProposedChange(Struct, frozen=True):
    """What a registry reads of a change: whether gateways are to be ready for its document."""

    digest: str = ""
    state: str = ""

    @property
    def is_undecided(self) -> bool:
        """Whether it may still be decided."""
        return self.state in UNDECIDED_STATES


def new_change_id() -> str:
    """An id that no other change has."""
    return secrets.token_hex(CHANGE_ID_BYTES)


def new_change(
    digest: str, requested_by: str, reason: str, gate: Gate | None = None, *, force: bool = False
) -> ChangeRecord:
    """A request to put the document of this digest in force; `force` though many gateways are absent."""
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
    """The last change among the registry's records and its version; None and 0 where there was none."""
    for record in records:
        if record["name"] == CHANGE_TASK_RECORD:
            return decode_stored(record["text"], ChangeRecord), record["version"]
    return None, 0
