"""The history of decisions: a record for each, of which the oldest are removed with their documents."""

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
ABSENT_VERSION = 0


async def record_decision(context: TaskContext, decision: Decision) -> None:
    """Write a decision to the history, once, and remove what is too old."""
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
    """The history records beyond the newest, and the documents as old as them that no newer one names.

    A younger document that no decision names stays, as it may be about to be proposed.
    """
    history = [record for record in records if record.name.startswith(HISTORY_RECORD_PREFIX)]
    history.sort(key=lambda record: record.name)
    expired = history[:-MAX_HISTORY_RECORDS]
    if not expired:
        return []
    decisions = [decode_decision(record.text) for record in history[-MAX_HISTORY_RECORDS:]]
    named = {document_record(decision.digest) for decision in decisions}
    named |= {document_record(decision.previous_digest) for decision in decisions}
    documents = [
        record
        for record in records
        if record.name.startswith(DOCUMENT_RECORD_PREFIX)
        and record.name not in named
        and record.version < expired[-1].version
    ]
    return expired + documents
