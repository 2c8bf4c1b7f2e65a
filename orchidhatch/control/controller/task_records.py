"""The records that tasks of the fleet controller are stored in at the registry.

A record's name is TASK_RECORD_PREFIX and the task's own name, its text a JSON object whose `kind` says which
of the types below it is. Controllers of different versions read each other's records, so the JSON names never
change. Times are durations that remain, in milliseconds: no machine's clock is compared with another's.
"""

import json
from enum import StrEnum
from typing import Protocol

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.controller.errors import InvalidTaskError
from orchidhatch.control.controller.stored_json import decode_stored
from orchidhatch.control.controller.summary import FleetSummary

TASK_RECORD_PREFIX = "task."
KIND_FIELD = "kind"
MAX_QUOTED_CHARACTERS = 100
MAX_QUOTED_NAME_CHARACTERS = 80
# These end each record's text, as in earlier versions; the fault trials read a state near its beginning.
TRAILING_FIELDS = ("state", "done", "told")


class TaskKind(StrEnum):
    """What a task does, as its record's `kind`."""

    DRAIN = "drain"
    BACKUP = "backup"
    LEASE_EXPIRY = "leases"
    SUMMARY = "summary"
    POLICY_CHANGE = "policy"


class DrainState(StrEnum):
    """How far a drain is.

    A marked endpoint is DRAINING in the endpoint list; gateways send a withdrawn one no new requests; an
    unlisted one was removed from the endpoint list by somebody else.
    """

    REQUESTED = "asked"
    MARKED = "marked"
    WITHDRAWN = "out"
    ENDING = "ending"
    REMOVED = "removed"
    RESTORED = "back"
    UNLISTED = "gone"


class DrainEnd(StrEnum):
    """What becomes of the endpoint once its time has passed."""

    REMOVE = "remove"
    RESTORE = "back"


class RecurringState(StrEnum):
    """Recurring tasks have one state only, as they are never done."""

    REQUESTED = "asked"


class DrainRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.DRAIN)):
    """A drain of one endpoint."""

    instance_id: str = field(name="id")
    remaining_ms: int = field(name="leftMs")
    end: DrainEnd = field(name="then")
    counted_at_s: float | UnsetType = field(name="since", default=UNSET)
    state: DrainState = DrainState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)


class BackupRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.BACKUP)):
    """Backups of the registry's store, one each `interval_ms`. The message is the last one's file name."""

    interval_ms: int = field(name="everyMs")
    remaining_ms: int = field(name="leftMs")
    counted_at_s: float | UnsetType = field(name="since", default=UNSET)
    state: RecurringState = RecurringState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)


class LeaseExpiryRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.LEASE_EXPIRY)):
    """The removal of endpoints whose leases have expired."""

    state: RecurringState = RecurringState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)


class SummaryRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.SUMMARY)):
    """Summaries of the fleet's metrics, one each `interval_ms`; `fleet` is the last one."""

    interval_ms: int = field(name="everyMs")
    remaining_ms: int = field(name="leftMs")
    counted_at_s: float | UnsetType = field(name="since", default=UNSET)
    fleet: FleetSummary | UnsetType = UNSET
    state: RecurringState = RecurringState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)


class TaskRecord(Protocol):
    """What the records of all tasks have."""

    state: StrEnum
    done: bool
    message: str | UnsetType


class TaskHeader(Struct):
    """What is read of a record before it is known which type it is of."""

    kind: TaskKind
    done: bool = False


def decode_header(record_name: str, text: str) -> TaskHeader:
    """The kind of the task in a record's text; raises InvalidTaskError where it is none."""
    try:
        return decode_stored(text, TaskHeader)
    except ValueError as error:
        name = f"{record_name!r:.{MAX_QUOTED_NAME_CHARACTERS}}"
        raise InvalidTaskError(f"{name} is no task: {error!s:.{MAX_QUOTED_CHARACTERS}}") from error


def encode_task_record(record: Struct) -> str:
    """The text of a task's record, in the form that earlier versions write."""
    values = msgspec.to_builtins(record)
    trailing = {name: values.pop(name) for name in TRAILING_FIELDS if name in values}
    return json.dumps(values | trailing)


def new_backup(interval_ms: int) -> BackupRecord:
    """A request for recurring backups, the first of them at once."""
    return BackupRecord(interval_ms=interval_ms, remaining_ms=0)


def new_summary(interval_ms: int) -> SummaryRecord:
    """A request for recurring summaries, the first of them at once."""
    return SummaryRecord(interval_ms=interval_ms, remaining_ms=0)


def new_drain(instance_id: str, remaining_ms: int, end: DrainEnd) -> DrainRecord:
    """A request to drain an endpoint and to end the drain after `remaining_ms`."""
    return DrainRecord(instance_id=instance_id, remaining_ms=remaining_ms, end=end)
