"""The fleet in a few lines, from the figures of all its front doors, and who is unlike the others."""

import statistics
from collections.abc import Mapping
from typing import Any

import msgspec

# How far from the median counts as unlike, in median absolute deviations; and at least this part of the
# requests, as doors that are all alike have a deviation of next to nothing.
UNLIKE, LEAST_APART = 6.0, 0.05
FEWEST = 20  # requests of a door since the last reading, below which its shares say nothing
MOST_NAMED = 12  # doors of each sort that are named; a record has room for few
ENDS = ("answered", "deferred", "errored")


class MetricsSample(msgspec.Struct, frozen=True):
    """Counts since a door's start, by how requests ended; and what it has now."""

    answered: int = 0
    deferred: int = 0
    errored: int = 0
    sends: int = 0
    current: int = 0
    unhealthy: int = 0

    def ended(self) -> int:
        return self.answered + self.deferred + self.errored

    def since(self, before: "MetricsSample | None") -> "MetricsSample":
        """What came since; all of it where the door has begun anew, as its counts are lower then."""
        if before is None or before.ended() > self.ended() or before.sends > self.sends:
            return self
        return MetricsSample(
            *(getattr(self, one) - getattr(before, one) for one in (*ENDS, "sends")),
            self.current,
            self.unhealthy,
        )


def parse_gateway_metrics(text: str) -> MetricsSample | None:
    """A door's figures as its page gives them; None where they make no sense."""
    found = dict.fromkeys(MetricsSample.__struct_fields__, 0)
    named = {
        "sends_total": "sends",
        "current": "current",
        "cluster_unhealthy": "unhealthy",
        **{f"{end}_total": end for end in ENDS},
    }
    seen = set[str]()
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        field = named.get(name.removeprefix("proxy_").partition("{")[0])
        if field and value.isascii() and value.isdigit():
            found[field] += int(value)  # over all classes
            seen.add(field)
    return MetricsSample(**found) if len(seen) == len(named) else None


def apart(values: Mapping[str, float]) -> list[str]:
    """Those whose value is unlike the others', the farthest first."""
    if len(values) < 3:  # of two nobody can say which is unlike
        return []
    middle = statistics.median(values.values())
    spread = statistics.median(abs(value - middle) for value in values.values())
    far = {name: abs(value - middle) for name, value in values.items()}
    return sorted(
        (name for name in far if far[name] > max(LEAST_APART, UNLIKE * spread)), key=lambda name: -far[name]
    )


def summarize_fleet(
    before: Mapping[str, MetricsSample], now: Mapping[str, MetricsSample | None]
) -> dict[str, Any]:
    """Totals since the last reading, who was not heard, and who is unlike the others in what."""
    heard = {door: reading.since(before.get(door)) for door, reading in now.items() if reading}
    total = {
        one: sum(getattr(reading, one) for reading in heard.values())
        for one in MetricsSample.__struct_fields__
    }
    busy = {door: reading for door, reading in heard.items() if reading.ended() >= FEWEST}
    unlike = {}
    for what, parts in {
        "answered": {door: reading.answered / reading.ended() for door, reading in busy.items()},
        "errored": {door: reading.errored / reading.ended() for door, reading in busy.items()},
        "sends": {door: reading.sends / reading.ended() for door, reading in busy.items()},
    }.items():
        if found := apart(parts):
            unlike[what] = {door: round(parts[door], 3) for door in found[:MOST_NAMED]}
    silent = sorted(door for door, reading in now.items() if not reading)
    return {
        "doors": len(heard),
        "first": not before,
        **total,
        "silent": silent[:MOST_NAMED],
        "silentCount": len(silent),
        "unlike": unlike,
    }
