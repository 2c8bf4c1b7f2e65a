"""Two processes that are one gateway, while one takes over from the other."""

from collections.abc import Iterable

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import HandoverPeerGone, HandoverPeerUnknown
from orchidhatch.gateway.handover_state import restore_overload, restore_servers, take_snapshot
from orchidhatch.gateway.in_flight import Job
from orchidhatch.gateway.load_balancing import Routing, Server
from orchidhatch.gateway.membership import Membership
from orchidhatch.gateway.overload import Cap
from orchidhatch.gateway.quota import CEDED_US, Customer
from orchidhatch.gateway.quota_leaders import Homes
from orchidhatch.gateway.snapshots import GatewaySnapshot, HandoverAttempt, HandoverAttemptEnd, HandoverSpend


class Twin:
    """What the other process has out, and all that the rules, quotas and health rest on, handed over."""

    def __init__(
        self, desk: DecisionContext, routing: Routing, membership: Membership, homes: Homes, cap: Cap
    ) -> None:
        self.desk, self.routing, self.membership, self.homes, self.cap = desk, routing, membership, homes, cap
        self.out: dict[tuple[str, int], tuple[Customer, Server | None]] = {}

    def hand_over(self, jobs: Iterable[Job]) -> None:
        """Requests stay, and end, where they were taken."""
        desk, customers = self.desk, self.homes.customers.values()
        desk.has_twin = True
        for known in customers:
            known.refill(desk.now).ceded_by_peer.clear()  # the other would not know of it
        desk.actions.append(
            take_snapshot(desk, self.cap, self.routing, customers, self.membership.names, jobs)
        )

    def on_state(self, told: GatewaySnapshot) -> None:
        """Go on from where the other process is; both have one clock and, but for lateness, one list."""
        self.desk.has_twin = True
        restore_overload(self.cap, told.overload)
        restore_servers(self.routing, told)
        for one in told.customers:
            if self.homes.is_ours(one.key):
                plan = self.desk.set.plans[one.key.plan_index]
                known = Customer(plan, one.key, self.desk.set, one.refilled_us)
                self.homes.customers[one.key] = known
                known.restore(one)
                known.ceded_until_us = self.desk.now + CEDED_US if known.ceded_until_us else 0
        self.membership.remember(told.ejections)
        for one in told.attempts:
            self.on_send(one)

    def on_spend(self, event: HandoverSpend) -> None:
        if self.homes.is_ours(event.key):
            self.homes.customer(event.key).take(event.units)

    def on_send(self, event: HandoverAttempt) -> None:
        name = event.id, event.attempt
        if not self.homes.is_ours(event.key) or name in self.out:
            return
        customer, server = self.homes.customer(event.key), self.routing.servers.get(event.server)
        self.out[name] = customer, server
        customer.ceiling -= event.units
        customer.in_flight, self.cap.out = customer.in_flight + 1, self.cap.out + 1
        self.cap.accepted += event.units > 0
        if server:
            server.in_flight[name] = event.sent_us
            server.credit -= 1

    def on_end(self, event: HandoverAttemptEnd) -> None:
        customer, server = self.out.pop((event.id, event.attempt), (None, None))
        if customer:
            customer.in_flight, self.cap.out = customer.in_flight - 1, self.cap.out - 1
        if server:
            server.in_flight.pop((event.id, event.attempt), None)

    def on_unknown(self, _: HandoverPeerUnknown) -> None:
        """The other may use up every ceiling's part: nothing is sent here that would count against one."""
        self.desk.blind = True

    def on_gone(self, _: HandoverPeerGone) -> None:
        self.desk.has_twin = False
        if self.desk.blind:
            self.desk.blind = False
            for customer in self.homes.customers.values():
                customer.refill(self.desk.now).ceiling = 0.0
        for name, number in list(self.out):
            self.on_end(HandoverAttemptEnd(name, number))
