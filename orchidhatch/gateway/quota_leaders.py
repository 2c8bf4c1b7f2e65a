"""The customers here, and what goes between them and their homes: quotas, places, ceilings."""

from collections.abc import Callable

from orchidhatch.gateway import quota
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.peer_outbox import Words
from orchidhatch.gateway.snapshots import CustomerKey, HandoverSpend
from orchidhatch.gateway.times import NEVER, S

FORGET_US = 60 * S  # a customer that was quiet for so long has its burst back


class Homes:
    """Every customer has one gateway of its set as its home, which adds up what the set asks and spends.

    `holds` says whether a request of a customer is held here, never sent, and so waits for a place too.
    """

    def __init__(self, desk: DecisionContext, words: Words, holds: Callable[[quota.Customer], bool]) -> None:
        self.desk, self.words, self.holds = desk, words, holds
        self.customers: dict[CustomerKey, quota.Customer] = {}  # the one seen last at the end
        self.queues: dict[
            CustomerKey, quota.Customer
        ] = {}  # those at home here for which others wait for a place
        self.renewals: dict[
            CustomerKey, quota.Customer
        ] = {}  # those at home elsewhere that a place is held for

    def customer(self, key: CustomerKey) -> quota.Customer:
        """The customer, as of now; one that is not known begins with what the time since the start allows."""
        known = self.customers.pop(key, None)
        if known is None:
            known = quota.Customer(self.desk.set.plans[key[1]], key, self.desk.set, self.desk.now)
            known.has_idled(min(FORGET_US, self.desk.now - self.desk.started_us))
        self.customers[key] = known
        return known.refill(self.desk.now)

    def is_ours(self, key: CustomerKey) -> bool:
        set_ = self.desk.set
        in_set = (set_.gateway_index - key.set_first) % set_.gateway_count < key.set_size
        return 0 <= key.plan_index < len(set_.plans) and in_set

    def move(self, moved: tuple[int, ...]) -> None:
        """Other plans hold: each customer goes on under its own, by its number now; no plan, no customer."""
        known, self.customers = self.customers.values(), {}
        for customer in [one for one in known if moved[one.key.plan_index] >= 0]:
            index = moved[customer.key.plan_index]
            customer.go_under(self.desk.set.plans[index], index, self.desk.now)
            self.customers[customer.key] = customer
        for kept in (self.queues, self.renewals):
            waiting = {one.key: one for one in kept.values() if one.key in self.customers}
            kept.clear()
            kept.update(waiting)

    def forget(self) -> None:
        while self.customers and self.desk.now - next(iter(self.customers.values())).at > FORGET_US:
            del self.customers[next(iter(self.customers))]

    def spend(self, customer: quota.Customer, units: float) -> None:
        customer.take(units)
        self.desk.tell_twin(HandoverSpend(customer.key, units))

    def chance(self, customer: quota.Customer, units: float) -> float | None:
        """The chance to be let in, by what is known here; None where the home is to be asked."""
        now, at_home = self.desk.now, customer.at_home
        fresh = customer.is_fresh(now)
        customer.untold += units
        if at_home or not fresh:  # else it is the whole set's, which this request is part of
            customer.demand += units
        heard = (
            fresh and self.desk.random.random() * customer.demand > customer.asked_per_s * quota.DEMAND_US / S
        )
        if customer.part >= units:
            return 1.0
        if not at_home and customer.is_pooled(units) and customer.is_dry(units, now):
            return 0.0
        if at_home or heard or not customer.plan.rate or now < customer.ask_after_us:
            return customer.chance(units, known=at_home)
        return None

    # --- words ---

    def tell(
        self, peer: int, customer: quota.Customer, asked: float, place: SlotGrant = SlotGrant.NONE
    ) -> None:
        """A word to the home of what was asked and spent, or the home's answer with what it knows."""
        now, answer = self.desk.now, customer.at_home
        demand = customer.demand if answer else customer.untold
        out = customer.out + customer.others_out(now, but=peer) if answer else customer.out
        word = GossipMessage(*customer.key, answer, demand, customer.spent, asked, customer.level, out, place)
        if customer.shares_cap() and not answer:
            customer.leave_ceiling(now)
        if peer != self.desk.set.gateway_index:
            self.words.add(peer, word)
        customer.untold = customer.spent = 0.0

    def hear(
        self, sender: int, words: tuple[GossipMessage, ...], answered: Callable[[quota.Customer | None], None]
    ) -> None:
        """The home adds up what its set asks and spends, or takes over at its start, and answers. `answered`
        is called for each answer, with the customer whose ask it answers."""
        homed: dict[CustomerKey, quota.Customer] = {}
        # A place comes before the answer that lets in who may use it.
        for word in sorted(words, key=lambda word: not word.slot_grant):
            key = CustomerKey(word.customer, word.plan_index, word.set_first, word.set_size)
            if not self.is_ours(key):
                continue
            new, customer = key not in self.customers, self.customer(key)
            if word.is_answer:
                self.hear_home(customer, word)
                answered(customer if word.requested > 0 else None)
            elif customer.at_home:
                customer.level = min(customer.level, word.level) if new else customer.level
                self.hear_member(customer, word, sender)
                homed[key] = customer
        for customer in homed.values():  # once all is heard: what is out may come after a wish for more
            self.give_places(customer)
            if sender in customer.wanting:
                self.tell(sender, customer, 0.0, SlotGrant.QUEUED)

    def hear_home(self, customer: quota.Customer, word: GossipMessage) -> None:
        now = self.desk.now
        customer.heard_us, customer.demand, customer.level = now, word.demand, word.level
        customer.ask_after_us = customer.backoff_us = 0
        if word.slot_grant:
            customer.hear_place(word, now)
        if word.slot_grant is SlotGrant.GRANTED:
            self.renewals[customer.key] = customer
        customer.part = min(customer.part, max(0.0, word.level / customer.size))

    def hear_member(self, customer: quota.Customer, word: GossipMessage, sender: int) -> None:
        now, shares = self.desk.now, customer.shares_cap()
        customer.demand += word.demand
        customer.spend(word.spent)
        # A message without a request tells of an end.
        customer.hear_out(sender, word.in_flight, not word.requested, now)
        if shares and not self.desk.has_twin:
            customer.lent[sender] = now + quota.LENT_US
        granted = customer.chance(word.requested) if word.requested > 0 else 0.0
        if shares and (word.requested < 0 or granted):  # who is let in needs a place at once
            customer.wanting[sender] = abs(word.requested), now
        if word.requested > 0 or (word.spent > 0 and customer.level < customer.plan.burst / 2):
            self.tell(sender, customer, max(0.0, word.requested))
        customer.spend(word.requested * granted)

    # --- places under an open cap, and what goes with them under a ceiling ---

    def needs_place(self, customer: quota.Customer, units: float) -> bool:
        """Whether a request must wait for open cap or ceiling; a place is asked for at the home."""
        now = self.desk.now
        if not customer.at_home and customer.shares_cap():
            self.want_place(customer, units)
            if customer.asks_home() and not customer.has_place(now):
                return True
        return self.at_ceiling(customer, units) or customer.at_open_cap(now)

    def at_ceiling(self, customer: quota.Customer, units: float) -> bool:
        limited = customer.plan.ceiling_rate > 0
        return limited and (self.desk.blind or customer.refill(self.desk.now).ceiling < units)

    def want_place(self, customer: quota.Customer, units: float) -> None:
        now, silent = self.desk.now, customer.wants > quota.ASKS
        if customer.has_place(now) and not silent:
            return
        patience = quota.QUEUED_US if customer.queued or silent else quota.ASK_US
        if now - customer.wanted_us >= patience:
            customer.wanted_us, customer.queued = now, False
            customer.wants += 1
            short = units if self.at_ceiling(customer, units) else 0.0
            self.tell(customer.home, customer, -max(quota.PLACE_ALONE, short))

    def use_place(self, customer: quota.Customer) -> None:
        customer.use_place(self.desk.now)
        if customer.shares_cap() and not customer.at_home:
            self.renewals[customer.key] = customer

    def renew(self) -> None:
        """An attempt may last longer than word of it holds, and a granted place may be of no use any more."""
        now = self.desk.now
        for key, customer in list(self.renewals.items()):
            unused = customer.place_us > -NEVER and not customer.has_place(now)
            if unused or (customer.out and now - customer.told_us >= quota.RENEW_US):
                customer.place_us = -NEVER if unused else customer.place_us
                self.tell_out(customer)
            if not customer.out and customer.place_us == -NEVER:
                del self.renewals[key]

    def dues(self) -> list[float]:
        """When a word of what is out is to be renewed, or a place given back."""
        return [
            known.told_us + quota.RENEW_US if known.place_us == -NEVER else known.place_us + quota.ASK_US
            for known in self.renewals.values()
        ]

    def tell_out(self, customer: quota.Customer) -> None:
        if customer.shares_cap() and not customer.at_home:
            self.tell(customer.home, customer, 0.0)
        elif customer.shares_cap():
            self.give_places(customer)

    def give_all_places(self) -> None:
        """Time alone may free a place, or make room under a ceiling."""
        for customer in list(self.queues.values()):
            self.give_places(customer)

    def give_places(self, customer: quota.Customer) -> None:
        """At its home: what is free goes to those that wait longest; those held here are one of them."""
        while (peer := customer.next_wanting(self.desk.now)) is not None:
            here = self.holds(customer)
            if here and self.desk.random.random() * (1 + len(customer.wanting)) < 1:
                break
            self.tell(peer, customer, -customer.grant(peer, self.desk.now), SlotGrant.GRANTED)
        if customer.wanting:
            self.queues[customer.key] = customer
        else:
            self.queues.pop(customer.key, None)
