"""A request with its reply, its deadline and the attempts that are out for it."""

import asyncio

from orchidhatch.proxy.backends import Attempt
from orchidhatch.proxy.clients import Command, Reply


class RequestExchange:
    """A request from its arrival until its answer and the end of its last attempt.

    `plan` is the plan's name, as its number may be another plan's after a reload. `policy` is the digest of
    the policy that admitted the request, "" where that is not logged. `stream` is the attempt whose long
    value is being sent to the client. Times are in microseconds of the process's clock.
    """

    __slots__ = (
        "attempts",
        "came_us",
        "command",
        "end_us",
        "out",
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
        self.came_us = end_us - command.request.time_left_us
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.stream: Attempt | None = None
