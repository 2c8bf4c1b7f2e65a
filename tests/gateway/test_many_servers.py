"""Fleets of thousands of servers: what a request costs, and that the choice is the one of looking at all."""

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
from orchidhatch.gateway.membership import MAX_GONE_SERVERS
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, World, servers

FEW, MANY = 200, 3200
MOST_GROWTH = 1.2


def steps_of(world: World, event: Event) -> int:
    """How many lines of Python the decision core executes for an event."""
    count = 0

    def trace(frame: FrameType, what: str, _: Any) -> Any:  # noqa: ANN401
        nonlocal count
        count += what == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        world.tell(event)
    finally:
        sys.settrace(before)
    return count


def busy_world(count: int) -> World:
    """A gateway that has served for a while, one in fifty of its servers cold."""
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(count))
    cold = tuple(replace(server, started_us=world.now) for server in servers(4))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, cold))
    for number in range(120):
        world.ask(f"r{number}")
        world.run(20 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
    return world


def test_cost_of_a_request_and_of_a_list_change_does_not_grow_with_the_servers() -> None:
    request = Request("last", 0, 0, "c", 6 * S)
    changed = replace(servers(20)[19], state=EndpointState.DRAINING)
    change = EndpointList(EndpointListKind.CHANGES, 3, (changed,))
    costs = {
        count: [steps_of(world, request), steps_of(world, change)]
        for count in (FEW, MANY)
        if (world := busy_world(count))
    }
    for few, many in zip(costs[FEW], costs[MANY], strict=True):
        assert many <= MOST_GROWTH * few, costs


def test_cost_stays_bounded_while_most_servers_are_cold() -> None:
    """As in a mass restart: a gateway looks at some of them by chance."""
    costs = []
    for count in (FEW, MANY):
        world = World(replace(SETTINGS, plans=(Plan(),)), servers(count))
        cold = tuple(replace(server, started_us=world.now) for server in servers(count * 6 // 10))
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, cold))
        world.run(2 * S)
        costs.append(steps_of(world, Request("last", 0, 0, "c", 6 * S)))
    assert costs[1] <= 3 * costs[0]


def test_servers_that_are_gone_are_forgotten() -> None:
    """A fleet whose servers are replaced for weeks holds as much as it did at first."""
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


def brute_force_room(world: World, job: Any) -> list[str]:  # noqa: ANN401
    """Who may be chosen, by looking at all servers in turn."""
    balancer = world.gateway.balancer
    usable = [
        server for server in balancer.up if not balancer.candidate_filter.is_excluded(job, server)
    ] or balancer.up
    room = [server for server in usable if balancer.candidate_filter.is_available(server)]
    cold = [server for server in room if balancer.slow_start.is_warming_up(server) and not server.in_flight]
    known = (
        [server for server in room if balancer.affinity.has_connection(server)]
        if balancer.affinity.is_preferred
        else []
    )
    found = cold or (known if len(known) >= 8 else room)
    return [server.endpoint.name for server in found]


RESULTS = (AttemptResult.OK, AttemptResult.OK, AttemptResult.OK, AttemptResult.RESET, AttemptResult.REJECTED)


@pytest.mark.parametrize("seed", range(12))
def test_the_choice_is_among_those_that_looking_at_all_servers_gives(seed: int) -> None:
    chance = random.Random(seed)
    world = World(replace(SETTINGS, plans=(Plan(),), seed=seed), servers(60))
    fleet = {server.name: server for server in servers(60)}
    for number in range(400):
        act = chance.random()
        name = chance.choice(list(fleet))
        if act < 0.05:
            fleet[name] = replace(fleet[name], started_us=world.now)
        elif act < 0.1:
            state = chance.choice([EndpointState.UP, EndpointState.DRAINING, EndpointState.GONE])
            fleet[name] = replace(fleet[name], state=state)
        if act < 0.1:
            world.tell(EndpointList(EndpointListKind.CHANGES, 2 + number, (fleet[name],)))
        world.ask(f"r{number}", time_left_us=2 * S)
        world.run(chance.choice([1, 20, 200]) * MS)
        for name, attempt in list(world.out):
            if chance.random() < 0.6:
                world.answer(name, chance.choice(RESULTS), attempt)
        for job in list(world.gateway.requests)[:3]:
            expected = brute_force_room(world, job)
            assert [
                server.endpoint.name for server in world.gateway.balancer.candidate_filter.within_index(job)
            ] == expected


def choices(count: int, seed: int, by_brute_force: bool) -> list[str]:
    """Where the attempts of a busy while go; by the index, or by looking at all servers."""
    world = World(replace(SETTINGS, plans=(Plan(),), seed=seed), servers(count))
    balancer = world.gateway.balancer
    if by_brute_force:
        balancer.candidate_filter.within_index = lambda job: [
            balancer.servers[name] for name in brute_force_room(world, job)
        ]
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
def test_attempts_go_where_looking_at_all_servers_sends_them(count: int, seed: int) -> None:
    """So they are spread as before, and as randomly."""
    found = choices(count, seed, by_brute_force=False)
    assert found == choices(count, seed, by_brute_force=True)
    assert len(Counter(found)) > 8
