"""Nothing new goes to a draining or removed backend 250 ms after the gateway was notified of it."""

import bisect
from collections import defaultdict
from collections.abc import Iterator

from orchidhatch.faults.invariants.attempt_reader import Attempt
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import CATCH_UP_NS, EARLIER_FAULT_NS, MS, SOCKET_SLACK_NS
from orchidhatch.faults.invariants.violations import Violation

CHECK = "drains"
DRAIN_GRACE_NS = 250 * MS
"""From the notice of a drain to the last new attempt."""

Notices = dict[tuple[int, str], list[tuple[int, bool]]]
"""By gateway and backend: when the gateway was notified, and whether the backend serves."""


def check_drains(trial: TrialRecord) -> Iterator[Violation]:
    """Check each attempt against the notices of its gateway.

    Excused: the gateway or the backend was stopped since, or the link between them kept back what was sent in
    time.
    """
    notices = read_notices(trial)
    for attempt in trial.attempts:
        since_ns = drained_since(notices.get((attempt.gateway, attempt.backend), []), attempt.begin)
        if since_ns is None:
            continue
        late_ns = attempt.begin - since_ns - DRAIN_GRACE_NS - SOCKET_SLACK_NS
        if late_ns > 0 and not is_excused(trial, attempt, since_ns):
            sent = f"door-{attempt.gateway} sent to {attempt.backend}"
            text = f"{sent} {late_ns / MS:.0f} ms after the last moment"
            yield Violation(CHECK, attempt.request, text)


def read_notices(trial: TrialRecord) -> Notices:
    """What each gateway was notified of each backend, in the order of time."""
    notices: Notices = defaultdict(list)
    for event in trial.events("news"):
        gateway = int(event.about.partition("-")[2])
        for state, backends in event.payload["states"].items():
            for backend in backends:
                notices[gateway, backend].append((event.at_ns, state == "SERVING"))
    return notices


def drained_since(notices: list[tuple[int, bool]], at_ns: int) -> int | None:
    """When the first of the notices came that said without a break that the backend drains; None if none."""
    index = bisect.bisect_right(notices, (at_ns, True)) - 1
    if index < 0 or notices[index][1]:
        return None
    while index > 0 and not notices[index - 1][1]:
        index -= 1
    return notices[index][0]


def is_excused(trial: TrialRecord, attempt: Attempt, since_ns: int) -> bool:
    """Whether a fault may have delayed the attempt since its backend was draining."""
    process = trial.process_of.get(attempt.backend, "")
    gateway = f"door-{attempt.gateway}"
    earlier_ns = since_ns - EARLIER_FAULT_NS
    faults = trial.faults
    return (
        faults.overlaps(gateway, since_ns, attempt.begin, "stop", margin=CATCH_UP_NS)
        or faults.overlaps(process, earlier_ns, attempt.begin, "stop", margin=CATCH_UP_NS)
        or faults.overlaps(f"{gateway}>{process}", earlier_ns, attempt.begin)
    )
