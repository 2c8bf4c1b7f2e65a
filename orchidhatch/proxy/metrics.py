"""What operators read of a front door: counts since its start, and how things are now."""

from collections.abc import Iterable, Mapping
from enum import StrEnum


class Ended(StrEnum):
    """How a request ended, by the name of its figure."""

    ANSWERED = "answered"
    DEFERRED = "deferred"
    ERRORED = "errored"


class Figures:
    """Counts since the start, for each class and ending; the log's own tally is apart, as it is cleared."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended = {name: dict.fromkeys(Ended, 0) for name in classes}

    def note(self, name: str, how: Ended) -> None:
        self.ended[name][how] += 1

    def text(self, **others: int) -> str:
        """All figures in the form of a Prometheus page, zeros too; `others` are those kept elsewhere."""
        lines = [
            f'proxy_{how}_total{{group="{escape(name)}"}} {count}'
            for name, counts in self.ended.items()
            for how, count in counts.items()
        ]
        lines += [f"proxy_{name} {value}" for name, value in others.items()]
        return "\n".join(lines) + "\n"


def page(name: str, kind: str, text: str, values: Mapping[str, float]) -> str:
    """One figure in Prometheus's text form, its values by their labels; nothing where it has none."""
    if not values:
        return ""
    lines = [f"# HELP proxy_{name} {text}", f"# TYPE proxy_{name} {kind}"]
    lines += [
        f"proxy_{name}{{{labels}}} {value}" if labels else f"proxy_{name} {value}"
        for labels, value in values.items()
    ]
    return "\n".join(lines) + "\n"


def escape(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
