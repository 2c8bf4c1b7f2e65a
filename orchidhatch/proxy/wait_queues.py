"""The places where work waits: how much may, how much does and since when, and how long it took."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from orchidhatch.proxy.metrics import page

# Upper ends of the classes of waits, in milliseconds: from a turn of the loop to the longest deadlines.
BUCKETS_MS = (1, 5, 20, 50, 100, 250, 500, 1000, 2500, 5000, 10_000)


class Waits:
    """Counts of waits by classes; as many figures, however many waits."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_us = 0

    def note(self, us: int) -> None:
        self.counts[bisect_left(BUCKETS_MS, us / 1000)] += 1
        self.sum_us += us

    def figures(self, place: str) -> str:
        """As the samples of a Prometheus histogram, whose classes hold those before them."""
        lines, total = [], 0
        ends = [*(f"{end / 1000:g}" for end in BUCKETS_MS), "+Inf"]
        for end, count in zip(ends, self.counts, strict=True):
            total += count
            lines.append(f'proxy_wait_seconds_bucket{{place="{place}",le="{end}"}} {total}')
        lines.append(f'proxy_wait_seconds_sum{{place="{place}"}} {self.sum_us / 1e6:g}')
        lines.append(f'proxy_wait_seconds_count{{place="{place}"}} {total}')
        return "\n".join(lines) + "\n"


@dataclass(frozen=True, slots=True)
class Line:
    """A place where work waits, as it is now."""

    name: str
    bound: float
    depth: float
    oldest_us: int  # how long the oldest has waited; 0 where nothing does
    turned: int  # what it turned away, cut or dropped, being full or as it had waited too long
    waits: Waits


def oldest(now: int, since: Iterable[int]) -> int:
    """How long ago the first of these moments was; 0 where there is none."""
    return now - min(since, default=now)


def figures(lines: Sequence[Line]) -> str:
    labels = {line.name: f'place="{line.name}"' for line in lines}
    return "".join(
        [
            page(
                "waiting",
                "gauge",
                "What waits now, by place.",
                {labels[line.name]: line.depth for line in lines},
            ),
            page(
                "waiting_bound",
                "gauge",
                "How much may wait there.",
                {labels[line.name]: line.bound for line in lines},
            ),
            page(
                "waiting_oldest_seconds",
                "gauge",
                "How long the oldest of it has waited.",
                {labels[line.name]: line.oldest_us / 1e6 for line in lines},
            ),
            page(
                "turned_away_total",
                "counter",
                "What a place turned away, cut or dropped.",
                {labels[line.name]: line.turned for line in lines},
            ),
            "# HELP proxy_wait_seconds How long what has left a place had waited there.\n"
            "# TYPE proxy_wait_seconds histogram\n",
            *[line.waits.figures(line.name) for line in lines],
        ]
    )
