"""Retry-After delays of rejected requests."""

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.reasons import EndReason, RejectionReason
from orchidhatch.gateway.times import NEVER


class RetryAfter:
    """Computes Retry-After delays from the expected wait until there is capacity for a request."""

    def __init__(
        self, context: DecisionContext, balancer: LoadBalancer, overload: OverloadController
    ) -> None:
        self.context = context
        self.balancer = balancer
        self.overload = overload

    def delay_us(self, request: InFlightRequest, reason: EndReason) -> int:
        """Return the delay in microseconds, at most the settings' `max_retry_after_us`.

        It is one to two times the expected wait for capacity, at random, so that clients that were rejected
        together do not retry together. It is never less, as an earlier retry gains nothing.
        """
        max_us = self.context.settings.max_retry_after_us
        return round(min(max_us, self.capacity_wait_us(request, reason) * (1 + self.context.random.random())))

    def capacity_wait_us(self, request: InFlightRequest, reason: EndReason) -> float:
        """Return the expected wait for the capacity the request lacked, in microseconds; NEVER if unknown."""
        customer = request.customer
        if reason is RejectionReason.PROCESS_ENDS:
            return 0  # another gateway can serve it at once
        if self.overload.admission_limit is not None:  # Requests already queue for the admission limit.
            return NEVER
        if reason is RejectionReason.TOO_MANY_OPEN_REQUESTS:
            return self.balancer.mean_latencies_us[request.class_index]
        if reason is RejectionReason.OVER_QUOTA:
            return customer.quota_wait_us(request.units, self.context.now_us)
        if not request.servers and customer.lacks_ceiling_units(request.units):
            return customer.ceiling_wait_us(request.units)
        return self.overload.period_length_us  # Slots and server capacity change within a period.
