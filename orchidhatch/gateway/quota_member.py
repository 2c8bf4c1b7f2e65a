"""The member's side of quotas: reports and requests to a customer's quota leader, and its answers."""

from collections.abc import Callable

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.member_slot import SLOT_ONLY_UNITS
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import CustomerKey
from orchidhatch.gateway.times import NEVER


class QuotaMember:
    """What this gateway sends the quota leaders of the customers that other gateways lead."""

    def __init__(self, context: DecisionContext, outbox: PeerOutbox) -> None:
        self.context = context
        self.outbox = outbox
        # Customers that a slot is granted to, or whose attempts in flight are to be reported again.
        self.renewals: dict[CustomerKey, Customer] = {}

    def report(self, customer: Customer) -> None:
        """Send the leader what was requested and spent here since the last message."""
        self.send(customer, 0.0)

    def request_grant(self, customer: Customer, units: float) -> None:
        """Ask the leader whether a request of so many units may be admitted; reports too."""
        self.send(customer, units)

    def request_slot(self, customer: Customer, ceiling_units: float) -> None:
        """Request a slot, and units of the rate ceiling where the local share lacks them; reports too."""
        customer.member_slot.on_request_sent(self.context.now_us)
        self.send(customer, -max(SLOT_ONLY_UNITS, ceiling_units))

    def send(self, customer: Customer, requested: float) -> None:
        """Send the leader a message; `requested` has the sign of the message's kind, see GossipMessage."""
        if not customer.is_leader:
            message = GossipMessage(
                *customer.key,
                is_answer=False,
                demand=customer.demand.unreported_units,
                spent=customer.quota.unreported_spend,
                requested=requested,
                level=customer.quota.set_level,
                in_flight=customer.in_flight,
            )
            if customer.shares_slots():
                customer.cede_ceiling(self.context.now_us)
            self.outbox.add(customer.leader, message)
        customer.clear_unreported()

    def on_answer(self, customer: Customer, message: GossipMessage) -> None:
        """Take over what the leader has answered."""
        now_us = self.context.now_us
        customer.on_leader_answer(message.demand, message.level, now_us)
        if message.slot_grant is not SlotGrant.NONE:
            customer.on_slot_answer(message.slot_grant, -message.requested, now_us)
        if message.slot_grant is SlotGrant.GRANTED:
            self.renewals[customer.key] = customer

    def use_slot(self, customer: Customer) -> None:
        """A first attempt of the customer is sent."""
        customer.use_slot(self.context.now_us)
        if customer.needs_leader_slots():
            self.renewals[customer.key] = customer

    def renew(self, report_in_flight: Callable[[Customer], None]) -> None:
        """Report attempts that outlast the last report, and give back granted slots that nothing used.

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
        """When attempts in flight are to be reported again, or slots given back."""
        return [customer.member_slot.due_us() for customer in self.renewals.values()]
