"""The recorded events of one trial, as the invariant checkers read them."""

import sqlite3
from collections import defaultdict

from orchidhatch.faults.events import Event, of, story
from orchidhatch.faults.invariants.attempt_reader import Attempt, AttemptReader
from orchidhatch.faults.invariants.fault_intervals import FaultIntervals
from orchidhatch.faults.invariants.units import SOCKET_SLACK_NS
from orchidhatch.faults.loop_monitor import TICK_S
from orchidhatch.faults.plan import Plan

RELAY_TICK_NS = round(TICK_S * 1e9)


class TrialRecord:
    """The events of a trial, indexed by what they are about; `figures` collects what checkers measure."""

    def __init__(self, db: sqlite3.Connection, plan: Plan) -> None:
        self.db = db
        self.plan = plan
        self.figures: dict[str, float] = {}
        self.last_ns = db.execute("SELECT coalesce(max(at_ns), 0) FROM events").fetchone()[0]
        begins = of(db, "begins")
        self.start_ns = begins[0].payload["start_ns"] if begins else 0
        self.faults = FaultIntervals(db, self.last_ns)
        self.requests = {event.about: event for event in of(db, "ask")}
        """By id, how each request was sent."""
        self.answers: dict[str, list[Event]] = defaultdict(list)
        """By request, its answers."""
        for event in of(db, "end"):
            self.answers[event.about].append(event)
        self.drain_times: dict[str, list[int]] = defaultdict(list)
        """By gateway, when it began to be drained by a call, and took clients again, in turn."""
        self._read_drain_times()
        serving = of(db, "serves")
        self.process_of = {event.about: event.who for event in serving}
        """By backend's name, the process that serves under it."""
        self.backend_process_of = {
            event.about: event.who for event in serving if event.who.startswith("backend-")
        }
        self.malformed_replies = {event.about for event in of(db, "spoilt")}
        """Requests that a backend was made to answer with a malformed reply."""
        self.has_crowd = bool(of(db, "crowd"))
        """Whether idle clients filled the gateways' descriptors."""
        self.relay_stalls = [(event.payload["from_ns"], event.at_ns) for event in of(db, "relay-stall")]
        """When the loop of all relays stood still, in order."""
        self.passed_on_ns = {event.about: event.at_ns for event in of(db, "passed-on")}
        """By request, when a relay passed it on to its gateway."""
        self.signal_times: dict[tuple[str, int], list[int]] = defaultdict(list)
        """By process and number, when it was sent a signal."""
        for event in of(db, "signal"):
            self.signal_times[event.about, event.payload["number"]].append(event.at_ns)
        self.attempts = list(AttemptReader(db, self.faults, self.last_ns).read())
        self.attempts_of: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            self.attempts_of[attempt.request].append(attempt)

    def events(self, *kinds: str) -> list[Event]:
        """The events of these kinds, in the order of time."""
        return of(self.db, *kinds)

    def relayed_by_ns(self, at_ns: int) -> int:
        """By when the relays had passed on what a client did then.

        What came in the tick before a stall may have been read only after it.
        """
        for begin_ns, end_ns in self.relay_stalls:
            if begin_ns - RELAY_TICK_NS <= at_ns <= end_ns:
                at_ns = end_ns
        return at_ns

    def sent_from_ns(self, at_ns: int) -> int:
        """From when on a gateway may have sent what reached a backend then, if the relays kept it back."""
        for begin_ns, end_ns in reversed(self.relay_stalls):
            if begin_ns <= at_ns <= end_ns + SOCKET_SLACK_NS:
                at_ns = begin_ns
        return at_ns

    def story(self, about: str) -> list[str]:
        """All that happened with one request, write or process, as lines for a person."""
        return story(self.db, about, self.start_ns)

    def _read_drain_times(self) -> None:
        for event in of(self.db, "emptied", "filled"):
            times = self.drain_times[event.who]
            is_draining = len(times) % 2 == 1
            if (event.what == "filled") == is_draining:
                times.append(event.at_ns)
