"""Slow start over fleets of gateways: what all of them together send a backend that has just started.

The budget is that of the operators' standing test: in the time that the settings name, as many calls as they
allow then, with its margin. It binds however few or many gateways there are.
"""

import bisect
import math
import random
from dataclasses import dataclass, replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, Set, servers

SERVERS = 30
CALLS_PER_S = 40.0  # that a warm server can do
SERVICE_MS = 50
WARM_FOR_S = 4
COLD_CAPACITY = 0.2
MULTIPLE = 3.0
WINDOW_US = 1_500 * MS
STEP_US = 10 * MS


@dataclass(frozen=True)
class Start:
    """How many of the servers start at one moment, and by how much traffic exceeds what is usual then."""

    cold: int
    burst: float


def margin(budget: float) -> float:
    return 3 * math.sqrt(budget) + 3 if budget < 30 else 2 * math.sqrt(budget) + 2


def fullest_window(times: list[int], start_us: int) -> tuple[int, float]:
    """The calls of the window that is fullest beside its budget, and the budget with its margin."""
    found = (0, 1.0)
    for number, begin in enumerate(times):
        warm = min(1.0, COLD_CAPACITY + (1 - COLD_CAPACITY) * (begin - start_us) / S / WARM_FOR_S)
        budget = MULTIPLE * CALLS_PER_S * warm * WINDOW_US / S
        calls = bisect.bisect_left(times, begin + WINDOW_US) - number
        found = max(found, (calls, budget + margin(budget)), key=lambda one: one[0] / one[1])
    return found


def play(gateways: int, start: Start, seed: int) -> list[tuple[int, float]]:
    """Traffic at 0.6 of what all servers can do, then some of them start anew; each one's fullest window."""
    settings = replace(
        SETTINGS,
        plans=(Plan(),),
        cold_capacity=COLD_CAPACITY,
        warm_up_us=WARM_FOR_S * S,
        overload_multiple=MULTIPLE,
        overload_time_us=WINDOW_US,
    )
    gates = Set(gateways, settings, servers(SERVERS))
    gates.lasts_us = SERVICE_MS * MS
    chance = random.Random(seed)
    per_step = 0.6 * CALLS_PER_S * SERVERS * STEP_US / S
    number = 0

    def pass_time(steps: int, times: float) -> None:
        nonlocal number
        for _ in range(steps):
            wanted = per_step * times
            for _ in range(int(wanted) + (chance.random() < wanted % 1)):
                number += 1
                gates.ask(chance.randrange(gateways), f"r{number}", customer=f"c{number % 500}")
            gates.run(STEP_US)

    pass_time(250, 1.0)
    now = gates.worlds[0].now
    fresh = tuple(replace(server, started_us=now) for server in servers(SERVERS)[: start.cold])
    for world in gates.worlds:
        world.log.clear()
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, fresh))
    pass_time(150, start.burst)
    calls: dict[str, list[int]] = {server.name: [] for server in fresh}
    for world in gates.worlds:
        for at, action in world.log:
            if isinstance(action, SendAttempt) and action.server in calls:
                calls[action.server].append(at)
    return [fullest_window(sorted(times), now) for times in calls.values()]


@pytest.mark.parametrize("gateways", [3, 20, 200])
@pytest.mark.parametrize("start", [Start(1, 1.0), Start(10, 1.5)], ids=["one", "a third in a burst"])
def test_all_gateways_together_keep_the_budget_of_a_server_in_slow_start(gateways: int, start: Start) -> None:
    for calls, budget in play(gateways, start, seed=gateways):
        assert 0 < calls <= budget
