"""Who is in the list, and who is left out of it by hand."""

from orchidhatch.gateway.actions import EjectionResult, Subscribe
from orchidhatch.gateway.bounded_map import forget_excess
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, SetEjection
from orchidhatch.gateway.load_balancing import LoadBalancer, Server
from orchidhatch.gateway.snapshots import HandoverEjection
from orchidhatch.gateway.times import NEVER

# Lists that leave out what has not changed; after a failed call the old list holds.
PARTIAL_LISTS = (EndpointListKind.CHANGES, EndpointListKind.FAILED)
MOST_GONE = 64  # servers that were removed by changes of the list and are remembered
MOST_NAMES = 4096  # servers remembered as once listed, and so at most those left out by hand


class Membership:
    """Keeps what routing may choose from as the list and the operators say."""

    def __init__(self, context: DecisionContext, routing: LoadBalancer) -> None:
        self.context, self.balancer = context, routing
        self.last_serial = 0
        self.gone: dict[str, None] = {}  # by when they went, the first first
        self.names: dict[str, bool] = {}  # all that were ever listed, and whether left out by hand

    def on_list(self, news: EndpointList) -> None:
        context, routing = self.context, self.balancer
        if context.settings.must_subscribe and news.kind in (EndpointListKind.SAVED, EndpointListKind.FAILED):
            context.actions.append(Subscribe(True))
        if news.kind not in PARTIAL_LISTS:
            named = {entry.name for entry in news.endpoints}
            for name in [name for name in routing.servers if name not in named]:
                self.remove(name)
        for entry in news.endpoints:
            self.names.setdefault(entry.name, False)
            self.add(entry)
            self.count_gone(entry)
        forget_excess(self.names, MOST_NAMES, routing.servers)
        routing.count_warm()

    def count_gone(self, entry: Endpoint) -> None:
        """Remember a bounded number of servers that are gone, as one of them may return."""
        self.gone.pop(entry.name, None)
        if entry.state is EndpointState.GONE:
            self.gone[entry.name] = None
        while len(self.gone) > MOST_GONE:
            self.remove(next(iter(self.gone)))

    def add(self, entry: Endpoint) -> None:
        """Take over a listed server; one that has started anew begins with a record of its own."""
        known = self.balancer.servers.get(entry.name)
        if known is None or known.endpoint.started_us != entry.started_us:
            known = self.create(entry, known)
        known.endpoint = entry
        self.place(known)

    def create(self, entry: Endpoint, before: Server | None) -> Server:
        """A new record, in the place of the one before it if there was one."""
        server = self.balancer.servers[entry.name] = Server(entry)
        # All gateways hear of it at once, and each owes it little: by chance they begin apart.
        server.credit, server.credit_us = self.context.random.random(), self.context.now_us
        if before:
            server.serial = before.serial
            self.balancer.index.remove(before)
        else:
            self.last_serial += 1
            server.serial = self.last_serial
        return server

    def remove(self, name: str) -> None:
        """Forget a server that is not listed any more; attempts in flight there end as they do."""
        self.gone.pop(name, None)
        if server := self.balancer.servers.pop(name, None):
            self.balancer.index.remove(server)

    def place(self, server: Server) -> None:
        """Put a listed server where its entry, its start and the operators say."""
        settings, entry = self.context.settings, server.endpoint
        started_us = max(entry.started_us, server.cold_since_us)
        is_cold = started_us and settings.cold_capacity < 1
        server.warm_at_us = started_us + max(1, settings.warm_up_us) if is_cold else -NEVER
        is_up = entry.state is EndpointState.UP and not self.names.get(entry.name)
        self.balancer.index.add(server, is_up)

    def find_up(self) -> None:
        """Place all listed servers anew."""
        for server in self.balancer.servers.values():
            self.place(server)
        self.balancer.count_warm()

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
            server = self.balancer.servers.get(event.server)
            if server and not event.is_ejected:
                server.ejected_until_us = server.ejection_us = 0
                server.failure_score, server.needs_probe = 0.0, True
                server.cold_since_us = self.context.now_us
                server.credit = 1.0
            if server:
                self.place(server)
                self.balancer.count_warm()

    def remember(self, names: tuple[HandoverEjection, ...]) -> None:
        self.names.update((told.server, told.is_ejected) for told in names)
        forget_excess(self.names, MOST_NAMES, self.balancer.servers)
        self.find_up()
