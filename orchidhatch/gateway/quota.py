"""A customer's quota, open cap and ceiling: what of them is here, and at its home what its set has."""

import math
from dataclasses import replace

from orchidhatch.gateway.customer_record import CustomerRecord
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.leader_requests import (
    LEADER_ANSWER_TTL_US,
    LEADER_REPLY_TIMEOUT_US,
    MAX_LEADER_REQUESTS,
)
from orchidhatch.gateway.settings import Plan, Settings
from orchidhatch.gateway.snapshots import CustomerKey, CustomerSnapshot
from orchidhatch.gateway.times import NEVER, S

DEMAND_US = 0.5 * S  # ageing of demand: short, as the level of the store carries the longer memory
# How long a home counts on word of attempts out, or on a place that it granted; how often it is renewed. Most
# attempts end before that, and a place whose end was told in a lost message is free again soon.
OUT_FRESH_US, RENEW_US = 1.5 * S, 0.6 * S
QUEUED_US = S // 2  # how often a gateway that the home has queued for a place asks again, as words are lost
SLOT_ONLY = 0.02  # asked for with a place that needs nothing under the ceiling: the least a word can hold
# Who tells the home of a customer with a shared cap leaves its part of the ceiling's rate to the home for a
# while; the home counts on it for less, as words are late. Thus all parts together never exceed the ceiling.
CEDED_US, COUNTED_US = 3 * S, 2 * S
LEAST_BACKOFF_US = S // 2  # the first time that a home which did not answer is not asked
ASK_SHARE = 0.25  # part of a gateway's intake that the asks for one customer may take
RESERVED_PART = 0.25  # of a burst: kept at hand by those that go by older words, for those that ask


