"""Overload control: limits new requests per control period (Somoza, section 2).

The control period is the paper's OPPUI and consists of one or two call control periods. N is the limit on
admissions (first attempts) in a control period, NA their number. Two rules are from DESIGN, not the paper:
the signals that stand in for occupancy, and that N is lifted in light traffic. Each gateway enforces its
share of the N of all gateways.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, auto

from orchidhatch.gateway.constants import (
    ATTEMPTS_PER_SERVER,
    CALL_CONTROL_PERIOD_US,
    MAX_CALL_CONTROL_PERIODS,
    MIN_IN_FLIGHT_LIMIT,
    TICK_US,
)
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.times import S

RATE_SMOOTHING = 0.3
"""Weight of the last period in the moving average of the admission rate."""

MIN_ADMISSIONS_PER_PERIOD = 10
"""With fewer admissions in a call control period, the control period is lengthened."""

MAX_INCREASE_PER_S = 0.2
"""max.increase: the largest increase of N, as a fraction per second."""

MAX_DECREASE_PER_S = 0.1
"""max.decrease: the largest decrease of N, as a fraction per second."""

ADDL_DECREMENT_PER_S = 0.1
"""addl.decrement: the additional decrease of N at occ.too.high, as a fraction per second."""

MIN_FRACTION_CALLS = 0.75
"""min.fraction.calls: with NA at a lower fraction of N, and occupancy below min.occup, N is not updated."""

ROUNDING_TOLERANCE = 1e-9
"""Floating-point error tolerated in N before it is rounded down."""


class OccupancySignal(Enum):
    """What occupancy is inferred from (DESIGN, signal).

    UTILIZATION is the busy fraction of their cores that servers report; LATENCY is the latency of attempts
    divided by the latency objective of their class, at most 1.
    """

    UTILIZATION = auto()
    LATENCY = auto()


@dataclass(frozen=True, slots=True)
class OccupancyTargets:
    """The paper's parameters max.occup, occ.too.high and min.occup (section 2)."""

    max_occup: float
    occ_too_high: float
    min_occup: float


TARGETS = {
    OccupancySignal.UTILIZATION: OccupancyTargets(max_occup=0.92, occ_too_high=0.97, min_occup=0.75),
    # Lower, as latencies vary: with a mean of half the objective, some attempts miss it.
    OccupancySignal.LATENCY: OccupancyTargets(max_occup=0.5, occ_too_high=0.7, min_occup=0.35),
}


