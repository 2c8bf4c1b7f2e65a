"""The leader's side of quotas: what members report is added up and answered, and slots are granted."""

from collections.abc import Callable

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import GossipMessage, MessageKind, SlotGrant
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import CustomerKey

QueuesUnsent = Callable[[Customer], bool]


class QuotaLeader:
    """What this gateway counts, answers and grants for the customers that it leads.

    `queues_unsent` says whether a request of a customer is queued here, never sent, and so needs a slot too.
    """

    def __init__(self, context: DecisionContext, outbox: PeerOutbox, queues_unsent: QueuesUnsent) -> None:
        self.context = context
        self.outbox = outbox
        self.queues_unsent = queues_unsent
        # Customers that other gateways wait for a slot of.
        self.slot_queues: dict[CustomerKey, Customer] = {}

    def answer(
        self,
        peer: int,
        customer: Customer,
        requested: float = 0.0,
        slot_grant: SlotGrant = SlotGrant.NONE,
    ) -> None:
        """Send a gateway the demand and the level of the whole set; `requested` says what is answered."""
        message = GossipMessage(
            *customer.key,
            is_answer=True,
            demand=customer.demand.units,
            spent=customer.quota.unreported_spend,
            requested=requested,
            level=customer.quota.set_level,
            in_flight=customer.slots_in_use(self.context.now_us, excluded_peer=peer),
            slot_grant=slot_grant,
        )
        if peer != self.context.settings.gateway_index:
            self.outbox.add(peer, message)
        customer.clear_unreported()

    def on_report(self, customer: Customer, message: GossipMessage, sender: int) -> None:
        """Add up what a member requested and spent, and answer what it requests."""
        now_us = self.context.now_us
        customer.demand.add_reported(message.demand)
        customer.spend(message.spent)
        has_ended = message.kind is MessageKind.REPORT
        customer.leader_slots.on_report(sender, message.in_flight, has_ended, now_us)
        if customer.shares_slots() and not self.context.has_handover_peer:
            customer.ceiling.receive(sender, now_us)
        self.answer_report(customer, message, sender)

    def answer_report(self, customer: Customer, message: GossipMessage, sender: int) -> None:
        """Answer a grant request, queue a slot request, and answer a report while the level is low.

        The units of a grant request count as spent by the chance of its admission.
        """
        requests_grant = message.kind is MessageKind.GRANT_REQUEST
        grant_chance = customer.chance(message.requested) if requests_grant else 0.0
        # A request that is granted units needs a slot at once.
        requests_slot = message.kind is MessageKind.SLOT_REQUEST or grant_chance > 0
        if customer.shares_slots() and requests_slot:
            customer.leader_slots.enqueue(sender, message.requested_units, self.context.now_us)
        is_level_low = message.spent > 0 and customer.quota.set_level < customer.plan.burst / 2
        if requests_grant or is_level_low:
            self.answer(sender, customer, message.requested if requests_grant else 0.0)
        customer.spend(message.requested * grant_chance)

    def grant_slots(self, customer: Customer) -> None:
        """Grant free slots to the members that wait longest.

        Requests that are queued here count as one more member: at random, a slot is left to them.
        """
        now_us = self.context.now_us
        slots = customer.leader_slots
        peer = customer.next_slot_peer(now_us)
        while peer is not None:
            if self.queues_unsent(customer) and self.is_turn_of_own_requests(len(slots.queue)):
                break
            requested = customer.grant_slot(peer, now_us)
            self.answer(peer, customer, -requested, SlotGrant.GRANTED)
            peer = customer.next_slot_peer(now_us)
        if slots.queue:
            self.slot_queues[customer.key] = customer
        else:
            self.slot_queues.pop(customer.key, None)

    def is_turn_of_own_requests(self, waiting_peers: int) -> bool:
        """Whether a free slot is left to the requests queued here, at random among all that wait."""
        return self.context.random.random() * (1 + waiting_peers) < 1

    def answer_if_queued(self, peer: int, customer: Customer) -> None:
        """Answer a gateway whose request for a slot is queued."""
        if peer in customer.leader_slots.queue:
            self.answer(peer, customer, slot_grant=SlotGrant.QUEUED)

    def grant_all_slots(self) -> None:
        """Grant what time alone has freed: slots by the end of grants and reports, units of the ceiling."""
        for customer in list(self.slot_queues.values()):
            self.grant_slots(customer)
