"""Attempt timeouts, and the conditions for retrying a failed attempt."""

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.settings import Idempotency

FREE_RETRY_RESULTS = (AttemptResult.CONNECT_FAILED, AttemptResult.LOCAL_FAILURE)
"""Results of attempts that reached no server: their retries add no load and cost no budget."""

RETRIES_PER_REQUEST = 0.1
"""Retries that each first attempt adds to the budget."""

MAX_RETRY_BUDGET = 8.0
"""Upper bound of the budget, in retries."""

MIN_TIMEOUT_LATENCIES = 8
"""The shortest early timeout in mean latencies: until then the request may just be a large one."""

RESUMPTION_TIMEOUT_US = 100_000
"""For the head of an attempt that gives the rest of a streamed answer, at least: the deadline may be over.

A server may be told 150 ms more than what is left to the client.
"""

LATENCIES_FOR_ANOTHER_ATTEMPT = 2
"""Mean latencies that an early timeout leaves for another attempt before the latency objective."""


class RetryPolicy:
    """Limits retries to a budget in proportion to first attempts, so that they cannot worsen an overload."""

    def __init__(self, context: DecisionContext, balancer: LoadBalancer) -> None:
        self.context = context
        self.balancer = balancer
        self.budget = MAX_RETRY_BUDGET / 2

    def credit_first_attempt(self) -> None:
        """Add a first attempt's contribution to the budget."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRIES_PER_REQUEST)

    def charge_retry(self, result: AttemptResult) -> None:
        """Charge the budget for a retry after an attempt with that result."""
        if result not in FREE_RETRY_RESULTS:
            self.budget -= 1

    def may_retry(self, request: InFlightRequest, result: AttemptResult) -> bool:
        """Return whether another attempt may follow one with that result."""
        if result is AttemptResult.NOT_SENT:
            return False
        half_latency_us = self.mean_latency_us(request) / 2
        if self.context.now_us + half_latency_us >= request.deadline_us:
            return False
        if result not in FREE_RETRY_RESULTS and self.budget < 1:
            return False
        return len(request.servers) < self.context.settings.max_attempts

    def may_resume(self, request: InFlightRequest, result: AttemptResult) -> bool:
        """Return whether another attempt may give the rest of an answer that ended early with that result.

        Without it the client's later requests are lost, so neither the deadline nor the budget forbids it.
        """
        if result is AttemptResult.NOT_SENT or request.rule.idempotency is not Idempotency.SAFE:
            return False
        return len(request.servers) < self.context.settings.max_attempts

    def timeout_us(self, request: InFlightRequest) -> int:
        """Return the timeout of the attempt that is being sent, in microseconds.

        It lasts to the request's deadline, or ends earlier if another attempt may follow and can still meet
        the latency objective.
        """
        now_us = self.context.now_us
        until_deadline_us = request.deadline_us - now_us
        if request.is_resuming:
            return max(RESUMPTION_TIMEOUT_US, until_deadline_us)
        mean_latency_us = self.mean_latency_us(request)
        early_timeout_us = round(
            request.objective_due_us - now_us - LATENCIES_FOR_ANOTHER_ATTEMPT * mean_latency_us
        )
        is_unsafe = request.rule.idempotency is Idempotency.UNSAFE
        is_last = is_unsafe or len(request.servers) >= self.context.settings.max_attempts
        if is_last or early_timeout_us < MIN_TIMEOUT_LATENCIES * mean_latency_us:
            return max(1, until_deadline_us)
        return max(1, min(until_deadline_us, early_timeout_us))

    def start_within_us(self, request: InFlightRequest) -> int:
        """Return the time within which the attempt must be written, in microseconds; 0 for no limit.

        An attempt that may repeat an earlier one under its idempotency key must reach the server within the
        deduplication window, even if it has to wait for a connection.
        """
        is_keyed = request.rule.idempotency is Idempotency.KEYED
        if not is_keyed or request.first_server is None:
            return 0
        return max(1, request.first_sent_us + request.rule.dedup_window_us - self.context.now_us)

    def mean_latency_us(self, request: InFlightRequest) -> float:
        """Return the mean latency of attempts of the request's class, in microseconds."""
        return self.balancer.mean_latencies_us[request.class_index]
