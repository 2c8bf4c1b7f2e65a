"""One final answer for each request that was taken: whole, its own, in time."""

import bisect
from collections.abc import Iterator

from orchidhatch.faults.events import Event
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import CATCH_UP_NS, MS, SOCKET_SLACK_NS
from orchidhatch.faults.invariants.violations import Violation

CHECK = "answers"
ANSWER_GRACE_NS = 500 * MS
"""After its deadline an answer only earns nothing; later than this the request is lost."""


def check_answers(trial: TrialRecord) -> Iterator[Violation]:
    """Check the answers to each request, and that no others came.

    Excused: the gateway was killed, ended or stopped meanwhile; the link from the clients was broken.
    """
    for request, sent in trial.requests.items():
        yield from AnswerCheck(trial, request, sent).violations()
    for event in trial.events("surplus"):
        yield Violation(CHECK, event.about, f"an answer that nobody asked for: {event.payload['reply']}")


class AnswerCheck:
    """The check of the answers to one request."""

    def __init__(self, trial: TrialRecord, request: str, sent: Event) -> None:
        self.trial = trial
        self.request = request
        self.sent = sent
        self.answers = trial.answers.get(request, [])
        self.gateway = f"door-{sent.payload['door']}"
        end_ns = self.answers[0].at_ns if self.answers else trial.last_ns
        faults = trial.faults
        has_ended = faults.overlaps(self.gateway, sent.at_ns, end_ns, "down", "kill", "term")
        self.is_excused = has_ended or faults.overlaps(f"clients>{self.gateway}", sent.at_ns, end_ns)
        self.was_stopped = faults.overlaps(self.gateway, sent.at_ns, end_ns, "stop", margin=CATCH_UP_NS)

    def violations(self) -> Iterator[Violation]:
        """What is wrong with the number of answers, and with the first of them."""
        if len(self.answers) > 1:
            yield self._violation(f"{len(self.answers)} answers")
        if self.answers:
            yield from self._answer_violations(self.answers[0])
        elif not (self.is_excused or self.was_stopped):
            yield self._violation(f"no answer of {self.gateway} by the end")

    def _answer_violations(self, answer: Event) -> Iterator[Violation]:
        outcome = answer.payload["how"]
        text = answer.payload["text"]
        if outcome == "served" and text.rpartition(":")[2] != self.request:
            yield self._violation(f"served with the value of another: {text}")
        if outcome == "closed" and not self._may_close(answer):
            yield self._violation(f"{self.gateway} closed its connection without an answer {text}")
        if outcome == "cut" and not (self.is_excused or self.request in self.trial.malformed_replies):
            yield self._violation(f"{self.gateway} broke its answer off {text}")
        late_ns = self._lateness_ns(answer)
        if late_ns > 0 and not (self.is_excused or self.was_stopped):
            yield self._violation(f"{self.gateway} answered {late_ns / MS:.0f} ms after the last moment")

    def _lateness_ns(self, answer: Event) -> int:
        patience_ns = self.trial.plan.load.patience_ms * MS
        return answer.at_ns - self.sent.at_ns - patience_ns - ANSWER_GRACE_NS - SOCKET_SLACK_NS

    def _may_close(self, answer: Event) -> bool:
        """Whether the connection may have been closed without an answer."""
        is_drained = self._is_draining_at(self.sent.at_ns) or self._is_draining_at(answer.at_ns)
        return self.is_excused or is_drained or self._was_closed_unread()

    def _is_draining_at(self, at_ns: int) -> bool:
        """Whether the gateway was being drained by a call then."""
        return bisect.bisect(self.trial.drain_times[self.gateway], at_ns) % 2 == 1

    def _was_closed_unread(self) -> bool:
        """Whether its connection was new while the gateway's accept failed for want of descriptors.

        The event loop then takes and closes what waits in the backlog, unread: by the operators' pages such a
        request has failed and is not lost.
        """
        if not self.sent.payload.get("new", False):
            return False
        return self.trial.faults.overlaps(self.gateway, self.sent.at_ns, self.sent.at_ns, "accept")

    def _violation(self, text: str) -> Violation:
        return Violation(CHECK, self.request, text)