class OverloadController:
    """Limits first attempts per control period, and attempts in flight at all times.

    `admission_limit` is this gateway's share of N before rounding, None while N is lifted; `period_limit` is
    the rounded limit of this period. `occupancy` is the last inferred value and `overhead` the lowest one in
    light traffic, both as fractions; `admissions_per_s` is the moving average of the admission rate.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.admission_limit: float | None = None
        self.period_limit = 0
        # Remainder of rounding down, carried to the next period; random at first, so that gateways differ.
        self.limit_remainder = context.random.random()
        self.occupancy = 0.0
        self.overhead = 1.0
        self.in_flight = 0
        self.admitted_this_period = 0
        self.period_start_us = -1
        self.period_length_us = CALL_CONTROL_PERIOD_US
        self.admissions_per_s = 0.0
        self.samples: dict[OccupancySignal, list[float]] = new_sample_lists()

    def observe(self, signal: OccupancySignal, occupancy: float) -> None:
        """Add an occupancy sample to this period."""
        self.samples[signal].append(occupancy)

    def may_admit(self, warm_capacity: float) -> bool:
        """Return whether one more first attempt may be sent now.

        `warm_capacity` counts a server in slow start by its slow-start weight. Admissions are spread over the
        period. Attempts in flight are limited even while N is lifted, as servers with too many of them may
        take long to recover.
        """
        elapsed_us = self.context.now_us - self.period_start_us + TICK_US
        elapsed_fraction = min(1.0, elapsed_us / self.period_length_us)
        gateway_count = self.context.settings.gateway_count
        max_in_flight = max(MIN_IN_FLIGHT_LIMIT, round(ATTEMPTS_PER_SERVER * warm_capacity / gateway_count))
        if self.in_flight >= max_in_flight:
            return False
        if self.admission_limit is None:
            return True
        return self.admitted_this_period < math.ceil(self.period_limit * elapsed_fraction)

    def end_period(self) -> None:
        """End the control period, and update the admission rate."""
        self.period_start_us += self.period_length_us
        period_rate = self.admitted_this_period * S / self.period_length_us
        weight = RATE_SMOOTHING if self.admissions_per_s else 1
        self.admissions_per_s += weight * (period_rate - self.admissions_per_s)

    def begin_period(self, server_count: int, overdue_ages: Callable[[], Iterable[float]]) -> None:
        """Set the length and the limit of the next control period from the results of the last one.

        `server_count` counts the servers that may be sent new work; `overdue_ages` is passed to `update`.
        """
        self.update(self.admitted_this_period, server_count, overdue_ages)
        last_length_us = self.period_length_us
        period_count = min(
            MAX_CALL_CONTROL_PERIODS, round(MIN_ADMISSIONS_PER_PERIOD / max(1.0, self.admissions_per_s))
        )
        self.period_length_us = CALL_CONTROL_PERIOD_US * max(1, period_count)
        if self.admission_limit is not None:
            self.admission_limit *= self.period_length_us / last_length_us
            self.round_limit(self.admission_limit)
        self.admitted_this_period = 0

    def round_limit(self, n: float) -> None:
        """Round N down for the next period, and keep the remainder for the one after (section 2, step 3).

        With many gateways each one's share is small, and rounding alone would determine it without the
        remainder.
        """
        with_remainder = n + self.limit_remainder
        self.period_limit = math.floor(with_remainder)
        self.limit_remainder = with_remainder - self.period_limit

    def update(self, na_past: float, server_count: int, overdue_ages: Callable[[], Iterable[float]]) -> None:
        """Update N, lift it in light traffic, or engage it (section 2; DESIGN, signal).

        `overdue_ages` returns the ages of attempts that take longer than usual, as occupancies: while servers
        answer nothing, no latency is observed. N is not lifted while it is fully used, as that would flood
        servers that have just recovered.
        """
        has_reports = bool(self.samples[OccupancySignal.UTILIZATION])
        signal = OccupancySignal.UTILIZATION if has_reports else OccupancySignal.LATENCY
        targets = TARGETS[signal]
        samples = self.samples[signal]
        self.samples = new_sample_lists()
        if signal is OccupancySignal.LATENCY:
            samples += overdue_ages()
        if not samples:
            return
        occup_past = min(1.0, sum(samples) / len(samples))
        self.occupancy = occup_past
        if occup_past < targets.min_occup and self.has_few_admissions(na_past):
            self.overhead = min(self.overhead, occup_past)
            self.admission_limit = None
            return
        # Compute the N of all gateways, so that rounding it down matters less.
        gateway_count = self.context.settings.gateway_count
        period_s = self.period_length_us / S
        n_past = self.admission_limit
        if n_past is None:
            n_past = self.first_limit(na_past, server_count)
        overhead = min(self.overhead, targets.min_occup / 2)
        n_of_all_gateways = next_n(
            round(n_past * gateway_count), na_past * gateway_count, occup_past, overhead, targets, period_s
        )
        self.admission_limit = n_of_all_gateways / gateway_count

    def has_few_admissions(self, na_past: float) -> bool:
        """Return whether N is lifted, or NA was too small a fraction of N for N to have an effect."""
        return self.admission_limit is None or na_past < MIN_FRACTION_CALLS * self.admission_limit

    def first_limit(self, na_past: float, server_count: int) -> float:
        """Return this gateway's initial N: a few attempts per server, but at least the past admissions."""
        gateway_count = self.context.settings.gateway_count
        attempts = ATTEMPTS_PER_SERVER * server_count * self.period_length_us // S // gateway_count
        return max(1, attempts, round(na_past))


def new_sample_lists() -> dict[OccupancySignal, list[float]]:
    """Return the empty sample lists of a new period."""
    return {signal: [] for signal in OccupancySignal}


def next_n(
    n_past: int,
    na_past: float,
    occup_past: float,
    overhead: float,
    targets: OccupancyTargets,
    period_s: float = 1.0,
) -> int:
    """Return N for the next control period by the paper's algorithm (section 2, steps 1 to 3), at least 1.

    `n_past` and `na_past` are N and the admissions of the last period, which lasted `period_s`; the other
    arguments are fractions.
    """
    if occup_past < targets.min_occup and na_past < MIN_FRACTION_CALLS * n_past:
        return n_past
    lowest = n_past * (1 - MAX_DECREASE_PER_S) ** period_s
    highest = n_past * (1 + MAX_INCREASE_PER_S) ** period_s
    if occup_past <= overhead:  # Not in the paper: step 1 has no solution.
        n_prelim = highest
    else:
        n_prelim = (targets.max_occup - overhead) / (occup_past - overhead) * na_past
    if occup_past >= targets.occ_too_high:
        n_next = max(n_prelim, lowest) * (1 - ADDL_DECREMENT_PER_S) ** period_s
    elif n_prelim - n_past >= 1 and highest - n_past < 1:
        n_next = n_past + 1
    else:
        n_next = min(max(n_prelim, lowest), highest)
    return max(1, math.floor(n_next + ROUNDING_TOLERANCE))
