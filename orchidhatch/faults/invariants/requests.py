"""Invariants of single requests: stated deadlines, departed clients, repeats, slow start, incomplete clients.

What a fault excuses is stated with each; a fault at a backend or at another client excuses nothing.
"""

import bisect
import math
from collections import defaultdict
from collections.abc import Iterator

from orchidhatch.faults.events import Event
from orchidhatch.faults.invariants.attempt_reader import Attempt
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import MS, S
from orchidhatch.faults.invariants.violations import Violation
from orchidhatch.faults.plan import KEYED_WINDOW_S

DEADLINES_CHECK = "deadlines"
DEPARTED_CHECK = "departed"
REPEATS_CHECK = "repeats"
GUARDS_CHECK = "guards"
INCOMPLETE_CHECK = "odd"
SLOW_START_CHECK = "slow-start"

SOCKET_SLACK_MS = 50
"""By which the rules' times are longer on sockets."""
STATED_SLACK_MS = 150
"""By which the time that an attempt states may exceed what is left to its client."""
DEPARTED_GRACE_NS = 100 * MS
"""From a client's close to the last new attempt for it."""
FAULT_MARGIN_NS = S // 2
"""Around a stop or an end of a process, in which it catches up."""
INCOMPLETE_END_S = 3.0
"""In which a client that sends no whole request is owed an error or a close."""
INCOMPLETE_SLACK_S = 0.5
"""For the machine, which runs dozens of processes."""
OVERLOAD_WINDOW_NS = 1_500 * MS
OVERLOAD_MULTIPLE = 3.0
"""What a backend in slow start stands: so many times its capacity, over the window."""
SMALL_BUDGET_CALLS = 30
"""Under this budget its margin is larger."""


def gateway_ran(trial: TrialRecord, attempt: Attempt, since_ns: int) -> bool:
    """Whether the attempt's gateway was neither stopped nor ended since."""
    gateway = f"door-{attempt.gateway}"
    return not trial.faults.overlaps(gateway, since_ns, attempt.begin, "stop", "down", margin=FAULT_MARGIN_NS)


def link_is_whole(trial: TrialRecord, attempt: Attempt, since_ns: int) -> bool:
    """Whether no fault of a link between client and backend, and no stop of the backend, delayed anything.

    A backend that was stopped records late what it was sent in time.
    """
    gateway = f"door-{attempt.gateway}"
    process = trial.backend_process_of.get(attempt.backend, "")
    faults = trial.faults
    return not (
        faults.overlaps(f"clients>{gateway}", since_ns, attempt.begin)
        or faults.overlaps(f"{gateway}>{process}", since_ns, attempt.begin)
        or faults.overlaps(process, since_ns, attempt.begin, "stop", margin=FAULT_MARGIN_NS)
    )


def check_stated_deadlines(trial: TrialRecord) -> Iterator[Violation]:
    """An attempt states to its backend at most what is left to its client, with the slack.

    Excused: a backend that was stopped, as it records late; a fault of the link. A gateway that was stopped
    is not: no sentence of the operators' pages frees it.
    """
    for request, attempts in trial.attempts_of.items():
        sent = trial.requests.get(request)
        if sent is None:
            continue
        for attempt in attempts:
            came_ns = trial.passed_on_ns.get(request, trial.relayed_by_ns(sent.at_ns))
            passed_ms = max(0, trial.sent_from_ns(attempt.begin) - came_ns) / MS
            left_ms = trial.plan.load.patience_ms - passed_ms
            excess_ms = attempt.stated_ms - left_ms - STATED_SLACK_MS - SOCKET_SLACK_MS
            if excess_ms > 0 and link_is_whole(trial, attempt, sent.at_ns):
                text = f"{attempt.backend} was told {attempt.stated_ms} ms with {left_ms:.0f} ms left"
                yield Violation(DEADLINES_CHECK, request, text)


def check_departed_clients(trial: TrialRecord) -> Iterator[Violation]:
    """No attempt begins over 0.1 s after its client's close.

    Excused as above, and a gateway that was stopped between its last look at the socket and its send.
    """
    left_ns = {event.about: event.at_ns for event in trial.events("gone")}
    for request, attempts in trial.attempts_of.items():
        if request not in left_ns:
            continue
        for attempt in attempts:
            passed_ns = trial.sent_from_ns(attempt.begin) - trial.relayed_by_ns(left_ns[request])
            late_ns = passed_ns - DEPARTED_GRACE_NS - SOCKET_SLACK_MS * MS
            is_excused = not (
                link_is_whole(trial, attempt, left_ns[request])
                and gateway_ran(trial, attempt, left_ns[request])
            )
            if late_ns > 0 and not is_excused:
                text = (
                    f"door-{attempt.gateway} sent to {attempt.backend} "
                    f"{late_ns / MS:.0f} ms after the last moment"
                )
                yield Violation(DEPARTED_CHECK, request, text)


