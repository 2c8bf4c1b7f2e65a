"""The requests that the gateway has taken and not finished."""

from orchidhatch.gateway.events import Request
from orchidhatch.gateway.records import CustomerRecord, ServerRecord
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, RequestClass
from orchidhatch.gateway.times import NEVER


class Job:
    """A request, what it has been sent to, and its times in microseconds."""

    def __init__(self, req: Request, rule: RequestClass, customer: CustomerRecord, now: int) -> None:
        self.req, self.rule, self.customer = req, rule, customer
        self.worth = rule.priority_weight * customer.plan.priority_factor * req.units
        self.came_us, self.end_us = now, now + req.time_left_us
        self.aim_us = min(now + rule.latency_objective_us, self.end_us)
        self.servers: list[ServerRecord] = []  # of its attempts, in order
        self.out: dict[int, int] = {}  # attempts out and when each was sent
        self.ran_on: ServerRecord | None = None  # where it may first have run, and since when
        self.over, self.in_quota, self.ran_us, self.unrun = False, False, 0, 0  # unrun: proven so
        self.held_us = now  # since when it waits, for word of its quota or to be sent
        self.decide_us, self.asks = NEVER, 0  # until when it waits for word of its quota
        self.streams = False  # its value has begun to go to the client

    def may_refuse(self) -> bool:
        keyed_ok = (
            self.rule.idempotency is Idempotency.KEYED and self.rule.dedup_scope is DeduplicationScope.ALL
        )
        return self.ran_on is None or self.rule.idempotency is Idempotency.SAFE or keyed_ok
