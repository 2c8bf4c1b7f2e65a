"""The state of a request from its arrival until its last attempt has ended."""

from orchidhatch.gateway.events import Request
from orchidhatch.gateway.grant_requests import GrantRequest
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, RequestClass
from orchidhatch.gateway.times import NEVER


class InFlightRequest:
    """An arrived request, its attempts, and its times in microseconds; `rule` is its request class."""

    def __init__(self, request: Request, rule: RequestClass, customer: Customer, now_us: int) -> None:
        self.id = request.id
        self.class_index = request.class_index
        self.units = request.units
        self.size_bytes = request.size_bytes
        self.rule = rule
        self.customer = customer
        self.priority = rule.priority_weight * customer.plan.priority_factor * request.units
        self.arrived_us = now_us
        self.deadline_us = now_us + request.time_left_us
        sent_us = now_us - request.unread_us
        self.objective_due_us = min(sent_us + rule.latency_objective_us, self.deadline_us)
        # The servers of all attempts so far, in order.
        self.servers: list[ServerRecord] = []
        # When each attempt in flight was sent, by attempt number.
        self.attempts: dict[int, int] = {}
        # The first server that may have run the request, and when it was sent there.
        self.first_server: ServerRecord | None = None
        self.first_sent_us = 0
        # Attempts that are known not to have run.
        self.unrun_attempts = 0
        # No answer is due any more: it was sent, or the client has disconnected.
        self.is_closed = False
        self.is_in_quota = False
        self.is_streaming = False
        # A part of a streamed answer was received, and an attempt is to give the rest.
        self.is_resuming = False
        # When its current wait, for a quota grant or to be sent, began.
        self.waiting_since_us = now_us
        # When it is decided without a grant; NEVER unless it awaits one.
        self.decide_at_us = NEVER
        self.grant: GrantRequest | None = None

    def may_reject(self) -> bool:
        """Return whether a client's retry after a rejection cannot make the request run twice."""
        idempotency = self.rule.idempotency
        is_deduplicated = idempotency is Idempotency.KEYED and self.rule.dedup_scope is DeduplicationScope.ALL
        return self.first_server is None or idempotency is Idempotency.SAFE or is_deduplicated
