"""The pages /stats and /metrics, built from the state at the time of the call."""

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
    """Builds both pages in Prometheus's text format."""

    def __init__(
        self,
        request_metrics: RequestMetrics,
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
        self.request_metrics = request_metrics
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
        """Total time that requests were queued, by what they waited for."""

    def add_queued_time(self, action: WaitTimes) -> None:
        """Add the time that a request was queued."""
        self.queued_us.update(dict(action.times))

    def stats(self) -> str:
        """Return the counts of requests, and the number of listed and ejected backends."""
        snapshot = self.dispatcher.query(MetricsRequest())
        return self.request_metrics.text(
            sends_total=self.backends.attempts_written,
            current=len(self.requests.open),
            cluster_size=snapshot.listed,
            cluster_unhealthy=snapshot.ejected,
        )

    def metrics(self) -> str:
        """Return the counts of /stats and metrics of CPU time, memory, descriptors, queues and outcomes."""
        sections = (
            self._cpu(),
            self._memory(),
            self._descriptors(),
            self._queues(),
            self._input(),
            self._outcomes(),
        )
        return self.stats() + "".join(sections) + self.guard.metrics_text()

    def _input(self) -> str:
        scheduler = self.clients.input_scheduler
        return "".join(
            [
                metric_text(
                    "input_deferrals_total",
                    "counter",
                    "Times that a connection's unprocessed input had to wait.",
                    {"": scheduler.deferrals},
                ),
                metric_text(
                    "input_waiting",
                    "gauge",
                    "Connections whose unprocessed input waits now.",
                    {"": scheduler.waiting_count()},
                ),
                metric_text(
                    "longest_turn_seconds",
                    "gauge",
                    "Longest turn of the event loop since the last periodic log line.",
                    {"": self.clients.loop_watch.longest_turn_us / 1e6},
                ),
                metric_text(
                    "recent_requests",
                    "gauge",
                    "Ids that may have run and are remembered.",
                    {"": len(self.requests.recent)},
                ),
            ]
        )

    def _outcomes(self) -> str:
        closes = {
            f'reason="{reason.value}"': count for reason, count in sorted(self.clients.metrics.closes.items())
        }
        results = {f'result="{name}"': count for name, count in sorted(self.requests.results.items())}
        retries = {f'after="{name}"': count for name, count in sorted(self.requests.retries.items())}
        local_failures = {
            f'error="{name}"': count for name, count in sorted(self.backends.local_failures.items())
        }
        return "".join(
            [
                metric_text(
                    "client_closes_total", "counter", "Client connections closed here, by reason.", closes
                ),
                metric_text("attempts_total", "counter", "Attempts that ended, by result.", results),
                metric_text(
                    "retries_total", "counter", "Retries, by the result of the attempt before.", retries
                ),
                metric_text(
                    "local_failures_total",
                    "counter",
                    "Dials that failed for a local reason, by error.",
                    local_failures,
                ),
            ]
        )

    def _cpu(self) -> str:
        account = self.account
        by_category = {
            f'place="{category.label}"': account.estimated_cpu_s(category) for category in CHARGED_CATEGORIES
        }
        return "".join(
            [
                metric_text(
                    "cpu_seconds_total", "counter", "CPU time of the process.", {"": account.process_cpu_s()}
                ),
                metric_text(
                    "place_cpu_seconds_total",
                    "counter",
                    "Estimated CPU time by place; the remainder is the event loop's.",
                    by_category,
                ),
                metric_text(
                    "idle_seconds_total",
                    "counter",
                    "Time in intervals without a request in flight.",
                    {"": account.idle_s},
                ),
                metric_text(
                    "idle_cpu_seconds_total",
                    "counter",
                    "CPU time in intervals without a request in flight.",
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
                metric_text("resident_bytes", "gauge", "Resident memory.", resident_values),
                metric_text("peak_resident_bytes", "gauge", "Peak resident memory since the start.", peak),
                metric_text(
                    "held_bytes",
                    "gauge",
                    "Size of the commands that are not answered yet.",
                    {"": self.requests.open_command_bytes},
                ),
                metric_text(
                    "unsent_bytes",
                    "gauge",
                    "Bytes buffered for slow clients.",
                    {"": self.clients.backlog.unsent_bytes},
                ),
                metric_text(
                    "reserved_bytes",
                    "gauge",
                    "Memory reserved for long values that are sent once they are complete.",
                    {"": self.clients.backlog.reserved_bytes},
                ),
                metric_text(
                    "partial_reply_bytes",
                    "gauge",
                    "Bytes of incomplete replies of backends.",
                    {"": self.clients.backlog.partial_bytes},
                ),
            ]
        )

    def _descriptors(self) -> str:
        holders = {
            "clients": len(self.clients.connections),
            "backends": self.backends.connection_count,
            "management": len(self.management.connections),
        }
        open_count = open_descriptors()
        if open_count is not None:
            holders["other"] = max(0, open_count - sum(holders.values()))
        by_holder = {f'holder="{name}"': count for name, count in holders.items()}
        return "".join(
            [
                metric_text("descriptors", "gauge", "Open descriptors, by holder.", by_holder),
                metric_text(
                    "descriptors_limit", "gauge", "Limit on descriptors.", {"": self.max_descriptors}
                ),
                metric_text(
                    "out_of_descriptors_total",
                    "counter",
                    "Dials to backends that failed for lack of descriptors.",
                    {"": self.backends.out_of_descriptors},
                ),
            ]
        )

    def _queues(self) -> str:
        snapshot = self.dispatcher.query(MetricsRequest())
        queued_s = {f'reason="{reason}"': us / 1e6 for reason, us in sorted(self.queued_us.items())}
        unserved = {f'reason="{reason}"': count for reason, count in snapshot.ended}
        malformed = {
            'what="command"': self.clients.metrics.malformed_commands,
            'what="stream"': self.clients.metrics.malformed_streams,
        }
        dropped = {'why="malformed"': self.peers.malformed, 'why="stranger"': self.peers.from_unknown_senders}
        return queue_metrics_text(self.queues.statuses(snapshot)) + "".join(
            [
                metric_text(
                    "held_seconds_total",
                    "counter",
                    "Time that requests were queued, by what they waited for.",
                    queued_s,
                ),
                metric_text(
                    "unserved_total", "counter", "Requests that ended unserved, by reason.", unserved
                ),
                metric_text(
                    "malformed_total", "counter", "Malformed input from clients, by type.", malformed
                ),
                metric_text(
                    "datagrams_dropped_total",
                    "counter",
                    "Datagrams dropped on receipt, by reason.",
                    dropped,
                ),
            ]
        )
