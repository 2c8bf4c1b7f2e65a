"""What the program spends: processor time by place, memory and descriptors.

Each callback of the loop enters a place and leaves it again; what it has done for another place is that
one's. Only some of the outermost entries, by chance, are timed, and stand for those that were not.
"""

import os
import random
import resource
import time
from collections.abc import Callable, Coroutine, Generator
from enum import IntEnum
from types import coroutine
from typing import Any

EVERY = 8  # entries of which one is timed, on average: a reading of the clock costs half a microsecond
NS = 1e9


class Place(IntEnum):
    """Where processor time goes; what is spent outside of all others is the loop's."""

    LOOP = 0
    CLIENTS = 1
    MODULE = 2
    BACKENDS = 3
    DISCOVERY = 4
    PEERS = 5
    MANAGEMENT = 6
    LOG = 7


PLACES = tuple(Place)[1:]


class Account:
    """Processor time by place.

    The gaps between timed entries are drawn, as those of a request come in a fixed order.
    """

    def __init__(
        self,
        seed: int = 0,
        every: int = EVERY,
        clock: Callable[[], int] = time.thread_time_ns,
        process_clock: Callable[[], int] = time.process_time_ns,
        elapsed: Callable[[], float] = time.monotonic,
    ) -> None:
        self.every, self.clock, self.process_clock, self.elapsed = every, clock, process_clock, elapsed
        self.chance = random.Random(seed).random
        self.spent = [0] * len(Place)  # as timed; those not timed come in by `every`
        self.place, self.timed, self.since = Place.LOOP, False, 0
        self.skip = 0  # entries until the next one that is timed
        self.told_ns, self.told_s = process_clock(), elapsed()  # at the last interval's end
        self.idle_s, self.idle_ns = 0.0, 0  # of the intervals without a request

    def enter(self, place: Place) -> Place:
        """From now on what is spent is this place's; gives the place to go back to on leaving."""
        was, self.place = self.place, place
        if was:
            if self.timed:
                self.charge(was)
        elif self.skip:
            self.skip -= 1
        else:
            self.skip = int(self.chance() * (2 * self.every - 1))  # on average every - 1
            self.timed, self.since = True, self.clock()
        return was

    def leave(self, was: Place) -> None:
        if self.timed:
            self.charge(self.place)
            self.timed = bool(was)
        self.place = was

    def run(self, place: Place, call: Callable[..., None], *args: object) -> None:
        """A call of the loop's, at this place."""
        was = self.enter(place)
        try:
            call(*args)
        finally:
            self.leave(was)

    def charge(self, place: Place) -> None:
        now = self.clock()
        self.spent[place] += now - self.since
        self.since = now

    @coroutine
    def steps(self, place: Place, job: Coroutine[Any, Any, None]) -> Generator[Any, Any, None]:
        """A job for a task, each of whose steps is this place's."""
        resume, value = job.send, None
        while True:
            was = self.enter(place)
            try:
                waits_for = resume(value)
            except StopIteration:
                return
            finally:
                self.leave(was)
            try:
                resume, value = job.send, (yield waits_for)
            except BaseException as error:  # a cancellation too: the job is to see it
                resume, value = job.throw, error

    def seconds(self, place: Place) -> float:
        """The estimate for this place since the start."""
        return self.spent[place] * self.every / NS

    def total_s(self) -> float:
        """All processor time of the process, exactly."""
        return self.process_clock() / NS

    def interval(self, idle: bool) -> tuple[float, float]:
        """The time and the processor time since the last call; kept apart if nothing was asked meanwhile."""
        now_ns, now_s = self.process_clock(), self.elapsed()
        took_ns, took_s = now_ns - self.told_ns, now_s - self.told_s
        self.told_ns, self.told_s = now_ns, now_s
        if idle:
            self.idle_ns, self.idle_s = self.idle_ns + took_ns, self.idle_s + took_s
        return took_s, took_ns / NS


def resident_bytes() -> int | None:
    """The memory that the process holds now; None where the system does not say."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return None


def peak_resident_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def descriptors_allowed(wanted: int) -> int:
    """As many of those wanted as the system lets this process hold, its soft limit raised if need be."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or wanted <= soft:
        return wanted
    most = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    except (OSError, ValueError):
        return soft
    return most


def descriptors() -> int | None:
    """Those that the process holds; None where it cannot look, as when it has none left to look with."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one of them is for the look itself
    except OSError:
        return None
