"""A customer at this gateway: its quota, its demand, its concurrency slots and its rate ceiling.

One gateway of a customer's set is its quota leader, whose counts are those of the whole set; the others, the
members, go by the leader's answers. The rule of admission is DESIGN's: the quota over the summed demand.
"""

from dataclasses import replace

from orchidhatch.gateway.counted_grants import CountedGrants
from orchidhatch.gateway.demand_estimate import DEMAND_DECAY_US, DemandEstimate
from orchidhatch.gateway.gossip import SlotGrant
from orchidhatch.gateway.grant_requests import GrantRequests
from orchidhatch.gateway.leader_requests import LEADER_ANSWER_TTL_US, LeaderBackoff
from orchidhatch.gateway.leader_slots import LeaderSlots
from orchidhatch.gateway.member_slot import MemberSlot, ceiling_units_of
from orchidhatch.gateway.quota_buckets import QuotaBuckets
from orchidhatch.gateway.rate_ceiling import RateCeiling
from orchidhatch.gateway.settings import Plan, Settings
from orchidhatch.gateway.snapshots import CustomerKey, CustomerSnapshot
from orchidhatch.gateway.spent_totals import ReceivedTotals, ReportStream
from orchidhatch.gateway.times import NEVER, S

REQUEST_INTAKE_FRACTION = 0.25
"""The fraction of the messages that a gateway may receive which requests for one customer may take."""

RESERVED_BURST_FRACTION = 0.25
"""The fraction of the burst that is reserved for requests to the leader, not spent by older answers."""


