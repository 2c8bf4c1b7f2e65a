"""The pages /stats and /metrics, read at the time of the call."""

from collections import Counter

from orchidhatch.gateway.actions import WaitTimes
from orchidhatch.gateway.events import MetricsRequest
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.cpu_accounting import CHARGED_CATEGORIES, CpuAccounting
from orchidhatch.proxy.event_dispatcher import EventDispatcher
from orchidhatch.proxy.guards import Guard
from orchidhatch.proxy.management import Management
from orchidhatch.proxy.metrics import RequestMetrics, metric_text
from orchidhatch.proxy.peers import Peers
from orchidhatch.proxy.process_resources import open_descriptors, peak_resident_bytes, resident_bytes
from orchidhatch.proxy.request_lifecycle import RequestLifecycle
from orchidhatch.proxy.wait_queues import queue_metrics_text
from orchidhatch.proxy.work_queues import WorkQueues


class MetricsPage:
    """Builds both pages in Prometheus's text form."""

    def __init__(
        self,
        figures: RequestMetrics,
        dispatcher: EventDispatcher,
        requests: RequestLifecycle,
        clients: Clients,
        backends: Backends,
        peers: Peers,
        management: Management,
        account: CpuAccounting,
        queues: WorkQueues,
        max_descriptors: int,
        guard: Guard,
    ) -> None:
        self.guard = guard
        self.figures = figures
        self.dispatcher = dispatcher
        self.requests = requests
        self.clients = clients
        self.backends = backends
        self.peers = peers
        self.management = management
        self.account = account
        self.queues = queues
        self.max_descriptors = max_descriptors
        self.queued_us: Counter[str] = Counter()
        """Microseconds that requests were queued, by what they waited for."""

    def add_queued_time(self, action: WaitTimes) -> None:
        """Count the time that a request was queued."""
        self.queued_us.update(dict(action.times))

    def stats(self) -> str:
        """The counts of requests, and the size of the fleet."""
        snapshot = self.dispatcher.ask(MetricsRequest())
        return self.figures.text(
            sends_total=self.backends.sends,
            current=len(self.requests.open),
            cluster_size=snapshot.listed,
            cluster_unhealthy=snapshot.ejected,
        )

    def metrics(self) -> str:
        """The counts of /stats, what the process costs, and what waits in it."""
        sections = (self._cpu(), self._memory(), self._descriptors(), self._waits(), self._ends())
        return self.stats() + "".join(sections) + self.guard.metrics_text()

    def _ends(self) -> str:
        closes = {
            f'reason="{reason.value}"': count for reason, count in sorted(self.clients.metrics.closes.items())
        }
        results = {f'result="{name}"': count for name, count in sorted(self.requests.results.items())}
        retries = {f'after="{name}"': count for name, count in sorted(self.requests.retries.items())}
        local = {f'error="{name}"': count for name, count in sorted(self.backends.local_failures.items())}
        return "".join(
            [
                metric_text(
                    "client_closes_total", "counter", "Client connections closed here, by reason.", closes
                ),
                metric_text("attempts_total", "counter", "Attempts that ended, by result.", results),
                metric_text(
                    "retries_total", "counter", "Further attempts, by the result before them.", retries
                ),
                metric_text("local_failures_total", "counter", "Dials that failed on this machine.", local),
            ]
        )

    def _cpu(self) -> str:
        account = self.account
        by_category = {
            f'place="{category.label}"': account.estimated_s(category) for category in CHARGED_CATEGORIES
        }
        return "".join(
            [
                metric_text(
                    "cpu_seconds_total", "counter", "Processor time of the process.", {"": account.total_s()}
                ),
                metric_text(
                    "place_cpu_seconds_total",
                    "counter",
                    "Of it, by place, estimated; the rest is the loop's.",
                    by_category,
                ),
                metric_text(
                    "idle_seconds_total",
                    "counter",
                    "Time in intervals in which no request was open.",
                    {"": account.idle_s},
                ),
                metric_text(
                    "idle_cpu_seconds_total",
                    "counter",
                    "Processor time in those intervals.",
                    {"": account.idle_cpu_s()},
                ),
            ]
        )

    def _memory(self) -> str:
        resident = resident_bytes()
        resident_values = {} if resident is None else {"": resident}
        peak = {"": peak_resident_bytes()}
        return "".join(
            [
                metric_text("resident_bytes", "gauge", "Memory held now.", resident_values),
                metric_text("peak_resident_bytes", "gauge", "The most memory held so far.", peak),
                metric_text(
                    "held_bytes",
                    "gauge",
                    "Commands that are not answered.",
                    {"": self.requests.open_command_bytes},
                ),
                metric_text(
                    "unsent_bytes",
                    "gauge",
                    "What waits for slow clients.",
                    {"": self.clients.backlog.unsent_bytes},
                ),
            ]
        )

    def _descriptors(self) -> str:
        holders = {
            "clients": len(self.clients.connections),
            "backends": self.backends.held,
            "management": len(self.management.connections),
        }
        open_count = open_descriptors()
        if open_count is not None:
            holders["other"] = max(0, open_count - sum(holders.values()))
        by_holder = {f'holder="{name}"': count for name, count in holders.items()}
        return "".join(
            [
                metric_text("descriptors", "gauge", "Descriptors held, by holder.", by_holder),
                metric_text("descriptors_limit", "gauge", "Descriptors allowed.", {"": self.max_descriptors}),
                metric_text(
                    "out_of_descriptors_total",
                    "counter",
                    "Connections to backends without a descriptor left.",
                    {"": self.backends.out_of_descriptors},
                ),
            ]
        )

    def _waits(self) -> str:
        snapshot = self.dispatcher.ask(MetricsRequest())
        queued_s = {f'reason="{reason}"': us / 1e6 for reason, us in sorted(self.queued_us.items())}
        unserved = {f'reason="{reason}"': count for reason, count in snapshot.ended}
        malformed = {
            'what="command"': self.clients.metrics.malformed_commands,
            'what="stream"': self.clients.metrics.malformed_streams,
        }
        dropped = {'why="malformed"': self.peers.malformed, 'why="stranger"': self.peers.strange}
        return queue_metrics_text(self.queues.statuses(snapshot)) + "".join(
            [
                metric_text(
                    "held_seconds_total",
                    "counter",
                    "Time that requests waited unsent, by what for.",
                    queued_s,
                ),
                metric_text(
                    "unserved_total", "counter", "Requests ended unserved, by what they lacked.", unserved
                ),
                metric_text("malformed_total", "counter", "What clients sent that is no request.", malformed),
                metric_text(
                    "datagrams_dropped_total",
                    "counter",
                    "Datagrams from peers that were not taken.",
                    dropped,
                ),
            ]
        )
