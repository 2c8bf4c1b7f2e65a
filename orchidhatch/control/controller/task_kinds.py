"""The task class of each kind of task."""

from collections.abc import Mapping

from orchidhatch.control.controller.drain import Drain
from orchidhatch.control.controller.recurring import Backup, LeaseExpiry, Summary
from orchidhatch.control.controller.registry_api import StoredRecord
from orchidhatch.control.controller.stored_json import decode_stored
from orchidhatch.control.controller.task import Task
from orchidhatch.control.controller.task_records import TaskKind
from orchidhatch.control.policy.change import PolicyChange

TASK_TYPES: Mapping[TaskKind, type[Task]] = {
    TaskKind.DRAIN: Drain,
    TaskKind.BACKUP: Backup,
    TaskKind.LEASE_EXPIRY: LeaseExpiry,
    TaskKind.SUMMARY: Summary,
    TaskKind.POLICY_CHANGE: PolicyChange,
}


def decode_task(kind: TaskKind, stored: StoredRecord) -> Task:
    """Return the task in a record; raises ValueError if a field is missing or of a wrong type."""
    task_type = TASK_TYPES[kind]
    record = decode_stored(stored.text, task_type.record_type)
    return task_type(stored.name, stored.version, record)
