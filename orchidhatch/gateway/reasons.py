"""Why requests end unserved, and what decisions on their quota are based on."""

from enum import Enum, auto

from orchidhatch.gateway.attempts import AttemptResult


class RejectionReason(Enum):
    """Why the gateway itself ended a request; the second group is what an expired request was waiting for.

    PROCESS_ENDS: the process would be killed before the request's deadline.
    """

    ADMISSION_SUSPENDED = auto()
    CUSTOMER_BANNED = auto()
    TOO_MANY_OPEN_REQUESTS = auto()
    ARRIVED_TOO_LATE = auto()
    OVER_QUOTA = auto()

    CONCURRENCY_SLOT = auto()
    RATE_CEILING = auto()
    ADMISSION_LIMIT = auto()
    SERVER = auto()
    SERVER_FOR_RETRY = auto()

    PROCESS_ENDS = auto()


EndReason = RejectionReason | AttemptResult
"""Why a request ended unserved: the gateway's reason, or how its last attempt ended."""


class QuotaDecisionSource(Enum):
    """What a decision on a request's quota was based on.

    LOCAL_SHARE is the local share of the burst; LEADER the state of the whole gateway set, kept here;
    EARLIER_ANSWER the quota leader's latest answer; NO_ANSWER local state only, as the leader has not
    answered recently; GRANT_ANSWER the answer to the request's own grant request; ANSWER_TIMEOUT local state,
    as that answer did not arrive in time.
    """

    LOCAL_SHARE = auto()
    LEADER = auto()
    EARLIER_ANSWER = auto()
    NO_ANSWER = auto()
    GRANT_ANSWER = auto()
    ANSWER_TIMEOUT = auto()
