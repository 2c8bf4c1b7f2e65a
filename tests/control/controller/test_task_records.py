"""The stored form of tasks, which controllers of different versions share."""

import json

import msgspec
import pytest

from orchidhatch.control.controller.errors import InvalidTaskError
from orchidhatch.control.controller.stored_json import decode_stored
from orchidhatch.control.controller.task_kinds import TASK_TYPES
from orchidhatch.control.controller.task_records import (
    DrainEnd,
    LeaseExpiryRecord,
    decode_header,
    encode_task_record,
    new_backup,
    new_drain,
    new_summary,
)
from orchidhatch.control.policy.change_record import Gate, new_change

# As the version before wrote them.
STORED = {
    "drain asked": '{"kind": "drain", "id": "s-1", "leftMs": 600000, "then": "remove", "state": "asked", '
    '"done": false}',
    "drain out": '{"kind": "drain", "id": "s-1", "leftMs": 9000, "then": "back", "since": 12.5, '
    '"state": "out", "done": false, "told": "not told: 127.0.0.1:7100"}',
    "backup": '{"kind": "backup", "everyMs": 3600000, "leftMs": 3600000, "since": 12.5, "state": "asked", '
    '"done": false, "told": "list-1-6.db"}',
    "leases": '{"kind": "leases", "state": "asked", "done": false}',
    "summary": '{"kind": "summary", "everyMs": 30000, "leftMs": 30000, "since": 12.5, "fleet": {"doors": 3, '
    '"first": false, "answered": 9, "deferred": 1, "errored": 0, "sends": 10, "current": 2, "unhealthy": 0, '
    '"silent": ["127.0.0.1:7100"], "silentCount": 1, "unlike": {"errored": {"127.0.0.1:7101": 0.25}}}, '
    '"state": "asked", "done": false, "told": ""}',
    "policy": '{"kind": "policy", "id": "00ff", "digest": "0123456789abcdef", "who": "me", "why": "y", '
    '"force": false, "leftMs": 60000, "gate": {"for_ms": 4000, "errored": 0.02, "deferred": 0.2, '
    '"least": 200}, "base": 4294967297, "before": "", "counts": [1, 2, 3], "at": [4, 5, 6], "since": 12.5, '
    '"undoes": "\\udc80 0.1 of the requests errored", "state": "watched", "done": false, "told": ""}',
}


@pytest.mark.parametrize("name", STORED)
def test_stored_record_survives_decode_and_encode(name: str) -> None:
    """To the letter."""
    text = STORED[name]
    task_type = TASK_TYPES[decode_header(name, text).kind]
    assert encode_task_record(decode_stored(text, task_type.record_type)) == text


@pytest.mark.parametrize(
    ("record", "text"),
    [
        (new_drain("s-1", 600_000, DrainEnd.REMOVE), STORED["drain asked"]),
        (LeaseExpiryRecord(), STORED["leases"]),
        (
            new_backup(1000),
            '{"kind": "backup", "everyMs": 1000, "leftMs": 0, "state": "asked", "done": false}',
        ),
        (
            new_summary(1000),
            '{"kind": "summary", "everyMs": 1000, "leftMs": 0, "state": "asked", "done": false}',
        ),
    ],
)
def test_new_task_is_encoded_as_by_earlier_versions(record: msgspec.Struct, text: str) -> None:
    assert encode_task_record(record) == text


def test_new_policy_change_has_the_earlier_fields() -> None:
    """Those that earlier versions read."""
    change = new_change("0123456789abcdef", "me", "y", Gate(for_ms=4000), force=True)
    assert json.loads(encode_task_record(change)) == {
        "kind": "policy",
        "id": change.change_id,
        "digest": "0123456789abcdef",
        "who": "me",
        "why": "y",
        "force": True,
        "leftMs": 60_000,
        "state": "asked",
        "done": False,
        "gate": {"for_ms": 4000, "errored": 0.02, "deferred": 0.2, "least": 200},
    }


@pytest.mark.parametrize(
    "text",
    ["", "{}", "[]", "null", '{"kind": "what"}', '{"kind": ["drain"]}', '{"kind": "drain", "done": 2}'],
)
def test_text_of_no_task_is_rejected_by_name(text: str) -> None:
    with pytest.raises(InvalidTaskError, match=r"task\.what"):
        decode_header("task.what", text)
