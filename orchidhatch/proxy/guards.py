"""Invariants of sending, retrying and closing, checked immediately before the effect.

The code that leads to each effect must itself keep these invariants. A refusal by the guard is therefore a
defect in that code: it is counted on the metrics page and logged with the request's id, and it fails any test
or trial in which it occurs.
"""

import logging
from collections import Counter
from enum import StrEnum

from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.metrics import metric_text

log = logging.getLogger(__name__)


class Refusal(StrEnum):
    """The invariant that an effect would have broken."""

    SERVER_LEAVING = "server_leaving"
    """An attempt to a server that is draining, removed, or ejected by an operator."""
    REQUEST_ENDED = "request_ended"
    """An attempt for a request that was answered, or whose client has disconnected."""
    PAST_DEADLINE = "past_deadline"
    """An attempt after the request's deadline, unless it gives the rest of a value."""
    PAST_REPEAT_WINDOW = "past_repeat_window"
    """A retry of a keyed request that may have run, after the end of the deduplication window."""
    REPEAT_FORBIDDEN = "repeat_forbidden"
    """A retry of an unsafe request that may have run."""
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    OVERLAPPING_ATTEMPT = "overlapping_attempt"
    """An attempt while another attempt of the same request is in flight."""
    ANSWER_OWED = "answer_owed"
    """A close of a client connection that has an unanswered command."""


class Guard:
    """Counts refused effects by invariant."""

    def __init__(self) -> None:
        self.refusals: Counter[Refusal] = Counter()

    def refuse(self, refusal: Refusal, request_id: str, detail: str = "") -> Refusal:
        """Count and log a refusal, and return it."""
        self.refusals[refusal] += 1
        request_label = request_id or "-"
        log.error(
            "guard refused reason=%s request=%s at %d us %s", refusal.value, request_label, now_us(), detail
        )
        return refusal

    def metrics_text(self) -> str:
        """Return the count of every refusal, zeros included, in the Prometheus text format."""
        counts = {f'reason="{refusal.value}"': self.refusals[refusal] for refusal in Refusal}
        return metric_text(
            "guard_refusals_total", "counter", "Effects that would have broken a rule.", counts
        )
