"""Load balancing: chooses the server of each attempt, and updates its components with the results.

The components are candidates (which servers an attempt may go to), expected_cost (how candidates compare),
connection_affinity, outlier_detection, slow_start and attempt_averages. DESIGN leaves the choice and the
health of servers to the implementation.
"""

from orchidhatch.gateway.attempt_averages import AttemptAverages
from orchidhatch.gateway.attempts import OBSERVED_RESULTS, UNINFORMATIVE_RESULTS, AttemptResult
from orchidhatch.gateway.candidates import MAX_COMPARED_SERVERS, CandidateFilter
from orchidhatch.gateway.connection_affinity import ConnectionAffinity
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import AttemptEnded
from orchidhatch.gateway.expected_cost import ExpectedCost
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.outlier_detection import MAX_FAULT_SCORE, OutlierDetector
from orchidhatch.gateway.server_index import ServerIndex
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.slow_start import SlowStart


class LoadBalancer:
    """The listed servers, and the choice among those that may be sent new work.

    `index` tracks the states that apply to few servers, so that no request inspects all of them.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        # The listed servers by name.
        self.servers: dict[str, ServerRecord] = {}
        self.index = ServerIndex()
        self.averages = AttemptAverages(context.settings.classes)
        self.affinity = ConnectionAffinity(context, self.index)
        self.outliers = OutlierDetector(context)
        self.slow_start = SlowStart(context)
        self.candidate_filter = CandidateFilter(
            context, self.index, self.affinity, self.outliers, self.slow_start
        )
        self.expected_cost = ExpectedCost(
            context, self.averages, self.affinity, self.outliers, self.slow_start
        )
        # The number of servers up, each counted by its slow-start weight.
        self.warm_capacity = 0.0

    @property
    def up(self) -> list[ServerRecord]:
        """The servers that may be sent new work, in the order of the list."""
        return self.index.up

    @property
    def mean_latencies_us(self) -> list[float]:
        """The mean latency of each request class, in microseconds."""
        return self.averages.mean_latencies_us

    @mean_latencies_us.setter
    def mean_latencies_us(self, mean_latencies_us: list[float]) -> None:
        self.averages.mean_latencies_us = mean_latencies_us

    def update_warm_capacity(self) -> None:
        """Count the servers up, each by its slow-start weight."""
        warming = self.index.in_order(self.index.warming_at(self.context.now_us))
        self.warm_capacity = len(self.up) - len(warming) + sum(map(self.slow_start.weight, warming))

    def end_period(self, attempts_per_s: float, period_us: int) -> None:
        """Update scores and rates after a control period with that rate of first attempts."""
        for server in list(self.index.decaying):
            self.averages.decay(server)
            self.outliers.decay(server)
            self.index.update_decaying(server)
        self.affinity.end_period(attempts_per_s, len(self.up))
        self.slow_start.end_period(attempts_per_s, len(self.up), period_us)
        self.update_warm_capacity()

    # --- attempts ---

    def choose(self, request: InFlightRequest) -> ServerRecord | None:
        """Return the cheapest of a few random candidates for an attempt; None if there is no candidate."""
        candidates = self.candidate_filter.candidates(request)
        count = min(MAX_COMPARED_SERVERS, len(candidates))
        compared = self.context.random.sample(candidates, count)
        return min(compared, key=self.expected_cost.compute, default=None)

    def attempt_began(self, server: ServerRecord, attempt_key: tuple[str, int], sent_us: int) -> None:
        """Count an attempt, identified by its request id and number, as in flight at the server."""
        server.in_flight[attempt_key] = sent_us
        if self.is_listed(server):
            self.index.busy[server] = None

    def attempt_ended(self, server: ServerRecord, attempt_key: tuple[str, int]) -> None:
        """Count the attempt as no longer in flight, if it was."""
        server.in_flight.pop(attempt_key, None)
        if not server.in_flight:
            self.index.busy.pop(server, None)

    def is_listed(self, server: ServerRecord) -> bool:
        """Return whether the index may hold the server: attempts may end at one that has left the list."""
        return self.servers.get(server.endpoint.name) is server

    # --- results of attempts ---

    def record_attempt(
        self, server: ServerRecord, class_index: int, event: AttemptEnded, load: float | None
    ) -> None:
        """Record the result of an attempt of this gateway, and the load that the server reported with it."""
        now_us = self.context.now_us
        result = event.result
        latency_us = event.latency_us
        succeeded = result is AttemptResult.OK
        if load is not None:
            self.averages.record_load(server, load, now_us)
        if result in OBSERVED_RESULTS:
            self.observe(server, class_index, succeeded, latency_us)
        if succeeded:
            server.last_answer_us = now_us
            if self.is_listed(server):
                self.index.record_answer(server)
            self.averages.record_latency(server, class_index, latency_us)
        self._record_result(server, result, latency_us)
        if self.outliers.is_ejected(server) and self.is_listed(server):
            self.index.unhealthy[server] = None

    def observe(self, server: ServerRecord, class_index: int, succeeded: bool, latency_us: float) -> None:
        """Update the server's fault score and slow start with the result of any gateway's attempt."""
        mean_latency_us = self.averages.reference_latency_us(class_index)
        self.outliers.observe(server, latency_us / mean_latency_us if succeeded else MAX_FAULT_SCORE)
        if succeeded:
            self.slow_start.record_latency(server, is_below_mean=latency_us < mean_latency_us)
        if self.is_listed(server):
            self.index.decaying[server] = None

    def _record_result(self, server: ServerRecord, result: AttemptResult, latency_us: int) -> None:
        """Record the result of this gateway's attempt for outlier detection."""
        if result is AttemptResult.REJECTED:
            self.outliers.record_rejection(server)
        elif result is AttemptResult.OK:
            self.outliers.record_success(server)
        elif result not in UNINFORMATIVE_RESULTS and not self._answered_others(server, result, latency_us):
            self.outliers.record_failure(server)
            self.slow_start.record_failure(server)

    def _answered_others(self, server: ServerRecord, result: AttemptResult, latency_us: int) -> bool:
        """Return whether the attempt timed out while the server answered others, which shows no fault."""
        sent_us = self.context.now_us - latency_us
        return result is AttemptResult.TIMEOUT and server.last_answer_us >= sent_us
