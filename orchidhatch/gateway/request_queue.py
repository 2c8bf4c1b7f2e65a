"""The queue of requests that wait to be sent: its order, expiry, and which requests may be sent now."""

import itertools
from bisect import insort
from collections.abc import Iterator

from orchidhatch.gateway.attempt_sender import AttemptSender
from orchidhatch.gateway.constants import TICK_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.reasons import RejectionReason
from orchidhatch.gateway.request_completion import RequestCompletion
from orchidhatch.gateway.times import NEVER

QueueEntry = tuple[float, int, InFlightRequest]
"""Negated priority weight, sequence number in the queue, request: sorts in the order of sending."""

MIN_LATENCIES_LEFT_ON_ARRIVAL = 0.5
"""A request that arrives with fewer mean latencies left to its latency objective is rejected."""

MIN_LATENCIES_LEFT_IN_QUEUE = 2.0
"""The same for a queued request; higher, or all requests that wait long would be sent just too late."""

MAX_OBJECTIVE_SHARE_LEFT = 1 / 2
"""No request is rejected while more than this share of its latency objective is left."""

MIN_TICKS_TO_DEADLINE = 2
"""A request with less time to its deadline is ended, while the answer can still reach its client."""


class RequestQueue:
    """Queued requests, highest priority weight first, then by arrival (DESIGN).

    Each waits for admission under overload control's limit, for its customer's concurrency slots and rate
    ceiling, and for a server; a request that was sent before waits for a server only.
    """

    def __init__(
        self,
        context: DecisionContext,
        overload: OverloadController,
        balancer: LoadBalancer,
        quotas: QuotaLeaders,
        sender: AttemptSender,
        completion: RequestCompletion,
    ) -> None:
        self.context = context
        self.overload = overload
        self.balancer = balancer
        self.quotas = quotas
        self.sender = sender
        self.completion = completion
        self.entries: list[QueueEntry] = []
        self.sequence_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[InFlightRequest]:
        """Iterate over the queued requests in the order of sending."""
        return (request for _, _, request in self.entries)

    def has_unsent(self, customer: Customer) -> bool:
        """Return whether a request of the customer that was never sent is queued."""
        return any(request.customer is customer and not request.servers for request in self)

    def enqueue(self, request: InFlightRequest) -> None:
        """Add a request behind those of the same priority."""
        request.waiting_since_us = self.context.now_us
        request.decide_at_us = NEVER
        insort(self.entries, (-request.priority, next(self.sequence_numbers), request))

    def has_admission_capacity(self) -> bool:
        """Return whether overload control admits one more first attempt now."""
        return self.overload.may_admit(self.balancer.warm_capacity)

    def dequeue(self) -> None:
        """Send the requests that may be sent now, in order."""
        queued = self.entries
        if not queued or not self.has_admission_capacity():
            return
        self.entries = []
        is_blocked = False
        for entry in queued:
            request = entry[2]
            if request.is_closed:
                continue
            if self.must_wait(request, is_blocked):
                self.entries.append(entry)
                continue
            server = self.balancer.choose(request)
            if server is None:
                self.entries.append(entry)
                is_blocked = True  # No other first attempt finds a server either.
                continue
            self.sender.send(request, server)
            is_blocked = is_blocked or not self.has_admission_capacity()

    def must_wait(self, request: InFlightRequest, is_blocked: bool) -> bool:
        """Return whether the request waits for more than a server; `is_blocked` holds back first attempts."""
        if request.servers:
            return False
        return is_blocked or self.quotas.needs_slot(request.customer, request.units)

    # --- expiry ---

    def expire(self) -> None:
        """End the queued requests that have waited too long, and drop those that have already ended."""
        self.entries = [
            entry for entry in self.entries if not self.end_if_late(entry[2], MIN_LATENCIES_LEFT_IN_QUEUE)
        ]

    def end_if_late(self, request: InFlightRequest, min_latencies_left: float) -> bool:
        """End the request if its objective or deadline is out of reach; return whether it has ended.

        The objective matters only if the client may retry the request (`InFlightRequest.may_reject`).
        """
        if request.is_closed:
            return True
        now_us = self.context.now_us
        mean_latency_us = self.balancer.mean_latencies_us[request.class_index]
        needed_us = min(
            min_latencies_left * mean_latency_us, request.rule.latency_objective_us * MAX_OBJECTIVE_SHARE_LEFT
        )
        misses_objective = request.may_reject() and now_us + needed_us >= request.objective_due_us
        misses_deadline = now_us + MIN_TICKS_TO_DEADLINE * TICK_US >= request.deadline_us
        if not misses_objective and not misses_deadline:
            return False
        self.completion.end_unserved(request, self.expiry_reason(request))
        return True

    def expiry_reason(self, request: InFlightRequest) -> RejectionReason:
        """Return what the request was waiting for when it expired."""
        now_us = self.context.now_us
        if request.servers:
            return RejectionReason.SERVER_FOR_RETRY
        if now_us == request.arrived_us:
            return RejectionReason.ARRIVED_TOO_LATE
        if request.customer.lacks_slot(now_us):
            return RejectionReason.CONCURRENCY_SLOT
        if self.quotas.at_ceiling(request.customer, request.units):
            return RejectionReason.RATE_CEILING
        return self.limit_reason()

    def limit_reason(self) -> RejectionReason:
        """Return what a request waits for if neither concurrency slot nor rate ceiling holds it back."""
        if self.has_admission_capacity():
            return RejectionReason.SERVER
        return RejectionReason.ADMISSION_LIMIT
