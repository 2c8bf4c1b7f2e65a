"""The leader side of quotas: counts and answers the reports of members and grants concurrency slots."""

from collections.abc import Callable
from dataclasses import replace

from orchidhatch.gateway.counted_grants import CountedGrant
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import NO_GRANT_NUMBER, GossipMessage, MessageKind, SlotGrant
from orchidhatch.gateway.member_slot import SLOT_ONLY_UNITS
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import CustomerKey

HasUnsentRequest = Callable[[Customer], bool]


class QuotaLeader:
    """Counts, answers and grants for the customers that this gateway leads.

    `has_unsent_request` returns whether a queued request of a customer has not been sent yet, so that this
    gateway also needs a concurrency slot.
    """

    def __init__(
        self, context: DecisionContext, outbox: PeerOutbox, has_unsent_request: HasUnsentRequest
    ) -> None:
        self.context = context
        self.outbox = outbox
        self.has_unsent_request = has_unsent_request
        # Customers with slot requests from other gateways in the queue.
        self.slot_queues: dict[CustomerKey, Customer] = {}

    def answer(
        self,
        peer: int,
        customer: Customer,
        requested: float = 0.0,
        slot_grant: SlotGrant = SlotGrant.NONE,
    ) -> None:
        """Send a gateway the demand and level of the whole set.

        `requested` repeats the units of the grant request that is answered; 0 if there is none.
        """
        self.send(peer, customer, self.build_answer(peer, customer, requested, slot_grant))

    def send_slot_grant(self, peer: int, customer: Customer, units: float, number: int) -> None:
        """Grant a gateway a slot and units of the rate ceiling for its slot request `number`."""
        answer = self.build_answer(peer, customer, -units, SlotGrant.GRANTED)
        self.send(peer, customer, replace(answer, grant_number=number))

    def build_answer(
        self,
        peer: int,
        customer: Customer,
        requested: float,
        slot_grant: SlotGrant = SlotGrant.NONE,
    ) -> GossipMessage:
        """Return an answer with the state of the whole set as known here."""
        return GossipMessage(
            *customer.key,
            is_answer=True,
            demand=customer.demand.units,
            spent=customer.quota.unreported_spend,
            requested=requested,
            level=customer.quota.set_level,
            in_flight=customer.slots_in_use(self.context.now_us, excluded_peer=peer),
            slot_grant=slot_grant,
        )

    def send(self, peer: int, customer: Customer, answer: GossipMessage) -> None:
        """Queue an answer for a gateway, and mark the customer's spending here as reported."""
        if peer != self.context.settings.gateway_index:
            self.outbox.add(peer, answer)
        customer.clear_unreported()

    def on_report(self, customer: Customer, message: GossipMessage, sender: int, newly_spent: float) -> None:
        """Count the demand and new spending that a member reports, and answer its request."""
        now_us = self.context.now_us
        customer.demand.add_reported(message.demand)
        customer.spend(newly_spent)
        has_ended = message.kind is MessageKind.REPORT
        customer.leader_slots.on_report(sender, message.in_flight, has_ended, now_us)
        if customer.shares_slots() and not self.context.has_handover_peer:
            customer.ceiling.receive(sender, now_us)
        self.answer_report(customer, message, sender)

    def answer_report(self, customer: Customer, message: GossipMessage, sender: int) -> None:
        """Answer a grant request, or handle a slot request and reported spending.

        Reported spending is answered while the level is below half of the burst.
        """
        if message.kind is MessageKind.GRANT_REQUEST:
            self.answer_grant_request(customer, message, sender)
            return
        if customer.shares_slots() and message.kind is MessageKind.SLOT_REQUEST:
            self.answer_slot_request(customer, message, sender)
        if message.spent > 0 and customer.quota.set_level < customer.plan.burst / 2:
            self.answer(sender, customer)

    def answer_grant_request(self, customer: Customer, message: GossipMessage, sender: int) -> None:
        """Decide a grant request, answer it, and count its units as spent if they are granted."""
        if message.grant_number == NO_GRANT_NUMBER:
            counted = self.answer_unnumbered(customer, message, sender)
            customer.spend(counted)
        else:
            counted = self.answer_numbered(customer, message, sender)
            customer.count_grant(counted)
        # A request that is granted units needs a slot immediately.
        if customer.shares_slots() and counted > 0:
            self.queue_slot_request(customer, message, sender, NO_GRANT_NUMBER)

    def answer_unnumbered(self, customer: Customer, message: GossipMessage, sender: int) -> float:
        """Answer a gateway that draws at random itself, and return the expected units to count."""
        counted = message.requested * customer.chance(message.requested)
        self.answer(sender, customer, message.requested)
        return counted

    def answer_numbered(self, customer: Customer, message: GossipMessage, sender: int) -> float:
        """Answer with the units counted for the request number, and return those not counted before.

        The level in the answer is from before they are counted, because the member subtracts what it spends.
        """
        now_us = self.context.now_us
        number = message.grant_number
        requested = message.requested
        earlier = customer.counted_grants.find(sender, number, requested, now_us)
        if earlier is not None:
            self.send_grant_answer(
                customer, message, sender, earlier.counted, already_counted=earlier.counted
            )
            return 0.0
        is_granted = self.context.random.random() < customer.chance(requested)
        counted = requested if is_granted else 0.0
        customer.counted_grants.add(sender, number, CountedGrant(requested, counted, now_us))
        self.send_grant_answer(customer, message, sender, counted)
        return counted

    def send_grant_answer(
        self,
        customer: Customer,
        message: GossipMessage,
        sender: int,
        counted: float,
        already_counted: float = 0.0,
    ) -> None:
        """Answer a numbered grant request.

        `already_counted` is added to the level: the units that were subtracted for an earlier copy of the
        request.
        """
        answer = replace(
            self.build_answer(sender, customer, message.requested),
            spent=counted,
            level=customer.quota.set_level + already_counted,
            grant_number=message.grant_number,
        )
        self.send(sender, customer, answer)

    def answer_slot_request(self, customer: Customer, message: GossipMessage, sender: int) -> None:
        """Queue a slot request, or repeat the answer if it has been granted already."""
        granted = customer.leader_slots.repeat_grant(sender, message.grant_number, self.context.now_us)
        if granted is None:
            self.queue_slot_request(customer, message, sender, message.grant_number)
        else:
            self.send_slot_grant(sender, customer, granted.units, granted.number)

    def queue_slot_request(
        self, customer: Customer, message: GossipMessage, sender: int, number: int
    ) -> None:
        """Queue a slot request, with the units that it names if the plan has a rate ceiling."""
        units = message.requested_units if customer.has_ceiling() else SLOT_ONLY_UNITS
        customer.leader_slots.enqueue(sender, units, self.context.now_us, number)

    def grant_slots(self, customer: Customer) -> None:
        """Grant free slots to the members that have waited longest.

        Requests queued at this gateway count as one more member: a random draw decides whether a free slot
        is left to them.
        """
        now_us = self.context.now_us
        slots = customer.leader_slots
        peer = customer.next_slot_peer(now_us)
        while peer is not None:
            if self.has_unsent_request(customer) and self.is_slot_for_own_requests(len(slots.queue)):
                break
            number = slots.queue[peer].number
            units = customer.grant_slot(peer, now_us)
            self.send_slot_grant(peer, customer, units, number)
            peer = customer.next_slot_peer(now_us)
        if slots.queue:
            self.slot_queues[customer.key] = customer
        else:
            self.slot_queues.pop(customer.key, None)

    def is_slot_for_own_requests(self, waiting_peers: int) -> bool:
        """Return whether a free slot is left to local requests, by a random draw among all that wait."""
        return self.context.random.random() * (1 + waiting_peers) < 1

    def answer_if_queued(self, peer: int, customer: Customer) -> None:
        """Tell a gateway that its slot request is queued, if it is."""
        if peer in customer.leader_slots.queue:
            self.answer(peer, customer, slot_grant=SlotGrant.QUEUED)

    def grant_all_slots(self) -> None:
        """Grant what expired grants and reports have freed, and what has refilled of the rate ceilings."""
        for customer in list(self.slot_queues.values()):
            self.grant_slots(customer)