def split_plan(plan: Plan, size: int) -> Plan:
    """The plan of one of `size` gateways that do not gossip; its burst holds one request at least."""
    if size == 1:
        return plan
    max_in_flight = plan.max_in_flight
    if max_in_flight:
        max_in_flight = max(1, max_in_flight // size)
    return replace(
        plan,
        rate=plan.rate / size,
        burst=max(min(1.0, plan.burst), plan.burst / size),
        max_in_flight=max_in_flight,
        ceiling_rate=plan.ceiling_rate / size,
        ceiling_burst=plan.ceiling_burst / size,
    )


class Customer:
    """A customer's state here, composed of its quota, demand, slots and ceiling; times in microseconds.

    `size` is the count of gateways that share its plan, `leader` the index of its quota leader. Where
    gateways may not gossip it is isolated: each goes by its share of the plan as if it were the whole set.
    """

    def __init__(self, plan: Plan, key: CustomerKey, settings: Settings, now_us: int) -> None:
        self.key = key
        self.plan = plan if settings.may_gossip else split_plan(plan, key.set_size)
        self.size = key.set_size if settings.may_gossip else 1
        self.is_isolated = self.size < key.set_size
        self.leader = settings.gateway_index
        if settings.may_gossip:
            self.leader = (key.set_first + key.customer % self.size) % settings.gateway_count
        self.is_leader = self.leader == settings.gateway_index

        self.quota = QuotaBuckets(self.plan, self.size, self.is_isolated)
        self.demand = DemandEstimate()
        self.grant_requests = GrantRequests(self.quota)
        self.counted_grants = CountedGrants()
        self.report_stream = ReportStream()
        self.received_totals = ReceivedTotals(now_us)
        self.ceiling = RateCeiling(self.plan, self.size)
        self.leader_slots = LeaderSlots()
        self.member_slot = MemberSlot()
        self.backoff = LeaderBackoff()
        if self.needs_leader_slots():
            self.ceiling.cede(now_us)

        self.in_flight = 0
        self.refilled_us = now_us
        self.last_answer_us = -NEVER
        self.max_requests_per_s = REQUEST_INTAKE_FRACTION * settings.peer_messages_per_s
        # For how long an answer is used where demand exceeds the requests that the leader can receive.
        self.answer_reuse_us = self.size * S / max(1.0, self.max_requests_per_s)

    def change_plan(self, plan: Plan, plan_index: int, now_us: int) -> None:
        """Go on under another plan; levels and debts scale with the burst, granted slots stay granted."""
        self.refill(now_us)
        self.key = self.key._replace(plan_index=plan_index)
        self.plan = split_plan(plan, self.key.set_size) if self.is_isolated else plan
        self.quota.change_plan(self.plan)
        self.ceiling.change_plan(self.plan)
        if self.needs_leader_slots() and not self.ceiling.ceded_until_us:
            # The leader may use the share by the reports of others.
            self.ceiling.cede(now_us)

    def refill(self, now_us: int) -> "Customer":
        """Bring the buckets and the demand up to the time; returns the customer.

        While the leader's answer is fresh, its demand and level stay, as other gateways spend meanwhile.
        """
        since_us = self.refilled_us
        elapsed_s = (now_us - since_us) / S
        self.refilled_us = now_us
        self.ceiling.refill(since_us, now_us)
        if now_us - self.last_answer_us > LEADER_ANSWER_TTL_US:
            self.quota.refill_set(elapsed_s)
            self.demand.decay(elapsed_s)
        self.quota.refill_local(elapsed_s)
        return self

    # --- admission under the quota ---

    def chance(self, units: float, known: bool = True) -> float:
        """The probability with which a request is admitted; `known` says that the leader has answered it.

        It is the quota over the summed demand, where the quota is the level of the set and what the plan
        gives while demand decays. Where a local share holds no whole request, or the leader grants the slots,
        the leader is asked for each request, and its level decides. A request that goes by an older answer
        shares what the requests to the leader leave; one without any answer draws on the allowance.
        """
        level = self.quota.set_level
        if self.is_isolated and self.plan.rate:
            # No other gateway's demand is known; a request above the burst leaves a debt.
            return float(level >= min(units, self.plan.burst))
        if self.quota.is_too_large_for_share(units) or self.shares_slots():
            if known:
                return float(level >= units)
            if not self.has_fresh_answer(self.refilled_us):
                return float(self.quota.has_allowance(units))
            level = self.level_for_local_decisions()
        if not self.plan.rate:
            return 1.0
        quota = level + self.plan.rate * DEMAND_DECAY_US / S
        return max(0.0, min(1.0, quota / max(units, self.demand.units)))

    def level_for_local_decisions(self) -> float:
        """What requests to the leader leave of the level, over the decay time, to those without one."""
        reserved = RESERVED_BURST_FRACTION * self.plan.burst
        requested = min(self.plan.rate, self.max_requests_per_s) * DEMAND_DECAY_US / S
        return (self.quota.set_level - reserved) * DEMAND_DECAY_US / self.answer_reuse_us - requested

    def has_local_share(self, units: float) -> bool:
        """Whether the local share holds so many units."""
        return self.quota.has_local_share(units)

    def has_fresh_answer(self, now_us: int) -> bool:
        """Whether the leader has answered a short time ago."""
        return now_us - self.last_answer_us < LEADER_ANSWER_TTL_US

    def cannot_have_refilled(self, units: float, now_us: int) -> bool:
        """Whether by a fresh answer the set's bucket cannot hold so many units yet."""
        return self.has_fresh_answer(now_us) and self.max_level(now_us) < units

    def max_level(self, now_us: int) -> float:
        """What the set's bucket holds at most, by the last answer: others may have spent since.

        Before any answer, and from LEADER_ANSWER_TTL_US after it, a refill counts here already.
        """
        has_answer = self.last_answer_us > -NEVER
        unrefilled_us = min(now_us - self.last_answer_us, LEADER_ANSWER_TTL_US) if has_answer else 0
        return min(self.plan.burst, self.quota.set_level + self.plan.rate * unrefilled_us / S)

    def spend(self, units: float) -> None:
        """Take units from the bucket of the set; negative units return some."""
        self.quota.spend_from_set(units)

    def count_grant(self, units: float) -> None:
        """Take the units of a grant that is decided here from the bucket of the set."""
        self.quota.count_grant(units)

    def take(self, units: float) -> None:
        """Take the units of a request at this gateway; negative units return some."""
        self.quota.spend_locally(units)

    def quota_wait_us(self, units: float, now_us: int) -> float:
        """In how long the quota has so many units, at the rate that others' demand leaves; NEVER if none.

        It is never below 0. Where the level of the set holds them, the request lacked a leader's answer.
        """
        others_per_s = max(0.0, self.demand.units - units) / DEMAND_DECAY_US * S
        spare_per_s = self.plan.rate - others_per_s
        if spare_per_s <= 0:
            return NEVER
        missing = units - self.quota.set_level
        if missing <= 0:
            return self.answer_wait_us(units, now_us)
        return missing / spare_per_s * S

    def answer_wait_us(self, units: float, now_us: int) -> float:
        """In how long so many units may be spent that the level of the set holds, but no answer granted.

        The leader is asked again after the backoff; without a fresh answer the allowance may refill before.
        """
        backoff_us = max(0.0, self.backoff.next_request_us - now_us)
        if self.has_fresh_answer(now_us):
            return backoff_us
        return min(backoff_us, self.quota.allowance_wait_us(units))

    def has_unreported_beyond(self, max_units: float) -> bool:
        """Whether more than so many units are to be reported as requested, as spent or as given back."""
        return max(self.demand.unreported_units, abs(self.quota.unreported_spend)) > max_units

    def clear_unreported(self) -> None:
        """Begin a new report: what was requested and spent here has been sent."""
        self.demand.unreported_units = 0.0
        self.quota.unreported_spend = 0.0

    def on_leader_answer(self, demand: float, level: float, now_us: int) -> None:
        """The leader has answered with the demand and the level of the set."""
        self.last_answer_us = now_us
        self.demand.units = demand
        self.quota.update_set_level(level)
        self.backoff.reset()

    def back_off(self, now_us: int, jitter: float) -> None:
        """The leader did not answer: request nothing for a while, with `chance` from 0 to 1 as jitter."""
        self.backoff.back_off(now_us, jitter)

    # --- rate ceiling ---

    def has_ceiling(self) -> bool:
        """Whether the plan sets a rate ceiling."""
        return self.plan.ceiling_rate > 0

    def lacks_ceiling_units(self, units: float) -> bool:
        """Whether the rate ceiling has too little for a request, as it was last refilled."""
        return self.ceiling.lacks(units)

    def ceiling_wait_us(self, units: float) -> float:
        """In how long the local share of the ceiling has so many units."""
        return self.ceiling.wait_us(units)

    def charge_ceiling(self, units: float) -> None:
        """A first attempt of a request of so many units is sent."""
        self.ceiling.draw(units)

    def refund_ceiling(self, units: float) -> None:
        """A first attempt of so many units was not sent."""
        self.ceiling.add(units)

    def empty_ceiling(self, now_us: int) -> None:
        """Begin with an empty bucket: another process may have used it up."""
        self.refill(now_us)
        self.ceiling.empty()

    def cede_ceiling(self, now_us: int) -> None:
        """A report goes to the leader, which may use the refill of the local share from now on."""
        self.refill(now_us)
        self.ceiling.cede(now_us)
        self.member_slot.reported_us = now_us

    def reclaim_ceded_ceiling(self, now_us: int) -> None:
        """Stop using what other gateways ceded: a successor process would not know of it."""
        self.refill(now_us)
        self.ceiling.drop_received()

    # --- concurrency slots ---

    def attempt_began(self) -> None:
        """One more attempt of the customer is in flight."""
        self.in_flight += 1

    def attempt_ended(self) -> None:
        """One attempt of the customer is in flight no more."""
        self.in_flight -= 1

    def shares_slots(self) -> bool:
        """Whether the open cap is too small to be split over the set, so that the leader grants its slots."""
        return 0 < self.plan.max_in_flight < self.size

    def needs_leader_slots(self) -> bool:
        """Whether the slots are granted by another gateway."""
        return self.shares_slots() and not self.is_leader

    def waits_for_leader(self) -> bool:
        """Whether a member's first attempt needs a granted slot; not while the leader is silent."""
        return self.shares_slots() and not self.member_slot.is_leader_silent()

    def lacks_slot(self, now_us: int) -> bool:
        """Whether the open cap permits no further first attempt."""
        if not self.plan.max_in_flight:
            return False
        if self.shares_slots() and self.is_leader:
            return self.slots_in_use(now_us) >= self.plan.max_in_flight
        if self.waits_for_leader():
            return not self.member_slot.is_usable(now_us)
        return self.in_flight >= max(1, self.plan.max_in_flight // self.size)

    def slots_in_use(self, now_us: int, excluded_peer: int = -1) -> int:
        """At the leader: the slots that it and the other gateways use, or were granted."""
        return self.in_flight + self.leader_slots.in_use(now_us, excluded_peer)

    def next_slot_peer(self, now_us: int) -> int | None:
        """At the leader: the gateway to grant a slot to; None where no slot is free or no request fits."""
        self.leader_slots.drop_abandoned(now_us)
        if not self.leader_slots.queue or self.slots_in_use(now_us) >= self.plan.max_in_flight:
            return None
        self.refill(now_us)
        return self.leader_slots.next_peer(self.ceiling.units)

    def grant_slot(self, peer: int, now_us: int) -> float:
        """At the leader: grant a queued request; returns the units of the ceiling that it asked for."""
        units = self.leader_slots.grant(peer, now_us)
        self.ceiling.draw(ceiling_units_of(units))
        return units

    def on_slot_answer(self, answer: SlotGrant, units: float, number: int, now_us: int) -> None:
        """The leader has queued a request for a slot, or granted the slot and so many units as requested.

        A repeated answer grants nothing.
        """
        if answer is not SlotGrant.GRANTED:
            self.member_slot.on_queued(now_us)
        elif self.member_slot.awaits_grant(number):
            self.member_slot.on_granted(now_us, number)
            self.ceiling.add(ceiling_units_of(units))

    def use_slot(self, now_us: int) -> None:
        """A first attempt is sent; the leader counts it since its grant, and the next may be requested."""
        self.member_slot.on_attempt_sent()
        if self.needs_leader_slots():
            self.member_slot.reported_us = now_us

    # --- handover ---

    def snapshot(self) -> CustomerSnapshot:
        """What is handed over of the customer."""
        return CustomerSnapshot(
            key=self.key,
            refilled_us=self.refilled_us,
            share=self.quota.local_share,
            level=self.quota.set_level,
            demand=self.demand.units,
            ceiling=self.ceiling.units,
            last_answer_us=self.last_answer_us,
            unreported_demand=self.demand.unreported_units,
            unreported_spend=self.quota.unreported_spend,
        )

    def restore(self, snapshot: CustomerSnapshot) -> None:
        """Go on from the snapshot; the customer has its key and time already."""
        self.quota.local_share = snapshot.share
        self.quota.set_level = snapshot.level
        self.demand.units = snapshot.demand
        self.ceiling.units = snapshot.ceiling
        self.last_answer_us = snapshot.last_answer_us
        self.demand.unreported_units = snapshot.unreported_demand
        self.quota.unreported_spend = snapshot.unreported_spend

    def restore_at(self, snapshot: CustomerSnapshot, now_us: int) -> None:
        """Go on from a predecessor's snapshot, as of now."""
        self.restore(snapshot)
        self.ceiling.extend_cession(now_us)

    def hand_over_unreported(self) -> float:
        """Leave the reports to a successor process; returns the units of spending that it is to report."""
        self.demand.unreported_units = 0.0
        return self.quota.hand_over_unreported()

    def take_back_unreported(self) -> None:
        """The successor has ended: report the spending that was left to it."""
        self.quota.take_back_unreported()
