"""Counts of requests that ended unserved and of quota decisions, for the log line and the metrics."""

from collections import Counter

from orchidhatch.gateway.metric_names import DECISION_SOURCE_NAMES, end_reason_name
from orchidhatch.gateway.reasons import EndReason, QuotaDecisionSource


class RequestCounters:
    """Counts by metric name, since the process started and since the last log line."""

    def __init__(self) -> None:
        self.ended: Counter[str] = Counter()
        self.ended_since_log: Counter[str] = Counter()
        self.decided_since_log: Counter[str] = Counter()
        # The summed ages of the answers that EARLIER_ANSWER decisions were based on.
        self.answer_age_us_since_log = 0
        self.logged_us = -1
        self.waits_counted_us = 0

    def count_end(self, reason: EndReason) -> None:
        """Count a request that ended unserved."""
        name = end_reason_name(reason)
        self.ended_since_log[name] += 1
        self.ended[name] += 1

    def count_decision(self, source: QuotaDecisionSource, answer_age_us: int) -> None:
        """Count a quota decision; `answer_age_us` is the time since the quota leader's last answer."""
        self.decided_since_log[DECISION_SOURCE_NAMES[source]] += 1
        if source is QuotaDecisionSource.EARLIER_ANSWER:
            self.answer_age_us_since_log += answer_age_us

    def start_log_period(self, now_us: int) -> None:
        """Reset the counts since the last log line."""
        self.ended_since_log.clear()
        self.decided_since_log.clear()
        self.answer_age_us_since_log = 0
        self.logged_us = now_us
