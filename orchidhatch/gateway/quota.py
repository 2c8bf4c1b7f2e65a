"""A customer's state at this gateway: quota, demand, concurrency slots and rate ceiling.

One gateway of the customer's set is its quota leader and counts for the whole set; the others, the members,
rely on its answers. The admission rule is specified in DESIGN: quota divided by summed demand.
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
"""The fraction of the messages a gateway can receive that requests for one customer may use."""

RESERVED_BURST_FRACTION = 0.25
"""The fraction of the burst reserved for grant requests; older answers do not permit spending it."""


def split_plan(plan: Plan, size: int) -> Plan:
    """Return the plan of one of `size` gateways that do not gossip.

    Its burst permits at least one request.
    """
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
    """A customer's state at this gateway: quota, demand, slots and rate ceiling; times in microseconds.

    `size` is the number of gateways that share the plan, `leader` the index of the quota leader. If gateways
    may not gossip the customer is isolated: each gateway applies its share of the plan as if it were the
    whole set.
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
        # How long an answer is reused if demand exceeds the requests that the leader can receive.
        self.answer_reuse_us = self.size * S / max(1.0, self.max_requests_per_s)

    def change_plan(self, plan: Plan, plan_index: int, now_us: int) -> None:
        """Apply another plan: levels and debts scale with the burst, granted slots remain granted."""
        self.refill(now_us)
        self.key = self.key._replace(plan_index=plan_index)
        self.plan = split_plan(plan, self.key.set_size) if self.is_isolated else plan
        self.quota.change_plan(self.plan)
        self.ceiling.change_plan(self.plan)
        if self.needs_leader_slots() and not self.ceiling.ceded_until_us:
            # Reports of other processes may already let the leader use this share.
            self.ceiling.cede(now_us)

    def refill(self, now_us: int) -> "Customer":
        """Refill the buckets and decay the demand up to now; return the customer.

        While the leader's answer is fresh, its demand and level are kept, because other gateways keep
        spending in the meantime.
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

    def is_replenished(self) -> bool:
        """Return whether the customer, as last refilled, is as good as one that is new here."""
        if self.in_flight or self.grant_requests.by_number or not self.leader_slots.is_unused():
            return False
        has_ceiling_units = not self.has_ceiling() or self.ceiling.is_full()
        return has_ceiling_units and self.quota.is_full()

    # --- admission under the quota ---

    def chance(self, units: float, known: bool = True) -> float:
        """Return the admission probability; `known` tells whether the leader has answered for this request.

        The probability is quota divided by summed demand, where the quota is the level of the set plus the
        units that refill while demand decays. If a local share cannot hold the request, or the leader grants
        the slots, the leader is asked for each request and its level decides. A request decided by an older
        answer draws on what requests to the leader leave of the level; one without any answer draws on the
        allowance.
        """
        level = self.quota.set_level
        if self.is_isolated and self.plan.rate:
            # The demand of other gateways is unknown; a request above the burst leaves a debt.
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
        """Return the part of the level available to requests decided by an older answer.

        It excludes the reserve and what requests to the leader spend, over the decay time of demand.
        """
        reserved = RESERVED_BURST_FRACTION * self.plan.burst
        requested = min(self.plan.rate, self.max_requests_per_s) * DEMAND_DECAY_US / S
        return (self.quota.set_level - reserved) * DEMAND_DECAY_US / self.answer_reuse_us - requested

    def has_local_share(self, units: float) -> bool:
        """Return whether the local share holds at least `units`."""
        return self.quota.has_local_share(units)

    def has_fresh_answer(self, now_us: int) -> bool:
        """Return whether the last answer of the leader is younger than LEADER_ANSWER_TTL_US."""
        return now_us - self.last_answer_us < LEADER_ANSWER_TTL_US

    def cannot_have_refilled(self, units: float, now_us: int) -> bool:
        """Return whether, according to a fresh answer, the set's bucket cannot hold `units` yet."""
        return self.has_fresh_answer(now_us) and self.max_level(now_us) < units

    def max_level(self, now_us: int) -> float:
        """Return an upper bound of the set's level by the last answer; other gateways may have spent since.

        Before any answer, and from LEADER_ANSWER_TTL_US after it, the level already includes refills.
        """
        has_answer = self.last_answer_us > -NEVER
        unrefilled_us = min(now_us - self.last_answer_us, LEADER_ANSWER_TTL_US) if has_answer else 0
        return min(self.plan.burst, self.quota.set_level + self.plan.rate * unrefilled_us / S)

    def spend(self, units: float) -> None:
        """Subtract units from the set's bucket; negative units are returned to it."""
        self.quota.spend_from_set(units)

    def count_grant(self, units: float) -> None:
        """Subtract the units of a grant that is decided here from the set's bucket."""
        self.quota.count_grant(units)

    def take(self, units: float) -> None:
        """Spend the units of a request at this gateway; negative units are returned."""
        self.quota.spend_locally(units)

    def quota_wait_us(self, units: float, now_us: int) -> float:
        """Return the estimated wait, in microseconds, until the quota holds `units`.

        The estimate uses the rate that the demand of others leaves; NEVER if they leave none. It is never
        negative. If the level of the set already holds the units, the request only lacked an answer of the
        leader.
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
        """Return the estimated wait, in microseconds, until units that the set's level holds may be spent.

        The leader is asked again after the backoff; without a fresh answer the allowance may refill earlier.
        """
        backoff_us = max(0.0, self.backoff.next_request_us - now_us)
        if self.has_fresh_answer(now_us):
            return backoff_us
        return min(backoff_us, self.quota.allowance_wait_us(units))

    def has_unreported_beyond(self, max_units: float) -> bool:
        """Return whether unreported demand, or units spent or returned, exceed `max_units`."""
        return max(self.demand.unreported_units, abs(self.quota.unreported_spend)) > max_units

    def clear_unreported(self) -> None:
        """Mark all demand and spending here as reported."""
        self.demand.unreported_units = 0.0
        self.quota.unreported_spend = 0.0

    def on_leader_answer(self, demand: float, level: float, now_us: int) -> None:
        """Apply the demand and the level of the set that the leader answered."""
        self.last_answer_us = now_us
        self.demand.units = demand
        self.quota.update_set_level(level)
        self.backoff.reset()

    def back_off(self, now_us: int, jitter: float) -> None:
        """Pause requests to a leader that did not answer; `jitter` is from 0 to 1."""
        self.backoff.back_off(now_us, jitter)

    # --- rate ceiling ---

    def has_ceiling(self) -> bool:
        """Return whether the plan sets a rate ceiling."""
        return self.plan.ceiling_rate > 0

    def lacks_ceiling_units(self, units: float) -> bool:
        """Return whether the rate ceiling, as last refilled, has too few units for a request."""
        return self.ceiling.lacks(units)

    def ceiling_wait_us(self, units: float) -> float:
        """Return the wait, in microseconds, until the local share of the ceiling holds `units`."""
        return self.ceiling.wait_us(units)

    def charge_ceiling(self, units: float) -> None:
        """Charge the first attempt of a request to the rate ceiling."""
        self.ceiling.draw(units)

    def refund_ceiling(self, units: float) -> None:
        """Refund the units of a first attempt that was not sent."""
        self.ceiling.add(units)

    def empty_ceiling(self, now_us: int) -> None:
        """Empty the local share of the ceiling, because another process may have used it."""
        self.refill(now_us)
        self.ceiling.empty()

    def cede_ceiling(self, now_us: int) -> None:
        """Cede the refill of the local share, which the leader may use from a report on."""
        self.refill(now_us)
        self.ceiling.cede(now_us)
        self.member_slot.reported_us = now_us

    def reclaim_ceded_ceiling(self, now_us: int) -> None:
        """Stop using refills ceded by other gateways, which a successor process would not know of."""
        self.refill(now_us)
        self.ceiling.drop_received()

    # --- concurrency slots ---

    def attempt_began(self) -> None:
        """Record that an attempt of the customer is in flight."""
        self.in_flight += 1

    def attempt_ended(self) -> None:
        """Record that an attempt of the customer is no longer in flight."""
        self.in_flight -= 1

    def shares_slots(self) -> bool:
        """Return whether the open cap is too small to split over the set, so that the leader grants slots."""
        return 0 < self.plan.max_in_flight < self.size

    def needs_leader_slots(self) -> bool:
        """Return whether another gateway grants the slots."""
        return self.shares_slots() and not self.is_leader

    def waits_for_leader(self) -> bool:
        """Return whether a member's first attempt needs a granted slot; False while the leader is silent."""
        return self.shares_slots() and not self.member_slot.is_leader_silent()

    def lacks_slot(self, now_us: int) -> bool:
        """Return whether the open cap currently permits no further first attempt."""
        if not self.plan.max_in_flight:
            return False
        if self.shares_slots() and self.is_leader:
            return self.slots_in_use(now_us) >= self.plan.max_in_flight
        if self.waits_for_leader():
            return not self.member_slot.is_usable(now_us)
        return self.in_flight >= max(1, self.plan.max_in_flight // self.size)

    def slots_in_use(self, now_us: int, excluded_peer: int = -1) -> int:
        """As the leader, return the number of slots that it and the other gateways use or were granted."""
        return self.in_flight + self.leader_slots.in_use(now_us, excluded_peer)

    def next_slot_peer(self, now_us: int) -> int | None:
        """As the leader, return the gateway to grant a slot to; None if no slot is free or none fits."""
        self.leader_slots.drop_abandoned(now_us)
        if not self.leader_slots.queue or self.slots_in_use(now_us) >= self.plan.max_in_flight:
            return None
        self.refill(now_us)
        return self.leader_slots.next_peer(self.ceiling.units)

    def grant_slot(self, peer: int, now_us: int) -> float:
        """As the leader, grant a queued slot request and return the units that it names."""
        units = self.leader_slots.grant(peer, now_us)
        self.ceiling.draw(ceiling_units_of(units))
        return units

    def on_slot_answer(self, answer: SlotGrant, units: float, number: int, now_us: int) -> None:
        """Apply the leader's answer to a slot request: it was queued, or granted with ceiling `units`.

        A repeated grant has no effect.
        """
        if answer is not SlotGrant.GRANTED:
            self.member_slot.on_queued(now_us)
        elif self.member_slot.awaits_grant(number):
            self.member_slot.on_granted(now_us, number)
            self.ceiling.add(ceiling_units_of(units))

    def use_slot(self, now_us: int) -> None:
        """Record a first attempt; the leader counts it since the grant, so a new slot may be requested."""
        self.member_slot.on_attempt_sent()
        if self.needs_leader_slots():
            self.member_slot.reported_us = now_us

    # --- handover ---

    def snapshot(self) -> CustomerSnapshot:
        """Return the customer's state for a successor process."""
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
        """Restore the state from the snapshot; key and refill time are set already."""
        self.quota.local_share = snapshot.share
        self.quota.set_level = snapshot.level
        self.demand.units = snapshot.demand
        self.ceiling.units = snapshot.ceiling
        self.last_answer_us = snapshot.last_answer_us
        self.demand.unreported_units = snapshot.unreported_demand
        self.quota.unreported_spend = snapshot.unreported_spend

    def restore_at(self, snapshot: CustomerSnapshot, now_us: int) -> None:
        """Restore the state from a predecessor's snapshot, and extend the cession of the ceiling from now."""
        self.restore(snapshot)
        self.ceiling.extend_cession(now_us)

    def hand_over_unreported(self) -> float:
        """Leave reporting to a successor process; return the spent units that it is to report."""
        self.demand.unreported_units = 0.0
        return self.quota.hand_over_unreported()

    def take_back_unreported(self) -> None:
        """Report handed-over spending here again, because the successor has ended."""
        self.quota.take_back_unreported()
