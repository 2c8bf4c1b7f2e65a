"""Two processes that are one gateway, while one takes over from the other."""

from collections.abc import Iterable

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import HandoverPeerGone, HandoverPeerUnknown
from orchidhatch.gateway.handover_state import restore_overload, restore_servers, take_snapshot
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer, Server
from orchidhatch.gateway.membership import Membership
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.snapshots import GatewaySnapshot, HandoverAttempt, HandoverAttemptEnd, HandoverSpend


class HandoverPeer:
    """What the other process has out, and all that the rules, quotas and health rest on, handed over."""

    def __init__(
        self,
        context: DecisionContext,
        balancer: LoadBalancer,
        membership: Membership,
        quotas: QuotaLeaders,
        overload: OverloadController,
    ) -> None:
        self.context, self.balancer, self.membership = context, balancer, membership
        self.quotas, self.overload = quotas, overload
        self.in_flight: dict[tuple[str, int], tuple[Customer, Server | None]] = {}

    def hand_over(self, jobs: Iterable[InFlightRequest]) -> None:
        """Requests stay, and end, where they were taken."""
        context, customers = self.context, self.quotas.customers.values()
        context.has_handover_peer = True
        for known in customers:
            known.reclaim_ceded_ceiling(context.now_us)
        context.actions.append(
            take_snapshot(context, self.overload, self.balancer, customers, self.membership.names, jobs)
        )

    def on_snapshot(self, told: GatewaySnapshot) -> None:
        """Go on from where the other process is; both have one clock and, but for lateness, one list."""
        self.context.has_handover_peer = True
        restore_overload(self.overload, told.overload)
        restore_servers(self.balancer, told)
        for one in told.customers:
            if self.quotas.is_in_set(one.key):
                plan = self.context.settings.plans[one.key.plan_index]
                known = Customer(plan, one.key, self.context.settings, one.refilled_us)
                self.quotas.customers[one.key] = known
                known.restore_at(one, self.context.now_us)
        self.membership.remember(told.ejections)
        for one in told.attempts:
            self.on_attempt(one)

    def on_spend(self, event: HandoverSpend) -> None:
        if self.quotas.is_in_set(event.key):
            self.quotas.customer(event.key).take(event.units)

    def on_attempt(self, event: HandoverAttempt) -> None:
        name = event.id, event.attempt
        if not self.quotas.is_in_set(event.key) or name in self.in_flight:
            return
        customer, server = self.quotas.customer(event.key), self.balancer.servers.get(event.server)
        self.in_flight[name] = customer, server
        customer.charge_ceiling(event.units)
        customer.attempt_began()
        self.overload.in_flight += 1
        self.overload.admitted += event.units > 0
        if server:
            self.balancer.attempt_began(server, name, event.sent_us)
            server.credit -= 1

    def on_attempt_end(self, event: HandoverAttemptEnd) -> None:
        customer, server = self.in_flight.pop((event.id, event.attempt), (None, None))
        if customer:
            customer.attempt_ended()
            self.overload.in_flight -= 1
        if server:
            self.balancer.attempt_ended(server, (event.id, event.attempt))

    def on_unknown(self, _: HandoverPeerUnknown) -> None:
        """The other may use up every ceiling's part: nothing is sent here that would count against one."""
        self.context.peer_is_unknown = True

    def on_gone(self, _: HandoverPeerGone) -> None:
        self.context.has_handover_peer = False
        if self.context.peer_is_unknown:
            self.context.peer_is_unknown = False
            for customer in self.quotas.customers.values():
                customer.empty_ceiling(self.context.now_us)
        for name, number in list(self.in_flight):
            self.on_attempt_end(HandoverAttemptEnd(name, number))
