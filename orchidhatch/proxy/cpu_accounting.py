"""CPU time of the process by cost category, estimated from a sample of the event loop's callbacks.

Each callback enters a category and leaves it at its end; entries may be nested, and time is charged to the
innermost. Only a random sample of the outermost entries is timed, and the result is scaled up.
"""

import random
import time
from collections.abc import Callable, Coroutine, Generator
from enum import IntEnum
from types import coroutine
from typing import Any

# Outermost entries per timed one, on average: reading the clock costs 0.5 us.
SAMPLING_INTERVAL = 8
NS_PER_S = 1e9


class CostCategory(IntEnum):
    """What CPU time is spent on; LOOP is the time outside all other categories."""

    LOOP = 0
    CLIENTS = 1
    DECISION_CORE = 2
    BACKENDS = 3
    DISCOVERY = 4
    PEERS = 5
    MANAGEMENT = 6
    LOG = 7

    @property
    def label(self) -> str:
        """The category's name on /metrics and in the log."""
        return "module" if self is CostCategory.DECISION_CORE else self.name.lower()


CHARGED_CATEGORIES = tuple(category for category in CostCategory if category is not CostCategory.LOOP)


class CpuAccounting:
    """CPU time by category.

    The number of entries between timed ones is random, drawn from `seed`: the entries of a request come in a
    fixed order, of which a fixed stride would always time the same ones. `sampling_interval` is the average
    number of entries per timed one. The clocks return the CPU time of the thread and of the process, in
    nanoseconds, and the monotonic time, in seconds.
    """

    def __init__(
        self,
        seed: int = 0,
        sampling_interval: int = SAMPLING_INTERVAL,
        thread_clock_ns: Callable[[], int] = time.thread_time_ns,
        process_clock_ns: Callable[[], int] = time.process_time_ns,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sampling_interval = sampling_interval
        self.thread_clock_ns = thread_clock_ns
        self.process_clock_ns = process_clock_ns
        self.clock_s = clock_s
        self.draw = random.Random(seed).random
        self.sampled_ns = [0] * len(CostCategory)
        """By category; of the timed entries only."""
        self.category = CostCategory.LOOP
        self.is_timed = False
        """Whether the current entry is timed."""
        self.charged_until_ns = 0
        """The thread's CPU time up to which the current timed entry has been charged."""
        self.entries_to_skip = 0
        self.interval_start_cpu_ns = process_clock_ns()
        self.interval_start_s = clock_s()
        self.idle_s = 0.0
        """Total time of the intervals without a request."""
        self.idle_cpu_ns = 0
        """Total CPU time of those intervals."""

    def enter(self, category: CostCategory) -> CostCategory:
        """Charge CPU time to `category` from now on; return the previous category, an argument of `leave`."""
        previous = self.category
        self.category = category
        if previous is not CostCategory.LOOP:
            if self.is_timed:
                self._charge(previous)
        elif self.entries_to_skip:
            self.entries_to_skip -= 1
        else:
            self.entries_to_skip = self._draw_gap()
            self.is_timed = True
            self.charged_until_ns = self.thread_clock_ns()
        return previous

    def _draw_gap(self) -> int:
        """Return the number of entries to skip; on average one less than the sampling interval."""
        return int(self.draw() * (2 * self.sampling_interval - 1))

    def leave(self, previous: CostCategory) -> None:
        """Return to the category that `enter` returned."""
        if self.is_timed:
            self._charge(self.category)
            self.is_timed = previous is not CostCategory.LOOP
        self.category = previous

    def run(self, category: CostCategory, callback: Callable[..., None], *args: object) -> None:
        """Call an event loop callback and charge its CPU time to `category`."""
        previous = self.enter(category)
        try:
            callback(*args)
        finally:
            self.leave(previous)

    def _charge(self, category: CostCategory) -> None:
        now_ns = self.thread_clock_ns()
        self.sampled_ns[category] += now_ns - self.charged_until_ns
        self.charged_until_ns = now_ns

    @coroutine
    def wrap_coroutine(
        self, category: CostCategory, job: Coroutine[Any, Any, None]
    ) -> Generator[Any, Any, None]:
        """Wrap a task's coroutine so that each of its steps is charged to `category`."""
        resume = job.send
        value: Any = None
        while True:
            previous = self.enter(category)
            try:
                awaited = resume(value)
            except StopIteration:
                return
            finally:
                self.leave(previous)
            try:
                value = yield awaited
                resume = job.send
            except BaseException as error:  # includes cancellation, which must reach the job
                value = error
                resume = job.throw

    def estimated_cpu_s(self, category: CostCategory) -> float:
        """Return the category's CPU time since the start, in seconds, scaled up from the timed entries."""
        return self.sampled_ns[category] * self.sampling_interval / NS_PER_S

    def process_cpu_s(self) -> float:
        """Return the exact CPU time of the whole process since its start, in seconds."""
        return self.process_clock_ns() / NS_PER_S

    def idle_cpu_s(self) -> float:
        """Return the CPU time of the intervals without a request, in seconds."""
        return self.idle_cpu_ns / NS_PER_S

    def end_interval(self, is_idle: bool) -> tuple[float, float]:
        """Start a new interval; return the duration and the CPU time of the previous one, in seconds.

        The figures of idle intervals are also added to separate totals.
        """
        cpu_ns = self.process_clock_ns()
        now_s = self.clock_s()
        interval_cpu_ns = cpu_ns - self.interval_start_cpu_ns
        interval_s = now_s - self.interval_start_s
        self.interval_start_cpu_ns = cpu_ns
        self.interval_start_s = now_s
        if is_idle:
            self.idle_cpu_ns += interval_cpu_ns
            self.idle_s += interval_s
        return interval_s, interval_cpu_ns / NS_PER_S
