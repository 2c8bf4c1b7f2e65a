"""A request with its reply, its deadline and its attempts in flight."""

import asyncio

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.buffered_value import BufferedValue
from orchidhatch.proxy.command_parser import Command
from orchidhatch.proxy.reply import Reply
from orchidhatch.proxy.value_progress import ValueProgress


class RequestExchange:
    """A request from its arrival until its answer and the end of its last attempt.

    The plan is kept by name, as a reload may give its number to another plan. `policy_digest` is the digest
    of the policy that admitted the request, "" if that is not logged. `streaming_attempt` is the attempt
    whose long value is being streamed to the client; `buffered` is a long value of which nothing is sent
    yet, and `buffer_timer` expires when that is to be checked. `progress` is what was passed on of a streamed
    value with commands behind it. `first_possible_run_us` is the send time of the first attempt that a
    backend may have run, 0 if there is none. Times are in microseconds of the process's clock.
    """

    __slots__ = (
        "arrived_us",
        "attempt_count",
        "buffer_timer",
        "buffered",
        "command",
        "deadline_us",
        "first_possible_run_us",
        "in_flight",
        "last_result",
        "objective_us",
        "plan_name",
        "policy_digest",
        "progress",
        "reply",
        "streaming_attempt",
        "timer",
    )

    def __init__(
        self,
        command: Command,
        reply: Reply,
        deadline_us: int,
        objective_us: int,
        plan_name: str,
        policy_digest: str = "",
    ) -> None:
        self.command = command
        self.reply = reply
        self.deadline_us = deadline_us
        self.plan_name = plan_name
        self.policy_digest = policy_digest
        self.arrived_us = deadline_us - command.request.time_left_us
        self.objective_us = objective_us
        self.attempt_count = 0
        self.first_possible_run_us = 0
        self.buffered: BufferedValue | None = None
        self.buffer_timer: asyncio.TimerHandle | None = None
        self.progress: ValueProgress | None = None
        self.last_result: AttemptResult | None = None
        self.in_flight: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.streaming_attempt: Attempt | None = None

    @property
    def is_interrupted(self) -> bool:
        """Whether a part of a long value was passed on, and no attempt gives the rest now."""
        return self.progress is not None and self.streaming_attempt is None

    def may_resume(self) -> bool:
        """Return whether answers behind a value that ended early depend on its rest, which may still come."""
        is_begun = self.progress is not None and self.reply.has_begun
        return is_begun and not self.reply.is_complete and not self.reply.is_last()

    def take_buffered(self, attempt: Attempt) -> BufferedValue | None:
        """Remove and return the attempt's long value; the caller releases its memory."""
        buffered = self.buffered
        if buffered is None or buffered.attempt is not attempt:
            return None
        self.buffered = None
        if self.buffer_timer:
            self.buffer_timer.cancel()
        return buffered

    def drop_buffered(self, attempt: Attempt) -> None:
        """Drop the attempt's long value, if there is one."""
        buffered = self.take_buffered(attempt)
        if buffered:
            buffered.release()

    def has_another_in_flight(self, attempt: Attempt) -> bool:
        """Return whether another attempt of the request has not ended."""
        return any(other is not attempt and not other.has_ended for other in self.in_flight.values())
