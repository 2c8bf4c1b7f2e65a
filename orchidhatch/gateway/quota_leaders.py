"""The customers at this gateway; messages about them go to the leader's side or the member's."""

from collections.abc import Callable

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
"""After how long without a request a customer is forgotten; its burst has refilled by then."""


class QuotaLeaders:
    """Every customer has one gateway of its set as its leader, which adds up what all request and spend.

    `queues_unsent` says whether a request of a customer is queued here, never sent, and so needs a slot too.
    """

    def __init__(
        self, context: DecisionContext, outbox: PeerOutbox, has_unsent_request: HasUnsentRequest
    ) -> None:
        self.context = context
        self.leader = QuotaLeader(context, outbox, has_unsent_request)
        self.member = QuotaMember(context, outbox, self.is_known)
        # In the order in which they were last seen.
        self.customers: dict[CustomerKey, Customer] = {}

    @property
    def slot_queues(self) -> dict[CustomerKey, Customer]:
        """The customers led here that other gateways wait for a slot of."""
        return self.leader.slot_queues

    # --- customers ---

    def customer(self, key: CustomerKey) -> Customer:
        """The customer, as of now; a new one begins with what the time since the process's start allows."""
        customer = self.customers.pop(key, None)
        if customer is None:
            customer = self.create_customer(key)
        self.customers[key] = customer
        return customer.refill(self.context.now_us)

    def create_customer(self, key: CustomerKey) -> Customer:
        """A customer that is seen for the first time, or was forgotten."""
        now_us = self.context.now_us
        settings = self.context.settings
        customer = Customer(settings.plans[key.plan_index], key, settings, now_us)
        customer.ceiling.refill_idle(min(IDLE_CUSTOMER_TTL_US, now_us - self.context.started_us))
        return customer

    def is_in_set(self, key: CustomerKey) -> bool:
        """Whether this gateway is one of the customer's set and its plan exists."""
        settings = self.context.settings
        position = (settings.gateway_index - key.set_first) % settings.gateway_count
        return 0 <= key.plan_index < len(settings.plans) and position < key.set_size

    def change_plans(self, new_indices: tuple[int, ...]) -> None:
        """Put each customer under its plan of the new settings: `moved` has the new index by the old one.

        Customers whose plan is no more, with an index below zero, are forgotten.
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
        """Whether the customer was not forgotten since."""
        return self.customers.get(customer.key) is customer

    def rekey_customers(self, customers: dict[CustomerKey, Customer]) -> None:
        """Put a table under the new keys of its customers, without those that were forgotten."""
        remaining = [customer for customer in customers.values() if customer.key in self.customers]
        customers.clear()
        for customer in remaining:
            customers[customer.key] = customer

    def forget_idle(self) -> None:
        """Forget the customers that were not seen for IDLE_CUSTOMER_TTL_US."""
        oldest_us = self.context.now_us - IDLE_CUSTOMER_TTL_US
        while self.customers:
            key, customer = next(iter(self.customers.items()))
            if customer.refilled_us >= oldest_us:
                return
            del self.customers[key]

    # --- admission under the quota ---

    def spend(self, customer: Customer, units: float) -> None:
        """Take the units of a request here; the handover peer is told of it while the plan exists."""
        customer.take(units)
        self.member.handover.share_spend(customer, units)

    def chance(self, customer: Customer, units: float) -> float | None:
        """The probability of admission by what is known here; None where a grant is to be requested."""
        now_us = self.context.now_us
        is_leader = customer.is_leader
        has_fresh_answer = customer.has_fresh_answer(now_us)
        # The demand of a fresh answer is the whole set's, which this request is part of.
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
        """Whether a request is one that the leader cannot receive at the customer's demand, at random."""
        requests = customer.max_requests_per_s * DEMAND_DECAY_US / S
        return self.context.random.random() * customer.demand.units > requests

    def report_demand(self, customer: Customer) -> None:
        """Send the customer's leader what was requested and spent here since the last message."""
        self.member.report(customer)

    def request_grant(self, customer: Customer, units: float) -> GrantRequest:
        """Ask the customer's leader whether a request of so many units may be admitted."""
        return self.member.request_grant(customer, units)

    def repeat_grant_request(self, customer: Customer, grant: GrantRequest) -> None:
        """Ask once more, as messages may be lost."""
        self.member.send_grant_request(customer, grant)

    def presume_counted(self, customer: Customer, grant: GrantRequest, spent: float) -> None:
        """A request was decided without the leader's answer, and spends so many units."""
        self.member.presume_counted(customer, grant, spent)

    def return_soon(self, customer: Customer) -> None:
        """Give the leader back what the customer did not spend, with the next message or soon."""
        self.member.return_soon(customer)

    # --- messages ---

    def on_messages(
        self,
        sender: int,
        messages: tuple[GossipMessage, ...],
        on_grant_answer: Callable[[GrantAnswer | None], None],
    ) -> None:
        """Take the messages of a gateway; `answered` gets the answer that a request for a grant waits for.

        Slots are granted once all messages are read, as a report of attempts may follow a request for a slot.
        """
        reported: dict[CustomerKey, Customer] = {}
        # A slot comes before the answer that admits the request that may use it.
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
        """Begin the count of a customer that is new here at a member's level before what it has spent newly.

        A message has the level after that, which is counted with the message.
        """
        customer.quota.set_level = min(customer.quota.set_level, level_before)

    # --- concurrency slots and the rate ceiling ---

    def needs_slot(self, customer: Customer, units: float) -> bool:
        """Whether a first attempt waits for the open cap or the rate ceiling; requests a slot if needed."""
        now_us = self.context.now_us
        if customer.needs_leader_slots():
            if customer.member_slot.is_request_due(now_us):
                ceiling_units = units if self.at_ceiling(customer, units) else 0.0
                self.member.request_slot(customer, ceiling_units)
            if customer.waits_for_leader() and not customer.member_slot.is_usable(now_us):
                return True
        return self.at_ceiling(customer, units) or customer.lacks_slot(now_us)

    def at_ceiling(self, customer: Customer, units: float) -> bool:
        """Whether a first attempt has to wait for the rate ceiling.

        It waits too while an unknown process may use up this gateway's share.
        """
        if not customer.has_ceiling():
            return False
        if self.context.peer_is_unknown:
            return True
        return customer.refill(self.context.now_us).lacks_ceiling_units(units)

    def use_slot(self, customer: Customer) -> None:
        """A first attempt of the customer is sent."""
        self.member.use_slot(customer)

    def renew(self) -> None:
        """Report attempts again that outlast the last report, give back slots and units, expire grants."""
        self.member.renew(self.report_in_flight)
        self.member.send_due_reports()
        self.member.expire_presumed()

    def dues(self) -> list[float]:
        """When `renew` is to be called."""
        return self.member.dues()

    def expire_presumed_grants(self) -> None:
        """Wait no longer for answers to requests that were decided on without one."""
        self.member.expire_all_presumed()

    def report_in_flight(self, customer: Customer) -> None:
        """An attempt of the customer has ended: notify its leader, or grant free slots here."""
        if customer.needs_leader_slots():
            self.member.report(customer)
        elif customer.shares_slots():
            self.leader.grant_slots(customer)

    def grant_all_slots(self) -> None:
        """Grant the slots that time alone has freed."""
        self.leader.grant_all_slots()
