"""What the rooms of the decisions remember, and the forms in which a process hands it to the next: records
only, which decide nothing."""

import math
import random
import zlib
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from orchidhatch.gateway import interface as i

if TYPE_CHECKING:
    from orchidhatch.gateway.load_balancing import Routing, Server
    from orchidhatch.gateway.overload import Cap
    from orchidhatch.gateway.quota import Customer

S, NEVER = 1_000_000, 1 << 62  # microseconds in a second; a time that does not come
SAME_START_US = 100_000  # two processes may reckon a server's start from the wall clock this differently


class Desk:
    """The settings, the event's time in microseconds, and the actions so far; and whether there is a twin.

    A twin is another process that is this gateway too, while one takes over from the other. `blind` means
    that there may be one, unheard.
    """

    def __init__(self, settings: i.Settings) -> None:
        self.set, self.random = settings, random.Random(settings.seed)
        self.now = self.started_us = 0
        self.actions: list[i.Action] = []
        self.has_twin = self.blind = False

    def tell_twin(self, word: i.TwinSpend | i.TwinSend | i.TwinEnd | i.TwinMaint) -> None:
        if self.has_twin:
            self.actions.append(word)


class Job:
    """A request, what it has been sent to, and its times in microseconds."""

    def __init__(self, req: i.Request, rule: i.RequestClass, customer: "Customer", now: int) -> None:
        self.req, self.rule, self.customer = req, rule, customer
        self.worth = rule.worth * customer.plan.worth_factor * req.units
        self.came_us, self.end_us = now, now + req.left_us
        self.aim_us = min(now + rule.aim_us, self.end_us)
        self.servers: list[Server] = []  # of its attempts, in order
        self.out: dict[int, int] = {}  # attempts out and when each was sent
        self.ran_on: Server | None = None  # where it may first have run, and since when
        self.over, self.in_quota, self.ran_us, self.unrun = False, False, 0, 0  # unrun: proven so
        self.held_us = now  # since when it waits, for word of its quota or to be sent
        self.decide_us, self.asks = NEVER, 0  # until when it waits for word of its quota
        self.streams = False  # its value has begun to go to the client

    def may_refuse(self) -> bool:
        keyed_ok = self.rule.effect is i.Effect.KEYED and self.rule.group is i.Group.ALL
        return self.ran_on is None or self.rule.effect is i.Effect.SAFE or keyed_ok


class ServerRecord:
    """A server of the list, and how it has served."""

    def __init__(self, entry: i.Server) -> None:
        self.entry, self.sum = entry, zlib.crc32(entry.name.encode()) & 0xFFFF
        self.out: dict[tuple[str, int], int] = {}  # attempts out and when each was sent
        self.heard_us = self.avoid_until = self.backoff_us = 0
        self.trouble = 1.0  # latency over the mean, or WORST for a failure, as all gateways have met it
        self.slowness, self.fails = 1.0, 0.0  # latency over the mean of its class; failures of late
        self.on_trial, self.load, self.load_at = False, None, 0
        self.back_us = -NEVER  # its return from suspicion
        self.pace = 1.0  # how much more it is sent while cold, as its answers show that it is warmer
        self.cold_us = 0  # when it may have started anew while left out by hand
        self.warm_us = NEVER  # from when on it is warm, by its start
        self.earned, self.earned_us = 0.0, 0  # part of an attempt that is due to it while cold; when

    def memory(self) -> i.ServerMemory:
        return i.ServerMemory(
            self.entry.name,
            self.entry.started_us,
            self.slowness,
            self.fails,
            self.on_trial,
            self.avoid_until,
            self.backoff_us,
            self.back_us,
            self.cold_us,
            self.earned,
            self.earned_us,
        )

    def remember(self, told: i.ServerMemory) -> None:
        if abs(self.entry.started_us - told.started_us) < SAME_START_US:
            self.slowness, self.fails, self.on_trial = told.slowness, told.fails, told.on_trial
            self.avoid_until, self.backoff_us = told.avoid_until_us, told.backoff_us
            self.back_us, self.cold_us = told.back_us, told.cold_us
            self.earned, self.earned_us = told.earned, told.earned_us


class CustomerRecord:
    """A customer's part of quota and ceiling here, and what is known of its whole set: all, at its home."""

    def __init__(self, plan: i.Plan, key: i.Key, set_: i.Settings, now: int) -> None:
        # Where gateways may not tell each other anything, each goes by its part as if it were the whole set.
        self.plan, self.key, self.size, self.at = plan, key, key[3] if set_.may_tell else 1, now
        self.home = (key[2] + key[0] % self.size) % set_.gateways if set_.may_tell else set_.me
        self.at_home = self.home == set_.me
        self.part, self.level, self.demand = plan.burst / self.size, plan.burst, 0.0
        self.own = max(1.0, self.part)  # what it may spend unheard: its part, of one request at least
        self.ask_after_us = self.backoff_us = 0  # while the home does not answer, it is left alone
        self.heard_us, self.out = -NEVER, 0
        self.ceiling, self.left_us = 0.0, 0  # until when its part of the ceiling's rate is the home's
        self.outs: dict[int, tuple[int, int]] = {}  # at its home: attempts out by gateway, and when it told
        self.granted: dict[int, list[int]] = {}  # there too: places granted and not yet seen in use; when
        # There too: who waits for a place, longest first; for how many units, and when it asked last.
        self.wanting: dict[int, tuple[float, int]] = {}
        self.lent: dict[int, int] = {}  # there too: until when a gateway leaves its part of the ceiling to it
        # Elsewhere: when a place was granted, when one was asked for last, asks unanswered; its last word.
        self.place_us, self.wanted_us, self.wants, self.queued = -NEVER, -NEVER, 0, False
        self.told_us = -NEVER
        self.untold = self.spent = 0.0  # demand and spending that the home has not been told of

    def memory(self) -> i.CustomerMemory:
        return i.CustomerMemory(
            self.key,
            self.at,
            self.part,
            self.level,
            self.demand,
            self.ceiling,
            self.heard_us,
            self.untold,
            self.spent,
        )

    def remember(self, told: i.CustomerMemory) -> None:
        self.part, self.level, self.demand = told.part, told.level, told.demand
        self.ceiling, self.heard_us = told.ceiling, told.heard_us
        self.untold, self.spent = told.untold, told.spent


def state(
    desk: Desk,
    cap: "Cap",
    routing: "Routing",
    customers: Iterable[CustomerRecord],
    names: Mapping[str, bool],
    jobs: Iterable[Job],
) -> i.State:
    """All that a gateway hands over."""
    return i.State(
        desk.now,
        i.CapMemory(
            cap.n_past or 0, cap.accepted, cap.period_us, cap.cc_us, cap.overhead, cap.rate, routing.usual
        ),
        tuple(routing.mean_us),
        tuple(known.memory() for known in customers),
        tuple(server.memory() for server in routing.servers.values()),
        tuple(i.TwinMaint(name, left_out) for name, left_out in names.items()),
        tuple(
            i.TwinSend(job.customer.key, job.req.id, number, job.servers[number].entry.name, sent, 0.0)
            for job in jobs
            for number, sent in job.out.items()
        ),
    )


def remember_cap(cap: "Cap", told: i.CapMemory) -> None:
    cap.n_past, cap.accepted, cap.period_us = told.n_past or None, told.accepted, told.period_us
    cap.most = math.floor(told.n_past)
    cap.cc_us, cap.overhead, cap.rate = told.length_us, told.overhead, told.rate
