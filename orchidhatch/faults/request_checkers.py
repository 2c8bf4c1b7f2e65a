"""Invariants of single requests over a trial's events: deadlines, departed clients, repeats, slow start.

Each is a function that yields breaks. What a fault excuses is stated with each; a fault at a backend or at
another client excuses nothing.
"""

import bisect
import itertools
import math
import sqlite3
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from orchidhatch.faults.events import Event, of
from orchidhatch.faults.plan import KEYED_WINDOW_S, Plan

MS = 1_000_000
S = 1_000_000_000
SOCKET_SLACK_MS = 50
"""By which the rules' times are longer on sockets."""
TOLD_SLACK_MS = 150
"""By which the time that an attempt tells may exceed what is left to its client."""
GONE_NS = 100 * MS
"""From a client's close to the last new attempt for it."""
ODD_END_S = 3.0
"""In which a client that sends no whole request is owed an error or a close."""
ODD_SLACK_S = 0.5
"""For the machine, which runs dozens of processes."""
FALL_NS = 1_500 * MS
FALL_MULTIPLE = 3.0
"""What a backend in slow start stands by the trial's settings: so many times what it can do, for FALL_NS."""
FEW_CALLS = 30
"""Under this budget its margin is larger."""


@dataclass(frozen=True)
class Finding:
    """A broken invariant: the check, the request or process concerned, and what was seen."""

    check: str
    about: str
    text: str


class Attempt(Protocol):
    """An attempt as its backend saw it begin, in nanoseconds of the machine's clock."""

    backend: str
    door: int
    begin: int
    told_ms: int
    port: int


class Spans(Protocol):
    """When a process or a way was not whole."""

    def hit(self, about: str, begin: int, end: int, *kinds: str, margin: int = 0) -> bool:
        """Whether anything of these kinds (all, if none is named) was the matter with it in that time."""


class Judge(Protocol):
    """The events of a trial, as the checks read them."""

    db: sqlite3.Connection
    plan: Plan
    spans: Spans
    asks: Mapping[str, Event]
    attempts: Sequence[Attempt]
    by_request: Mapping[str, Sequence[Attempt]]
    slots: Mapping[str, str]

    def note_slow_start(self, calls: int, budget: float) -> None:
        """Keep the fullest window of a backend in slow start."""


