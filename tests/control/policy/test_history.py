"""Which records of the history and which documents are removed."""

from orchidhatch.control.controller.registry_api import StoredRecord
from orchidhatch.control.policy.history import MAX_HISTORY_RECORDS, expired_records
from orchidhatch.control.policy.policy_records import (
    Decision,
    document_record,
    encode_decision,
    history_record,
)


def decided(number: int, digest: str) -> StoredRecord:
    decision = Decision(number=number, digest=digest, previous_digest="", activation_delay_ms=0)
    return StoredRecord(history_record(number), encode_decision(decision), version=100 + number)


def test_long_history_loses_the_oldest_and_documents() -> None:
    records = [decided(number, f"{number:016x}") for number in range(MAX_HISTORY_RECORDS + 2)]
    old_document = StoredRecord(document_record(f"{0:016x}"), "", version=50)
    named_document = StoredRecord(document_record(f"{9:016x}"), "", version=51)
    young_document = StoredRecord(document_record("f" * 16), "", version=500)
    other = StoredRecord("task.policy", "", version=1)
    stored = [old_document, named_document, young_document, other, *reversed(records)]
    assert expired_records(stored) == [records[0], records[1], old_document]


def test_short_history_keeps_everything() -> None:
    records = [decided(number, "") for number in range(MAX_HISTORY_RECORDS)]
    assert expired_records([*records, StoredRecord(document_record("0" * 16), "", version=1)]) == []
