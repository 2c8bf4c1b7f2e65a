"""Fleets of thousands of servers: cost of a request, and the choice against inspecting all servers."""

import random
import sys
from collections import Counter
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, Event, Request
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.membership import MAX_GONE_SERVERS
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, World, servers

FEW = 200
MANY = 3200
MAX_COST_GROWTH = 1.2
MIN_CONNECTED_SERVERS = 8


def executed_lines(world: World, event: Event) -> int:
    """How many lines of Python the decision core executes for an event."""
    count = 0

    def trace(frame: FrameType, trace_event: str, _: Any) -> Any:  # noqa: ANN401
        nonlocal count
        count += trace_event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        world.tell(event)
    finally:
        sys.settrace(before)
    return count


def busy_world(count: int) -> World:
    """A gateway that has served for a while; four of its servers are warming up."""
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(count))
    cold = tuple(replace(server, started_us=world.now) for server in servers(4))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, cold))
    for number in range(120):
        world.ask(f"r{number}")
        world.run(20 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
    return world


def test_cost_does_not_grow_with_the_number_of_servers() -> None:
    """Neither the cost of a request nor that of a change to the endpoint list."""
    request = Request("last", 0, 0, "c", 6 * S)
    changed = replace(servers(20)[19], state=EndpointState.DRAINING)
    change = EndpointList(EndpointListKind.CHANGES, 3, (changed,))
    costs: dict[int, list[int]] = {}
    for count in (FEW, MANY):
        world = busy_world(count)
        costs[count] = [executed_lines(world, request), executed_lines(world, change)]
    for few, many in zip(costs[FEW], costs[MANY], strict=True):
        assert many <= MAX_COST_GROWTH * few, costs


def test_cost_is_bounded_while_most_servers_warm_up() -> None:
    """As in a mass restart: a gateway inspects a random sample of them."""
    costs = []
    for count in (FEW, MANY):
        world = World(replace(SETTINGS, plans=(Plan(),)), servers(count))
        cold = tuple(replace(server, started_us=world.now) for server in servers(count * 6 // 10))
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, cold))
        world.run(2 * S)
        costs.append(executed_lines(world, Request("last", 0, 0, "c", 6 * S)))
    assert costs[1] <= 3 * costs[0]


def test_servers_that_are_gone_are_forgotten() -> None:
    """A fleet whose servers are replaced for weeks takes no more memory than at first."""
    world = World(fleet=servers(4))
    balancer = world.gateway.balancer
    for number in range(300):
        new = Endpoint(f"new{number}", 0, 0, 0, EndpointState.UP)
        world.tell(EndpointList(EndpointListKind.CHANGES, 2 + 2 * number, (new,)))
        world.ask(f"r{number}")
        for name, attempt in list(world.out):
            world.answer(name, AttemptResult.RESET, attempt)
        gone = replace(new, state=EndpointState.GONE)
        world.tell(EndpointList(EndpointListKind.CHANGES, 3 + 2 * number, (gone,)))
        world.run(10 * MS)
    assert len(balancer.servers) == 4 + MAX_GONE_SERVERS
    index = balancer.index
    assert len(index.up) == 4
    states = (index.busy, index.unhealthy, index.warming, index.decaying)
    assert all(len(state) <= 4 + MAX_GONE_SERVERS for state in states)


def brute_force_candidates(world: World, request: InFlightRequest) -> list[str]:
    """The candidates of a request, by inspecting all servers."""
    balancer = world.gateway.balancer
    candidate_filter = balancer.candidate_filter
    not_excluded = [server for server in balancer.up if not candidate_filter.is_excluded(request, server)]
    available = [server for server in not_excluded or balancer.up if candidate_filter.is_available(server)]
    idle_warming = [
        server for server in available if balancer.slow_start.is_warming_up(server) and not server.in_flight
    ]
    connected = []
    if balancer.affinity.is_preferred:
        connected = [server for server in available if balancer.affinity.has_connection(server)]
    candidates = idle_warming or (connected if len(connected) >= MIN_CONNECTED_SERVERS else available)
    return [server.endpoint.name for server in candidates]


RESULTS = (AttemptResult.OK, AttemptResult.OK, AttemptResult.OK, AttemptResult.RESET, AttemptResult.REJECTED)


@pytest.mark.parametrize("seed", range(12))
def test_candidates_are_those_of_inspecting_all_servers(seed: int) -> None:
    chance = random.Random(seed)
    world = World(replace(SETTINGS, plans=(Plan(),), seed=seed), servers(60))
    fleet = {server.name: server for server in servers(60)}
    for number in range(400):
        change = chance.random()
        name = chance.choice(list(fleet))
        if change < 0.05:
            fleet[name] = replace(fleet[name], started_us=world.now)
        elif change < 0.1:
            state = chance.choice([EndpointState.UP, EndpointState.DRAINING, EndpointState.GONE])
            fleet[name] = replace(fleet[name], state=state)
        if change < 0.1:
            world.tell(EndpointList(EndpointListKind.CHANGES, 2 + number, (fleet[name],)))
        world.ask(f"r{number}", time_left_us=2 * S)
        world.run(chance.choice([1, 20, 200]) * MS)
        for name, attempt in list(world.out):
            if chance.random() < 0.6:
                world.answer(name, chance.choice(RESULTS), attempt)
        for request in list(world.gateway.requests)[:3]:
            expected = brute_force_candidates(world, request)
            candidates = world.gateway.balancer.candidate_filter.candidates_in_index(request)
            assert [server.endpoint.name for server in candidates] == expected


def chosen_servers(count: int, seed: int, by_brute_force: bool) -> list[str]:
    """The servers of a busy time's attempts, by the index or by inspecting all servers."""
    world = World(replace(SETTINGS, plans=(Plan(),), seed=seed), servers(count))
    balancer = world.gateway.balancer

    def candidates(request: InFlightRequest) -> list[ServerRecord]:
        return [balancer.servers[name] for name in brute_force_candidates(world, request)]

    if by_brute_force:
        balancer.candidate_filter.candidates_in_index = candidates
    chance = random.Random(seed)
    for number in range(300):
        world.ask(f"r{number}")
        world.run(chance.choice([1, 20, 200]) * MS)
        for name, attempt in list(world.out):
            if chance.random() < 0.6:
                world.answer(name, chance.choice(RESULTS), attempt)
    return [action.server for _, action in world.log if isinstance(action, SendAttempt)]


@pytest.mark.parametrize("count", [20, 400])
@pytest.mark.parametrize("seed", range(3))
def test_attempts_go_where_inspecting_all_servers_sends_them(count: int, seed: int) -> None:
    """So their spread, and its randomness, do not depend on the index."""
    chosen = chosen_servers(count, seed, by_brute_force=False)
    assert chosen == chosen_servers(count, seed, by_brute_force=True)
    assert len(Counter(chosen)) > 8
