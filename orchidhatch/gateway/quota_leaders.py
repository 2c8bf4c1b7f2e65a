"""The customers here, and what goes between them and their leaders: quotas, slots, ceilings."""

from collections.abc import Callable

from orchidhatch.gateway import quota
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US, MAX_LEADER_REQUESTS
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import CustomerKey, HandoverSpend
from orchidhatch.gateway.times import NEVER, S

QueuesUnsent = Callable[[Customer], bool]
FORGET_US = 60 * S  # a customer that was quiet for so long has its burst back


class QuotaLeaders:
    """Every customer has one gateway of its set as its leader, which adds up what all request and spend.

    `queues_unsent` says whether a request of a customer is queued here, never sent, and so needs a slot too.
    """

    def __init__(self, context: DecisionContext, outbox: PeerOutbox, queues_unsent: QueuesUnsent) -> None:
        self.context, self.outbox, self.queues_unsent = context, outbox, queues_unsent
        self.customers: dict[CustomerKey, Customer] = {}  # the one seen last at the end
        self.slot_queues: dict[CustomerKey, Customer] = {}  # those led here that peers wait for a slot of
        self.renewals: dict[CustomerKey, Customer] = {}  # those at home elsewhere that a place is held for

    def customer(self, key: CustomerKey) -> Customer:
        """The customer, as of now; one that is not known begins with what the time since the start allows."""
        known = self.customers.pop(key, None)
        if known is None:
            settings, now = self.context.settings, self.context.now_us
            known = Customer(settings.plans[key.plan_index], key, settings, now)
            known.has_idled(min(FORGET_US, now - self.context.started_us))
        self.customers[key] = known
        return known.refill(self.context.now_us)

    def is_in_set(self, key: CustomerKey) -> bool:
        set_ = self.context.settings
        in_set = (set_.gateway_index - key.set_first) % set_.gateway_count < key.set_size
        return 0 <= key.plan_index < len(set_.plans) and in_set

    def change_plans(self, moved: tuple[int, ...]) -> None:
        """Other plans hold: each customer goes on under its own, by its number now; no plan, no customer."""
        known, self.customers = self.customers.values(), {}
        for customer in [one for one in known if moved[one.key.plan_index] >= 0]:
            index = moved[customer.key.plan_index]
            customer.change_plan(self.context.settings.plans[index], index, self.context.now_us)
            self.customers[customer.key] = customer
        for kept in (self.slot_queues, self.renewals):
            waiting = {one.key: one for one in kept.values() if one.key in self.customers}
            kept.clear()
            kept.update(waiting)

    def forget_idle(self) -> None:
        last_us = self.context.now_us - FORGET_US
        while self.customers and next(iter(self.customers.values())).refilled_us < last_us:
            del self.customers[next(iter(self.customers))]

    def spend(self, customer: Customer, units: float) -> None:
        customer.take(units)
        self.context.send_to_handover_peer(HandoverSpend(customer.key, units))

    def chance(self, customer: Customer, units: float) -> float | None:
        """The chance to be let in, by what is known here; None where the home is to be asked."""
        now, is_leader = self.context.now_us, customer.is_leader
        fresh = customer.has_fresh_answer(now)
        customer.unreported_demand += units
        if is_leader or not fresh:  # else it is the whole set's, which this request is part of
            customer.demand += units
        asked = customer.requests_per_s * quota.DEMAND_US / S
        heard = fresh and self.context.random.random() * customer.demand > asked
        if customer.share >= units:
            return 1.0
        if not is_leader and customer.is_pooled(units) and customer.is_dry(units, now):
            return 0.0
        if is_leader or heard or not customer.plan.rate or now < customer.next_request_us:
            return customer.chance(units, known=is_leader)
        return None

    # --- words ---

    def report_demand(self, customer: Customer) -> None:
        """Tell the customer's leader what was requested and spent here since the last message."""
        self.send(customer.leader, customer, 0.0)

    def request_grant(self, customer: Customer, units: float) -> None:
        """Ask the customer's leader whether a request of so many units may be admitted."""
        self.send(customer.leader, customer, units)

    def send(self, peer: int, customer: Customer, asked: float, place: SlotGrant = SlotGrant.NONE) -> None:
        """A word to the home of what was asked and spent, or the home's answer with what it knows."""
        now, answer = self.context.now_us, customer.is_leader
        demand = customer.demand if answer else customer.unreported_demand
        out = customer.in_flight + customer.peers_attempts(now, but=peer) if answer else customer.in_flight
        spent = customer.unreported_spend
        word = GossipMessage(*customer.key, answer, demand, spent, asked, customer.level, out, place)
        if customer.shares_slots() and not answer:
            customer.cede_ceiling(now)
        if peer != self.context.settings.gateway_index:
            self.outbox.add(peer, word)
        customer.unreported_demand = customer.unreported_spend = 0.0

    def on_messages(
        self, sender: int, words: tuple[GossipMessage, ...], answered: Callable[[Customer | None], None]
    ) -> None:
        """Add up what the set requests and spends, and answer; `answered` gets whose request it is."""
        homed: dict[CustomerKey, Customer] = {}
        # A place comes before the answer that lets in who may use it.
        for word in sorted(words, key=lambda word: not word.slot_grant):
            key = CustomerKey(word.customer, word.plan_index, word.set_first, word.set_size)
            if not self.is_in_set(key):
                continue
            new, customer = key not in self.customers, self.customer(key)
            if word.is_answer:
                self.on_leader_answer(customer, word)
                answered(customer if word.requested > 0 else None)
            elif customer.is_leader:
                customer.level = min(customer.level, word.level) if new else customer.level
                self.on_member_report(customer, word, sender)
                homed[key] = customer
        for customer in homed.values():  # once all is heard: what is out may come after a wish for more
            self.grant_slots(customer)
            if sender in customer.slot_queue:
                self.send(sender, customer, 0.0, SlotGrant.QUEUED)

    def on_leader_answer(self, customer: Customer, word: GossipMessage) -> None:
        now = self.context.now_us
        customer.last_answer_us, customer.demand, customer.level = now, word.demand, word.level
        customer.next_request_us = customer.backoff_us = 0
        if word.slot_grant:
            customer.on_slot_answer(word, now)
        if word.slot_grant is SlotGrant.GRANTED:
            self.renewals[customer.key] = customer
        customer.share = min(customer.share, max(0.0, word.level / customer.size))

    def on_member_report(self, customer: Customer, word: GossipMessage, sender: int) -> None:
        now, shares = self.context.now_us, customer.shares_slots()
        customer.demand += word.demand
        customer.spend(word.spent)
        # A message without a request tells of an end.
        customer.on_peer_in_flight(sender, word.in_flight, not word.requested, now)
        if shares and not self.context.has_handover_peer:
            customer.ceded_by_peer[sender] = now + quota.COUNTED_US
        granted = customer.chance(word.requested) if word.requested > 0 else 0.0
        if shares and (word.requested < 0 or granted):  # who is let in needs a place at once
            customer.slot_queue[sender] = abs(word.requested), now
        if word.requested > 0 or (word.spent > 0 and customer.level < customer.plan.burst / 2):
            self.send(sender, customer, max(0.0, word.requested))
        customer.spend(word.requested * granted)

    # --- places under an open cap, and what goes with them under a ceiling ---

    def needs_slot(self, customer: Customer, units: float) -> bool:
        """Whether a request must wait for open cap or ceiling; a place is asked for at the home."""
        now = self.context.now_us
        if not customer.is_leader and customer.shares_slots():
            self.request_slot(customer, units)
            if customer.asks_leader() and not customer.has_slot(now):
                return True
        return self.at_ceiling(customer, units) or customer.lacks_slot(now)

    def at_ceiling(self, customer: Customer, units: float) -> bool:
        limited = customer.plan.ceiling_rate > 0
        now, unknown = self.context.now_us, self.context.peer_is_unknown
        return limited and (unknown or customer.refill(now).ceiling < units)

    def request_slot(self, customer: Customer, units: float) -> None:
        now, silent = self.context.now_us, customer.slot_requests > MAX_LEADER_REQUESTS
        if customer.has_slot(now) and not silent:
            return
        patience = quota.QUEUED_US if customer.is_queued or silent else LEADER_REPLY_TIMEOUT_US
        if now - customer.slot_requested_us >= patience:
            customer.slot_requested_us, customer.is_queued = now, False
            customer.slot_requests += 1
            short = units if self.at_ceiling(customer, units) else 0.0
            self.send(customer.leader, customer, -max(quota.SLOT_ONLY, short))

    def use_slot(self, customer: Customer) -> None:
        customer.use_slot(self.context.now_us)
        if customer.shares_slots() and not customer.is_leader:
            self.renewals[customer.key] = customer

    def renew(self) -> None:
        """An attempt may outlast the report of it, and a granted slot may be of no use any more."""
        now = self.context.now_us
        for key, customer in list(self.renewals.items()):
            unused = customer.slot_granted_us > -NEVER and not customer.has_slot(now)
            if unused or (customer.in_flight and now - customer.reported_us >= quota.RENEW_US):
                customer.slot_granted_us = -NEVER if unused else customer.slot_granted_us
                self.report_in_flight(customer)
            if not customer.in_flight and customer.slot_granted_us == -NEVER:
                del self.renewals[key]

    def dues(self) -> list[float]:
        """When a word of what is out is to be renewed, or a place given back."""
        return [
            known.reported_us + quota.RENEW_US
            if known.slot_granted_us == -NEVER
            else known.slot_granted_us + LEADER_REPLY_TIMEOUT_US
            for known in self.renewals.values()
        ]

    def report_in_flight(self, customer: Customer) -> None:
        if customer.shares_slots() and not customer.is_leader:
            self.send(customer.leader, customer, 0.0)
        elif customer.shares_slots():
            self.grant_slots(customer)

    def grant_all_slots(self) -> None:
        """Time alone may free a place, or make room under a ceiling."""
        for customer in list(self.slot_queues.values()):
            self.grant_slots(customer)

    def grant_slots(self, customer: Customer) -> None:
        """At its home: what is free goes to those that wait longest; those held here are one of them."""
        while (peer := customer.next_in_slot_queue(self.context.now_us)) is not None:
            here = self.queues_unsent(customer)
            if here and self.context.random.random() * (1 + len(customer.slot_queue)) < 1:
                break
            self.send(peer, customer, -customer.grant(peer, self.context.now_us), SlotGrant.GRANTED)
        if customer.slot_queue:
            self.slot_queues[customer.key] = customer
        else:
            self.slot_queues.pop(customer.key, None)
