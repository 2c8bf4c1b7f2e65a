"""Why requests end unserved, and what the decisions on their quota go by."""

from enum import Enum, auto

from orchidhatch.gateway.attempts import AttemptResult


class RejectionReason(Enum):
    """Why the gateway ended a request of its own accord; the second half says what it waited for in vain."""

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


EndReason = RejectionReason | AttemptResult
"""Why a request ended unserved: the gateway's reason, or how its last attempt ended."""


class QuotaDecisionSource(Enum):
    """What a decision on a request's quota went by.

    LOCAL_SHARE is the local share of the burst; LEADER the whole set's state, kept here; EARLIER_ANSWER what
    the quota leader last answered; NO_ANSWER local state only, as it has not answered of late; GRANT_ANSWER
    its answer to the request's own question; ANSWER_TIMEOUT local state, as no such answer came in time.
    """

    LOCAL_SHARE = auto()
    LEADER = auto()
    EARLIER_ANSWER = auto()
    NO_ANSWER = auto()
    GRANT_ANSWER = auto()
    ANSWER_TIMEOUT = auto()
