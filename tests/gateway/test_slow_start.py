"""Slow start: what one gateway, and fleets of gateways together, send a server that has just started.

The budget of a fleet is that of the operators' standing test: in the time that the settings name, as many
calls as they allow then, with its margin. It binds however few or many gateways there are.
"""

import bisect
import math
import random
from collections import Counter
from dataclasses import dataclass, replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList, SetEjection
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, Set, World, servers

SERVERS = 30
WARM_CALLS_PER_S = 40.0
SERVICE_MS = 50
WARM_FOR_S = 4
COLD_CAPACITY = 0.2
MULTIPLE = 3.0
WINDOW_US = 1_500 * MS
STEP_US = 10 * MS


def sent_servers(world: World) -> list[str]:
    """The server of each attempt so far."""
    return [action.server for _, action in world.log if isinstance(action, SendAttempt)]


def test_cold_server_is_sent_less_than_half_its_even_share() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(120):
        if n == 60:
            cold = replace(servers(4)[3], started_us=world.now)
            world.tell(EndpointList(EndpointListKind.CHANGES, 2, (cold,)))
            world.log.clear()
        world.ask(f"r{n}")
        world.run((10 + n * 37 % 50) * MS)
        world.answer(f"r{n}")
    counts = [sent_servers(world).count(f"s{n}") for n in range(4)]
    assert counts[3] <= sum(counts) / 4 / 2  # the others share the rest by the latency they happened to have


def test_half_warm_servers_are_used_while_warm_ones_are_busy() -> None:
    """Half the fleet is at 0.6 of its capacity; what it can take must not pile up on the other half."""
    fleet = servers(4)
    world = World(replace(SETTINGS, plans=(Plan(),), overload_multiple=3.0))
    started = tuple(replace(fleet[n], started_us=world.now - 5 * S) for n in (2, 3))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, started))
    world.gateway.balancer.slow_start.usual_rate = 10.0  # as it was before the restart
    for n in range(80):
        world.ask(f"r{n}")
        world.run(25 * MS)
        for (name, attempt), (_, sent_us, _) in list(world.out.items()):
            if world.now - sent_us >= 200 * MS:
                world.answer(name, attempt=attempt)
    sent = sent_servers(world)
    assert len(sent) == 80
    assert 0.3 <= sum(name in ("s2", "s3") for name in sent) / 80 <= 0.5


def test_permitted_rate_does_not_fall_with_the_request_rate() -> None:
    """In a release most servers are cold; rejections lower the rate, and that must not lower it further."""
    world = World(replace(SETTINGS, plans=(Plan(),)))
    cold = world.gateway.balancer.servers["s0"]
    for n in range(200):
        world.ask(f"r{n}")
        world.run(20 * MS)
        world.answer(f"r{n}")
    before = world.gateway.balancer.slow_start.permitted_rate(cold)
    world.run(10 * S)
    assert world.gateway.overload.admissions_per_s < 5
    assert world.gateway.balancer.slow_start.permitted_rate(cold) > before / 1.5


def test_rate_multiplier_follows_the_answers_within_bounds() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, (replace(servers(1)[0], started_us=world.now),)))
    cold = world.gateway.balancer.servers["s0"]

    def multiplier_after(latency_us: int, result: AttemptResult = AttemptResult.OK) -> float:
        """The cold server's multiplier after such an attempt, whichever server it went to."""
        name = f"r{len(world.tries)}"
        world.ask(name)
        world.now += latency_us
        server = world.gateway.balancer.servers[world.out[(name, 0)][0]]
        server.rate_multiplier = cold.rate_multiplier
        world.answer(name, result)
        cold.rate_multiplier = server.rate_multiplier
        return cold.rate_multiplier

    multipliers = [multiplier_after(MS) for _ in range(20)]
    assert multipliers == sorted(multipliers) and multipliers[-1] == 2.0
    assert multiplier_after(900 * MS) < 2.0
    assert multiplier_after(MS, AttemptResult.RESET) == 1.0


def test_cold_server_is_not_flooded_by_a_hundred_gateways() -> None:
    """Each of them sees a server that has just started as the emptiest."""
    fleet = servers(20)
    gateways = Set(100, replace(SETTINGS, plans=(Plan(),), cold_capacity=0.2), fleet)
    cold = replace(fleet[0], started_us=gateways.worlds[0].now)
    for world in gateways.worlds:
        world.gateway.balancer.mean_latencies_us = [10 * MS]
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, (cold,)))
    for n in range(1000):
        gateways.ask(n * 7 % 100, f"r{n}", customer=f"c{n}")
        if n % 5 == 0:
            gateways.run(10 * MS)
    sent = [name for world in gateways.worlds for name in sent_servers(world)]
    assert len(sent) == 1000
    assert sent.count("s0") <= 0.6 * 1000 / 20  # its weight is 0.2 to 0.36 in these 2 s


