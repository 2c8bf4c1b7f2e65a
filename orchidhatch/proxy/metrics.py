"""Counts of requests since the start, and Prometheus's text form."""

from collections.abc import Iterable, Mapping
from enum import StrEnum


class RequestOutcome(StrEnum):
    """How a request ended, by the name of its metric."""

    ANSWERED = "answered"
    DEFERRED = "deferred"
    ERRORED = "errored"


class RequestMetrics:
    """Counts of requests since the start, for each class and outcome; the log's counts are apart."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self.ended = {name: dict.fromkeys(RequestOutcome, 0) for name in class_names}

    def note(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count a request that has ended."""
        self.ended[class_name][outcome] += 1

    def text(self, **others: int) -> str:
        """All counts in Prometheus's text form, zeros too; `others` are further metrics by name."""
        lines = [
            f'proxy_{outcome}_total{{group="{escape_label(name)}"}} {count}'
            for name, counts in self.ended.items()
            for outcome, count in counts.items()
        ]
        lines += [f"proxy_{name} {value}" for name, value in others.items()]
        return "\n".join(lines) + "\n"


def metric_text(name: str, kind: str, description: str, values: Mapping[str, float]) -> str:
    """One metric in Prometheus's text form, its values by their labels; "" where it has none."""
    if not values:
        return ""
    lines = [f"# HELP proxy_{name} {description}", f"# TYPE proxy_{name} {kind}"]
    lines += [
        f"proxy_{name}{{{labels}}} {value}" if labels else f"proxy_{name} {value}"
        for labels, value in values.items()
    ]
    return "\n".join(lines) + "\n"


def escape_label(value: str) -> str:
    """A label's value with what Prometheus's text form reserves escaped."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
