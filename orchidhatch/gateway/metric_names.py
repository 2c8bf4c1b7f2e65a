"""The names of reasons and counts in the log line, in WaitTimes and in MetricsSnapshot."""

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.reasons import EndReason, QuotaDecisionSource, RejectionReason

REJECTION_REASON_NAMES = {
    RejectionReason.ADMISSION_SUSPENDED: "policy",
    RejectionReason.CUSTOMER_BANNED: "banned",
    RejectionReason.TOO_MANY_OPEN_REQUESTS: "crowded",
    RejectionReason.ARRIVED_TOO_LATE: "late",
    RejectionReason.OVER_QUOTA: "quota",
    RejectionReason.CONCURRENCY_SLOT: "open_cap",
    RejectionReason.RATE_CEILING: "ceiling",
    RejectionReason.ADMISSION_LIMIT: "cap",
    RejectionReason.SERVER: "server",
    RejectionReason.SERVER_FOR_RETRY: "again",
    RejectionReason.PROCESS_ENDS: "process_ends",
}

AWAITING_GRANT_NAME = "word"
"""The name of the wait for a quota grant; it is never a reason for a rejection."""

DECISION_SOURCE_NAMES = {
    QuotaDecisionSource.LOCAL_SHARE: "part",
    QuotaDecisionSource.LEADER: "home",
    QuotaDecisionSource.EARLIER_ANSWER: "old",
    QuotaDecisionSource.NO_ANSWER: "unheard",
    QuotaDecisionSource.GRANT_ANSWER: "answered",
    QuotaDecisionSource.ANSWER_TIMEOUT: "silent",
}

MESSAGES_SENT = "told"
MESSAGES_RECEIVED = "heard"
GRANTS_REQUESTED = "asked"
GRANTS_ANSWERED = "answered"

GOSSIP_COUNTS = (MESSAGES_SENT, MESSAGES_RECEIVED, GRANTS_REQUESTED, GRANTS_ANSWERED)
"""Counts of messages to and from peers, in the order of the log line."""


def end_reason_name(reason: EndReason) -> str:
    """Return the name of the reason for which a request ended unserved."""
    if isinstance(reason, AttemptResult):
        return reason.value
    return REJECTION_REASON_NAMES[reason]
