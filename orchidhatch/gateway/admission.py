"""Admission: entry checks, quota decisions, and the requests that await a quota grant."""

import zlib

from orchidhatch.gateway.constants import TICK_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import Request, SuspendAdmission
from orchidhatch.gateway.grant_requests import GrantRequest
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.leader_requests import (
    LEADER_REPLY_TIMEOUT_US,
    MAX_GRANT_REQUESTS,
    MAX_LEADER_REQUESTS,
)
from orchidhatch.gateway.metric_names import GRANTS_ANSWERED, GRANTS_REQUESTED
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.quota_member import GrantAnswer
from orchidhatch.gateway.reasons import QuotaDecisionSource, RejectionReason
from orchidhatch.gateway.request_completion import RequestCompletion
from orchidhatch.gateway.request_counters import RequestCounters
from orchidhatch.gateway.request_queue import MIN_LATENCIES_LEFT_ON_ARRIVAL, RequestQueue
from orchidhatch.gateway.request_registry import RequestRegistry
from orchidhatch.gateway.snapshots import CustomerKey

GRANT_WAIT_DIVISOR = 8
"""The wait for a grant lasts at most the latency objective divided by this."""

MIN_TICKS_AFTER_GRANT_WAIT = 4
"""Minimum number of ticks between the end of the wait for a grant and the request's deadline."""


