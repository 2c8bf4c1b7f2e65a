"""What the gateway knows of each customer, and how it is put into a snapshot and restored."""

from orchidhatch.gateway.settings import Plan, Settings
from orchidhatch.gateway.snapshots import CustomerKey, CustomerSnapshot
from orchidhatch.gateway.times import NEVER


class CustomerRecord:
    """The state of a customer: its local share of quota and ceiling, and what is known of its gateway set.

    One gateway of the set is the customer's quota leader, whose state of the set is the whole. Where gateways
    may not gossip, each goes by its share as if it were the whole set.
    """

    def __init__(self, plan: Plan, key: CustomerKey, settings: Settings, now_us: int) -> None:
        self.plan = plan
        self.key = key
        self.size = key.set_size if settings.may_gossip else 1
        self.leader = settings.gateway_index
        if settings.may_gossip:
            self.leader = (key.set_first + key.customer % self.size) % settings.gateway_count
        self.is_leader = self.leader == settings.gateway_index
        self.refilled_us = now_us
        self.share = plan.burst / self.size
        self.level = plan.burst
        self.demand = 0.0
        # What may be spent before the leader is heard: the local share, of one request at least.
        self.allowance = max(1.0, self.share)
        self.in_flight = 0
        # While the leader does not answer, it is not asked.
        self.next_request_us = 0
        self.backoff_us = 0
        self.last_answer_us = -NEVER
        self.ceiling = 0.0
        # Until when the local share of the ceiling's rate is the leader's.
        self.ceded_until_us = 0

        # At the leader: attempts in flight by gateway and when it reported them; when slots were granted that
        # are not yet seen in use; who waits for a slot, longest first, for how many units and since when;
        # until when a gateway cedes its share of the ceiling.
        self.peers_in_flight: dict[int, tuple[int, int]] = {}
        self.granted_slots: dict[int, list[int]] = {}
        self.slot_queue: dict[int, tuple[float, int]] = {}
        self.ceded_by_peer: dict[int, int] = {}

        # Elsewhere: when a slot was granted and requested last, requests unanswered, the last report.
        self.slot_granted_us = -NEVER
        self.slot_requested_us = -NEVER
        self.slot_requests = 0
        self.is_queued = False
        self.reported_us = -NEVER
        self.unreported_demand = 0.0
        self.unreported_spend = 0.0

    def snapshot(self) -> CustomerSnapshot:
        """What is handed over of it."""
        return CustomerSnapshot(
            key=self.key,
            refilled_us=self.refilled_us,
            share=self.share,
            level=self.level,
            demand=self.demand,
            ceiling=self.ceiling,
            last_answer_us=self.last_answer_us,
            unreported_demand=self.unreported_demand,
            unreported_spend=self.unreported_spend,
        )

    def restore(self, snapshot: CustomerSnapshot) -> None:
        """Go on from the snapshot; the record has its key and time already."""
        self.share = snapshot.share
        self.level = snapshot.level
        self.demand = snapshot.demand
        self.ceiling = snapshot.ceiling
        self.last_answer_us = snapshot.last_answer_us
        self.unreported_demand = snapshot.unreported_demand
        self.unreported_spend = snapshot.unreported_spend
