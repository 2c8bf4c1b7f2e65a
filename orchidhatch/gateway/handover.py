"""Handover: two processes act as one gateway while the successor takes over from the predecessor.

The predecessor hands over a snapshot. From then on each process tells the other what it spends and which
attempts it has in flight, so that quotas, ceilings and limits hold for both together.
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
    """An attempt that the other process has in flight; no server where it is not listed here."""

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
        # By request and attempt number.
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
            context, self.overload, self.balancer, customers, self.membership.names, requests
        )
        context.actions.append(snapshot)
        context.has_successor = True
        for customer in customers:
            customer.hand_over_unreported()

    def on_snapshot(self, snapshot: GatewaySnapshot) -> None:
        """Take over the predecessor's snapshot; both processes read the same clock."""
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

    # --- what the other process does ---

    def on_spend(self, event: HandoverSpend) -> None:
        """Take units that the other process has spent from the customer's quota.

        The successor reports them: here, or where they were spent.
        """
        if self.quotas.is_in_set(event.key):
            customer = self.quotas.customer(event.key)
            reported_elsewhere = event.units if self.context.has_successor else event.counted
            customer.take(event.units)
            customer.quota.unreported_spend -= reported_elsewhere
            for grant in event.answered:
                customer.grant_requests.restore(grant)

    def on_attempt(self, event: HandoverAttempt) -> None:
        """Count an attempt of the other process against ceilings, limits and slow start, once."""
        name = (event.id, event.attempt)
        if not self.quotas.is_in_set(event.key) or name in self.in_flight:
            return
        customer = self.quotas.customer(event.key)
        server = self.balancer.servers.get(event.server)
        self.in_flight[name] = PeerAttempt(customer, server)
        customer.charge_ceiling(event.units)
        customer.attempt_began()
        self.overload.in_flight += 1
        if event.units > 0:
            self.overload.admitted_this_period += 1
        if server:
            self.balancer.attempt_began(server, name, event.sent_us)
            server.credit -= 1

    def on_attempt_end(self, event: HandoverAttemptEnd) -> None:
        """Count an attempt of the other process as in flight no more, if it was."""
        name = (event.id, event.attempt)
        if name not in self.in_flight:
            return
        attempt = self.in_flight.pop(name)
        attempt.customer.attempt_ended()
        self.overload.in_flight -= 1
        if attempt.server:
            self.balancer.attempt_ended(attempt.server, name)

    # --- whether there is another process ---

    def on_unknown(self, _: HandoverPeerUnknown) -> None:
        """Another process may exist: send nothing that it might count against the same rate ceiling."""
        self.context.peer_is_unknown = True

    def on_gone(self, _: HandoverPeerGone) -> None:
        """The other process has ended, and its attempts with it.

        Where it was to take over, what was left to it to report is reported here, if that is possible yet.
        If it was unknown it may have used up every rate ceiling, so all of them start from empty.
        """
        self.context.has_handover_peer = False
        if self.context.has_successor:
            self.take_back_reports()
        if self.context.peer_is_unknown:
            self.context.peer_is_unknown = False
            for customer in self.quotas.customers.values():
                customer.empty_ceiling(self.context.now_us)
        for request_id, attempt in list(self.in_flight):
            self.on_attempt_end(HandoverAttemptEnd(request_id, attempt))

    def take_back_reports(self) -> None:
        """Report here again, in streams of its own: the successor may have gone on with the former ones."""
        self.context.has_successor = False
        for customer in self.quotas.customers.values():
            customer.take_back_unreported()
            customer.report_stream.end()
