"""The invariants of sending, repeating and closing, checked at the instant of the effect.

The code before each effect is to make sure that none of them is broken. A refusal here is a fault of that
code: it is counted for the metrics page and logged with the request's id, and whatever tests or trials the
program fails over it.
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
    """An attempt for a request that has its answer, or whose client has left."""
    PAST_DEADLINE = "past_deadline"
    """An attempt after the time in which its client waits."""
    PAST_REPEAT_WINDOW = "past_repeat_window"
    """A repeat of what may have run, after its idempotency key may be forgotten."""
    REPEAT_FORBIDDEN = "repeat_forbidden"
    """A repeat of what may have run, of a class that must not run twice."""
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    OVERLAPPING_ATTEMPT = "overlapping_attempt"
    """An attempt while another one of its request is out."""
    ANSWER_OWED = "answer_owed"
    """The close of a client's connection on which an answer is owed."""


class Guard:
    """Counts what was refused, by the invariant."""

    def __init__(self) -> None:
        self.refusals: Counter[Refusal] = Counter()

    def refuse(self, refusal: Refusal, request_id: str, detail: str = "") -> Refusal:
        """Count and log a refusal; returns it."""
        self.refusals[refusal] += 1
        about = request_id or "-"
        log.error("guard refused reason=%s request=%s at %d us %s", refusal.value, about, now_us(), detail)
        return refusal

    def metrics_text(self) -> str:
        """All reasons in Prometheus's text form, zeros too."""
        counts = {f'reason="{refusal.value}"': self.refusals[refusal] for refusal in Refusal}
        return metric_text(
            "guard_refusals_total", "counter", "Effects that would have broken a rule.", counts
        )