def plan_share(plan: Plan, size: int) -> Plan:
    """The plan of one gateway that hears nothing of the others; its store holds one request at least."""
    return (
        plan
        if size == 1
        else replace(
            plan,
            rate=plan.rate / size,
            burst=max(min(1.0, plan.burst), plan.burst / size),
            max_in_flight=plan.max_in_flight and max(1, plan.max_in_flight // size),
            ceiling_rate=plan.ceiling_rate / size,
            ceiling_burst=plan.ceiling_burst / size,
        )
    )


class Customer(CustomerRecord):
    """A customer's part of quota and ceiling here, and what is known of its whole set: all, at its home."""

    def __init__(self, plan: Plan, key: CustomerKey, set_: Settings, now: int) -> None:
        super().__init__(plan if set_.may_gossip else plan_share(plan, key[3]), key, set_, now)
        self.is_isolated = self.size < key[3]
        self.ceded_until_us = 0 if self.is_leader or not self.shares_slots() else now + CEDED_US
        self.requests_per_s = ASK_SHARE * set_.peer_messages_per_s  # past this demand a word must do
        self.answer_use_us = self.size * S / max(1.0, self.requests_per_s)  # and is used for so long

    def has_idled(self, time_us: int) -> None:
        """Its part of the ceiling was empty at this process's start at worst, as that may be a restart."""
        plan, ceded_until_us = self.plan, CEDED_US if self.ceded_until_us else 0
        gained = plan.ceiling_rate * max(0, time_us - ceded_until_us) / S
        self.ceiling = min(plan.ceiling_burst, gained) / self.size

    def change_plan(self, plan: Plan, index: int, now: int) -> None:
        """Another plan holds for it: what is here stays the same part of the whole, of debts too, and what
        was granted stays granted."""
        old, self.key = self.refill(now).plan, self.key._replace(plan_index=index)
        self.plan = plan = plan_share(plan, self.key[3]) if self.is_isolated else plan
        kept, ceiling = (
            new / was if was else 0.0
            for new, was in ((plan.burst, old.burst), (plan.ceiling_burst, old.ceiling_burst))
        )
        self.share, self.level, self.allowance = self.share * kept, self.level * kept, self.allowance * kept
        self.ceiling *= ceiling
        if not self.is_leader and self.shares_slots() and not self.ceded_until_us:
            self.ceded_until_us = now + CEDED_US  # the home may count on it by the words of others

    def refill(self, now: int) -> "Customer":
        """Refill the parts. Demand and level stay as told while that is fresh, as others ask meanwhile."""
        before, plan, part = self.refilled_us, self.plan, 1 / self.size
        took, self.refilled_us = (now - before) / S, now
        gained = max(0, now - max(before, self.ceded_until_us))  # nothing while it is left to the home
        gained += sum(max(0, min(now, until) - before) for until in self.ceded_by_peer.values())
        self.ceded_by_peer = {peer: until for peer, until in self.ceded_by_peer.items() if until > now}
        self.ceiling = min(plan.ceiling_burst * part, self.ceiling + plan.ceiling_rate * part * gained / S)
        if now - self.last_answer_us > LEADER_ANSWER_TTL_US:
            self.level = min(plan.burst, self.level + plan.rate * took)
            self.demand *= math.exp(-took * S / DEMAND_US)
        self.share = min(plan.burst * part, self.share + plan.rate * took * part, max(0.0, self.level))
        self.allowance = min(self.most_allowance(), self.allowance + plan.rate * took * part)
        return self

    def chance(self, units: float, known: bool = True) -> float:
        """Quota over summed demand; the quota is the rate while demand ages, and what the set has or owes.

        Where a part holds no whole request, or the open cap is shared, the parts lie at the home together,
        which is asked for each: who has its word is let in while the level holds the request. Who goes by an
        older word shares what those that ask leave of the rate, and what the level is above or under a part
        of the burst, over the time that such a word is used. Who has none spends its own part.
        """
        level, plan = self.level, self.plan
        if self.is_isolated and plan.rate:  # it has no other's demand to go by; a large request leaves a debt
            return float(level >= min(units, plan.burst))
        if self.is_pooled(units) or self.shares_slots():
            if known:
                return float(level >= units)
            if not self.has_fresh_answer(self.refilled_us):
                return float(self.allowance >= min(units, self.most_allowance()))
            asked = min(plan.rate, self.requests_per_s) * DEMAND_US / S
            level = (level - RESERVED_PART * plan.burst) * DEMAND_US / self.answer_use_us - asked
        quota = level + plan.rate * DEMAND_US / S
        return max(0.0, min(1.0, quota / max(units, self.demand))) if plan.rate else 1.0

    def most_allowance(self) -> float:
        """What it may spend unheard at once: its part of the burst, of one request at least."""
        return max(1.0, self.plan.burst / self.size)

    def is_pooled(self, units: float) -> bool:
        """Whether a gateway's part of the burst holds less than the request."""
        return units <= self.plan.burst < units * self.size

    def has_local_share(self, units: float) -> bool:
        """Whether the local share holds so many units."""
        return self.share >= units

    def has_fresh_answer(self, now: int) -> bool:
        return now - self.last_answer_us < LEADER_ANSWER_TTL_US

    def is_dry(self, units: float, now: int) -> bool:
        """Whether by a fresh word no refill can have made room yet."""
        return (
            self.has_fresh_answer(now)
            and self.level + self.plan.rate * (now - self.last_answer_us) / S < units
        )

    def spend(self, units: float) -> None:
        """It owes nothing for long, as others spend of it too; alone it is sure of what it owes."""
        least = -math.inf if self.is_isolated else -self.plan.rate * DEMAND_US / S
        self.level = max(self.level - units, least)

    def take(self, units: float) -> None:
        """Spend of what is here."""
        self.spend(units)
        self.unreported_spend += units
        self.share = max(0.0, self.share - units)
        least = min(0.0, self.most_allowance() - units)  # a larger one leaves a debt
        self.allowance = max(self.allowance - units, least)

    def deduct_unreported_spend(self, units: float) -> None:
        """Take units from what will be reported as spent: the leader has counted them already."""
        self.unreported_spend -= units

    def quota_wait_us(self, units: float) -> float:
        """In how long the quota has so many units, at the rate that others' demand leaves; NEVER if none."""
        others_per_s = max(0.0, self.demand - units) / DEMAND_US * S
        spare_per_s = self.plan.rate - others_per_s
        return (units - self.level) / spare_per_s * S if spare_per_s > 0 else NEVER

    def back_off(self, now: int, chance: float) -> None:
        """The home did not answer: it may hear more than it can take in, and each ask makes that worse."""
        self.backoff_us = min(LEADER_ANSWER_TTL_US, max(LEAST_BACKOFF_US, 2 * self.backoff_us))
        self.next_request_us = now + self.backoff_us * (0.5 + chance)

    def restore_at(self, snapshot: CustomerSnapshot, now: int) -> None:
        """Go on from a predecessor's snapshot, as of now."""
        self.restore(snapshot)
        self.ceded_until_us = now + CEDED_US if self.ceded_until_us else 0

    # --- the rate ceiling ---

    def lacks_ceiling_units(self, units: float) -> bool:
        """Whether the rate ceiling has too little for a request, as it was last refilled."""
        return self.plan.ceiling_rate > 0 and self.ceiling < units

    def ceiling_wait_us(self, units: float) -> float:
        """In how long the local share of the ceiling has so many units."""
        return (units - self.ceiling) * self.size / self.plan.ceiling_rate * S

    def charge_ceiling(self, units: float) -> None:
        """A first attempt of a request of so many units is sent."""
        self.ceiling -= units

    def refund_ceiling(self, units: float) -> None:
        """A first attempt of so many units turned out not to have been sent."""
        self.ceiling += units

    def empty_ceiling(self, now: int) -> None:
        """Begin with an empty bucket: another process may have used it up."""
        self.refill(now).ceiling = 0.0

    def reclaim_ceded_ceiling(self, now: int) -> None:
        """Stop using what other gateways ceded: a successor process would not know of it."""
        self.refill(now).ceded_by_peer.clear()

    # --- the open cap ---

    def attempt_began(self) -> None:
        """One more attempt of the customer is in flight."""
        self.in_flight += 1

    def attempt_ended(self) -> None:
        """One attempt of the customer is in flight no more."""
        self.in_flight -= 1

    def shares_slots(self) -> bool:
        """Whether its open cap is too small to be split over its set."""
        return 0 < self.plan.max_in_flight < self.size

    def asks_leader(self) -> bool:
        """Elsewhere than at home: whether each attempt needs a place from there, as long as it answers."""
        return self.shares_slots() and self.slot_requests <= MAX_LEADER_REQUESTS

    def has_slot(self, now: int) -> bool:
        return now - self.slot_granted_us < LEADER_REPLY_TIMEOUT_US

    def lacks_slot(self, now: int) -> bool:
        if not self.plan.max_in_flight:
            return False
        if self.shares_slots() and self.is_leader:
            return self.in_flight + self.peers_attempts(now) >= self.plan.max_in_flight
        if self.asks_leader():
            return not self.has_slot(now)
        return self.in_flight >= max(1, self.plan.max_in_flight // self.size)

    def peers_attempts(self, now: int, but: int = -1) -> int:
        """At its home: the attempts that the others have out, as they told of late, or were granted since."""
        reports = self.peers_in_flight.items()
        reported = sum(out for peer, (out, at) in reports if peer != but and now - at < OUT_FRESH_US)
        grants = (at for peer, given in self.granted_slots.items() if peer != but for at in given)
        return reported + sum(now - at < OUT_FRESH_US for at in grants)

    def on_peer_in_flight(self, peer: int, out: int, ended: bool, now: int) -> None:
        """At the leader: what a peer has in flight, of which no granted slot is to be counted twice."""
        used = max(0, out - self.peers_in_flight.get(peer, (0, 0))[0] + ended)
        if given := [at for at in self.granted_slots.pop(peer, ()) if now - at < 2 * LEADER_REPLY_TIMEOUT_US][
            used:
        ]:
            self.granted_slots[peer] = given
        self.peers_in_flight[peer] = out, now

    def next_in_slot_queue(self, now: int) -> int | None:
        """At its home: who has waited longest for a place, if there is one and room under the ceiling."""
        waits = self.slot_queue.items()
        self.slot_queue = {peer: wait for peer, wait in waits if now - wait[1] < 2 * QUEUED_US}
        if not self.slot_queue or self.in_flight + self.peers_attempts(now) >= self.plan.max_in_flight:
            return None
        self.refill(now)
        waits = self.slot_queue.items()
        fitting = (peer for peer, (units, _) in waits if units <= SLOT_ONLY or units <= self.ceiling)
        return next(fitting, None)

    def grant(self, peer: int, now: int) -> float:
        """At its home: a place, and the units under the ceiling that were asked for with it."""
        units, _ = self.slot_queue.pop(peer)
        self.granted_slots.setdefault(peer, []).append(now)
        self.ceiling -= units if units > SLOT_ONLY else 0.0
        return units

    def on_slot_answer(self, word: GossipMessage, now: int) -> None:
        """Elsewhere: the home's answer to a wish for a place."""
        self.slot_requests, self.slot_requested_us = 0, now
        self.is_queued = word.slot_grant is SlotGrant.QUEUED
        if word.slot_grant is SlotGrant.GRANTED:
            self.slot_granted_us = now
            self.ceiling += -word.requested if -word.requested > SLOT_ONLY else 0.0

    def cede_ceiling(self, now: int) -> None:
        """Elsewhere: it tells its home now, which may use its part of the ceiling's rate from then on."""
        self.ceded_until_us, self.reported_us = self.refill(now).refilled_us + CEDED_US, now

    def use_slot(self, now: int) -> None:
        """A first attempt leaves; the home counts on it since its grant, and may be asked for the next."""
        self.slot_granted_us, self.slot_requested_us = -NEVER, -NEVER
        if self.shares_slots() and not self.is_leader:
            self.reported_us = now
