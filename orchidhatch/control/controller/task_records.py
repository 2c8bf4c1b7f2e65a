"""The registry records in which the fleet controller's tasks are stored.

A record's name is TASK_RECORD_PREFIX followed by the task's name. Its text is a JSON object whose `kind`
selects one of the types below. Controllers of different versions read each other's records, so the JSON names
never change. Times are stored as remaining durations in milliseconds, so that no two machines' clocks are
compared.
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
# These fields end each record's text, as in earlier versions; fault trials look for a state near its start.
TRAILING_FIELDS = ("state", "done", "told")


class TaskKind(StrEnum):
    """The kinds of tasks; the values are those of a record's `kind`."""

    DRAIN = "drain"
    BACKUP = "backup"
    LEASE_EXPIRY = "leases"
    SUMMARY = "summary"
    POLICY_CHANGE = "policy"


class DrainState(StrEnum):
    """The progress of a drain.

    MARKED: the endpoint is DRAINING in the endpoint list. WITHDRAWN: the gateways got the command to send it
    no new requests. UNLISTED: the endpoint was removed from the endpoint list by other means.
    """

    REQUESTED = "asked"
    MARKED = "marked"
    WITHDRAWN = "out"
    ENDING = "ending"
    REMOVED = "removed"
    RESTORED = "back"
    UNLISTED = "gone"


class DrainEnd(StrEnum):
    """What is done with the endpoint at the end of the drain."""

    REMOVE = "remove"
    RESTORE = "back"


class RecurringState(StrEnum):
    """The only state of recurring tasks, which are never done."""

    REQUESTED = "asked"


class DrainRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.DRAIN)):
    """The drain of one endpoint."""

    instance_id: str = field(name="id")
    remaining_ms: int = field(name="leftMs")
    end: DrainEnd = field(name="then")
    counted_at_s: float | UnsetType = field(name="since", default=UNSET)
    state: DrainState = DrainState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)


class BackupRecord(Struct, kw_only=True, tag_field=KIND_FIELD, tag=str(TaskKind.BACKUP)):
    """Backups of the registry's store every `interval_ms`; the message is the file name of the last one."""

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
    """Summaries of the fleet's metrics every `interval_ms`; `fleet` is the last one."""

    interval_ms: int = field(name="everyMs")
    remaining_ms: int = field(name="leftMs")
    counted_at_s: float | UnsetType = field(name="since", default=UNSET)
    fleet: FleetSummary | UnsetType = UNSET
    state: RecurringState = RecurringState.REQUESTED
    done: bool = False
    message: str | UnsetType = field(name="told", default=UNSET)


class TaskRecord(Protocol):
    """The fields that the records of all tasks have."""

    state: StrEnum
    done: bool
    message: str | UnsetType


class TaskHeader(Struct):
    """The fields that are read from a record to determine its type."""

    kind: TaskKind
    done: bool = False


def decode_header(record_name: str, text: str) -> TaskHeader:
    """Return the header of the task in a record's text; raises InvalidTaskError if it is malformed."""
    try:
        return decode_stored(text, TaskHeader)
    except ValueError as error:
        name = f"{record_name!r:.{MAX_QUOTED_NAME_CHARACTERS}}"
        raise InvalidTaskError(f"{name} is not a task: {error!s:.{MAX_QUOTED_CHARACTERS}}") from error


def encode_task_record(record: Struct) -> str:
    """Return the text of a task's record in the form that earlier versions write."""
    values = msgspec.to_builtins(record)
    trailing = {name: values.pop(name) for name in TRAILING_FIELDS if name in values}
    return json.dumps(values | trailing)


def new_backup(interval_ms: int) -> BackupRecord:
    """Return a request for recurring backups, the first one at once."""
    return BackupRecord(interval_ms=interval_ms, remaining_ms=0)


def new_summary(interval_ms: int) -> SummaryRecord:
    """Return a request for recurring summaries, the first one at once."""
    return SummaryRecord(interval_ms=interval_ms, remaining_ms=0)


def new_drain(instance_id: str, remaining_ms: int, end: DrainEnd) -> DrainRecord:
    """Return a request to drain an endpoint and to end the drain after `remaining_ms`."""
    return DrainRecord(instance_id=instance_id, remaining_ms=remaining_ms, end=end)
