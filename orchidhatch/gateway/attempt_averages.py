"""Decaying averages over this gateway's attempts: latency, and the load that servers report.

The expected cost of a server is computed from them (see expected_cost.py). DESIGN leaves the choice of server
to the implementation.
"""

from orchidhatch.gateway.decaying_average import decay_towards
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import RequestClass

SAMPLE_WEIGHT = 0.1
NEUTRAL_RELATIVE_LATENCY = 1.0
# Bounds of one sample, so that a single slow answer counts for little.
MIN_RELATIVE_LATENCY = 0.25
MAX_RELATIVE_LATENCY = 4.0
MIN_MEAN_LATENCY_US = 1.0
# A mean latency starts at a quarter of the class's objective.
INITIAL_OBJECTIVE_DIVISOR = 4


class AttemptAverages:
    """Mean latency by request class, mean reported load, and each server's latency relative to the mean."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        # By request class, in microseconds.
        self.mean_latencies_us = [rule.latency_objective_us / INITIAL_OBJECTIVE_DIVISOR for rule in classes]
        self.mean_load = 0.0

    def reference_latency_us(self, class_index: int) -> float:
        """Return the mean latency of a class in microseconds, never 0, for use as a divisor."""
        return max(MIN_MEAN_LATENCY_US, self.mean_latencies_us[class_index])

    def record_load(self, server: ServerRecord, load: float, now_us: int) -> None:
        """Record the load that a server reported with an answer."""
        server.reported_load = load
        server.load_reported_us = now_us
        self.mean_load = decay_towards(self.mean_load, load, SAMPLE_WEIGHT)

    def record_latency(self, server: ServerRecord, class_index: int, latency_us: int) -> None:
        """Record the latency of an answer to a request of the class."""
        ratio = latency_us / self.reference_latency_us(class_index)
        sample = min(MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, ratio))
        server.relative_latency = decay_towards(server.relative_latency, sample, SAMPLE_WEIGHT)
        mean_latency_us = self.mean_latencies_us[class_index]
        self.mean_latencies_us[class_index] = decay_towards(mean_latency_us, latency_us, SAMPLE_WEIGHT)

    def decay(self, server: ServerRecord) -> None:
        """Move a server's relative latency towards neutral, so that a slow server is eventually reused."""
        server.relative_latency = decay_towards(
            server.relative_latency, NEUTRAL_RELATIVE_LATENCY, SAMPLE_WEIGHT
        )
