"""The expected cost of a server: its factors, one at a time."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.expected_cost import LOAD_REPORT_TTL_US
from orchidhatch.gateway.server_record import ServerRecord
from tests.helpers import SETTINGS, S, World, servers


def world_and_server(cross_zone_price: float = 0.0) -> tuple[World, ServerRecord]:
    world = World(replace(SETTINGS, cross_zone_price=cross_zone_price), servers(4))
    return world, world.gateway.balancer.servers["s0"]


def test_cost_grows_with_attempts_in_flight_and_latency() -> None:
    world, server = world_and_server()
    cost = world.gateway.balancer.expected_cost
    assert cost.compute(server) == 1.0
    server.in_flight[("a", 0)] = world.now
    assert cost.compute(server) == 2.0
    server.relative_latency = 1.5
    assert cost.compute(server) == 3.0


def test_due_recovery_probe_costs_nothing() -> None:
    world, server = world_and_server()
    server.needs_probe = True
    assert world.gateway.balancer.expected_cost.compute(server) == 0.0


def test_server_in_another_zone_costs_more_by_the_price() -> None:
    world, server = world_and_server(cross_zone_price=0.1)
    other = world.gateway.balancer.servers["s1"]
    cost = world.gateway.balancer.expected_cost
    assert other.endpoint.zone != server.endpoint.zone == world.gateway.settings.zone
    assert cost.compute(server) == 1.0
    assert cost.compute(other) == 2.0


@pytest.mark.parametrize(("load", "factor"), [(0.0, 0.5), (0.4, 1.0), (0.8, 1.5)])
def test_half_of_the_cost_follows_a_recent_load_report(load: float, factor: float) -> None:
    world, server = world_and_server()
    balancer = world.gateway.balancer
    balancer.averages.mean_load = 0.4
    server.reported_load = load
    server.load_reported_us = world.now
    assert balancer.expected_cost.compute(server) == pytest.approx(factor)
    world.gateway.context.now_us = world.now + round(LOAD_REPORT_TTL_US)
    assert balancer.expected_cost.compute(server) == 1.0


@pytest.mark.parametrize(("fault_score", "factor"), [(0.25, 1.0), (1.5, 1.0), (3.0, 4.0)])
def test_fault_score_beyond_tolerance_costs_its_square(fault_score: float, factor: float) -> None:
    world, server = world_and_server()
    server.fault_score = fault_score
    assert world.gateway.balancer.expected_cost.compute(server) == factor


def test_recovered_server_costs_twice_at_first_and_ramps_down() -> None:
    world, server = world_and_server()
    cost = world.gateway.balancer.expected_cost
    server.recovered_us = world.now
    costs = []
    for elapsed_us in (0, 4 * S, 8 * S, 20 * S):
        world.gateway.context.now_us = world.now + elapsed_us
        costs.append(cost.compute(server))
    assert costs == [2.0, 1.5, 1.0, 1.0]


def test_server_warming_up_costs_more_by_its_weight() -> None:
    world, server = world_and_server()
    server.warm_at_us = world.now + SETTINGS.warm_up_us
    assert world.gateway.balancer.expected_cost.compute(server) == pytest.approx(1 / SETTINGS.cold_capacity)
