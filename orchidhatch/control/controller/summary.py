"""A summary of the fleet from the metrics of all its gateways, with those that are unlike the others."""

import statistics
from collections.abc import Mapping

import msgspec
from msgspec import field

# A value is an outlier if it is farther from the median than so many median absolute deviations; and at least
# this share of the requests, as gateways that are all alike have a deviation of next to nothing.
OUTLIER_DEVIATIONS = 6.0
MIN_OUTLIER_DISTANCE = 0.05
MIN_GATEWAYS_FOR_OUTLIERS = 3
# Requests of a gateway since its last sample, below which its shares say nothing.
MIN_REQUESTS = 20
# Gateways of each sort that are named: a record has room for few.
MAX_NAMED_GATEWAYS = 12
METRIC_PREFIX = "proxy_"


class MetricsSample(msgspec.Struct, frozen=True):
    """A gateway's metrics: counters since its start by how requests ended, and two gauges."""

    answered: int = 0
    deferred: int = 0
    errored: int = 0
    sends: int = 0
    current: int = 0
    unhealthy: int = 0

    def ended(self) -> int:
        """Requests that have ended, in whichever way."""
        return self.answered + self.deferred + self.errored

    def since(self, previous: "MetricsSample | None") -> "MetricsSample":
        """The increase since a sample; all of it after a restart, by which the counters are lower."""
        if previous is None or previous.ended() > self.ended() or previous.sends > self.sends:
            return self
        return MetricsSample(
            answered=self.answered - previous.answered,
            deferred=self.deferred - previous.deferred,
            errored=self.errored - previous.errored,
            sends=self.sends - previous.sends,
            current=self.current,
            unhealthy=self.unhealthy,
        )


class Outliers(msgspec.Struct, frozen=True, omit_defaults=True):
    """Shares by gateway, of those that are far from the median: of the requests that ended."""

    answered: dict[str, float] = {}
    errored: dict[str, float] = {}
    sends: dict[str, float] = {}


class FleetSummary(msgspec.Struct, frozen=True):
    """Totals over all gateways since the sample before; `is_first` if there was none."""

    gateway_count: int = field(name="doors")
    is_first: bool = field(name="first")
    answered: int
    deferred: int
    errored: int
    sends: int
    current: int
    unhealthy: int
    silent: list[str]
    silent_count: int = field(name="silentCount")
    outliers: Outliers = field(name="unlike")


FIELDS_BY_METRIC = {
    "answered_total": "answered",
    "deferred_total": "deferred",
    "errored_total": "errored",
    "sends_total": "sends",
    "current": "current",
    "cluster_unhealthy": "unhealthy",
}


def parse_gateway_metrics(text: str) -> MetricsSample | None:
    """A sample from a gateway's /stats, summed over labels; None where a metric is missing or no number."""
    totals = dict.fromkeys(MetricsSample.__struct_fields__, 0)
    seen = set[str]()
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        metric = name.removeprefix(METRIC_PREFIX).partition("{")[0]
        attribute = FIELDS_BY_METRIC.get(metric)
        if attribute and value.isascii() and value.isdigit():
            totals[attribute] += int(value)
            seen.add(attribute)
    return MetricsSample(**totals) if len(seen) == len(FIELDS_BY_METRIC) else None


def find_outliers(values: Mapping[str, float]) -> list[str]:
    """The names whose value is far from the median, the farthest first; none among fewer than three."""
    if len(values) < MIN_GATEWAYS_FOR_OUTLIERS:
        return []
    median = statistics.median(values.values())
    deviation = statistics.median(abs(value - median) for value in values.values())
    threshold = max(MIN_OUTLIER_DISTANCE, OUTLIER_DEVIATIONS * deviation)
    distances = {name: abs(value - median) for name, value in values.items()}
    outliers = [name for name, distance in distances.items() if distance > threshold]
    return sorted(outliers, key=lambda name: -distances[name])


def outlier_shares(shares: Mapping[str, float]) -> dict[str, float]:
    """The shares of the farthest outliers, rounded, as many as are named."""
    return {name: round(shares[name], 3) for name in find_outliers(shares)[:MAX_NAMED_GATEWAYS]}


def summarize_fleet(
    previous: Mapping[str, MetricsSample], current: Mapping[str, MetricsSample | None]
) -> FleetSummary:
    """What happened since the previous samples, by gateway; None stands for a gateway that did not answer."""
    increases = {
        name: sample.since(previous.get(name)) for name, sample in current.items() if sample is not None
    }
    busy = {name: sample for name, sample in increases.items() if sample.ended() >= MIN_REQUESTS}
    silent = sorted(name for name, sample in current.items() if sample is None)
    samples = increases.values()
    return FleetSummary(
        gateway_count=len(increases),
        is_first=not previous,
        answered=sum(sample.answered for sample in samples),
        deferred=sum(sample.deferred for sample in samples),
        errored=sum(sample.errored for sample in samples),
        sends=sum(sample.sends for sample in samples),
        current=sum(sample.current for sample in samples),
        unhealthy=sum(sample.unhealthy for sample in samples),
        silent=silent[:MAX_NAMED_GATEWAYS],
        silent_count=len(silent),
        outliers=Outliers(
            answered=outlier_shares(
                {name: sample.answered / sample.ended() for name, sample in busy.items()}
            ),
            errored=outlier_shares({name: sample.errored / sample.ended() for name, sample in busy.items()}),
            sends=outlier_shares({name: sample.sends / sample.ended() for name, sample in busy.items()}),
        ),
    )
