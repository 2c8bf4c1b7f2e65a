"""Candidates: the servers that an attempt of a request may go to.

A server is not a candidate while it is ejected, full, or in slow start without credit, or if the request was
sent to it before. A keyed request that may have run stays within its deduplication scope (the operators'
rule on repeated side effects). DESIGN leaves the choice of server to the implementation.
"""

from collections.abc import Callable, Sequence

from orchidhatch.gateway.connection_affinity import ConnectionAffinity
from orchidhatch.gateway.constants import ATTEMPTS_PER_SERVER, MIN_IN_FLIGHT_LIMIT
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.outlier_detection import OutlierDetector
from orchidhatch.gateway.server_index import ServerIndex, ServersExcept
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency
from orchidhatch.gateway.slow_start import SlowStart

# Candidates compared for one attempt: if many gateways all chose the emptiest server, they would flood it.
MAX_COMPARED_SERVERS = 8
# If connections are preferred, candidates are narrowed to connected servers if there are at least this many.
MIN_CONNECTED_SERVERS = MAX_COMPARED_SERVERS
# With more servers ejected or warming up than this, a sample of this size is inspected instead of all.
MAX_INSPECTED_SERVERS = 128


class CandidateFilter:
    """Finds the candidates of a request, inspecting only few of the servers where possible."""

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
        """Return the servers that an attempt of the request may go to, in the order of the list."""
        may_have_run = request.first_server is not None
        if may_have_run and request.rule.idempotency is not Idempotency.SAFE:
            return self.candidates_in_scope(request)
        if len(self.index.warming) + len(self.index.unhealthy) > MAX_INSPECTED_SERVERS:
            return self.candidates_in_sample(request)
        return self.candidates_in_index(request)

    def candidates_in_index(self, request: InFlightRequest) -> Sequence[ServerRecord]:
        """Return the candidates among all servers, inspecting only those that the index marks.

        Idle servers in slow start come first: one gateway has few attempts in flight at any server, so a
        server warming up would otherwise stay idle beside warm ones that look equally empty.
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
        return ServersExcept(
            index.up, [index.position(server) for server in unavailable if index.is_up(server)]
        )

    def _excluded(self, request: InFlightRequest) -> set[ServerRecord]:
        """Return the servers up that are excluded for a request; none if that would exclude all of them."""
        index = self.index
        unhealthy = index.unhealthy_at(self.context.now_us) if index.unhealthy else ()
        inspected = [*unhealthy, *request.servers]
        excluded = {
            server for server in inspected if self.is_excluded(request, server) and index.is_up(server)
        }
        return set() if len(excluded) == len(index.up) else excluded

    def candidates_in_sample(self, request: InFlightRequest) -> Sequence[ServerRecord]:
        """Return the candidates in a random sample, for when many servers are ejected or warming up."""
        up = self.index.up
        sample = self.context.random.sample(up, min(MAX_INSPECTED_SERVERS, len(up)))

        def connected() -> list[ServerRecord]:
            return [
                server
                for server in self.affinity.connected()
                if not self.is_excluded(request, server) and self.is_available(server)
            ]

        return self._select_preferred(self._filter_available(request, sample), connected)

    def candidates_in_scope(self, request: InFlightRequest) -> Sequence[ServerRecord]:
        """Return the candidates for a retry that is restricted to some servers, inspecting each of those."""
        allowed = [server for server in self.index.up if self.is_in_scope(request, server)]
        available = self._filter_available(request, allowed)

        def connected() -> list[ServerRecord]:
            return [server for server in available if self.affinity.has_connection(server)]

        return self._select_preferred(available, connected)

    def _filter_available(self, request: InFlightRequest, servers: list[ServerRecord]) -> list[ServerRecord]:
        """Return the available servers that are not excluded, or all available ones if all are excluded."""
        not_excluded = [server for server in servers if not self.is_excluded(request, server)]
        return [server for server in not_excluded or servers if self.is_available(server)]

    def _select_preferred(
        self, available: list[ServerRecord], connected: Callable[[], list[ServerRecord]]
    ) -> list[ServerRecord]:
        """Return idle servers in slow start if any; else connected ones if preferred; else all available."""
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
        """Return whether a request should avoid a server while there are others it may go to."""
        if self.outliers.is_ejected(server) or server in request.servers:
            return True
        is_unsafe = request.rule.idempotency is Idempotency.UNSAFE
        return server.needs_probe and (bool(server.in_flight) or is_unsafe)

    def is_available(self, server: ServerRecord) -> bool:
        """Return whether a server can take one more attempt, by its attempts in flight and its slow start."""
        if self.is_full(server):
            return False
        return not self.slow_start.is_warming_up(server) or self.slow_start.has_credit(server)

    def is_full(self, server: ServerRecord) -> bool:
        """Return whether a server has as many attempts in flight as this gateway may send it."""
        return len(server.in_flight) >= self.max_in_flight

    def is_in_scope(self, request: InFlightRequest, server: ServerRecord) -> bool:
        """Return whether a server may be sent an attempt of a request that may have run.

        A keyed request may only go where its repeats are dropped, and only within the deduplication window of
        its first attempt; an unsafe one is not repeated.
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
