"""A request that a gateway has taken, until it is owed nothing and has nothing out."""

from fennelwinch import interface as i
from fennelwinch.basics import NEVER
from fennelwinch.quota import Customer
from fennelwinch.routing import Server


class Job:
    """A request, what it has been sent to, and its times in microseconds."""

    def __init__(self, req: i.Request, rule: i.RequestClass, customer: Customer, now: int) -> None:
        self.req, self.rule, self.customer = req, rule, customer
        self.worth = rule.worth * customer.plan.worth_factor * req.units
        self.came_us, self.end_us = now, now + req.left_us
        self.aim_us = min(now + rule.aim_us, self.end_us)
        self.servers: list[Server] = []  # of its attempts, in order
        self.out: dict[int, int] = {}  # attempts out and when each was sent
        self.ran_on: Server | None = None  # where it may first have run, and since when
        self.over, self.in_quota, self.ran_us, self.unrun = False, False, 0, 0  # unrun: proven so
        self.decide_us, self.asks = NEVER, 0  # until when it waits for word of its quota
        self.streams = False  # its value has begun to go to the client

    def may_refuse(self) -> bool:
        keyed_ok = self.rule.effect is i.Effect.KEYED and self.rule.group is i.Group.ALL
        return self.ran_on is None or self.rule.effect is i.Effect.SAFE or keyed_ok
