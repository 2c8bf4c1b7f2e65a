"""The attempts of a trial, put together from what backends and links recorded of them."""

import bisect
import sqlite3
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from orchidhatch.faults.events import Event, of
from orchidhatch.faults.invariants.fault_intervals import FaultIntervals
from orchidhatch.faults.invariants.units import FAR_FUTURE_NS, SOCKET_SLACK_NS

NO_GATEWAY = -1


@dataclass
class Attempt:
    """An attempt as its backend saw it begin; it ends with its reply, or when the gateway leaves.

    `gateway` is the index of the gateway that sent it, `stated_ms` the time that it stated as left.
    """

    request: str
    backend: str
    gateway: int
    begin: int
    end: int
    customer: str
    stated_ms: int = 0
    port: int = 0


class AttemptReader:
    """Reads each attempt with the gateway whose link it came by, and the first of its ends."""

    def __init__(self, db: sqlite3.Connection, faults: FaultIntervals, last_ns: int) -> None:
        self.db = db
        self.faults = faults
        self.last_ns = last_ns
        self.opened: dict[tuple[str, int], list[tuple[int, str]]] = defaultdict(list)
        """By backend process and port: when a connection was opened, and by which link."""
        self.left: dict[tuple[str, int], list[int]] = defaultdict(list)
        """By link and port: when the gateway closed it."""
        self.replied: dict[tuple[str, str, int], list[int]] = defaultdict(list)
        """By request, backend and port: when the backend had replied."""
        self._index_ends()

    def _index_ends(self) -> None:
        for event in of(self.db, "opened", "left"):
            link = event.about
            port = event.payload["port"]
            if event.what == "opened":
                self.opened[link.partition(">")[2], port].append((event.at_ns, link))
            else:
                self.left[link, port].append(event.at_ns)
        for event in of(self.db, "over"):
            self.replied[event.about, event.payload["backend"], event.payload["port"]].append(event.at_ns)

    def read(self) -> Iterator[Attempt]:
        """All attempts, in the order in which they began."""
        for event in of(self.db, "attempt"):
            yield self._attempt(event)

    def _attempt(self, event: Event) -> Attempt:
        port = event.payload["port"]
        backend = event.payload["backend"]
        latest_ns = event.at_ns + SOCKET_SLACK_NS
        links = [(at_ns, link) for at_ns, link in self.opened[event.who, port] if at_ns <= latest_ns]
        opened_ns, link = links[-1] if links else (0, "")
        # A backend that was stopped reads late what was abandoned before.
        was_left = any(opened_ns <= at_ns <= event.at_ns for at_ns in self.left[link, port])
        ends = [
            event.at_ns if was_left else self.last_ns,
            first_from(self.replied[event.about, backend, port], event.at_ns),
            first_from(self.left[link, port], event.at_ns),
            self.faults.next_end_of_process(event.who, event.at_ns),
        ]
        return Attempt(
            request=event.about,
            backend=backend,
            gateway=int(link.partition(">")[0].partition("-")[2]) if link else NO_GATEWAY,
            begin=event.at_ns,
            end=min(ends),
            customer=event.payload["customer"],
            stated_ms=event.payload.get("told_ms", 0),
            port=port,
        )


def first_from(times: list[int], at_ns: int) -> int:
    """The first of the times from then on; far in the future if there is none."""
    index = bisect.bisect_left(times, at_ns)
    return times[index] if index < len(times) else FAR_FUTURE_NS
