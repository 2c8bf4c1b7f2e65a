"""Processes end only when they are told to, and backends are sent nothing but commands."""

from collections.abc import Iterator

from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.violations import Violation

EXITS_CHECK = "exits"
COMMANDS_CHECK = "forms"


def check_exits(trial: TrialRecord) -> Iterator[Violation]:
    """No process ends by itself, stays when it is told to end, or fails to become ready."""
    for event in trial.events("exit"):
        if not event.payload["meant"]:
            yield Violation(EXITS_CHECK, event.about, f"ended by itself with {event.payload['code']}")
    for event in trial.events("unheeded"):
        yield Violation(EXITS_CHECK, event.about, "did not end when it was asked to")
    for event in trial.events("unready"):
        yield Violation(EXITS_CHECK, event.about, f"was not ready after its start: {event.payload['why']}")


def check_commands(trial: TrialRecord) -> Iterator[Violation]:
    """What backends are sent are commands."""
    for event in trial.events("syntax"):
        text = f"a backend was sent what is no command: {event.payload['words']}"
        yield Violation(COMMANDS_CHECK, event.about, text)
