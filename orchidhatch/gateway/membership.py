"""Who is in the list, and who is left out of it by hand."""

from orchidhatch.gateway.actions import EjectionResult, Subscribe
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, SetEjection
from orchidhatch.gateway.load_balancing import Routing, Server
from orchidhatch.gateway.snapshots import HandoverEjection
from orchidhatch.gateway.times import NEVER

MOST_NAMES = 4096  # servers remembered as once listed, and so at most those left out by hand


class Membership:
    """Keeps what routing may choose from as the list and the operators say."""

    def __init__(self, desk: DecisionContext, routing: Routing) -> None:
        self.desk, self.routing = desk, routing
        self.names: dict[str, bool] = {}  # all that were ever listed, and whether left out by hand

    def on_list(self, news: EndpointList) -> None:
        desk, routing = self.desk, self.routing
        if desk.set.must_subscribe and news.kind in (EndpointListKind.SAVED, EndpointListKind.FAILED):
            desk.actions.append(Subscribe(True))
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
                known.credit, known.credit_us = desk.random.random(), desk.now
            known.endpoint = entry
            self.names.setdefault(entry.name, False)
        self.forget_names()
        self.find_up()

    def forget_names(self) -> None:
        """The names are bounded: first go those that are neither listed nor left out."""
        if (excess := len(self.names) - MOST_NAMES) > 0:
            unlisted = {name: out for name, out in self.names.items() if name not in self.routing.servers}
            spare = [name for name, out in unlisted.items() if not out]
            spare += [name for name, out in unlisted.items() if out]
            for name in spare[:excess]:
                del self.names[name]

    def find_up(self) -> None:
        routing, set_ = self.routing, self.desk.set
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
            self.desk.tell_twin(HandoverEjection(event.server, event.is_ejected))
        self.desk.actions.append(EjectionResult(event.server, event.is_ejected, known))

    def leave_out(self, event: SetEjection | HandoverEjection) -> None:
        if self.names.get(event.server, False) != event.is_ejected:
            self.names[event.server] = event.is_ejected
            if (server := self.routing.servers.get(event.server)) and not event.is_ejected:
                server.ejected_until_us = server.ejection_us = 0
                server.failure_score, server.needs_probe, server.cold_since_us = 0.0, True, self.desk.now
                server.credit = 1.0
            self.find_up()

    def remember(self, names: tuple[HandoverEjection, ...]) -> None:
        self.names.update((told.server, told.is_ejected) for told in names)
        self.forget_names()
        self.find_up()
