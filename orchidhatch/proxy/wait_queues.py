"""The queues where work waits: their limits, their depths, and how long work has waited."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from orchidhatch.proxy.metrics import metric_text

# The upper bounds of the histogram's buckets: from an event loop turn to the longest deadlines.
BUCKET_BOUNDS_MS = (1, 5, 20, 50, 100, 250, 500, 1000, 2500, 5000, 10_000)


class WaitHistogram:
    """Counts of waits by duration; its size is fixed."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.sum_us = 0

    def note(self, wait_us: int) -> None:
        """Count a wait."""
        self.counts[bisect_left(BUCKET_BOUNDS_MS, wait_us / 1000)] += 1
        self.sum_us += wait_us

    def samples_text(self, queue: str) -> str:
        """Return the samples of a Prometheus histogram, whose buckets are cumulative."""
        bounds = [*(f"{bound_ms / 1000:g}" for bound_ms in BUCKET_BOUNDS_MS), "+Inf"]
        lines = []
        cumulative = 0
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            lines.append(f'proxy_wait_seconds_bucket{{place="{queue}",le="{bound}"}} {cumulative}')
        lines.append(f'proxy_wait_seconds_sum{{place="{queue}"}} {self.sum_us / 1e6}')
        lines.append(f'proxy_wait_seconds_count{{place="{queue}"}} {cumulative}')
        return "\n".join(lines) + "\n"


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """The current status of a queue.

    `depth` is how much waits and `bound` its limit, in the queue's own unit. `oldest_us` is how long the
    oldest entry has waited, 0 if the queue is empty. `rejected` counts entries that were rejected, cut off or
    dropped since the start, because the queue was full or they had waited too long.
    """

    name: str
    bound: float
    depth: float
    oldest_us: int
    rejected: int
    waits: WaitHistogram


def oldest_age(now: int, since: Iterable[int]) -> int:
    """Return the time from the earliest of `since` until `now`, in their unit; 0 if `since` is empty."""
    return now - min(since, default=now)


def queue_metrics_text(queues: Sequence[QueueStatus]) -> str:
    """Return the metrics of all queues in Prometheus's text format."""
    labels = {queue.name: f'place="{queue.name}"' for queue in queues}
    depths = {labels[queue.name]: queue.depth for queue in queues}
    bounds = {labels[queue.name]: queue.bound for queue in queues}
    ages_s = {labels[queue.name]: queue.oldest_us / 1e6 for queue in queues}
    rejected = {labels[queue.name]: queue.rejected for queue in queues}
    histogram_head = (
        "# HELP proxy_wait_seconds How long work waited at a place, observed when it left.\n"
        "# TYPE proxy_wait_seconds histogram\n"
    )
    return "".join(
        [
            metric_text("waiting", "gauge", "What waits now, by place.", depths),
            metric_text("waiting_bound", "gauge", "Limit on what may wait, by place.", bounds),
            metric_text("waiting_oldest_seconds", "gauge", "Wait of the oldest entry, by place.", ages_s),
            metric_text(
                "turned_away_total", "counter", "Entries rejected, cut off or dropped, by place.", rejected
            ),
            histogram_head,
            *[queue.waits.samples_text(queue.name) for queue in queues],
        ]
    )