def test_cold_servers_get_their_share_beside_idle_warm_ones() -> None:
    """Forty gateways with a request every 0.4 s each: to each of them nearly all servers look idle."""
    fleet = servers(20)
    gateways = Set(40, replace(SETTINGS, plans=(Plan(),), cold_capacity=0.2, overload_multiple=3.0), fleet)
    for n in range(600):  # so that the usual rate of a warm server is known
        gateways.ask(n * 7 % 40, f"w{n}", customer=f"c{n}")
        gateways.run(10 * MS)
    cold = tuple(replace(server, started_us=gateways.worlds[0].now) for server in fleet[:8])
    for world in gateways.worlds:
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, cold))
        world.log.clear()
    for n in range(400):
        gateways.ask(n * 7 % 40, f"r{n}", customer=f"c{n}")
        gateways.run(10 * MS)
    counts = Counter(name for world in gateways.worlds for name in sent_servers(world))
    mean_weight = 0.2 + 0.8 * 2 / 10
    even_share = 400 / 20
    mean_count = sum(counts[server.name] for server in cold) / 8
    assert 0.5 * mean_weight * even_share <= mean_count <= 3 * mean_weight * even_share
    assert max(counts[server.name] for server in cold) < 2 * even_share


def test_server_is_warm_from_the_end_of_its_warm_up_on() -> None:
    started = 100 * S - SETTINGS.warm_up_us + 1  # the world begins at 100 s
    world = World(fleet=servers(2, started_us=started))
    gateway = world.gateway
    slow_start = gateway.balancer.slow_start
    assert all(slow_start.weight(server) < 1 for server in gateway.balancer.up)
    world.run(1)
    gateway.context.now_us = world.now
    assert all(slow_start.weight(server) == 1 for server in gateway.balancer.up)
    world.tell(SetEjection("s0", True))
    world.tell(SetEjection("s0", False))  # it may have started anew meanwhile
    assert slow_start.weight(gateway.balancer.servers["s0"]) == SETTINGS.cold_capacity
    assert slow_start.weight(gateway.balancer.up[1]) == 1


@pytest.mark.parametrize("cold_capacity", [0.0, -0.5])
def test_request_at_the_instant_of_a_cold_start_finds_a_server(cold_capacity: float) -> None:
    """Guards against a division by a weight of 0: a server may begin with none of its capacity."""
    world = World(replace(SETTINGS, cold_capacity=cold_capacity))
    for is_ejected in (True, False):
        for server in servers(4):
            world.tell(SetEjection(server.name, is_ejected))
    world.ask("a")
    assert len(sent_servers(world)) == 1
    balancer = world.gateway.balancer
    assert all(balancer.slow_start.weight(server) > 0 for server in balancer.up)
    assert 0 < balancer.warm_capacity < 1


# --- fleets ---


@dataclass(frozen=True)
class Start:
    """How many servers start at the same time, and the factor on the usual traffic from then on."""

    cold: int
    burst: float


def margin(budget: float) -> float:
    """What chance may add to a budget of calls, by the standing test."""
    return 3 * math.sqrt(budget) + 3 if budget < 30 else 2 * math.sqrt(budget) + 2


def fullest_window(times: list[int], start_us: int) -> tuple[int, float]:
    """The calls of the window that is fullest by its budget, and the budget with its margin."""
    fullest = (0, 1.0)
    for number, begin in enumerate(times):
        warm = min(1.0, COLD_CAPACITY + (1 - COLD_CAPACITY) * (begin - start_us) / S / WARM_FOR_S)
        budget = MULTIPLE * WARM_CALLS_PER_S * warm * WINDOW_US / S
        calls = bisect.bisect_left(times, begin + WINDOW_US) - number
        window = (calls, budget + margin(budget))
        fullest = max(fullest, window, key=lambda calls_and_budget: calls_and_budget[0] / calls_and_budget[1])
    return fullest


def play(gateways: int, start: Start, seed: int) -> list[tuple[int, float]]:
    """Start some servers under traffic at 0.6 of the fleet's capacity; each one's fullest window."""
    settings = replace(
        SETTINGS,
        plans=(Plan(),),
        cold_capacity=COLD_CAPACITY,
        warm_up_us=WARM_FOR_S * S,
        overload_multiple=MULTIPLE,
        overload_time_us=WINDOW_US,
    )
    gateway_set = Set(gateways, settings, servers(SERVERS))
    gateway_set.lasts_us = SERVICE_MS * MS
    chance = random.Random(seed)
    per_step = 0.6 * WARM_CALLS_PER_S * SERVERS * STEP_US / S
    number = 0

    def pass_time(steps: int, traffic_factor: float) -> None:
        nonlocal number
        for _ in range(steps):
            mean_calls = per_step * traffic_factor
            for _ in range(int(mean_calls) + (chance.random() < mean_calls % 1)):
                number += 1
                gateway_set.ask(chance.randrange(gateways), f"r{number}", customer=f"c{number % 500}")
            gateway_set.run(STEP_US)

    pass_time(250, 1.0)
    start_us = gateway_set.worlds[0].now
    started = tuple(replace(server, started_us=start_us) for server in servers(SERVERS)[: start.cold])
    for world in gateway_set.worlds:
        world.log.clear()
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, started))
    pass_time(150, start.burst)
    calls: dict[str, list[int]] = {server.name: [] for server in started}
    for world in gateway_set.worlds:
        for sent_us, action in world.log:
            if isinstance(action, SendAttempt) and action.server in calls:
                calls[action.server].append(sent_us)
    return [fullest_window(sorted(times), start_us) for times in calls.values()]


@pytest.mark.parametrize("gateways", [3, 20, 200])
@pytest.mark.parametrize("start", [Start(1, 1.0), Start(10, 1.5)], ids=["one", "a third in a burst"])
def test_gateways_together_keep_within_a_cold_servers_budget(gateways: int, start: Start) -> None:
    for calls, budget in play(gateways, start, seed=gateways):
        assert 0 < calls <= budget
