"""A request with its reply, its deadline and the attempts that are out for it."""

import asyncio

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.command_parser import Command
from orchidhatch.proxy.reply import Reply


class RequestExchange:
    """A request from its arrival until its answer and the end of its last attempt.

    `plan` is the plan's name, as its number may be another plan's after a reload. `policy` is the digest of
    the policy that admitted the request, "" where that is not logged. `stream` is the attempt whose long
    value is being sent to the client; `buffer` keeps one that is not streamed, of up to `buffer_size` bytes.
    `may_have_run_us` is when the first attempt was sent that may have run, 0 if none may have. Times are in
    microseconds of the process's clock.
    """

    __slots__ = (
        "arrived_us",
        "attempt_count",
        "buffer",
        "buffer_size",
        "command",
        "end_us",
        "in_flight",
        "last_result",
        "may_have_run_us",
        "plan",
        "policy",
        "reply",
        "stream",
        "timer",
    )

    def __init__(self, command: Command, reply: Reply, end_us: int, plan: str, policy: str = "") -> None:
        self.command = command
        self.reply = reply
        self.end_us = end_us
        self.plan = plan
        self.policy = policy
        self.arrived_us = end_us - command.request.time_left_us
        self.attempt_count = 0
        self.may_have_run_us = 0
        self.buffer: bytearray | None = None
        self.buffer_size = 0
        self.last_result: AttemptResult | None = None
        self.in_flight: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.stream: Attempt | None = None

    def has_another_in_flight(self, attempt: Attempt) -> bool:
        """Whether an attempt beside this one may still reach its backend or be answered."""
        return any(other is not attempt and not other.has_ended for other in self.in_flight.values())
