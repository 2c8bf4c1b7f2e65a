"""The endpoint list: acknowledged writes are kept, and what gateways are notified of only goes forward."""

from collections.abc import Iterator

from orchidhatch.faults.events import Event
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.violations import Violation

WRITES_CHECK = "writes"
GENERATIONS_CHECK = "generations"
HTTP_OK = 200
TRACKED_PREFIX = "w-"
"""Of the entries that the trial itself writes."""


def check_writes(trial: TrialRecord) -> Iterator[Violation]:
    """Acknowledged writes are in the list of the highest term, whose predecessors acknowledge nothing more.

    Excused: what an earlier term acknowledged before the promotion.
    """
    lists = [event for event in trial.events("list") if event.about.startswith("registry-")]
    if not lists:
        return
    last = max(lists, key=lambda event: term_of(event.payload["store"]))
    last_term = term_of(last.payload["store"])
    promoted_ns = [event.at_ns for event in trial.events("promote") if event.payload["status"] == HTTP_OK]
    writes = {event.about: event for event in trial.events("write")}
    leaving = {event.payload["id"] for event in writes.values() if event.payload["method"] == "DELETE"}
    for event in trial.events("answer"):
        if event.payload["status"] != HTTP_OK:
            continue
        term = term_of(event.payload["store"])
        if promoted_ns and term < last_term:
            # Before the promotion: the replica may not have had it yet.
            if event.at_ns > promoted_ns[-1]:
                text = f"acknowledged by term {term} after another was promoted"
                yield Violation(WRITES_CHECK, event.about, text)
            continue
        if is_lost(event, writes[event.about], last, leaving):
            text = f"acknowledged, and not in the list of {last.about}"
            yield Violation(WRITES_CHECK, event.about, text)


def is_lost(answer: Event, write: Event, last: Event, leaving: set[str]) -> bool:
    """Whether an acknowledged write of a tracked entry does not show in the last list."""
    entry = answer.payload["id"]
    is_removal = write.payload["method"] == "DELETE"
    if entry in leaving and not is_removal:
        return False  # it was to leave again, answered or not
    return entry.startswith(TRACKED_PREFIX) and (entry in last.payload["listed"]) == is_removal


def check_generations(trial: TrialRecord) -> Iterator[Violation]:
    """Generations that a gateway is notified of never fall, whichever agent or registry they come from."""
    highest: dict[str, int] = {}
    for event in trial.events("news"):
        gateway = event.about
        generation = event.payload["generation"]
        if generation < highest.get(gateway, 0):
            text = f"told generation {generation} after {highest[gateway]}"
            yield Violation(GENERATIONS_CHECK, gateway, text)
        highest[gateway] = max(highest.get(gateway, 0), generation)


def term_of(store: str) -> int:
    """The term in a store's identity, as its answers carry it; 0 if there is none."""
    term = store.rpartition(" ")[2]
    return int(term) if term.isdigit() else 0
