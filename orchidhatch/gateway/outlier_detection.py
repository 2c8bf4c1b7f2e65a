"""Outlier detection: which servers are ejected, for how long, and how they are readmitted.

Each server has two scores. The fault score is derived from the attempts of all gateways and raises the
server's expected cost; the failure score counts the failures of this gateway's attempts and triggers its
ejection. An ejection ends with a recovery probe: one attempt whose success readmits the server. For a while
after that its expected cost is raised (recovery ramp). DESIGN leaves the health of servers to the
implementation.
"""

from orchidhatch.gateway.attempt_averages import SAMPLE_WEIGHT
from orchidhatch.gateway.decaying_average import decay_towards
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.times import S

NEUTRAL_FAULT_SCORE = 1.0
MIN_FAULT_SCORE = 0.25
MAX_FAULT_SCORE = 4.0
# Lower scores may be due to chance: all gateways see the same, and would flood the server that seems best.
TOLERATED_FAULT_SCORE = 1.5
# Reached by two failures in a row, or by a mix with more failures than answers.
EJECTION_FAILURE_SCORE = 1.7
MIN_EJECTION_US = S
MAX_EJECTION_US = 8 * S
# A server without capacity for an attempt stays full for about one service time.
REJECTION_EJECTION_US = 300_000
RECOVERY_RAMP_US = 8 * S
FULL_RECOVERY_COST = 2


class OutlierDetector:
    """Scores servers by the results of attempts, ejects outliers and readmits them by a recovery probe."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context

    # --- scores ---

    def observe(self, server: ServerRecord, fault_sample: float) -> None:
        """Update the fault score with an attempt of any gateway.

        `fault_sample` is its latency over the mean, or MAX_FAULT_SCORE for a failure.
        """
        sample = min(MAX_FAULT_SCORE, max(MIN_FAULT_SCORE, fault_sample))
        server.fault_score = decay_towards(server.fault_score, sample, SAMPLE_WEIGHT)

    def decay(self, server: ServerRecord) -> None:
        """Move a server's fault score towards neutral, so that an avoided server is used again eventually."""
        server.fault_score = decay_towards(server.fault_score, NEUTRAL_FAULT_SCORE, SAMPLE_WEIGHT)

    def record_success(self, server: ServerRecord) -> None:
        """Record a success of this gateway's attempt; it readmits a server that needs a recovery probe."""
        server.failure_score = server.failure_score / 2
        if server.needs_probe:
            self._readmit(server)

    def record_failure(self, server: ServerRecord) -> None:
        """Record a failure of this gateway's attempt; it may eject the server."""
        server.failure_score = server.failure_score + 1
        is_outlier = server.failure_score >= EJECTION_FAILURE_SCORE or server.needs_probe
        if is_outlier and not self.is_ejected(server):
            self._eject(server)

    def record_rejection(self, server: ServerRecord) -> None:
        """Briefly eject a server that had no capacity for an attempt; it needs no recovery probe."""
        until_us = self.context.now_us + REJECTION_EJECTION_US
        server.ejected_until_us = max(server.ejected_until_us, until_us)

    # --- ejection and recovery ---

    def is_ejected(self, server: ServerRecord) -> bool:
        """Return whether a server is sent nothing, not even a recovery probe."""
        return self.context.now_us < server.ejected_until_us

    def _eject(self, server: ServerRecord) -> None:
        server.ejection_us = min(MAX_EJECTION_US, max(MIN_EJECTION_US, server.ejection_us * 2))
        server.ejected_until_us = self.context.now_us + server.ejection_us
        server.needs_probe = True

    def _readmit(self, server: ServerRecord) -> None:
        server.needs_probe = False
        server.ejection_us = 0
        server.failure_score = 0.0
        server.recovered_us = self.context.now_us

    def require_probe(self, server: ServerRecord) -> None:
        """End any ejection, and require a recovery probe, due at once, before the server is readmitted."""
        server.ejected_until_us = 0
        server.ejection_us = 0
        server.failure_score = 0.0
        server.needs_probe = True

    # --- cost factors ---

    def fault_cost(self, server: ServerRecord) -> float:
        """Return the factor, at least 1, by which a server's fault score raises its expected cost."""
        return max(1.0, server.fault_score / TOLERATED_FAULT_SCORE) ** 2

    def recovery_cost(self, server: ServerRecord) -> float:
        """Return the factor, from 2 down to 1, by which a recent recovery raises the expected cost.

        It only makes other servers preferred. A hard limit would leave requests without a server when many
        servers recover at the same time.
        """
        recovered = min(1.0, (self.context.now_us - server.recovered_us) / RECOVERY_RAMP_US)
        return FULL_RECOVERY_COST - recovered
