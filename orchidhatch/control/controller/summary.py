"""Fleet summaries from the metrics of all gateways, with the gateways that are outliers."""

import statistics
from collections.abc import Mapping

import msgspec
from msgspec import field

# A value is an outlier if its distance from the median exceeds this many median absolute deviations as well
# as this share of the requests; the second limit is for gateways so similar that the deviation is close to 0.
OUTLIER_DEVIATIONS = 6.0
MIN_OUTLIER_DISTANCE = 0.05
MIN_GATEWAYS_FOR_OUTLIERS = 3
# With fewer requests since its last sample, a gateway's shares are not meaningful.
MIN_REQUESTS = 20
# The maximum number of gateways in each list of names, as the size of a record is limited.
MAX_NAMED_GATEWAYS = 12
METRIC_PREFIX = "proxy_"


class MetricsSample(msgspec.Struct, frozen=True):
    """A gateway's metrics: counters of requests and attempts since its start, and two gauges."""

    answered: int = 0
    deferred: int = 0
    errored: int = 0
    sends: int = 0
    current: int = 0
    unhealthy: int = 0

    def ended_requests(self) -> int:
        """Return the number of requests with any outcome."""
        return self.answered + self.deferred + self.errored

    def increase_since(self, previous: "MetricsSample | None") -> "MetricsSample":
        """Return the increase since a sample, or this whole sample if lower counters show a restart."""
        if (
            previous is None
            or previous.ended_requests() > self.ended_requests()
            or previous.sends > self.sends
        ):
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
    """The outliers' shares by gateway, each relative to the gateway's requests with any outcome."""

    answered: dict[str, float] = {}
    errored: dict[str, float] = {}
    sends: dict[str, float] = {}


class FleetSummary(msgspec.Struct, frozen=True):
    """Totals over all gateways since the previous samples; `is_first` means that there were none."""

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


MAX_COUNT_DIGITS = 19

FIELDS_BY_METRIC = {
    "answered_total": "answered",
    "deferred_total": "deferred",
    "errored_total": "errored",
    "sends_total": "sends",
    "current": "current",
    "cluster_unhealthy": "unhealthy",
}


def parse_gateway_metrics(text: str) -> MetricsSample | None:
    """Return the sample in a gateway's /stats, summed over labels; None if a metric is missing or invalid."""
    totals = dict.fromkeys(MetricsSample.__struct_fields__, 0)
    found_attributes = set[str]()
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        metric = name.removeprefix(METRIC_PREFIX).partition("{")[0]
        attribute = FIELDS_BY_METRIC.get(metric)
        is_count = value.isascii() and value.isdigit() and len(value) <= MAX_COUNT_DIGITS
        if attribute and is_count:
            totals[attribute] += int(value)
            found_attributes.add(attribute)
    return MetricsSample(**totals) if len(found_attributes) == len(FIELDS_BY_METRIC) else None


def find_outliers(values: Mapping[str, float]) -> list[str]:
    """Return the names whose values are outliers, farthest first.

    Fewer than MIN_GATEWAYS_FOR_OUTLIERS values have no outliers.
    """
    if len(values) < MIN_GATEWAYS_FOR_OUTLIERS:
        return []
    median = statistics.median(values.values())
    deviation = statistics.median(abs(value - median) for value in values.values())
    threshold = max(MIN_OUTLIER_DISTANCE, OUTLIER_DEVIATIONS * deviation)
    distances = {name: abs(value - median) for name, value in values.items()}
    outliers = [name for name, distance in distances.items() if distance > threshold]
    return sorted(outliers, key=lambda name: -distances[name])


def outlier_shares(shares: Mapping[str, float]) -> dict[str, float]:
    """Return the rounded shares of the farthest outliers, at most MAX_NAMED_GATEWAYS of them."""
    return {name: round(shares[name], 3) for name in find_outliers(shares)[:MAX_NAMED_GATEWAYS]}


def summarize_fleet(
    previous: Mapping[str, MetricsSample], current: Mapping[str, MetricsSample | None]
) -> FleetSummary:
    """Return the summary of the increases since the previous samples.

    Samples are by gateway; a current one is None if the gateway did not answer.
    """
    increases = {
        name: sample.increase_since(previous.get(name))
        for name, sample in current.items()
        if sample is not None
    }
    busy = {name: sample for name, sample in increases.items() if sample.ended_requests() >= MIN_REQUESTS}
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
                {name: sample.answered / sample.ended_requests() for name, sample in busy.items()}
            ),
            errored=outlier_shares(
                {name: sample.errored / sample.ended_requests() for name, sample in busy.items()}
            ),
            sends=outlier_shares(
                {name: sample.sends / sample.ended_requests() for name, sample in busy.items()}
            ),
        ),
    )
