"""Policy changes: admitted only by what was decided, one policy at a time, decided once all are ready."""

import itertools
from collections.abc import Iterator

from orchidhatch.faults.events import Event
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import FAR_FUTURE_NS, MS, S
from orchidhatch.faults.invariants.violations import Violation

POLICIES_CHECK = "policies"
PROMISES_CHECK = "promises"
NO_POLICY = "-"


def check_policies(trial: TrialRecord) -> Iterator[Violation]:
    """No request is admitted by a policy that was not decided, and no two are in force for long at once."""
    decisions = trial.events("decided")
    admissions = trial.events("let-in")
    yield from undecided_admissions(decisions, admissions)
    new_decisions = policy_changes(decisions)
    windows_s = []
    for decision in new_decisions:
        switch = Switch(trial, decision, decisions, admissions)
        if switch.first is not None:
            windows_s.append(switch.window_s)
            yield from switch.violations()
    if windows_s:
        trial.figures["switch_window_s"] = round(max(windows_s), 4)
    trial.figures["decisions"] = len(new_decisions)


def undecided_admissions(decisions: list[Event], admissions: list[Event]) -> Iterator[Violation]:
    """Requests that were admitted by a policy before it was decided."""
    decided_ns: dict[str, int] = {}
    for event in decisions:
        decided_ns.setdefault(event.about, event.at_ns)
    for event in admissions:
        policy = event.payload["policy"]
        if policy != NO_POLICY and event.at_ns < decided_ns.get(policy, FAR_FUTURE_NS):
            text = f"{event.who} let it in by {policy}, which was not decided by then"
            yield Violation(POLICIES_CHECK, event.about, text)


def policy_changes(decisions: list[Event]) -> list[Event]:
    """The decisions that put another policy in force than the one before."""
    changes = [new for old, new in itertools.pairwise(decisions) if old.about != new.about]
    if decisions and decisions[0].about != NO_POLICY:
        changes.insert(0, decisions[0])
    return changes


class Switch:
    """The change to a policy: for how long requests were still admitted by others after the first by it."""

    def __init__(
        self, trial: TrialRecord, decision: Event, decisions: list[Event], admissions: list[Event]
    ) -> None:
        self.decision = decision
        self.limit_s = trial.plan.holds.switch_s
        # What comes once a later decision may be in force is left out.
        until_ns = min(
            (
                event.at_ns + event.payload["now"]["moveMs"] * MS
                for event in decisions
                if event.at_ns > decision.at_ns and event.about != decision.about
            ),
            default=trial.last_ns + 1,
        )
        during = [event for event in admissions if decision.at_ns <= event.at_ns < until_ns]
        self.first = next((event for event in during if event.payload["policy"] == decision.about), None)
        self.late = [event for event in during if self._is_late(event)]

    def _is_late(self, event: Event) -> bool:
        if self.first is None:
            return False
        return event.payload["policy"] != self.decision.about and event.at_ns > self.first.at_ns

    @property
    def window_s(self) -> float:
        """From the first admission by the new policy to the last by another, in seconds."""
        return max((event.at_ns - self.first.at_ns for event in self.late), default=0) / S

    def violations(self) -> Iterator[Violation]:
        """The last late admission, if the switch took too long."""
        if self.window_s <= self.limit_s:
            return
        last = max(self.late, key=lambda event: event.at_ns)
        yield Violation(
            POLICIES_CHECK,
            last.about,
            f"{last.who} let it in by {last.payload['policy']} {self.window_s:.3f} s after "
            f"{self.first.who} let {self.first.about} in by {self.decision.about}",
        )


def check_promises(trial: TrialRecord) -> Iterator[Violation]:
    """An owner decides once every gateway that may serve is ready, each change once, by rising numbers.

    In the end all gateways go by the last decision.
    """
    yield from decision_violations(trial)
    if not trial.plan.holds.doors_alike:
        return
    gateways = trial.events("door")
    for event in gateways:
        if not event.payload["alike"]:
            text = f"does not serve by the last policy: {event.payload['told']}"
            yield Violation(PROMISES_CHECK, event.about, text)
    if not gateways:
        yield Violation(PROMISES_CHECK, "trial", "no list service knows which policy holds in the end")


def decision_violations(trial: TrialRecord) -> Iterator[Violation]:
    """What is wrong with the decisions, one after the other."""
    highest = 0
    changes: set[str] = set()
    for event in trial.events("decided"):
        decision = event.payload["now"]
        number = decision["number"]
        change = decision["change"]
        if number <= highest or (change and change in changes):
            text = f"decided as {number} after {highest}, for change {change or '-'}"
            yield Violation(PROMISES_CHECK, event.about, text)
        highest = max(highest, number)
        changes.add(change)
        if not change:
            continue  # the registry itself repeats what was decided before
        for gateway in event.payload["doors"]:
            is_ready = decision["digest"] in gateway.get("ready", ())
            if gateway["state"] != "absent" and not is_ready:
                yield Violation(PROMISES_CHECK, event.about, f"decided while {gateway['name']} was not ready")
