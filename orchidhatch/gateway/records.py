"""What the gateway knows of each server and each customer, and how it is put into a snapshot and restored."""

import zlib

from orchidhatch.gateway.endpoints import Endpoint
from orchidhatch.gateway.settings import Plan, Settings
from orchidhatch.gateway.snapshots import CustomerKey, CustomerSnapshot, ServerSnapshot
from orchidhatch.gateway.times import NEVER

SAME_START_US = 100_000  # two processes may reckon a server's start from the wall clock this differently


class ServerRecord:
    """The state of a server of the endpoint list: its attempts, health and slow start."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        # Its place in the order of the list; a server that was started anew has that of its predecessor.
        self.serial = 0
        self.checksum = zlib.crc32(endpoint.name.encode()) & 0xFFFF
        # Attempts by request and number, and when each was sent.
        self.in_flight: dict[tuple[str, int], int] = {}
        self.last_answer_us = 0
        self.ejected_until_us = 0
        self.ejection_us = 0
        # Latency over the mean, or WORST for a failure, as all gateways have met it.
        self.fault_score = 1.0
        self.relative_latency = 1.0
        # A decaying count of failures.
        self.failure_score = 0.0
        self.needs_probe = False
        self.reported_load: float | None = None
        self.load_reported_us = 0
        # When it was last readmitted after an ejection.
        self.recovered_us = -NEVER
        # How much more it is sent while cold, as its answers show that it is warmer.
        self.pace = 1.0
        # When it may have started anew, ejected by an operator.
        self.cold_since_us = 0
        # From when on it is warm, by its start.
        self.warm_at_us = NEVER
        # The part of an attempt that is due to it while cold, and as of when.
        self.credit = 0.0
        self.credit_us = 0

    def snapshot(self) -> ServerSnapshot:
        """What is handed over of it."""
        return ServerSnapshot(
            name=self.endpoint.name,
            started_us=self.endpoint.started_us,
            relative_latency=self.relative_latency,
            failure_score=self.failure_score,
            needs_probe=self.needs_probe,
            ejected_until_us=self.ejected_until_us,
            ejection_us=self.ejection_us,
            recovered_us=self.recovered_us,
            cold_since_us=self.cold_since_us,
            credit=self.credit,
            credit_us=self.credit_us,
        )

    def restore(self, snapshot: ServerSnapshot) -> None:
        """Go on from the snapshot, unless the server has been started anew since."""
        if abs(self.endpoint.started_us - snapshot.started_us) >= SAME_START_US:
            return
        self.relative_latency = snapshot.relative_latency
        self.failure_score = snapshot.failure_score
        self.needs_probe = snapshot.needs_probe
        self.ejected_until_us = snapshot.ejected_until_us
        self.ejection_us = snapshot.ejection_us
        self.recovered_us = snapshot.recovered_us
        self.cold_since_us = snapshot.cold_since_us
        self.credit = snapshot.credit
        self.credit_us = snapshot.credit_us


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
