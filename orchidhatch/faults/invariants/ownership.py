"""Claims have one holder an epoch, fenced effects never go back, and tasks are carried out."""

import re
import statistics
from collections import defaultdict
from collections.abc import Iterator

from orchidhatch.faults.events import Event
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import S
from orchidhatch.faults.invariants.violations import Violation

OWNERS_CHECK = "owners"
EFFECTS_CHECK = "effects"
TASKS_CHECK = "tasks"
TASK_STATE = re.compile(r'"state": "(\w+)"')
"""A task's state in its record."""
DRAIN_STATES = ("asked", "marked", "out", "ending", "back")
"""Of a drain task, in their order."""
OWNER_FAULTS = ("kill", "stop", "cut", "term")


def check_owners(trial: TrialRecord) -> Iterator[Violation]:
    """A claim has one holder an epoch, and its epochs only rise."""
    latest: dict[str, Event] = {}
    for event in trial.events("claim"):
        before = latest.get(event.about)
        if before:
            yield from claim_violations(before, event)
        if event.payload["holder"]:
            latest[event.about] = event


def claim_violations(before: Event, event: Event) -> Iterator[Violation]:
    """What is wrong with a claim's holder and epoch after those before."""
    epoch = event.payload["epoch"]
    previous_epoch = before.payload["epoch"]
    if epoch < previous_epoch:
        yield Violation(OWNERS_CHECK, event.about, f"at epoch {epoch} after {previous_epoch}")
    elif epoch == previous_epoch and event.payload["life"] not in ("", before.payload["life"]):
        yield Violation(OWNERS_CHECK, event.about, f"two holders by epoch {epoch}")


class EffectOrder:
    """The order of effects at each receiver: by epoch, by act number, and by the state of drain tasks."""

    def __init__(self) -> None:
        self.highest_epoch: dict[tuple[str, str], int] = {}
        """By receiver and claim."""
        self.last_act: dict[tuple[str, str], int] = {}
        """By receiver and backend."""
        self.drain_state: dict[tuple[str, str], int] = {}
        """By receiver and task, as an index of DRAIN_STATES."""

    def violations(self, event: Event) -> Iterator[Violation]:
        """What is wrong with an effect after those before it."""
        receiver = event.about if event.who == "trial" else event.who
        yield from self._check_epoch(receiver, event)
        yield from self._check_act_number(receiver, event)
        yield from self._check_task_state(event)

    def _check_epoch(self, receiver: str, event: Event) -> Iterator[Violation]:
        effect = event.payload
        key = receiver, effect["claim"]
        highest = self.highest_epoch.get(key, 0)
        if effect["epoch"] < highest:
            text = (
                f"{effect['act']} in the name of {effect['claim']} at epoch {effect['epoch']} after {highest}"
            )
            yield Violation(EFFECTS_CHECK, event.about, text)
        self.highest_epoch[key] = max(highest, effect["epoch"])

    def _check_act_number(self, receiver: str, event: Event) -> Iterator[Violation]:
        effect = event.payload
        key = receiver, effect["on"]
        last = self.last_act.get(key, 0)
        number = effect.get("number", 0)
        if number < last:
            yield Violation(EFFECTS_CHECK, event.about, f"{effect['act']} is number {number} after {last}")
        self.last_act[key] = max(last, number)

    def _check_task_state(self, event: Event) -> Iterator[Violation]:
        effect = event.payload
        state = TASK_STATE.search(effect.get("text", ""))
        if effect["act"] != "putrecord" or not state or state[1] not in DRAIN_STATES:
            return
        task = event.who, effect["on"]
        index = DRAIN_STATES.index(state[1])
        last = self.drain_state.get(task, 0)
        was_finished = last == len(DRAIN_STATES) - 1  # one that was over may be asked for again
        if index < last and not was_finished:
            yield Violation(EFFECTS_CHECK, event.about, f"{effect['on']} went back to {state[1]}")
        self.drain_state[task] = index


def check_effects(trial: TrialRecord) -> Iterator[Violation]:
    """At each receiver no effect follows one of a higher epoch, or one that its own owner sent later."""
    order = EffectOrder()
    for event in trial.events("effect"):
        yield from order.violations(event)


def check_tasks(trial: TrialRecord) -> Iterator[Violation]:
    """Where the plan says so, all tasks are done by the end."""
    for event in trial.events("task"):
        if trial.plan.holds.tasks_done and not event.payload["done"]:
            yield Violation(TASKS_CHECK, event.about, "was not done by the end")


def measure_ownerless_times(trial: TrialRecord) -> None:
    """Measure for how long claims had no owner that could act, by the kind of fault of their holder."""
    by_claim: dict[str, list[Event]] = defaultdict(list)
    for event in trial.events("claim"):
        by_claim[event.about].append(event)
    gaps_s: dict[str, list[float]] = defaultdict(list)
    for fault in trial.events("fault"):
        holder = fault.about.partition(">")[0]
        kind = fault.payload["kind"]
        if holder.startswith("steward-") and kind in OWNER_FAULTS:
            gaps_s[kind] += ownerless_times_s(holder, fault.at_ns, by_claim)
    for kind, gaps in gaps_s.items():
        if gaps:
            trial.figures[f"ownerless_{kind}_s"] = round(statistics.median(gaps), 3)


def ownerless_times_s(holder: str, fault_ns: int, by_claim: dict[str, list[Event]]) -> Iterator[float]:
    """From a holder's fault until each of its claims had another holder, in seconds.

    A holder that came back in time lost nothing, and is no gap.
    """
    for events in by_claim.values():
        before = [event for event in events if event.at_ns <= fault_ns]
        after = next((event for event in events[len(before) :] if event.payload["holder"]), None)
        if before and after and before[-1].payload["holder"] == holder != after.payload["holder"]:
            yield (after.at_ns - fault_ns) / S
