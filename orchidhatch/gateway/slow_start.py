"""Slow start: limits what a newly started server is sent while it warms up.

A server starts with `cold_capacity` of its capacity and has all of it after `warm_up_us`; it fails if it is
sent more than `overload_multiple` of its current capacity (Settings; the operators' rule on cold servers).
All gateways learn of the start at the same time, so each of them sends at a low rate: a server warming up
earns credit, and one attempt costs one credit.
"""

import math

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.times import NEVER, S

# The rate multiplier follows the latency of answers; twice the usual rate is still below the failure limit.
MIN_RATE_MULTIPLIER = 0.5
MAX_RATE_MULTIPLIER = 2.0
RATE_MULTIPLIER_STEP = 0.1
INITIAL_RATE_MULTIPLIER = 1.0
# Lower bound where `cold_capacity` is 0 or smaller: weights are divisors, and credit grows in proportion.
MIN_WEIGHT = 0.001
MAX_CREDIT = 1.0
ATTEMPT_CREDIT = 1
# Longer than a release: the fewer attempts during one must not lower the rate of cold servers.
USUAL_RATE_DECAY_US = 30 * S


class SlowStart:
    """Weighs servers by how warm they are, and limits the rate of attempts to those warming up."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        # First attempts per second that this gateway sends a warm server in normal operation.
        self.usual_rate = 0.0

    # --- start ---

    def randomize_credit(self, server: ServerRecord) -> None:
        """Give a new server a random credit, so that gateways do not all send the first attempt at once."""
        server.credit = self.context.random.random()
        server.credit_us = self.context.now_us

    def restart_warm_up(self, server: ServerRecord) -> None:
        """Start the warm-up of a server anew; its first attempt is permitted at once."""
        server.cold_since_us = self.context.now_us
        server.credit = MAX_CREDIT

    def schedule_warm_up(self, server: ServerRecord) -> None:
        """Set the time at which a server is warm, from its start time and the settings."""
        settings = self.context.settings
        started_us = max(server.endpoint.started_us, server.cold_since_us)
        if started_us and settings.cold_capacity < 1:
            server.warm_at_us = started_us + max(1, settings.warm_up_us)
        else:
            server.warm_at_us = -NEVER

    # --- weight and rate ---

    def is_warming_up(self, server: ServerRecord) -> bool:
        """Return whether a server is in slow start."""
        return self.context.now_us < server.warm_at_us

    def weight(self, server: ServerRecord) -> float:
        """Return the slow-start weight of a server, above 0 and at most 1.

        It is the fraction of its capacity that the server has at least.
        """
        now_us = self.context.now_us
        if now_us >= server.warm_at_us:
            return 1.0
        settings = self.context.settings
        remaining = (server.warm_at_us - now_us) / max(1, settings.warm_up_us)
        cold_capacity = settings.cold_capacity
        return max(MIN_WEIGHT, cold_capacity + (1 - cold_capacity) * (1 - remaining))

    def permitted_rate(self, server: ServerRecord) -> float:
        """Return how many attempts per second may go to a server warming up.

        That is half the rate at which it would fail if the other servers were full.
        """
        settings = self.context.settings
        usual_rate = max(1 / settings.gateway_count, self.usual_rate)
        overload_factor = max(1.0, settings.overload_multiple / 2)
        return usual_rate * self.weight(server) * overload_factor * server.rate_multiplier

    def has_credit(self, server: ServerRecord) -> bool:
        """Add the credit that a server warming up has earned; return whether it may be sent an attempt."""
        now_us = self.context.now_us
        earned = (now_us - server.credit_us) / S * self.permitted_rate(server)
        server.credit = min(MAX_CREDIT, server.credit + earned)
        server.credit_us = now_us
        return server.credit >= ATTEMPT_CREDIT

    # --- results of attempts and control periods ---

    def record_latency(self, server: ServerRecord, is_below_mean: bool) -> None:
        """Raise the rate multiplier after an answer faster than the mean, else lower it."""
        step = RATE_MULTIPLIER_STEP if is_below_mean else -2 * RATE_MULTIPLIER_STEP
        multiplier = server.rate_multiplier + step
        server.rate_multiplier = min(MAX_RATE_MULTIPLIER, max(MIN_RATE_MULTIPLIER, multiplier))

    def record_failure(self, server: ServerRecord) -> None:
        """Reset the rate multiplier after a failed attempt."""
        server.rate_multiplier = INITIAL_RATE_MULTIPLIER

    def end_period(self, attempts_per_s: float, server_count: int, period_us: int) -> None:
        """Update the usual rate of a warm server from a control period's rate of first attempts."""
        decay = math.exp(-period_us / USUAL_RATE_DECAY_US)
        self.usual_rate = max(attempts_per_s / max(1, server_count), self.usual_rate * decay)
