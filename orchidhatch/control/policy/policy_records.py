"""The names and contents of the registry's records about policies, except for the record of a change.

Stored record names and JSON fields are exchanged between versions, so they must never change.
"""

from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.controller.stored_json import decode_stored, encode_stored

# The current decision.
DECISION_RECORD = "policy.now"
# The number of the last decision whose activation time has passed.
ACTIVATED_RECORD = "policy.past"
# Followed by the document's digest.
DOCUMENT_RECORD_PREFIX = "policy.doc-"
# Followed by the decision's number in hexadecimal.
HISTORY_RECORD_PREFIX = "policy.log-"
# The task of the last requested change.
CHANGE_TASK_RECORD = "task.policy"
# Prefixes of the names of the records that a replica copies from its upstream.
REPLICATED_RECORD_PREFIXES = ("policy.", CHANGE_TASK_RECORD)


class Decision(Struct, kw_only=True, frozen=True):
    """A decision: the policy in force from the activation time on, and the previous one until then.

    An empty digest means that the gateways use their own settings files. A decision with a higher number
    replaces one with a lower number; the number's upper bits are the registry's term. Decisions that were
    written by hand may lack the optional fields.
    """

    number: int
    digest: str
    previous_digest: str = field(name="before")
    term: int | UnsetType = UNSET
    activation_delay_ms: int = field(name="moveMs")
    change_id: str | UnsetType = field(name="change", default=UNSET)
    requested_by: str | UnsetType = field(name="who", default=UNSET)
    reason: str | UnsetType = field(name="why", default=UNSET)
    absent: list[str] | UnsetType = UNSET
    absent_count: int | UnsetType = field(name="absentCount", default=UNSET)


def encode_decision(decision: Decision) -> str:
    """Return the record text of a decision."""
    return encode_stored(decision)


def decode_decision(text: str) -> Decision:
    """Return the decision in a record's text; raises ValueError if it is malformed."""
    return decode_stored(text, Decision)


def history_record(number: int) -> str:
    """Return the name of a decision's history record; names sort in the order of the numbers."""
    return f"{HISTORY_RECORD_PREFIX}{number:016x}"


def document_record(digest: str) -> str:
    """Return the name of a document's record."""
    return f"{DOCUMENT_RECORD_PREFIX}{digest}"
