"""The customers known to this gateway, with gossip messages dispatched to the leader or the member side."""

from collections.abc import Callable
from itertools import islice

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.demand_estimate import DEMAND_DECAY_US
from orchidhatch.gateway.gossip import GossipMessage, MessageKind
from orchidhatch.gateway.grant_requests import GrantRequest
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leader import HasUnsentRequest, QuotaLeader
from orchidhatch.gateway.quota_member import GrantAnswer, QuotaMember
from orchidhatch.gateway.snapshots import CustomerKey
from orchidhatch.gateway.times import S

IDLE_CUSTOMER_TTL_US = 60 * S
"""The idle time after which a customer is forgotten; by then its token bucket is full again."""

EVICTION_TRIES = 4
"""Customers that are looked at to make room for a new one."""

FULL_TABLE_FACTOR = 2
"""No further customer is kept beyond this multiple of the limit, while none can be forgotten."""


class QuotaLeaders:
    """The customers known to this gateway, and its side of their quotas as leader or member.

    Each customer has one gateway of its set as its quota leader, which sums up what the whole set requests
    and spends.

    `has_unsent_request` returns whether a queued request of a customer has not been sent yet, so that this
    gateway also needs a concurrency slot.
    """

    def __init__(
        self, context: DecisionContext, outbox: PeerOutbox, has_unsent_request: HasUnsentRequest
    ) -> None:
        self.context = context
        self.leader = QuotaLeader(context, outbox, has_unsent_request)
        self.member = QuotaMember(context, outbox, self.is_known)
        # Ordered by last use, least recent first.
        self.customers: dict[CustomerKey, Customer] = {}

    @property
    def slot_queues(self) -> dict[CustomerKey, Customer]:
        """The customers led here with slot requests from other gateways in the queue."""
        return self.leader.slot_queues

    # --- customers ---

    def customer(self, key: CustomerKey) -> Customer:
        """Return the customer, refilled up to now, and create it if it is not known.

        A new customer starts with the units that have refilled since the process started. It is not kept if
        the table is full: see `is_known`.
        """
        customer = self.customers.pop(key, None)
        if customer is None:
            customer = self.create_customer(key)
            if not self.make_room():
                return customer
        self.customers[key] = customer
        return customer.refill(self.context.now_us)

    def make_room(self) -> bool:
        """Return whether one more customer may be kept, after forgetting one if the table is full.

        Only a customer that is as good as new is forgotten before its time, so that no quota is given twice.
        Those that are looked at in vain are looked at again last.
        """
        max_customers = self.context.settings.max_customers
        if not 0 < max_customers <= len(self.customers):
            return True
        now_us = self.context.now_us
        for key in list(islice(self.customers, EVICTION_TRIES)):
            customer = self.customers.pop(key).refill(now_us)
            if customer.is_replenished():
                return True
            self.customers[key] = customer
        return len(self.customers) < FULL_TABLE_FACTOR * max_customers

    def create_customer(self, key: CustomerKey) -> Customer:
        """Create a customer that is seen for the first time or has been forgotten."""
        now_us = self.context.now_us
        settings = self.context.settings
        customer = Customer(settings.plans[key.plan_index], key, settings, now_us)
        customer.ceiling.refill_idle(min(IDLE_CUSTOMER_TTL_US, now_us - self.context.started_us))
        return customer

    def is_in_set(self, key: CustomerKey) -> bool:
        """Return whether this gateway belongs to the customer's set and the customer's plan exists."""
        settings = self.context.settings
        position = (settings.gateway_index - key.set_first) % settings.gateway_count
        return 0 <= key.plan_index < len(settings.plans) and position < key.set_size

    def change_plans(self, new_indices: tuple[int, ...]) -> None:
        """Move each customer to its plan in the new settings.

        `new_indices` maps each old plan index to the new one. Customers whose new index is negative are
        forgotten: their plan no longer exists.
        """
        plans = self.context.settings.plans
        customers = self.customers.values()
        self.customers = {}
        for customer in customers:
            plan_index = new_indices[customer.key.plan_index]
            if plan_index >= 0:
                customer.change_plan(plans[plan_index], plan_index, self.context.now_us)
                self.customers[customer.key] = customer
        self.rekey_customers(self.leader.slot_queues)
        self.rekey_customers(self.member.renewals)
        self.member.forget_customers()

    def is_known(self, customer: Customer) -> bool:
        """Return whether the customer is still tracked and has not been forgotten."""
        return self.customers.get(customer.key) is customer

    def rekey_customers(self, customers: dict[CustomerKey, Customer]) -> None:
        """Rebuild a table under the current keys of its customers and drop forgotten customers."""
        remaining = [customer for customer in customers.values() if customer.key in self.customers]
        customers.clear()
        for customer in remaining:
            customers[customer.key] = customer

    def forget_idle(self) -> None:
        """Forget the customers that have not been used for IDLE_CUSTOMER_TTL_US."""
        oldest_us = self.context.now_us - IDLE_CUSTOMER_TTL_US
        while self.customers:
            key, customer = next(iter(self.customers.items()))
            if customer.refilled_us >= oldest_us:
                return
            del self.customers[key]

    # --- admission under the quota ---

    def spend(self, customer: Customer, units: float) -> None:
        """Spend the units of a request here, and notify the handover peer if the customer is still known."""
        customer.take(units)
        self.member.handover.share_spend(customer, units)

    def chance(self, customer: Customer, units: float) -> float | None:
        """Return the admission probability from local knowledge, or None if a grant must be requested."""
        now_us = self.context.now_us
        is_leader = customer.is_leader
        has_fresh_answer = customer.has_fresh_answer(now_us)
        # The demand in a fresh answer covers the whole set and thus includes this request.
        customer.demand.add_local(units, is_included=has_fresh_answer and not is_leader)
        uses_answer = has_fresh_answer and self.exceeds_request_rate(customer)
        if customer.has_local_share(units):
            return 1.0
        needs_grant = not is_leader and customer.quota.is_too_large_for_share(units)
        if needs_grant and customer.cannot_have_refilled(units, now_us):
            return 0.0
        is_decided_here = is_leader or uses_answer or not customer.plan.rate
        may_request = customer.grant_requests.has_free_number(now_us) and not customer.backoff.is_paused(
            now_us
        )
        if is_decided_here or not may_request:
            return customer.chance(units, known=is_leader)
        return None

    def exceeds_request_rate(self, customer: Customer) -> bool:
        """Return whether, by a random draw, this request is not forwarded to the leader.

        The probability grows with the amount by which the customer's demand exceeds the request rate of the
        leader.
        """
        requests = customer.max_requests_per_s * DEMAND_DECAY_US / S
        return self.context.random.random() * customer.demand.units > requests

    def report_demand(self, customer: Customer) -> None:
        """Report the demand and spending here since the last message to the customer's leader."""
        self.member.report(customer)

    def request_grant(self, customer: Customer, units: float) -> GrantRequest:
        """Request a grant of units for one request from the customer's leader."""
        return self.member.request_grant(customer, units)

    def repeat_grant_request(self, customer: Customer, grant: GrantRequest) -> None:
        """Send a grant request again, as the request or its answer may have been lost."""
        self.member.send_grant_request(customer, grant)

    def presume_counted(self, customer: Customer, grant: GrantRequest, spent: float) -> None:
        """Record that a request was decided without the leader's answer and spends `spent` units.

        The leader is presumed to count those units until it answers or the request expires.
        """
        self.member.presume_counted(customer, grant, spent)

    def return_soon(self, customer: Customer) -> None:
        """Schedule a report of the customer's unspent units, unless an earlier message returns them."""
        self.member.return_soon(customer)

    # --- messages ---

    def on_messages(
        self,
        sender: int,
        messages: tuple[GossipMessage, ...],
        on_grant_answer: Callable[[GrantAnswer | None], None],
    ) -> None:
        """Process the messages of a gateway and call `on_grant_answer` for each answer from a leader.

        The callback gets the answer that a pending grant request waits for, else None. Slots are granted
        after all messages are processed, because a report of ended attempts may follow a slot request.
        """
        reported: dict[CustomerKey, Customer] = {}
        # Process granted slots before the answers that admit the requests which may use them.
        for message in sorted(messages, key=lambda message: not message.slot_grant):
            key = CustomerKey(message.customer, message.plan_index, message.set_first, message.set_size)
            if not self.is_in_set(key):
                continue
            is_new = key not in self.customers
            customer = self.customer(key)
            if message.kind is MessageKind.LEADER_ANSWER:
                if sender == customer.leader:
                    on_grant_answer(self.member.on_answer(customer, message))
            elif customer.is_leader:
                newly_spent = customer.received_totals.count(sender, message, self.context.now_us)
                if is_new and not message.is_level_clamped:
                    self.adopt_reported_level(customer, message.level + newly_spent)
                self.leader.on_report(customer, message, sender, newly_spent)
                reported[key] = customer
        for customer in reported.values():
            self.leader.grant_slots(customer)
            self.leader.answer_if_queued(sender, customer)

    def adopt_reported_level(self, customer: Customer, level_before: float) -> None:
        """Start a customer that is new here at the level of a member before its newly spent units.

        The level in a message already excludes those units; they are subtracted when the message is counted.
        """
        customer.quota.set_level = min(customer.quota.set_level, level_before)

    # --- concurrency slots and the rate ceiling ---

    def needs_slot(self, customer: Customer, units: float) -> bool:
        """Return whether a first attempt must wait for a slot or the rate ceiling; request a slot if due."""
        now_us = self.context.now_us
        if customer.needs_leader_slots():
            if customer.member_slot.is_request_due(now_us):
                ceiling_units = units if self.at_ceiling(customer, units) else 0.0
                self.member.request_slot(customer, ceiling_units)
            if customer.waits_for_leader() and not customer.member_slot.is_usable(now_us):
                return True
        return self.at_ceiling(customer, units) or customer.lacks_slot(now_us)

    def at_ceiling(self, customer: Customer, units: float) -> bool:
        """Return whether a first attempt must wait for the rate ceiling.

        It also waits while an unknown handover peer may be using this gateway's share.
        """
        if not customer.has_ceiling():
            return False
        if self.context.has_unknown_peer:
            return True
        return customer.refill(self.context.now_us).lacks_ceiling_units(units)

    def use_slot(self, customer: Customer) -> None:
        """Record that a first attempt of the customer was sent."""
        self.member.use_slot(customer)

    def renew(self) -> None:
        """Send due reports of attempts in flight and of returned units, and expire presumed grants."""
        self.member.renew(self.report_in_flight)
        self.member.send_due_reports()
        self.member.expire_presumed()

    def dues(self) -> list[float]:
        """Return the times at which `renew` is to be called."""
        return self.member.dues()

    def expire_presumed_grants(self) -> None:
        """Stop waiting for answers to grant requests that were decided without one."""
        self.member.expire_all_presumed()

    def report_in_flight(self, customer: Customer) -> None:
        """Handle the end of an attempt: report it to the customer's leader, or grant free slots here."""
        if customer.needs_leader_slots():
            self.member.report(customer)
        elif customer.shares_slots():
            self.leader.grant_slots(customer)

    def grant_all_slots(self) -> None:
        """Grant the slots and ceiling units that became available by the passage of time alone."""
        self.leader.grant_all_slots()
