"""The metrics of the decision core: counters, the periodic log line and the snapshot. It decides nothing."""

from collections import Counter
from typing import Protocol

from orchidhatch.gateway.actions import LogLine, MetricsSnapshot, WaitTimes
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.endpoints import EndpointState
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.times import NEVER, S

LOG_US = 5 * S
"""How often a line is logged."""

GOSSIP_COUNTS = ("told", "heard", "asked", "answered")
"""Messages to and from peers, grants requested, and those answered; the names are those of the log line."""

STALE_ANSWER = "old"
"""The kind of admission decision that goes by an earlier answer of the quota leader."""


class RequestCounters:
    """Counts of how requests ended unserved and of admission decisions by what was known of the quota."""

    def __init__(self) -> None:
        self.ended: Counter[str] = Counter()  # by reason, since the start
        self.ended_since_log: Counter[str] = Counter()
        self.decided_since_log: Counter[str] = Counter()
        self.stale_us_since_log = 0  # the ages of the answers that STALE_ANSWER decisions went by, summed
        self.logged_us = -1
        self.waits_counted_us = 0

    def count_end(self, reason: str) -> None:
        """Count a request that ended unserved."""
        self.ended_since_log[reason] += 1
        self.ended[reason] += 1

    def count_decision(self, kind: str, answer_age_us: int) -> None:
        """Count an admission decision; `answer_age_us` is since when the quota leader has not answered."""
        self.decided_since_log[kind] += 1
        if kind == STALE_ANSWER:
            self.stale_us_since_log += answer_age_us

    def start_log_period(self, now_us: int) -> None:
        """Clear what counts since the last log line."""
        self.ended_since_log.clear()
        self.decided_since_log.clear()
        self.stale_us_since_log = 0
        self.logged_us = now_us


class Measured(Protocol):
    """What of the decision core is measured."""

    context: DecisionContext
    overload: OverloadController
    balancer: LoadBalancer
    outbox: PeerOutbox
    quotas: QuotaLeaders
    counters: RequestCounters
    queue: list[tuple[float, int, InFlightRequest]]
    awaiting_grant: list[InFlightRequest]

    def allowance(self) -> bool:
        """Whether the overload controller admits one more first attempt."""


def log_lines(core: Measured) -> list[LogLine]:
    """The periodic log line where it is due, which begins the next period; else nothing."""
    now_us = core.context.now_us
    if now_us - core.counters.logged_us < LOG_US:
        return []
    line = LogLine(summary_text(core))
    core.counters.start_log_period(now_us)
    core.outbox.tally.clear()
    return [line]


def summary_text(core: Measured) -> str:
    """The admission limit, what is in flight and queued, and why requests were ended."""
    cap, routing, peers, counters = core.overload, core.balancer, core.outbox.tally, core.counters
    now_us = core.context.now_us
    ended = counts_text(counters.ended_since_log)
    decided = counts_text(counters.decided_since_log)
    limit = "lifted" if cap.n_past is None else f"{cap.n_past:.1f}/{cap.period_length_us // S}s"
    means = ",".join(f"{mean / 1000:.0f}" for mean in routing.mean_us)
    ejected = len(routing.index.in_order(routing.index.suspects_at(now_us)))
    return (
        f"cap {limit} occupancy {cap.occupancy:.2f} rate {cap.rate:.0f}/s mean {means} ms"
        f" out {cap.in_flight} held {len(core.queue)} ({queued_text(core)})"
        f" waiting {len(core.awaiting_grant)}"
        f" up {len(routing.up)} suspect {ejected} ended: {ended}"
        f" decided: {decided} old words {counters.stale_us_since_log // 1000} ms"
        f" peers: {' '.join(f'{what} {peers[what]}' for what in GOSSIP_COUNTS)}"
    )


def counts_text(counts: Counter[str]) -> str:
    """Counts by name as `name=count`, sorted; "-" for none."""
    return " ".join(f"{name}={count}" for name, count in sorted(counts.items())) or "-"


def queued_text(core: Measured) -> str:
    """What the queued requests that were never sent wait for, beside a server and the admission limit."""
    never_sent = [job for _, _, job in core.queue if not job.servers]
    at_slots = sum(job.customer.lacks_slot(core.context.now_us) for job in never_sent)
    at_ceiling = sum(job.customer.lacks_ceiling_units(job.request.units) for job in never_sent)
    return f"open cap {at_slots} ceiling {at_ceiling}"


def metrics_snapshot(core: Measured) -> MetricsSnapshot:
    """The metrics now; servers count as ejected by an operator or by outlier detection."""
    now, words, routing = core.context.now_us, core.outbox, core.balancer
    good = len(routing.up) - len(routing.index.in_order(routing.index.suspects_at(now)))
    listed = sum(server.endpoint.state is not EndpointState.GONE for server in routing.servers.values())
    waits = [job.arrived_us for _, _, job in core.queue] + [job.arrived_us for job in core.awaiting_grant]
    return MetricsSnapshot(
        listed=listed,
        ejected=listed - good,
        queued=len(waits),
        queued_us=now - min(waits, default=now),
        messages=sum(map(len, words.waiting.values())),
        messages_us=now - min(words.since.values(), default=now),
        messages_dropped=words.dropped,
        ended=tuple(sorted(core.counters.ended.items())),
    )


def wait_times(core: Measured) -> list[WaitTimes]:
    """What the requests that wait here have waited for since the last call, all of them together."""
    since_us = core.counters.waits_counted_us
    core.counters.waits_counted_us = core.context.now_us
    waited: Counter[str] = Counter()
    for job in [*core.awaiting_grant, *[job for _, _, job in core.queue if not job.is_answered]]:
        waited[wait_reason(core, job)] += core.context.now_us - max(since_us, job.queued_us)
    return [WaitTimes(tuple(sorted(waited.items())))] if waited else []


def wait_reason(core: Measured, job: InFlightRequest) -> str:
    """What a request that waits here waits for, by the names of the reasons for which requests are ended."""
    customer = job.customer
    if job.decide_at_us < NEVER:
        return "word"
    if job.servers:
        return "again"
    if customer.plan.max_in_flight and customer.lacks_slot(core.context.now_us):
        return "open_cap"
    if customer.lacks_ceiling_units(job.request.units):
        return "ceiling"
    return "server" if core.allowance() else "cap"


def rejection_reason(core: Measured, job: InFlightRequest) -> str:
    """What a request waited for until its latency objective was out of reach; of a new one "late"."""
    if job.servers:
        return "again"
    if core.context.now_us == job.arrived_us:
        return "late"
    if job.customer.lacks_slot(core.context.now_us):
        return "open_cap"
    if core.quotas.at_ceiling(job.customer, job.request.units):
        return "ceiling"
    return "server" if core.allowance() else "cap"
