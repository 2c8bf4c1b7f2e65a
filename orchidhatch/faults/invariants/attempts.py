"""Attempts of one request never overlap, and are four at most, whatever fails."""

import itertools
from collections.abc import Iterator

from orchidhatch.faults.invariants.attempt_reader import Attempt
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import CATCH_UP_NS, FAULT_NOTICE_NS, MS, SOCKET_SLACK_NS
from orchidhatch.faults.invariants.violations import Violation

CHECK = "attempts"
MAX_ATTEMPTS = 4


def check_attempts(trial: TrialRecord) -> Iterator[Violation]:
    """Check the attempts of each request.

    Excused: a backend that was stopped begins late what was abandoned meanwhile, and in another order.
    """
    for request, attempts in trial.attempts_of.items():
        if len(attempts) > MAX_ATTEMPTS:
            yield Violation(CHECK, request, f"{len(attempts)} attempts")
        overlap = first_overlap(trial, attempts)
        if overlap:
            first, second = overlap
            early_ms = (first.end - second.begin) / MS
            yield Violation(
                CHECK,
                request,
                f"that at {second.backend} began {early_ms:.0f} ms before that at {first.backend} was over",
            )


def first_overlap(trial: TrialRecord, attempts: list[Attempt]) -> tuple[Attempt, Attempt] | None:
    """The first two attempts of a request that overlap without an excuse."""
    for first, second in itertools.pairwise(attempts):
        overlap = second.begin < first.end - SOCKET_SLACK_NS
        if overlap and not was_begun_late(trial, first) and not was_begun_late(trial, second):
            return first, second
    return None


def was_begun_late(trial: TrialRecord, attempt: Attempt) -> bool:
    """Whether the attempt's backend was stopped just before it began the attempt."""
    process = trial.backend_process_of.get(attempt.backend, "")
    since_ns = attempt.begin - CATCH_UP_NS
    return trial.faults.overlaps(process, since_ns, attempt.begin, "stop", margin=FAULT_NOTICE_NS)
