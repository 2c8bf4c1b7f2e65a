"""When a process or a link was not whole, by the faults that were injected and the processes that ended."""

import sqlite3
from collections import defaultdict
from dataclasses import dataclass

from orchidhatch.faults.events import Event, of
from orchidhatch.faults.invariants.units import FAULT_NOTICE_NS


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """A fault of a process or link, from its begin to its end."""

    begin_ns: int
    end_ns: int
    kind: str


class FaultIntervals:
    """The faults of each process and link; "down" is that of a process that has ended."""

    def __init__(self, db: sqlite3.Connection, last_ns: int) -> None:
        self.by_subject: dict[str, list[FaultInterval]] = defaultdict(list)
        self.last_ns = last_ns
        self._open: dict[tuple[str, str], list[int]] = defaultdict(list)  # two of a kind may overlap
        self._down_since: dict[str, int] = {}
        for event in of(db, "fault", "undone", "exit", "ready", "signal"):
            self._add(event)
        self._close_at_end()

    def _add(self, event: Event) -> None:
        subject = event.about
        if event.what == "fault":
            self._begin(subject, event.payload["kind"], event.at_ns)
        elif event.what == "undone":
            kind = event.payload["kind"]
            begin_ns = self._open[subject, kind].pop(0)
            self.by_subject[subject].append(FaultInterval(begin_ns, event.at_ns, kind))
        elif event.what == "exit":
            self._down_since.setdefault(subject, event.at_ns)
        elif event.what == "ready" and subject in self._down_since:
            begin_ns = self._down_since.pop(subject)
            self.by_subject[subject].append(FaultInterval(begin_ns, event.at_ns, "down"))

    def _begin(self, subject: str, kind: str, at_ns: int) -> None:
        if kind == "reset":  # lasts until it has struck, which is not recorded
            self.by_subject[subject].append(FaultInterval(at_ns, self.last_ns, kind))
        else:
            self._open[subject, kind].append(at_ns)

    def _close_at_end(self) -> None:
        for (subject, kind), begins in self._open.items():
            self.by_subject[subject] += [FaultInterval(begin_ns, self.last_ns, kind) for begin_ns in begins]
        for subject, begin_ns in self._down_since.items():
            self.by_subject[subject].append(FaultInterval(begin_ns, self.last_ns, "down"))

    def overlaps(
        self, subject: str, begin_ns: int, end_ns: int, *kinds: str, margin: int = FAULT_NOTICE_NS
    ) -> bool:
        """Whether the subject had a fault of these kinds (of any, if none is named) in that time."""
        return any(
            fault.begin_ns - margin < end_ns
            and begin_ns < fault.end_ns + margin
            and (not kinds or fault.kind in kinds)
            for fault in self.by_subject.get(subject, ())
        )

    def next_end_of_process(self, process: str, after_ns: int) -> int:
        """When the process ended next: all its connections break then; the trial's end if it did not."""
        ends = [
            fault.begin_ns
            for fault in self.by_subject.get(process, ())
            if fault.kind == "down" and fault.begin_ns > after_ns
        ]
        return min(ends, default=self.last_ns)
