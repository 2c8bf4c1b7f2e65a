"""Counts of requests since the start, and Prometheus's text format."""

from collections.abc import Iterable, Mapping
from enum import StrEnum


class RequestOutcome(StrEnum):
    """How a request ended, by the name of its metric."""

    ANSWERED = "answered"
    DEFERRED = "deferred"
    ERRORED = "errored"


class RequestMetrics:
    """Counts of requests since the start, by class and outcome; the periodic log has separate counts."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self.ended = {name: dict.fromkeys(RequestOutcome, 0) for name in class_names}

    def note(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count a request that has ended."""
        self.ended[class_name][outcome] += 1

    def text(self, **extra_metrics: int) -> str:
        """Return all counts in Prometheus's text format, zeros too; `extra_metrics` are appended by name."""
        lines = [
            f'proxy_{outcome}_total{{group="{escape_label(name)}"}} {count}'
            for name, counts in self.ended.items()
            for outcome, count in counts.items()
        ]
        lines += [f"proxy_{name} {value}" for name, value in extra_metrics.items()]
        return "\n".join(lines) + "\n"


def metric_text(name: str, metric_type: str, description: str, values: Mapping[str, float]) -> str:
    """Return one metric in Prometheus's text format, its values keyed by labels; "" if there are none."""
    if not values:
        return ""
    lines = [f"# HELP proxy_{name} {description}", f"# TYPE proxy_{name} {metric_type}"]
    lines += [
        f"proxy_{name}{{{labels}}} {value}" if labels else f"proxy_{name} {value}"
        for labels, value in values.items()
    ]
    return "\n".join(lines) + "\n"


def escape_label(value: str) -> str:
    """Escape the characters of a label value that are special in Prometheus's text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