class Admission:
    """Decides which requests are admitted under the quota rule (DESIGN, quota rule).

    A request that its customer's local share covers is admitted. Any other is admitted with a probability,
    its chance; if this gateway cannot compute it, it requests a grant from the customer's quota leader.
    """

    def __init__(
        self,
        context: DecisionContext,
        requests: RequestRegistry,
        overload: OverloadController,
        outbox: PeerOutbox,
        quotas: QuotaLeaders,
        queue: RequestQueue,
        completion: RequestCompletion,
        counters: RequestCounters,
    ) -> None:
        self.context = context
        self.requests = requests
        self.overload = overload
        self.outbox = outbox
        self.quotas = quotas
        self.queue = queue
        self.completion = completion
        self.counters = counters
        self.awaiting_grant: list[InFlightRequest] = []
        self.is_suspended = False

    def on_suspend_admission(self, event: SuspendAdmission) -> None:
        """Suspend or resume admission."""
        self.is_suspended = event.is_suspended

    def on_request(self, event: Request) -> None:
        """Register a request and decide on it, unless it is rejected at entry or has too little time left."""
        customer = self.quotas.customer(customer_key(event))
        rule = self.context.settings.classes[event.class_index]
        request = InFlightRequest(event, rule, customer, self.context.now_us)
        reason = self.entry_rejection_reason(event, customer)
        self.requests.add(request)
        if reason is not None:
            self.completion.end_unserved(request, reason)
        elif not self.queue.end_if_late(request, MIN_LATENCIES_LEFT_ON_ARRIVAL):
            self.admit(request)

    def entry_rejection_reason(self, event: Request, customer: Customer) -> RejectionReason | None:
        """Return why the request is rejected without a quota decision; None if it is not."""
        if self.is_suspended:
            return RejectionReason.ADMISSION_SUSPENDED
        if event.customer in self.context.settings.banned_customers:
            return RejectionReason.CUSTOMER_BANNED
        is_known = self.quotas.is_known(customer)
        if not is_known or not self.requests.has_capacity_for(event.size_bytes):
            return RejectionReason.TOO_MANY_OPEN_REQUESTS
        return None

    def admit(self, request: InFlightRequest) -> None:
        """Decide from the local state of the customer's quota, or request a grant from its quota leader."""
        customer = request.customer
        had_local_share = customer.has_local_share(request.units)
        chance = self.quotas.chance(customer, request.units)
        if chance is None:
            self.request_grant(request)
            return
        source = QuotaDecisionSource.LOCAL_SHARE if had_local_share else self.local_decision_source(customer)
        self.decide(request, chance, source)
        if had_local_share and not customer.shares_slots():  # A slot request reports the demand too.
            self.quotas.report_demand(customer)

    def local_decision_source(self, customer: Customer) -> QuotaDecisionSource:
        """Return the source of a decision that is made here without a new answer of the quota leader."""
        if customer.is_leader:
            return QuotaDecisionSource.LEADER
        if customer.has_fresh_answer(self.context.now_us):
            return QuotaDecisionSource.EARLIER_ANSWER
        return QuotaDecisionSource.NO_ANSWER

    def decide(self, request: InFlightRequest, chance: float, source: QuotaDecisionSource) -> None:
        """Queue the request, or reject it as over quota.

        It is in quota with probability `chance`. Requests of some plans are queued even if over quota.
        """
        customer = request.customer
        self.counters.count_decision(source, self.context.now_us - customer.last_answer_us)
        request.is_in_quota = self.context.random.random() < chance
        if request.is_in_quota:
            self.quotas.spend(customer, request.units)
        elif not self.may_exceed_quota(customer):
            self.completion.end_unserved(request, RejectionReason.OVER_QUOTA)
            return
        self.queue.enqueue(request)
        self.queue.dequeue()

    def may_exceed_quota(self, customer: Customer) -> bool:
        """Return whether requests over quota gain more than they cost, and no admission limit is in force."""
        plan = customer.plan
        return plan.over_quota_weight > plan.over_quota_cost and self.overload.admission_limit is None

    # --- requests that await a grant ---

    def request_grant(self, request: InFlightRequest) -> None:
        """Request a grant from the customer's quota leader, and wait for its answer."""
        wait_us = min(LEADER_REPLY_TIMEOUT_US, request.rule.latency_objective_us // GRANT_WAIT_DIVISOR)
        latest_us = request.deadline_us - MIN_TICKS_AFTER_GRANT_WAIT * TICK_US
        request.decide_at_us = min(self.context.now_us + wait_us, latest_us)
        self.outbox.tally[GRANTS_REQUESTED] += 1
        self.awaiting_grant.append(request)
        if request.grant is None:
            request.grant = self.quotas.request_grant(request.customer, request.units)
        else:
            self.quotas.repeat_grant_request(request.customer, request.grant)

    def on_grant_answer(self, answer: GrantAnswer | None) -> None:
        """Handle a quota leader's answer; None if it answers no grant request that is still open."""
        if answer is not None:
            self.decide_by_answer(answer)
        self.handle_overdue()
        self.queue.dequeue()

    def decide_by_answer(self, answer: GrantAnswer) -> None:
        """Decide on the request that the answer is for, unless its client has disconnected.

        The leader has counted the units, so they are returned if the client has disconnected.
        """
        request = self.pop_awaiting(answer.grant)
        if request is None:
            return
        self.outbox.tally[GRANTS_ANSWERED] += 1
        if request.is_closed:
            answer.grant.spent = 0.0
            self.quotas.return_soon(request.customer)
        else:
            self.decide(request, answer.chance, QuotaDecisionSource.GRANT_ANSWER)

    def handle_overdue(self) -> None:
        """Repeat the grant requests whose wait has expired, or decide without an answer."""
        for request in self.pop_overdue():
            if not request.is_closed and self.may_request_again(request):
                self.request_grant(request)
                continue
            if not request.is_closed:
                self.decide_without_answer(request)
            if request.grant is not None:
                spent = request.units if request.is_in_quota else 0.0
                self.quotas.presume_counted(request.customer, request.grant, spent)

    def decide_without_answer(self, request: InFlightRequest) -> None:
        """Decide from local state, and pause grant requests to the leader for a while."""
        chance = request.customer.chance(request.units, known=False)
        request.customer.back_off(self.context.now_us, self.context.random.random())
        self.decide(request, chance, QuotaDecisionSource.ANSWER_TIMEOUT)

    def may_request_again(self, request: InFlightRequest) -> bool:
        """Return whether the grant request may be sent once more, as messages may be lost."""
        is_silent = request.customer.backoff.is_leader_silent
        max_requests = MAX_LEADER_REQUESTS if is_silent else MAX_GRANT_REQUESTS
        if request.grant is None or request.grant.messages >= max_requests:
            return False
        if not self.quotas.is_known(request.customer):
            return False
        if not request.grant.may_repeat(self.context.now_us):
            return False
        wait_end_us = self.context.now_us + LEADER_REPLY_TIMEOUT_US + MIN_TICKS_AFTER_GRANT_WAIT * TICK_US
        return wait_end_us < request.deadline_us

    def pop_awaiting(self, grant: GrantRequest) -> InFlightRequest | None:
        """Remove and return the request that waits for the grant; None if it no longer waits."""
        for index, request in enumerate(self.awaiting_grant):
            if request.grant is grant:
                return self.awaiting_grant.pop(index)
        return None

    def pop_overdue(self) -> list[InFlightRequest]:
        """Remove and return the requests whose wait for a grant has expired."""
        now_us = self.context.now_us
        overdue = [request for request in self.awaiting_grant if request.decide_at_us <= now_us]
        self.awaiting_grant = [request for request in self.awaiting_grant if request.decide_at_us > now_us]
        return overdue


def customer_key(event: Request) -> CustomerKey:
    """Return the key of the request's customer, with its plan and gateway set."""
    checksum = zlib.crc32(event.customer.encode())
    return CustomerKey(checksum, event.plan_index, event.set_first, event.set_size)
