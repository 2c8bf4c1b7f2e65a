"""Membership: which servers are listed and up, by the endpoint list and the operators' ejections."""

from orchidhatch.gateway.actions import EjectionResult, Subscribe
from orchidhatch.gateway.bounded_map import forget_excess
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, SetEjection
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.snapshots import HandoverEjection

# Events without a complete list; after a failed call the previous list stays valid.
PARTIAL_LISTS = (EndpointListKind.CHANGES, EndpointListKind.FAILED)
# Events after which the gateway has no subscription to changes.
UNSUBSCRIBED_LISTS = (EndpointListKind.SAVED, EndpointListKind.FAILED)
# Records kept of servers that the list has marked as gone.
MAX_GONE_SERVERS = 64
# Names remembered as once listed, which also bounds the servers ejected by operators.
MAX_KNOWN_NAMES = 4096


class Membership:
    """Updates the load balancer's servers from the endpoint list and the operators' ejections."""

    def __init__(self, context: DecisionContext, balancer: LoadBalancer) -> None:
        self.context = context
        self.balancer = balancer
        self.last_serial = 0
        # Servers that the list has marked as gone, the earliest first.
        self.gone_servers: dict[str, None] = {}
        # Whether an operator has ejected the server, by the name of each server that was ever listed.
        self.ejected_by_name: dict[str, bool] = {}

    # --- the endpoint list ---

    def on_endpoint_list(self, event: EndpointList) -> None:
        """Apply an endpoint list or changes to it, and subscribe to changes if necessary."""
        if self.context.settings.must_subscribe and event.kind in UNSUBSCRIBED_LISTS:
            self.context.actions.append(Subscribe(True))
        if event.kind not in PARTIAL_LISTS:
            self._remove_unlisted(event.endpoints)
        for endpoint in event.endpoints:
            self.ejected_by_name.setdefault(endpoint.name, False)
            self._add(endpoint)
            self._limit_gone(endpoint)
        forget_excess(self.ejected_by_name, MAX_KNOWN_NAMES, self.balancer.servers)
        self.balancer.update_warm_capacity()

    def _remove_unlisted(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Remove the servers that are missing from a complete list."""
        listed = {endpoint.name for endpoint in endpoints}
        unlisted = [name for name in self.balancer.servers if name not in listed]
        for name in unlisted:
            self._remove(name)

    def _limit_gone(self, endpoint: Endpoint) -> None:
        """Keep the records of a bounded number of servers that are gone, as a server may return."""
        self.gone_servers.pop(endpoint.name, None)
        if endpoint.state is EndpointState.GONE:
            self.gone_servers[endpoint.name] = None
        while len(self.gone_servers) > MAX_GONE_SERVERS:
            self._remove(next(iter(self.gone_servers)))

    def _add(self, endpoint: Endpoint) -> None:
        """Add or update a listed server; a restarted server gets a new record."""
        server = self.balancer.servers.get(endpoint.name)
        if server is None or server.endpoint.started_us != endpoint.started_us:
            server = self._create(endpoint, server)
        server.endpoint = endpoint
        self._update(server)

    def _create(self, endpoint: Endpoint, previous_record: ServerRecord | None) -> ServerRecord:
        """Create a record, in the list position of the server's previous record if there is one."""
        server = ServerRecord(endpoint)
        self.balancer.servers[endpoint.name] = server
        self.balancer.slow_start.randomize_credit(server)
        if previous_record:
            server.serial = previous_record.serial
            self.balancer.index.remove(previous_record)
        else:
            self.last_serial += 1
            server.serial = self.last_serial
        return server

    def _remove(self, name: str) -> None:
        """Remove a server that has left the list; its attempts in flight continue."""
        self.gone_servers.pop(name, None)
        server = self.balancer.servers.pop(name, None)
        if server:
            self.balancer.index.remove(server)

    def _update(self, server: ServerRecord) -> None:
        """Update the slow start of a listed server, and whether it may be sent new work."""
        self.balancer.slow_start.schedule_warm_up(server)
        endpoint = server.endpoint
        is_up = endpoint.state is EndpointState.UP and not self.ejected_by_name.get(endpoint.name)
        self.balancer.index.add(server, is_up)

    # --- ejections by operators ---

    def on_set_ejection(self, event: SetEjection) -> None:
        """Eject or readmit a server for an operator, notify the handover peer and report the result."""
        is_known = event.server in self.ejected_by_name
        if is_known:
            self.set_ejection(event)
            self.context.send_to_handover_peer(HandoverEjection(event.server, event.is_ejected))
        self.context.actions.append(EjectionResult(event.server, event.is_ejected, is_known))

    def set_ejection(self, event: SetEjection | HandoverEjection) -> None:
        """Eject a server regardless of the list, or readmit it by a recovery probe and a slow start."""
        if self.ejected_by_name.get(event.server, False) == event.is_ejected:
            return
        self.ejected_by_name[event.server] = event.is_ejected
        server = self.balancer.servers.get(event.server)
        if server is None:
            return
        if not event.is_ejected:
            self.balancer.outliers.require_probe(server)
            self.balancer.slow_start.restart_warm_up(server)
        self._update(server)
        self.balancer.update_warm_capacity()

    def restore_ejections(self, ejections: tuple[HandoverEjection, ...]) -> None:
        """Restore the operators' ejections from a predecessor's snapshot."""
        self.ejected_by_name.update((ejection.server, ejection.is_ejected) for ejection in ejections)
        forget_excess(self.ejected_by_name, MAX_KNOWN_NAMES, self.balancer.servers)
        for server in self.balancer.servers.values():
            self._update(server)
        self.balancer.update_warm_capacity()
