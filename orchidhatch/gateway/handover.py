"""Handover: two processes act as one gateway while the successor takes over from the predecessor.

The predecessor hands over a snapshot. From then on each process informs the other of its spending and its
attempts in flight, so that quotas, rate ceilings and limits apply to both together.
"""

from collections.abc import Iterable
from typing import NamedTuple

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import HandoverPeerGone, HandoverPeerUnknown
from orchidhatch.gateway.handover_state import (
    restore_grants,
    restore_overload,
    restore_servers,
    restore_totals,
    take_snapshot,
)
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.membership import Membership
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.snapshots import (
    CustomerSnapshot,
    GatewaySnapshot,
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverSpend,
)


class PeerAttempt(NamedTuple):
    """An attempt that the other process has in flight; `server` is None if it is not listed here."""

    customer: Customer
    server: ServerRecord | None


class HandoverPeer:
    """The other process of this gateway, and its attempts in flight."""

    def __init__(
        self,
        context: DecisionContext,
        balancer: LoadBalancer,
        membership: Membership,
        quotas: QuotaLeaders,
        overload: OverloadController,
    ) -> None:
        self.context = context
        self.balancer = balancer
        self.membership = membership
        self.quotas = quotas
        self.overload = overload
        # By request id and attempt number.
        self.in_flight: dict[tuple[str, int], PeerAttempt] = {}

    # --- the snapshot ---

    def hand_over(self, requests: Iterable[InFlightRequest]) -> None:
        """Hand over a snapshot to a successor; requests in flight stay here until they end."""
        context = self.context
        customers = self.quotas.customers.values()
        context.has_handover_peer = True
        self.quotas.expire_presumed_grants()
        for customer in customers:
            customer.reclaim_ceded_ceiling(context.now_us)
        snapshot = take_snapshot(
            context, self.overload, self.balancer, customers, self.membership.ejected_by_name, requests
        )
        context.actions.append(snapshot)
        context.has_successor = True
        for customer in customers:
            customer.hand_over_unreported()

    def on_snapshot(self, snapshot: GatewaySnapshot) -> None:
        """Restore the predecessor's snapshot; both processes read the same clock."""
        self.context.has_handover_peer = True
        restore_overload(self.overload, snapshot.overload)
        restore_servers(self.balancer, snapshot)
        for customer_snapshot in snapshot.customers:
            if self.quotas.is_in_set(customer_snapshot.key):
                self._restore_customer(customer_snapshot)
        restore_grants(self.quotas.customers, snapshot)
        restore_totals(self.quotas.customers, snapshot)
        self.membership.restore_ejections(snapshot.ejections)
        for attempt in snapshot.attempts:
            self.on_attempt(attempt)

    def _restore_customer(self, snapshot: CustomerSnapshot) -> None:
        plan = self.context.settings.plans[snapshot.key.plan_index]
        customer = Customer(plan, snapshot.key, self.context.settings, snapshot.refilled_us)
        self.quotas.customers[snapshot.key] = customer
        customer.restore_at(snapshot, self.context.now_us)

    # --- spending and attempts of the other process ---

    def on_spend(self, event: HandoverSpend) -> None:
        """Charge the customer's quota for units that the other process has spent.

        The successor reports them to the quota leader, whichever of the two processes spent them.
        """
        if self.quotas.is_in_set(event.key):
            customer = self.quotas.customer(event.key)
            reported_elsewhere = event.units if self.context.has_successor else event.counted
            customer.take(event.units)
            customer.quota.unreported_spend -= reported_elsewhere
            for grant in event.answered:
                customer.grant_requests.restore(grant)

    def on_attempt(self, event: HandoverAttempt) -> None:
        """Count an attempt of the other process, once, against rate ceilings, limits and slow start."""
        attempt_key = (event.id, event.attempt)
        if not self.quotas.is_in_set(event.key) or attempt_key in self.in_flight:
            return
        customer = self.quotas.customer(event.key)
        server = self.balancer.servers.get(event.server)
        self.in_flight[attempt_key] = PeerAttempt(customer, server)
        customer.charge_ceiling(event.units)
        customer.attempt_began()
        self.overload.in_flight += 1
        if event.units > 0:
            self.overload.admitted_this_period += 1
        if server:
            self.balancer.attempt_began(server, attempt_key, event.sent_us)
            server.credit -= 1

    def on_attempt_end(self, event: HandoverAttemptEnd) -> None:
        """Count an attempt of the other process as no longer in flight, if it was."""
        attempt_key = (event.id, event.attempt)
        if attempt_key not in self.in_flight:
            return
        attempt = self.in_flight.pop(attempt_key)
        attempt.customer.attempt_ended()
        self.overload.in_flight -= 1
        if attempt.server:
            self.balancer.attempt_ended(attempt.server, attempt_key)

    # --- presence of the other process ---

    def on_peer_unknown(self, _: HandoverPeerUnknown) -> None:
        """Hold back requests under a rate ceiling, as another process may be using it up."""
        self.context.has_unknown_peer = True

    def on_peer_gone(self, _: HandoverPeerGone) -> None:
        """Handle the end of the other process, which ends its attempts too.

        If it was the successor, this process reports again what was left to it, where still possible. If it
        was unknown, it may have used up every rate ceiling, so all of them restart empty.
        """
        self.context.has_handover_peer = False
        if self.context.has_successor:
            self.resume_reporting()
        if self.context.has_unknown_peer:
            self.context.has_unknown_peer = False
            for customer in self.quotas.customers.values():
                customer.empty_ceiling(self.context.now_us)
        for request_id, attempt in list(self.in_flight):
            self.on_attempt_end(HandoverAttemptEnd(request_id, attempt))

    def resume_reporting(self) -> None:
        """Resume reporting in new report streams, as the successor may have continued the previous ones."""
        self.context.has_successor = False
        for customer in self.quotas.customers.values():
            customer.take_back_unreported()
            customer.report_stream.end()
