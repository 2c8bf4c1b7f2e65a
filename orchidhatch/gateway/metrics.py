"""The metrics of the decision core: the log line, wait times and the snapshot. Has no decision logic."""

from collections import Counter

from orchidhatch.gateway.actions import LogLine, MetricsSnapshot, WaitTimes
from orchidhatch.gateway.admission import Admission
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.endpoints import EndpointState
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.metric_names import AWAITING_GRANT_NAME, GOSSIP_COUNTS, end_reason_name
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.reasons import RejectionReason
from orchidhatch.gateway.request_counters import RequestCounters
from orchidhatch.gateway.request_queue import RequestQueue
from orchidhatch.gateway.times import NEVER, S

LOG_INTERVAL_US = 5 * S


class MetricsReporter:
    """Reads the components' state and counters, and resets the counters with each log line."""

    def __init__(
        self,
        context: DecisionContext,
        overload: OverloadController,
        balancer: LoadBalancer,
        outbox: PeerOutbox,
        queue: RequestQueue,
        admission: Admission,
        counters: RequestCounters,
    ) -> None:
        self.context = context
        self.overload = overload
        self.balancer = balancer
        self.outbox = outbox
        self.queue = queue
        self.admission = admission
        self.counters = counters

    # --- the log line ---

    def log_lines(self) -> list[LogLine]:
        """Return the periodic log line if it is due, and reset its counters; else return an empty list."""
        now_us = self.context.now_us
        if now_us - self.counters.logged_us < LOG_INTERVAL_US:
            return []
        line = LogLine(self.format_summary())
        self.counters.start_log_period(now_us)
        self.outbox.tally.clear()
        return [line]

    def format_summary(self) -> str:
        """Return the log line: the admission limit, requests in flight and queued, and why requests ended."""
        overload = self.overload
        counters = self.counters
        messages = self.outbox.tally
        latencies_ms = ",".join(
            f"{mean_latency_us / 1000:.0f}" for mean_latency_us in self.balancer.mean_latencies_us
        )
        return (
            f"cap {self.format_limit()} occupancy {overload.occupancy:.2f}"
            f" rate {overload.admissions_per_s:.0f}/s"
            f" mean {latencies_ms} ms out {overload.in_flight}"
            f" held {len(self.queue)} ({self.format_queue_waits()})"
            f" waiting {len(self.admission.awaiting_grant)}"
            f" up {len(self.balancer.up)} suspect {self.count_outliers()}"
            f" ended: {format_counts(counters.ended_since_log)}"
            f" decided: {format_counts(counters.decided_since_log)}"
            f" old words {counters.answer_age_us_since_log // 1000} ms"
            f" peers: {' '.join(f'{name} {messages[name]}' for name in GOSSIP_COUNTS)}"
        )

    def format_limit(self) -> str:
        """Return the text of the admission limit and the length of its period."""
        limit = self.overload.admission_limit
        return "lifted" if limit is None else f"{limit:.1f}/{self.overload.period_length_us // S}s"

    def format_queue_waits(self) -> str:
        """Return the text of how many unsent requests wait for concurrency slots and rate ceilings."""
        never_sent = [request for request in self.queue if not request.servers]
        waiting_for_slot = sum(request.customer.lacks_slot(self.context.now_us) for request in never_sent)
        waiting_for_ceiling = sum(
            request.customer.lacks_ceiling_units(request.units) for request in never_sent
        )
        return f"open cap {waiting_for_slot} ceiling {waiting_for_ceiling}"

    # --- the snapshot ---

    def snapshot(self) -> MetricsSnapshot:
        """Return the metrics now; servers ejected by operators and by outlier detection count as ejected."""
        now_us = self.context.now_us
        outbox = self.outbox
        states = [server.endpoint.state for server in self.balancer.servers.values()]
        listed = sum(state is not EndpointState.GONE for state in states)
        usable = len(self.balancer.up) - self.count_outliers()
        arrivals_us = [request.arrived_us for request in self.queue]
        arrivals_us += [request.arrived_us for request in self.admission.awaiting_grant]
        return MetricsSnapshot(
            listed=listed,
            ejected=listed - usable,
            queued=len(arrivals_us),
            queued_us=now_us - min(arrivals_us, default=now_us),
            messages=sum(map(len, outbox.waiting.values())),
            messages_us=now_us - min(outbox.since.values(), default=now_us),
            messages_dropped=outbox.dropped,
            ended=tuple(sorted(self.counters.ended.items())),
        )

    def count_outliers(self) -> int:
        """Return the number of servers that outlier detection has ejected."""
        index = self.balancer.index
        return len(index.in_order(index.unhealthy_at(self.context.now_us)))

    # --- wait times ---

    def wait_times(self) -> list[WaitTimes]:
        """Return how long requests have waited since the last call, summed by what they waited for."""
        now_us = self.context.now_us
        since_us = self.counters.waits_counted_us
        self.counters.waits_counted_us = now_us
        queued = [request for request in self.queue if not request.is_closed]
        waited_us: Counter[str] = Counter()
        for request in [*self.admission.awaiting_grant, *queued]:
            waited_us[self.wait_reason_name(request)] += now_us - max(since_us, request.waiting_since_us)
        return [WaitTimes(tuple(sorted(waited_us.items())))] if waited_us else []

    def wait_reason_name(self, request: InFlightRequest) -> str:
        """Return the metric name of what a waiting request waits for."""
        if request.decide_at_us < NEVER:
            return AWAITING_GRANT_NAME
        return end_reason_name(self.wait_reason(request))

    def wait_reason(self, request: InFlightRequest) -> RejectionReason:
        """Return what a queued request waits for, by its customer's state at the last refill."""
        if request.servers:
            return RejectionReason.SERVER_FOR_RETRY
        if request.customer.lacks_slot(self.context.now_us):
            return RejectionReason.CONCURRENCY_SLOT
        if request.customer.lacks_ceiling_units(request.units):
            return RejectionReason.RATE_CEILING
        return self.queue.limit_reason()


def format_counts(counts: Counter[str]) -> str:
    """Return counts by name as `name=count`, sorted; "-" for none."""
    return " ".join(f"{name}={count}" for name, count in sorted(counts.items())) or "-"
