"""The registry's records that hold policies, except the task of a change.

Names and fields are stored and sent between versions, so they never change.
"""

from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.controller.stored_json import decode_stored, encode_stored

# The decision that holds.
DECISION_RECORD = "policy.now"
# The number of the last decision whose activation time has passed.
ACTIVATED_RECORD = "policy.past"
# A prefix, followed by the document's digest.
DOCUMENT_RECORD_PREFIX = "policy.doc-"
# A prefix, followed by the decision's number.
HISTORY_RECORD_PREFIX = "policy.log-"
# The task of the last change that was requested.
CHANGE_TASK_RECORD = "task.policy"
# How the records begin that a replica copies from its upstream.
REPLICATED_RECORD_PREFIXES = ("policy.", CHANGE_TASK_RECORD)


class Decision(Struct, kw_only=True, frozen=True):
    """Which policy holds, from the activation time on, and which one until then.

    A digest is empty where the gateways go by their own files. A decision of higher number replaces one of a
    lower number; the registry's term comes first in it. Decisions written by hand may lack what is optional.
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
    """The text of a decision's record."""
    return encode_stored(decision)


def decode_decision(text: str) -> Decision:
    """The decision in a record's text; raises ValueError where it is none."""
    return decode_stored(text, Decision)


def history_record(number: int) -> str:
    """The name of the history record of a decision; the names sort as the numbers do."""
    return f"{HISTORY_RECORD_PREFIX}{number:016x}"


def document_record(digest: str) -> str:
    """The name of the record of a document."""
    return f"{DOCUMENT_RECORD_PREFIX}{digest}"
