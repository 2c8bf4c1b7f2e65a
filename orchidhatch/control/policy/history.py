"""The history of decisions: one record each; the oldest are removed along with their documents."""

import msgspec

from orchidhatch.control.controller.registry_api import RecordsStatus, StoredRecord
from orchidhatch.control.controller.task import TaskContext
from orchidhatch.control.policy.policy_records import (
    DOCUMENT_RECORD_PREFIX,
    HISTORY_RECORD_PREFIX,
    Decision,
    decode_decision,
    document_record,
    encode_decision,
    history_record,
)

MAX_HISTORY_RECORDS = 50
ABSENT_VERSION = 0  # the version of a record that does not exist


async def record_decision(context: TaskContext, decision: Decision) -> None:
    """Add a decision to the history unless it is there, and remove the expired records."""
    name = history_record(decision.number)
    if await context.read_record(name) is not None:
        return
    await context.put_record(name, encode_decision(decision), if_version=ABSENT_VERSION)
    reply = await context.read("/records")
    if not reply.ok:
        return
    for record in expired_records(msgspec.convert(reply.body, RecordsStatus).records):
        await context.put_record(record.name, text="")


def expired_records(records: list[StoredRecord]) -> list[StoredRecord]:
    """Return the history records beyond the newest, and the unused documents that are as old as they are.

    A document is unused if no remaining decision refers to it. A newer one is kept even so, as it may be
    about to be proposed.
    """
    history = [record for record in records if record.name.startswith(HISTORY_RECORD_PREFIX)]
    history.sort(key=lambda record: record.name)
    expired = history[:-MAX_HISTORY_RECORDS]
    if not expired:
        return []
    decisions = [decode_decision(record.text) for record in history[-MAX_HISTORY_RECORDS:]]
    referenced = {document_record(decision.digest) for decision in decisions}
    referenced |= {document_record(decision.previous_digest) for decision in decisions}
    documents = [
        record
        for record in records
        if record.name.startswith(DOCUMENT_RECORD_PREFIX)
        and record.name not in referenced
        and record.version < expired[-1].version
    ]
    return expired + documents
