"""Candidates: the servers that an attempt of a request may go to.

Excluded are ejected servers, those that the request was sent to before, those that are full and those in
slow start without credit. A keyed request that may have run stays within its deduplication scope (the
operators' rule on repeated side effects). DESIGN leaves the choice of server to the implementation.
"""

from collections.abc import Callable, Sequence

from orchidhatch.gateway.connection_affinity import ConnectionAffinity
from orchidhatch.gateway.constants import ATTEMPTS_PER_SERVER, MIN_IN_FLIGHT_LIMIT
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.outlier_detection import OutlierDetector
from orchidhatch.gateway.server_index import ServerIndex, Without
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency
from orchidhatch.gateway.slow_start import SlowStart

# Candidates compared for one attempt: if many gateways all took the emptiest server, they would flood it.
MAX_COMPARED_SERVERS = 8
# Where connections are preferred, candidates are narrowed to servers with one only if these are as many.
MIN_CONNECTED_SERVERS = MAX_COMPARED_SERVERS
# With more servers ejected or warming up than this, as many are sampled instead of inspecting all of them.
MAX_INSPECTED_SERVERS = 128


class CandidateFilter:
    """Finds the candidates of a request, without inspecting every server but for few of them."""

    def __init__(
        self,
        context: DecisionContext,
        index: ServerIndex,
        affinity: ConnectionAffinity,
        outliers: OutlierDetector,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.index = index
        self.affinity = affinity
        self.outliers = outliers
        self.slow_start = slow_start
        # Attempts that this gateway may have in flight at one server.
        self.max_in_flight = max(
            MIN_IN_FLIGHT_LIMIT, 2 * ATTEMPTS_PER_SERVER // context.settings.gateway_count
        )

    def candidates(self, request: InFlightRequest) -> Sequence[ServerRecord]:
        """The servers that an attempt of the request may go to, in the order of the list."""
        may_have_run = request.first_server is not None
        if may_have_run and request.rule.idempotency is not Idempotency.SAFE:
            return self.within_scope(request)
        if len(self.index.warming) + len(self.index.unhealthy) > MAX_INSPECTED_SERVERS:
            return self.within_sample(request)
        return self.within_index(request)

    def within_index(self, request: InFlightRequest) -> Sequence[ServerRecord]:
        """The candidates among all servers, by inspecting only those that the index marks.

        Idle servers in slow start come first: a gateway shows a server little of its load, so a server
        warming up would else stay idle beside warm ones that look as empty.
        """
        index = self.index
        excluded = self._excluded(request)
        full = {server for server in index.busy if self.is_full(server)}
        warming = index.in_order(index.warming_at(self.context.now_us)) if index.warming else []
        accepting = [server for server in warming if server not in excluded and server not in full]
        with_credit = [server for server in accepting if self.slow_start.has_credit(server)]
        idle_warming = [server for server in with_credit if not server.in_flight]
        if idle_warming:
            return idle_warming
        unavailable = excluded | full | set(accepting).difference(with_credit)
        if self.affinity.is_preferred:
            connected = [server for server in self.affinity.connected() if server not in unavailable]
            if len(connected) >= MIN_CONNECTED_SERVERS:
                return connected
        if not unavailable:
            return index.up
        return Without(index.up, [index.position(server) for server in unavailable if index.is_up(server)])

    def _excluded(self, request: InFlightRequest) -> set[ServerRecord]:
        """The servers up that are excluded for a request; none where that would be all of them."""
        index = self.index
        unhealthy = index.unhealthy_at(self.context.now_us) if index.unhealthy else ()
        inspected = [*unhealthy, *request.servers]
        excluded = {
            server for server in inspected if self.is_excluded(request, server) and index.is_up(server)
        }
        return set() if len(excluded) == len(index.up) else excluded

    def within_sample(self, request: InFlightRequest) -> Sequence[ServerRecord]:
        """The candidates among a random sample, where many servers are ejected or warming up."""
        up = self.index.up
        sample = self.context.random.sample(up, min(MAX_INSPECTED_SERVERS, len(up)))

        def connected() -> list[ServerRecord]:
            return [
                server
                for server in self.affinity.connected()
                if not self.is_excluded(request, server) and self.is_available(server)
            ]

        return self._preferred(self._inspect(request, sample), connected)

    def within_scope(self, request: InFlightRequest) -> Sequence[ServerRecord]:
        """The candidates for a retry that may not go to every server, by inspecting each of the few."""
        allowed = [server for server in self.index.up if self.is_in_scope(request, server)]
        available = self._inspect(request, allowed)

        def connected() -> list[ServerRecord]:
            return [server for server in available if self.affinity.has_connection(server)]

        return self._preferred(available, connected)

    def _inspect(self, request: InFlightRequest, servers: list[ServerRecord]) -> list[ServerRecord]:
        """Those of the servers that are available and not excluded, or available where all are excluded."""
        not_excluded = [server for server in servers if not self.is_excluded(request, server)]
        return [server for server in not_excluded or servers if self.is_available(server)]

    def _preferred(
        self, available: list[ServerRecord], connected: Callable[[], list[ServerRecord]]
    ) -> list[ServerRecord]:
        """Idle servers in slow start if any; else those with a connection if preferred; else all."""
        idle_warming = [
            server for server in available if self.slow_start.is_warming_up(server) and not server.in_flight
        ]
        if idle_warming:
            return idle_warming
        if not self.affinity.is_preferred:
            return available
        with_connection = connected()
        return with_connection if len(with_connection) >= MIN_CONNECTED_SERVERS else available

    def is_excluded(self, request: InFlightRequest, server: ServerRecord) -> bool:
        """Whether a request is not to go to a server while there are others that it may go to."""
        if self.outliers.is_ejected(server) or server in request.servers:
            return True
        is_unsafe = request.rule.idempotency is Idempotency.UNSAFE
        return server.needs_probe and (bool(server.in_flight) or is_unsafe)

    def is_available(self, server: ServerRecord) -> bool:
        """Whether a server takes one more attempt, by what is in flight and by its slow start."""
        if self.is_full(server):
            return False
        return not self.slow_start.is_warming_up(server) or self.slow_start.has_credit(server)

    def is_full(self, server: ServerRecord) -> bool:
        """Whether as much is in flight at a server as it should queue."""
        return len(server.in_flight) >= self.max_in_flight

    def is_in_scope(self, request: InFlightRequest, server: ServerRecord) -> bool:
        """Whether a server may be sent an attempt of a request that may have run.

        A keyed request stays where its repeats are dropped, within the deduplication window of its first
        attempt; an unsafe one is not repeated.
        """
        rule = request.rule
        first_server = request.first_server
        if first_server is None or rule.idempotency is Idempotency.SAFE:
            return True
        is_in_window = self.context.now_us < request.first_sent_us + rule.dedup_window_us
        if rule.idempotency is not Idempotency.KEYED or not is_in_window:
            return False
        if rule.dedup_scope is DeduplicationScope.ALL:
            return True
        if rule.dedup_scope is DeduplicationScope.ZONE:
            return server.endpoint.zone == first_server.endpoint.zone
        return server.endpoint.cell == first_server.endpoint.cell