def way_is_whole(judge: Judge, attempt: Attempt, since_ns: int) -> bool:
    """Whether no fault between client and backend, and no stop of the gateway, has delayed anything since."""
    gateway = f"door-{attempt.door}"
    slot = judge.slots.get(attempt.backend, "")
    return not (
        judge.spans.hit(gateway, since_ns, attempt.begin, "stop", "down", margin=S // 2)
        or judge.spans.hit(f"clients>{gateway}", since_ns, attempt.begin)
        or judge.spans.hit(f"{gateway}>{slot}", since_ns, attempt.begin)
        or judge.spans.hit(slot, since_ns, attempt.begin, "stop", margin=S // 2)
    )


def told_deadlines(judge: Judge) -> Iterator[Finding]:
    """An attempt tells its backend at most what is left to its client, with the slack. Excused: a gateway or
    backend that was stopped, as it read late; a fault of the way."""
    for request, attempts in judge.by_request.items():
        ask = judge.asks.get(request)
        if ask is None:
            continue
        for attempt in attempts:
            passed_ms = (attempt.begin - ask.at_ns) / MS
            left_ms = judge.plan.load.patience_ms - passed_ms
            excess_ms = attempt.told_ms - left_ms - TOLD_SLACK_MS - SOCKET_SLACK_MS
            if excess_ms > 0 and way_is_whole(judge, attempt, ask.at_ns):
                text = f"{attempt.backend} was told {attempt.told_ms} ms with {left_ms:.0f} ms left"
                yield Finding("deadlines", request, text)


def departed_clients(judge: Judge) -> Iterator[Finding]:
    """No attempt begins over 0.1 s after its client's close. Excused as above."""
    left = {event.about: event.at_ns for event in of(judge.db, "gone")}
    for request, attempts in judge.by_request.items():
        if request not in left:
            continue
        for attempt in attempts:
            late_ns = attempt.begin - left[request] - GONE_NS - SOCKET_SLACK_MS * MS
            if late_ns > 0 and way_is_whole(judge, attempt, left[request]):
                late_ms = late_ns / MS
                text = f"door-{attempt.door} sent to {attempt.backend} {late_ms:.0f} ms after the last moment"
                yield Finding("departed", request, text)


def repeats(judge: Judge) -> Iterator[Finding]:
    """What must not run twice has one attempt that may have run; what has a key none after its window."""
    refused = {
        (event.about, event.told["backend"], event.told["port"])
        for event in of(judge.db, "over")
        if event.told["how"] == "busy"
    }
    for request, attempts in judge.by_request.items():
        kind = judge.asks[request].told.get("kind") if request in judge.asks else None
        ran = [attempt for attempt in attempts if (request, attempt.backend, attempt.port) not in refused]
        if kind == "settle" and len(ran) > 1:
            yield Finding("repeats", request, f"{len(ran)} attempts of an unsafe request may have run")
        if kind == "book" and ran:
            last_ns = ran[0].begin + round(KEYED_WINDOW_S * S) + SOCKET_SLACK_MS * MS
            for attempt in ran[1:]:
                if attempt.begin > last_ns and way_is_whole(judge, attempt, ran[0].begin):
                    late_ms = (attempt.begin - last_ns) / MS
                    yield Finding("repeats", request, f"repeated {late_ms:.0f} ms after its window")


def guards(judge: Judge) -> Iterator[Finding]:
    """No gateway's own guard had to refuse anything."""
    for event in of(judge.db, "guard"):
        yield Finding("guards", event.about, f"{event.who} refused itself: {event.told['reason']}")


def odd_clients(judge: Judge) -> Iterator[Finding]:
    """Who sends no whole request gets an error or a close in time, and no answer. Excused: the gateway was
    stopped or ended meanwhile, or the way was broken."""
    began: dict[str, Event] = {event.about: event for event in of(judge.db, "odd")}
    for event in of(judge.db, "odd-end"):
        if event.told["how"] == "left" or event.about not in began:
            continue
        start_ns, gateway = began[event.about].at_ns, f"door-{event.told['door']}"
        excused = judge.spans.hit(gateway, start_ns, event.at_ns, margin=S // 2) or judge.spans.hit(
            f"clients>{gateway}", start_ns, event.at_ns
        )
        late = event.told["took_s"] > ODD_END_S + ODD_SLACK_S
        if (late and not excused) or event.told["how"] == "answered":
            yield Finding(
                "odd", event.about, f"{event.told['way']}: {event.told['how']} after {event.told['took_s']} s"
            )


def slow_start(judge: Judge) -> Iterator[Finding]:
    """A backend in slow start gets at most its budget and margin in any window. Excused: news of its start
    that a fault kept back from a gateway, which then is not counted."""
    model = judge.plan.backends
    if not model.cold_s:
        return
    started = {event.about: event.at_ns for event in of(judge.db, "serves") if event.about in judge.slots}
    begins: dict[str, list[int]] = defaultdict(list)
    for attempt in judge.attempts:
        begins[attempt.backend].append(attempt.begin)
    for backend, start_ns in started.items():
        times = sorted(at for at in begins[backend] if start_ns <= at < start_ns + model.cold_s * S)
        yield from windows_over_budget(judge, backend, start_ns, times)


def windows_over_budget(judge: Judge, backend: str, start_ns: int, times: list[int]) -> Iterator[Finding]:
    """The first window of the times whose calls are over the budget that it began with."""
    model = judge.plan.backends
    for number, begin_ns in enumerate(times):
        warm = min(1.0, model.cold_from + (1 - model.cold_from) * (begin_ns - start_ns) / S / model.cold_s)
        capacity_per_s = model.cores / model.work_ms * 1000 * warm
        budget = budget_with_margin(FALL_MULTIPLE * capacity_per_s * FALL_NS / S)
        calls = bisect.bisect_left(times, begin_ns + FALL_NS) - number
        judge.note_slow_start(calls, budget)
        if calls > budget:
            yield Finding("slow-start", backend, f"{calls} calls in a window with a budget of {budget:.0f}")
            return


def budget_with_margin(calls: float) -> float:
    """The most calls of mean work that a backend in slow start may get where its settings allow `calls`."""
    if calls < FEW_CALLS:
        return calls + 3 * math.sqrt(calls) + 3
    return calls + 2 * math.sqrt(calls) + 2


CHECKS = (told_deadlines, departed_clients, repeats, guards, odd_clients, slow_start)


def findings(judge: Judge) -> Iterator[Finding]:
    """What all of the checks find."""
    return itertools.chain.from_iterable(check(judge) for check in CHECKS)
