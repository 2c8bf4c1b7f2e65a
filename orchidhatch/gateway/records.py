"""What the gateway knows of each server and each customer, and how it is put into a snapshot and restored."""

import zlib

from orchidhatch.gateway.endpoints import Endpoint
from orchidhatch.gateway.settings import Plan, Settings
from orchidhatch.gateway.snapshots import CustomerKey, CustomerSnapshot, ServerSnapshot
from orchidhatch.gateway.times import NEVER

SAME_START_US = 100_000  # two processes may reckon a server's start from the wall clock this differently


class ServerRecord:
    """A server of the list, and how it has served."""

    def __init__(self, entry: Endpoint) -> None:
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

    def memory(self) -> ServerSnapshot:
        return ServerSnapshot(
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

    def remember(self, told: ServerSnapshot) -> None:
        if abs(self.entry.started_us - told.started_us) < SAME_START_US:
            self.slowness, self.fails, self.on_trial = (
                told.relative_latency,
                told.failure_score,
                told.needs_probe,
            )
            self.avoid_until, self.backoff_us = told.ejected_until_us, told.ejection_us
            self.back_us, self.cold_us = told.recovered_us, told.cold_since_us
            self.earned, self.earned_us = told.slow_start_credit, told.credit_updated_us


class CustomerRecord:
    """A customer's part of quota and ceiling here, and what is known of its whole set: all, at its home."""

    def __init__(self, plan: Plan, key: CustomerKey, set_: Settings, now: int) -> None:
        # Where gateways may not tell each other anything, each goes by its part as if it were the whole set.
        self.plan, self.key, self.size, self.at = plan, key, key[3] if set_.may_gossip else 1, now
        self.home = (
            (key[2] + key[0] % self.size) % set_.gateway_count if set_.may_gossip else set_.gateway_index
        )
        self.at_home = self.home == set_.gateway_index
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

    def memory(self) -> CustomerSnapshot:
        return CustomerSnapshot(
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

    def remember(self, told: CustomerSnapshot) -> None:
        self.part, self.level, self.demand = told.local_share, told.set_level, told.demand
        self.ceiling, self.heard_us = told.ceiling, told.last_answer_us
        self.untold, self.spent = told.unreported_demand, told.unreported_spend
