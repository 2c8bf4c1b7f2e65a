"""One final answer for each request that was taken: whole, its own, in time."""

import bisect
import signal
from collections.abc import Iterator

from orchidhatch.faults.events import Event
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import CATCH_UP_NS, FAULT_NOTICE_NS, MS, SOCKET_SLACK_NS
from orchidhatch.faults.invariants.violations import Violation

CHECK = "answers"
KILL_EXCUSE_NS = 700 * MS
"""After SIGTERM: what arrived by then may be unanswered at SIGKILL."""
ANSWER_GRACE_NS = 500 * MS
"""After its deadline an answer only earns nothing; later than this the request is lost."""


def check_answers(trial: TrialRecord) -> Iterator[Violation]:
    """Check the answers to each request, and that no others came.

    Excused: the gateway was killed; the link from the clients was broken. A gateway that is shut down answers
    all that it has read: what was forwarded was read.
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
        has_link_fault = faults.overlaps(f"clients>{self.gateway}", sent.at_ns, end_ns)
        self.was_killed = faults.overlaps(self.gateway, sent.at_ns, end_ns, "kill")
        self.was_killed = self.was_killed or self._was_killed_in_shutdown(sent.at_ns, end_ns)
        self.was_forwarded = any(
            f"door-{attempt.gateway}" == self.gateway for attempt in trial.attempts_of.get(request, ())
        )
        has_ended = faults.overlaps(self.gateway, sent.at_ns, end_ns, "down", "term", "shutdown")
        self.is_excused = self.was_killed or has_link_fault or (has_ended and not self.was_forwarded)
        self.was_stopped = faults.overlaps(self.gateway, sent.at_ns, end_ns, "stop", margin=CATCH_UP_NS)

    def _was_killed_in_shutdown(self, begin_ns: int, end_ns: int) -> bool:
        """Whether SIGKILL ended the gateway then, at most KILL_EXCUSE_NS after whose SIGTERM it was asked.

        What arrives later than that has to be answered before SIGKILL (protocol page, a planned restart).
        """
        terms = self.trial.signal_times[self.gateway, signal.SIGTERM]
        return any(
            begin_ns <= kill_ns <= end_ns + FAULT_NOTICE_NS
            and any(term_ns < kill_ns and begin_ns <= term_ns + KILL_EXCUSE_NS for term_ns in terms)
            for kill_ns in self.trial.signal_times[self.gateway, signal.SIGKILL]
        )

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
        return self.is_excused or is_drained or self._was_closed_unread() or self._crossed_in_a_crowd()

    def _crossed_in_a_crowd(self) -> bool:
        """Whether idle clients filled the descriptors, and the request was not forwarded.

        New connections may be shut unread then (standing test), and a close of a resting one may cross a
        request (protocol page).
        """
        return self.trial.has_crowd and not self.was_forwarded

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
