"""Admission: entry checks, quota decisions, and the requests that await a grant of their quota."""

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
"""A grant is awaited for at most the latency objective divided by this."""

MIN_TICKS_AFTER_GRANT_WAIT = 4
"""Ticks between the end of the wait for a grant and the request's deadline."""


class Admission:
    """Decides which requests are admitted, by the quota rule (DESIGN, quota rule).

    A request is admitted while its customer's local share lasts, else with a probability, its chance; where
    this gateway cannot know that, it asks the customer's quota leader.
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

    def on_suspend(self, event: SuspendAdmission) -> None:
        """Suspend admission, or resume it."""
        self.is_suspended = event.is_suspended

    def on_request(self, event: Request) -> None:
        """Take a request and decide on it, unless it is rejected at entry or has too little time left."""
        customer = self.quotas.customer(customer_key(event))
        rule = self.context.settings.classes[event.class_index]
        request = InFlightRequest(event, rule, customer, self.context.now_us)
        reason = self.entry_rejection(event)
        self.requests.add(request)
        if reason is not None:
            self.completion.end_unserved(request, reason)
        elif not self.queue.end_if_late(request, MIN_LATENCIES_LEFT_ON_ARRIVAL):
            self.admit(request)

    def entry_rejection(self, event: Request) -> RejectionReason | None:
        """Why the request is not considered at all, if so."""
        if self.is_suspended:
            return RejectionReason.ADMISSION_SUSPENDED
        if event.customer in self.context.settings.banned_customers:
            return RejectionReason.CUSTOMER_BANNED
        if not self.requests.has_capacity_for(event.size_bytes):
            return RejectionReason.TOO_MANY_OPEN_REQUESTS
        return None

    def admit(self, request: InFlightRequest) -> None:
        """Decide by what is known here of the customer's quota, or ask its quota leader."""
        customer = request.customer
        had_local_share = customer.has_local_share(request.units)
        chance = self.quotas.chance(customer, request.units)
        if chance is None:
            self.request_grant(request)
            return
        source = QuotaDecisionSource.LOCAL_SHARE if had_local_share else self.known_source(customer)
        self.decide(request, chance, source)
        if had_local_share and not customer.shares_slots():  # A slot request would report the demand too.
            self.quotas.report_demand(customer)

    def known_source(self, customer: Customer) -> QuotaDecisionSource:
        """What is known of the quota of the customer's whole set of gateways."""
        if customer.is_leader:
            return QuotaDecisionSource.LEADER
        if customer.has_fresh_answer(self.context.now_us):
            return QuotaDecisionSource.EARLIER_ANSWER
        return QuotaDecisionSource.NO_ANSWER

    def decide(self, request: InFlightRequest, chance: float, source: QuotaDecisionSource) -> None:
        """Queue the request, or reject it as over quota.

        It is in quota with the probability `chance`; some plans' requests are queued if they are not.
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
        """Whether the plan gains by requests beyond its quota, and no overload limits admission."""
        plan = customer.plan
        return plan.over_quota_weight > plan.over_quota_cost and self.overload.admission_limit is None

    # --- requests that await a grant ---

    def request_grant(self, request: InFlightRequest) -> None:
        """Ask the customer's quota leader, and wait for its answer."""
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
        """A quota leader has answered: a request that waits for that, or none."""
        if answer is not None:
            self.decide_answered(answer)
        self.decide_unanswered()
        self.queue.dequeue()

    def decide_answered(self, answer: GrantAnswer) -> None:
        """Decide on the request that the answer is for, unless its client has gone meanwhile.

        The leader has counted the units; where the client has gone, they are given back.
        """
        request = self.take_awaiting(answer.grant)
        if request is None:
            return
        self.outbox.tally[GRANTS_ANSWERED] += 1
        if request.is_answered:
            answer.grant.spent = 0.0
            self.quotas.return_soon(request.customer)
        else:
            self.decide(request, answer.chance, QuotaDecisionSource.GRANT_ANSWER)

    def decide_unanswered(self) -> None:
        """Ask again for the requests whose wait is over, or decide on them without an answer."""
        for request in self.take_overdue():
            if not request.is_answered and self.may_request_again(request):
                self.request_grant(request)
                continue
            if not request.is_answered:
                self.decide_without_answer(request)
            if request.grant is not None:
                spent = request.units if request.is_in_quota else 0.0
                self.quotas.presume_counted(request.customer, request.grant, spent)

    def decide_without_answer(self, request: InFlightRequest) -> None:
        """Decide by what is known here, and leave the leader alone for a while."""
        chance = request.customer.chance(request.units, known=False)
        request.customer.back_off(self.context.now_us, self.context.random.random())
        self.decide(request, chance, QuotaDecisionSource.ANSWER_TIMEOUT)

    def may_request_again(self, request: InFlightRequest) -> bool:
        """Whether the quota leader may be asked once more, as messages may be lost."""
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

    def take_awaiting(self, grant: GrantRequest) -> InFlightRequest | None:
        """Remove the request that waits for the grant; None where it is no longer waiting."""
        for index, request in enumerate(self.awaiting_grant):
            if request.grant is grant:
                return self.awaiting_grant.pop(index)
        return None

    def take_overdue(self) -> list[InFlightRequest]:
        """Remove the requests whose wait is over."""
        now_us = self.context.now_us
        overdue = [request for request in self.awaiting_grant if request.decide_at_us <= now_us]
        self.awaiting_grant = [request for request in self.awaiting_grant if request.decide_at_us > now_us]
        return overdue


def customer_key(event: Request) -> CustomerKey:
    """The key of the request's customer under its plan and set of gateways."""
    checksum = zlib.crc32(event.customer.encode())
    return CustomerKey(checksum, event.plan_index, event.set_first, event.set_size)
