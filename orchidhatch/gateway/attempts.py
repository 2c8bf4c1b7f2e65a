"""How attempts end, and the load that servers report with their answers."""

from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How an attempt, a health check or a counter call ended.

    NOT_SENT means that the attempt was dropped before it was sent, as its request no longer needed it;
    LOCAL_FAILURE that it failed on this machine before it was sent, which says nothing about the server;
    REJECTED that the server had no capacity for it.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    LOCAL_FAILURE = "local_failure"


NOT_RUN_RESULTS = frozenset(
    (
        AttemptResult.REJECTED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.LOCAL_FAILURE,
    )
)
"""Results of attempts that have certainly not run."""

OBSERVED_RESULTS = (
    AttemptResult.OK,
    AttemptResult.TIMEOUT,
    AttemptResult.ERROR,
    AttemptResult.RESET,
    AttemptResult.REJECTED,
)
"""Results that show how well a server performs, whichever gateway sent the attempt."""

UNINFORMATIVE_RESULTS = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT, AttemptResult.LOCAL_FAILURE)
"""Results of attempts that were cancelled or failed on this side, which say nothing about the server."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a server reports; None for a figure that it does not report.

    `util` is the busy fraction of its cores, `service_ms` its mean service time in milliseconds.
    """

    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None
