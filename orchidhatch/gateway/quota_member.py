"""The member side of quotas: sends reports and requests to quota leaders and processes their answers."""

from collections.abc import Callable
from typing import NamedTuple

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import MAX_AMOUNT_UNITS, NO_GRANT_NUMBER, GossipMessage, SlotGrant
from orchidhatch.gateway.grant_requests import PREDECESSOR_NUMBER_OFFSET, GrantRequest, GrantState
from orchidhatch.gateway.handover_spending import HandoverSpending
from orchidhatch.gateway.member_slot import slot_request_units
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import CustomerKey
from orchidhatch.gateway.times import NEVER

RETURN_DELAY_US = 80_000
"""How long units to return wait for another message that would report them anyway."""

MAX_EXCESS_REPORTS = 8
"""The maximum number of extra reports before one message; more would evict other messages from the outbox."""


class GrantAnswer(NamedTuple):
    """The answer to a pending grant request, with the resulting admission probability."""

    grant: GrantRequest
    chance: float


class PresumedGrant(NamedTuple):
    """A grant request that was decided without an answer, and its customer."""

    customer: Customer
    grant: GrantRequest


class QuotaMember:
    """Reports and requests to the quota leaders of the customers that other gateways lead.

    `is_known` returns whether a customer has not been forgotten. Nothing is sent about a forgotten one: if
    its plan no longer exists, its key may denote another plan.
    """

    def __init__(
        self, context: DecisionContext, outbox: PeerOutbox, is_known: Callable[[Customer], bool]
    ) -> None:
        self.context = context
        self.outbox = outbox
        self.is_known = is_known
        self.handover = HandoverSpending(context, is_known)
        # Customers with a granted slot, or with attempts in flight that are reported periodically.
        self.renewals: dict[CustomerKey, Customer] = {}
        # Grant requests that were decided without an answer and may still be answered.
        self.presumed: list[PresumedGrant] = []
        # When to report customers with units to return, or with units beyond the range of one message.
        self.report_due_us: dict[Customer, int] = {}

    def report(self, customer: Customer) -> None:
        """Report the demand and spending here since the last message to the leader."""
        self.send(customer, 0.0)

    def request_grant(self, customer: Customer, units: float) -> GrantRequest:
        """Open a grant request for `units`, and send it to the leader together with a report."""
        number_offset = PREDECESSOR_NUMBER_OFFSET if self.context.has_successor else 0
        grant = customer.grant_requests.open(units, self.context.now_us, number_offset)
        self.send_grant_request(customer, grant)
        return grant

    def send_grant_request(self, customer: Customer, grant: GrantRequest) -> None:
        """Send a grant request, for the first time or again."""
        grant.messages += 1
        self.send(customer, grant.units, grant.number)

    def presume_counted(self, customer: Customer, grant: GrantRequest, spent: float) -> None:
        """Record that a request was decided without an answer and spends `spent` units.

        A process with a successor expires it at once: the successor reports the units, and returns them if
        it receives the answer.
        """
        grant.on_decided_unanswered(spent)
        if self.context.has_successor:
            grant.on_expired()
            return
        self.presumed.append(PresumedGrant(customer, grant))

    def expire_presumed(self) -> None:
        """Drop the settled presumed grants, and settle those that were not answered in time."""
        now_us = self.context.now_us
        unsettled = [presumed for presumed in self.presumed if presumed.grant.state is GrantState.PRESUMED]
        self.presumed = [presumed for presumed in unsettled if presumed.grant.expires_us > now_us]
        for customer, grant in unsettled:
            if grant.expires_us <= now_us and grant.on_expired():
                self.report_correction(customer)

    def expire_all_presumed(self) -> None:
        """Expire all presumed grants, so that the successor reports their units as spent.

        If an answer arrives later, the successor returns the units.
        """
        for _, grant in self.presumed:
            if grant.state is GrantState.PRESUMED:
                grant.on_expired()
        self.presumed = []
        self.report_due_us = {}

    def forget_customers(self) -> None:
        """Drop the presumed grants and due reports of customers that are no longer known."""
        self.presumed = [presumed for presumed in self.presumed if self.is_known(presumed.customer)]
        self.report_due_us = {
            customer: due_us for customer, due_us in self.report_due_us.items() if self.is_known(customer)
        }

    def return_soon(self, customer: Customer) -> None:
        """Schedule a report if the customer has units to return."""
        if customer.quota.unreported_spend < 0:
            self.schedule_report(customer)

    def schedule_report(self, customer: Customer) -> None:
        """Schedule a report of units that no other message reports before, unless the leader grants slots."""
        if not customer.is_leader and not customer.shares_slots():
            self.report_due_us.setdefault(customer, self.context.now_us + RETURN_DELAY_US)

    def send_due_reports(self) -> None:
        """Send the due reports of units that no other message has reported."""
        now_us = self.context.now_us
        due = [customer for customer, due_us in self.report_due_us.items() if due_us <= now_us]
        for customer in due:
            del self.report_due_us[customer]
            if customer.quota.unreported_spend:
                self.report(customer)

    def report_correction(self, customer: Customer) -> None:
        """Report at once that the leader has counted too much or too little.

        Skipped if the leader grants slots, because it takes such a report as the end of an attempt.
        """
        if not customer.shares_slots():
            self.report(customer)

    def request_slot(self, customer: Customer, ceiling_units: float) -> None:
        """Request a slot, with units of the rate ceiling if the local share lacks them, and report."""
        customer.member_slot.on_request_sent(self.context.now_us)
        self.send(customer, -slot_request_units(ceiling_units), customer.member_slot.open_number)

    def send(self, customer: Customer, requested: float, grant_number: int = NO_GRANT_NUMBER) -> None:
        """Send the leader a message; the sign of `requested` selects its kind, see GossipMessage.

        Units beyond the range of one message go into reports before it, and spent units beyond those into
        later reports. Excess demand is not reported later, as it has decayed by then.
        """
        self.handover.share_correction(customer)
        if customer.is_leader or not self.is_known(customer):
            customer.clear_unreported()
            return
        self.report_excess(customer)
        self.add_message(customer, requested, grant_number)
        customer.demand.unreported_units = 0.0
        if customer.quota.unreported_spend:
            self.schedule_report(customer)

    def report_excess(self, customer: Customer) -> None:
        """Report units beyond the range of one message, unless the leader grants slots."""
        if customer.shares_slots():
            return
        for _ in range(MAX_EXCESS_REPORTS):
            if not customer.has_unreported_beyond(MAX_AMOUNT_UNITS):
                return
            self.add_message(customer)

    def add_message(
        self, customer: Customer, requested: float = 0.0, grant_number: int = NO_GRANT_NUMBER
    ) -> None:
        """Queue a message that reports as many of the unreported units as fit in it."""
        demand = customer.demand.take_unreported(MAX_AMOUNT_UNITS)
        spent = customer.quota.take_unreported(MAX_AMOUNT_UNITS)
        # If there is a successor, it continues the report stream.
        now_us = self.context.now_us
        total = None if self.context.has_successor else customer.report_stream.add(spent, now_us)
        message = GossipMessage(
            *customer.key,
            is_answer=False,
            demand=demand,
            spent=spent,
            requested=requested,
            level=customer.quota.set_level + customer.quota.unreported_spend,
            in_flight=customer.in_flight,
            grant_number=grant_number,
            spent_total=total,
        )
        if customer.shares_slots():
            customer.cede_ceiling(now_us)
        self.outbox.add(customer.leader, message)

    def on_answer(self, customer: Customer, message: GossipMessage) -> GrantAnswer | None:
        """Apply the leader's answer, and return it if a pending grant request waits for it."""
        now_us = self.context.now_us
        max_level = customer.max_level(now_us)
        customer.on_leader_answer(message.demand, message.level, now_us)
        if message.slot_grant is not SlotGrant.NONE:
            customer.on_slot_answer(message.slot_grant, -message.requested, message.grant_number, now_us)
        if message.slot_grant is SlotGrant.GRANTED:
            self.renewals[customer.key] = customer
        answer = self.on_grant_answer(customer, message) if message.is_grant_answer else None
        if message.is_level_clamped:
            customer.quota.raise_set_level(max_level)
        return answer

    def on_grant_answer(self, customer: Customer, message: GossipMessage) -> GrantAnswer | None:
        """Settle the answered grant request; if nothing waits for it any longer, give unspent units back."""
        is_numbered = message.grant_number != NO_GRANT_NUMBER
        counted = counted_units(customer, message)
        grant = self.find_answered_grant(customer, message)
        if grant is None:
            return None
        is_awaited = grant.state is GrantState.AWAITED
        returned = grant.on_answer(counted) if is_numbered else grant.on_unnumbered_answer(counted)
        if is_awaited:
            grant.spent = counted
        self.handover.share_answer(customer, grant)
        if is_awaited:
            return GrantAnswer(grant, counted / message.requested)
        customer.spend(grant.spent)  # The level in the answer is from before the request was counted.
        if returned:
            self.report_correction(customer)
        return None

    def find_answered_grant(self, customer: Customer, message: GossipMessage) -> GrantRequest | None:
        """Return the grant request that an answer is for, or None if it is not known."""
        requests = customer.grant_requests
        if message.grant_number == NO_GRANT_NUMBER:
            return requests.find_answered_unnumbered(message.requested)
        return requests.find_answered(message.grant_number, message.requested, self.context.now_us)

    def use_slot(self, customer: Customer) -> None:
        """Record that a first attempt of the customer was sent."""
        customer.use_slot(self.context.now_us)
        if customer.needs_leader_slots():
            self.renewals[customer.key] = customer

    def renew(self, report_in_flight: Callable[[Customer], None]) -> None:
        """Report attempts that outlast the last report, and return granted slots that were not used.

        `report_in_flight` sends the report of a customer.
        """
        now_us = self.context.now_us
        for key, customer in list(self.renewals.items()):
            slot = customer.member_slot
            if slot.is_unused(now_us):
                slot.give_back()
                report_in_flight(customer)
            elif customer.in_flight and slot.is_renewal_due(now_us):
                report_in_flight(customer)
            if not customer.in_flight and slot.granted_us == -NEVER:
                del self.renewals[key]

    def dues(self) -> list[float]:
        """Return when attempts must be reported again, slots or units returned, or grants expired."""
        slots_us = [customer.member_slot.due_us() for customer in self.renewals.values()]
        grants_us: list[float] = [grant.expires_us for _, grant in self.presumed]
        return [*slots_us, *grants_us, *self.report_due_us.values()]


def counted_units(customer: Customer, message: GossipMessage) -> float:
    """Return the units that the leader has counted with its answer to a grant request."""
    if message.grant_number == NO_GRANT_NUMBER:
        return message.requested * customer.chance(message.requested)
    return max(0.0, min(message.requested, message.spent))
