"""The names of reasons and counts that operators read in the log line and the metrics."""

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.metric_names import (
    DECISION_SOURCE_NAMES,
    REJECTION_REASON_NAMES,
    end_reason_name,
)
from orchidhatch.gateway.reasons import QuotaDecisionSource, RejectionReason


def test_each_reason_has_a_name_of_its_own() -> None:
    names = [end_reason_name(reason) for reason in (*RejectionReason, *AttemptResult)]
    assert len(set(names)) == len(names)
    assert set(REJECTION_REASON_NAMES) == set(RejectionReason)


def test_each_decision_source_has_a_name_of_its_own() -> None:
    assert set(DECISION_SOURCE_NAMES) == set(QuotaDecisionSource)
    assert len(set(DECISION_SOURCE_NAMES.values())) == len(QuotaDecisionSource)


def test_names_stay_as_operators_know_them() -> None:
    reasons = (
        "policy",
        "banned",
        "crowded",
        "late",
        "quota",
        "open_cap",
        "ceiling",
        "cap",
        "server",
        "again",
        "process_ends",
    )
    assert tuple(REJECTION_REASON_NAMES.values()) == reasons
    sources = ("part", "home", "old", "unheard", "answered", "silent")
    assert tuple(DECISION_SOURCE_NAMES.values()) == sources
    assert end_reason_name(AttemptResult.NOT_SENT) == "moot"
    assert end_reason_name(RejectionReason.SERVER_FOR_RETRY) == "again"
