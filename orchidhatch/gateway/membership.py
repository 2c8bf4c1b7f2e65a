"""Who is in the list, and who is left out of it by hand."""

from orchidhatch.gateway.actions import EjectionResult, Subscribe
from orchidhatch.gateway.bounded_map import forget_excess
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, SetEjection
from orchidhatch.gateway.load_balancing import LoadBalancer, Server
from orchidhatch.gateway.snapshots import HandoverEjection
from orchidhatch.gateway.times import NEVER

MOST_NAMES = 4096  # servers remembered as once listed, and so at most those left out by hand


class Membership:
    """Keeps what routing may choose from as the list and the operators say."""

    def __init__(self, context: DecisionContext, routing: LoadBalancer) -> None:
        self.context, self.balancer = context, routing
        self.names: dict[str, bool] = {}  # all that were ever listed, and whether left out by hand

    def on_list(self, news: EndpointList) -> None:
        context, routing = self.context, self.balancer
        if context.settings.must_subscribe and news.kind in (EndpointListKind.SAVED, EndpointListKind.FAILED):
            context.actions.append(Subscribe(True))
        named = {entry.name for entry in news.endpoints}
        part = news.kind in (
            EndpointListKind.CHANGES,
            EndpointListKind.FAILED,
        )  # after a failure the old list holds
        routing.servers = {name: known for name, known in routing.servers.items() if part or name in named}
        for entry in news.endpoints:
            known = routing.servers.get(entry.name)
            if known is None or known.endpoint.started_us != entry.started_us:
                known = routing.servers[entry.name] = Server(entry)
                # All gateways hear of it at once, and each owes it little: by chance they begin apart.
                known.credit, known.credit_us = context.random.random(), context.now_us
            known.endpoint = entry
            self.names.setdefault(entry.name, False)
        forget_excess(self.names, MOST_NAMES, self.balancer.servers)
        self.find_up()

    def find_up(self) -> None:
        routing, set_ = self.balancer, self.context.settings
        routing.by_checksum = {}
        for server in routing.servers.values():
            routing.by_checksum[server.checksum] = None if server.checksum in routing.by_checksum else server
            started = max(server.endpoint.started_us, server.cold_since_us)
            cold = started and set_.cold_capacity < 1
            server.warm_at_us = started + max(1, set_.warm_up_us) if cold else -NEVER
        routing.up = [
            server
            for server in routing.servers.values()
            if server.endpoint.state is EndpointState.UP and not self.names.get(server.endpoint.name)
        ]
        routing.count_warm()

    def on_maint(self, event: SetEjection) -> None:
        """Leave a server out whatever the list says, or take it back: by a trial, and as a cold one."""
        known = event.server in self.names
        if known:
            self.leave_out(event)
            self.context.send_to_handover_peer(HandoverEjection(event.server, event.is_ejected))
        self.context.actions.append(EjectionResult(event.server, event.is_ejected, known))

    def leave_out(self, event: SetEjection | HandoverEjection) -> None:
        if self.names.get(event.server, False) != event.is_ejected:
            self.names[event.server] = event.is_ejected
            if (server := self.balancer.servers.get(event.server)) and not event.is_ejected:
                server.ejected_until_us = server.ejection_us = 0
                server.failure_score, server.needs_probe = 0.0, True
                server.cold_since_us = self.context.now_us
                server.credit = 1.0
            self.find_up()

    def remember(self, names: tuple[HandoverEjection, ...]) -> None:
        self.names.update((told.server, told.is_ejected) for told in names)
        forget_excess(self.names, MOST_NAMES, self.balancer.servers)
        self.find_up()