def check_repeats(trial: TrialRecord) -> Iterator[Violation]:
    """An unsafe request has one attempt that may have run; a keyed one has none after its window."""
    rejected = {
        (event.about, event.payload["backend"], event.payload["port"])
        for event in trial.events("over")
        if event.payload["how"] == "busy"
    }
    for request, attempts in trial.attempts_of.items():
        sent = trial.requests.get(request)
        request_class = sent.payload.get("kind") if sent else None
        ran = [attempt for attempt in attempts if (request, attempt.backend, attempt.port) not in rejected]
        if request_class == "settle" and len(ran) > 1:
            text = f"{len(ran)} attempts of an unsafe request may have run"
            yield Violation(REPEATS_CHECK, request, text)
        if request_class == "book" and ran:
            yield from late_repeats(trial, request, ran)


def late_repeats(trial: TrialRecord, request: str, ran: list[Attempt]) -> Iterator[Violation]:
    """The attempts of a keyed request that began after the window of its first.

    Excused: a fault of the attempt's link, and a backend that was stopped. A gateway that was stopped is not:
    it looks at the clock as it writes.
    """
    first_ns = ran[0].begin
    last_ns = first_ns + round(KEYED_WINDOW_S * S) + SOCKET_SLACK_MS * MS
    for attempt in ran[1:]:
        if attempt.begin > last_ns and link_is_whole(trial, attempt, first_ns):
            late_ms = (attempt.begin - last_ns) / MS
            yield Violation(REPEATS_CHECK, request, f"repeated {late_ms:.0f} ms after its window")


def check_guards(trial: TrialRecord) -> Iterator[Violation]:
    """No gateway's own guard had to refuse anything."""
    for event in trial.events("guard"):
        yield Violation(GUARDS_CHECK, event.about, f"{event.who} refused itself: {event.payload['reason']}")


def check_incomplete_clients(trial: TrialRecord) -> Iterator[Violation]:
    """Who sends no whole request gets an error or a close in time, and no answer.

    Excused: the gateway was stopped or ended meanwhile, or the link was broken.
    """
    began: dict[str, Event] = {event.about: event for event in trial.events("odd")}
    for event in trial.events("odd-end"):
        outcome = event.payload["how"]
        if outcome == "left" or event.about not in began:
            continue
        start_ns = began[event.about].at_ns
        gateway = f"door-{event.payload['door']}"
        had_fault = trial.faults.overlaps(gateway, start_ns, event.at_ns, margin=FAULT_MARGIN_NS)
        is_excused = had_fault or trial.faults.overlaps(f"clients>{gateway}", start_ns, event.at_ns)
        is_late = event.payload["took_s"] > INCOMPLETE_END_S + INCOMPLETE_SLACK_S
        if (is_late and not is_excused) or outcome == "answered":
            text = f"{event.payload['way']}: {outcome} after {event.payload['took_s']} s"
            yield Violation(INCOMPLETE_CHECK, event.about, text)


def check_slow_start(trial: TrialRecord) -> Iterator[Violation]:
    """A backend in slow start gets at most its budget and margin in any window.

    Excused: news of its start that a fault kept back from a gateway, which then is not counted.
    """
    model = trial.plan.backends
    if not model.cold_s:
        return
    started_ns = {
        event.about: event.at_ns
        for event in trial.events("serves")
        if event.about in trial.backend_process_of
    }
    begins: dict[str, list[int]] = defaultdict(list)
    for attempt in trial.attempts:
        begins[attempt.backend].append(attempt.begin)
    for backend, start_ns in started_ns.items():
        warm_ns = start_ns + model.cold_s * S
        times = sorted(at_ns for at_ns in begins[backend] if start_ns <= at_ns < warm_ns)
        yield from windows_over_budget(trial, backend, start_ns, times)


def windows_over_budget(
    trial: TrialRecord, backend: str, start_ns: int, times: list[int]
) -> Iterator[Violation]:
    """The first window of the times whose calls are over the budget that it began with."""
    model = trial.plan.backends
    for number, begin_ns in enumerate(times):
        passed_share = (begin_ns - start_ns) / S / model.cold_s
        warm_share = min(1.0, model.cold_from + (1 - model.cold_from) * passed_share)
        capacity_per_s = model.cores / model.work_ms * 1000 * warm_share
        budget = budget_with_margin(OVERLOAD_MULTIPLE * capacity_per_s * OVERLOAD_WINDOW_NS / S)
        calls = bisect.bisect_left(times, begin_ns + OVERLOAD_WINDOW_NS) - number
        note_slow_start(trial, calls, budget)
        if calls > budget:
            text = f"{calls} calls in a window with a budget of {budget:.0f}"
            yield Violation(SLOW_START_CHECK, backend, text)
            return


def note_slow_start(trial: TrialRecord, calls: int, budget: float) -> None:
    """Keep the fullest window of a backend in slow start, as calls over its budget."""
    share = round(calls / budget, 3)
    trial.figures["slow_start_share"] = max(share, trial.figures.get("slow_start_share", 0.0))


def budget_with_margin(calls: float) -> float:
    """The most calls of mean work that a backend in slow start may get where its settings allow `calls`."""
    if calls < SMALL_BUDGET_CALLS:
        return calls + 3 * math.sqrt(calls) + 3
    return calls + 2 * math.sqrt(calls) + 2
