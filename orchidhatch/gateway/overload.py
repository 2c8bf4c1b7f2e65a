"""The cap: Dynamic Processor Overload Control, section 2 of the paper, on this gateway's first attempts."""

import math
from collections.abc import Callable, Iterable

from orchidhatch.gateway.constants import CC_PERIOD_US, LEAST_OUT, MOST_PERIODS, START_PER_SERVER, TICK_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.times import S

RATE_SMOOTH = 0.3  # weight of a period's sends in a running mean
FAIR_N = 10  # the OPPUI is one or two Call Control Periods, for an N that is fair-sized
MAX_INCREASE, MAX_DECREASE = 0.2, 0.1  # the largest step of N in a second, against noise
ADDL_DECREMENT, MIN_FRACTION_CALLS = 0.1, 0.75  # extra step at occ_too_high; part of N that counts as low
# max_occup, occ_too_high, min_occup: reports of busy cores are late; a mean at half the aim has a tail.
TARGETS = {"util": (0.92, 0.97, 0.75), "latency": (0.5, 0.7, 0.35)}


class OverloadController:
    """N for this period, re-derived at the end of each OPPUI, and what is out at once."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.n_past: float | None = None  # no N: the cap is lifted
        self.limit = 0  # N as it holds this period
        self.left_of_n = context.random.random()  # what rounding left
        self.occupancy = 0.0  # as last inferred, for the log
        self.overhead, self.in_flight = 1.0, 0
        self.admitted = 0  # first attempts of this period
        self.period_start_us, self.period_length_us = -1, CC_PERIOD_US
        self.rate = 0.0  # first attempts a second
        self.signals: dict[str, list[float]] = {"util": [], "latency": []}

    def allowance(self, warm: float) -> bool:
        """Whether one more first attempt may leave now; `warm` is what the servers can do, in servers."""
        context = self.context
        part = min(1.0, (context.now_us - self.period_start_us + TICK_US) / self.period_length_us)
        # Servers that hold too much may not come back for long: what is out is bounded, cap or no cap, and a
        # cold server holds only its part.
        most = max(LEAST_OUT, round(START_PER_SERVER * warm / context.settings.gateway_count))
        return self.in_flight < most and (self.n_past is None or self.admitted < math.ceil(self.limit * part))

    def end_period(self) -> None:
        self.period_start_us += self.period_length_us
        rate = self.admitted * S / self.period_length_us
        self.rate += (RATE_SMOOTH if self.rate else 1) * (rate - self.rate)

    def begin_period(self, ready: int, overdue: Callable[[], Iterable[float]]) -> None:
        """N for the period that begins, by what the last one showed."""
        self.update(self.admitted, ready, overdue)
        was, most = self.period_length_us, min(MOST_PERIODS, round(FAIR_N / max(1.0, self.rate)))
        self.period_length_us = CC_PERIOD_US * max(1, most)
        if self.n_past is not None:
            self.n_past *= self.period_length_us / was
            due = self.n_past + self.left_of_n
            self.limit = math.floor(due)
            self.left_of_n = due - self.limit
        self.admitted = 0

    def update(self, na_past: float, ready: int, overdue: Callable[[], Iterable[float]]) -> None:
        """The paper's update. A cap in full use is not lifted: that floods servers that have just drained."""
        kind = "util" if self.signals["util"] else "latency"
        samples, targets = self.signals[kind], TARGETS[kind]
        self.signals = {"util": [], "latency": []}
        if kind == "latency":  # a jam answers nobody: what is out and overdue counts with its age so far
            samples += overdue()
        if not samples:
            return
        occup, was = min(1.0, sum(samples) / len(samples)), self.n_past
        self.occupancy = occup
        if occup < targets[2] and (was is None or na_past < MIN_FRACTION_CALLS * was):
            self.overhead, self.n_past = min(self.overhead, occup), None
            return
        # N is rounded down as that of all gateways: one of many has so small a part that rounding it, and
        # not the servers, would decide. Its part's fraction is left for the next period.
        alike, seconds = self.context.settings.gateway_count, self.period_length_us / S
        if was is None:  # it engages by a step from what was sent: less at once would be no clamped step
            was = max(1, START_PER_SERVER * ready * self.period_length_us // S // alike, round(na_past))
        overhead = min(self.overhead, targets[2] / 2)
        self.n_past = next_n(round(was * alike), na_past * alike, occup, overhead, targets, seconds) / alike


def next_n(
    n_past: int,
    na_past: float,
    occup: float,
    overhead: float,
    targets: tuple[float, ...],
    seconds: float = 1.0,
) -> int:
    """The paper's update of N, rounded down; `targets` are max_occup, occ_too_high and min_occup."""
    max_occup, occ_too_high, min_occup = targets
    if occup < min_occup and na_past < MIN_FRACTION_CALLS * n_past:
        return n_past
    lowest, highest = n_past * (1 - MAX_DECREASE) ** seconds, n_past * (1 + MAX_INCREASE) ** seconds
    n_prelim = highest if occup <= overhead else (max_occup - overhead) / (occup - overhead) * na_past
    n_next = min(max(n_prelim, lowest), highest)
    if occup >= occ_too_high:
        n_next = max(n_prelim, lowest) * (1 - ADDL_DECREMENT) ** seconds
    elif n_prelim - n_past >= 1 and highest - n_past < 1:
        n_next = n_past + 1
    return max(1, math.floor(n_next + 1e-9))
