"""Membership: endpoint lists, lifecycle, subscription and ejections by operators."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import EjectionResult, SendAttempt, Subscribe
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, Request, SetEjection
from tests.helpers import SETTINGS, S, World, of, servers


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_attempt_to_server_not_up(state: EndpointState) -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, servers(1, state=state)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.server for _, action in world.log if isinstance(action, SendAttempt)} == {"s1"}


def test_full_list_removes_servers_it_does_not_name() -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointList(EndpointListKind.FULL, 2, servers(1)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.server for _, action in world.log if isinstance(action, SendAttempt)} == {"s0"}


def test_gateway_subscribes_after_cached_list_and_after_failure() -> None:
    gateway = GatewayCore(replace(SETTINGS, must_subscribe=True))
    assert Subscribe(True) in gateway.handle(5, EndpointList(EndpointListKind.SAVED, 1, servers(2)))
    assert gateway.handle(9, EndpointList(EndpointListKind.FAILED, 0)) == [Subscribe(True)]
    assert of(SendAttempt, gateway.handle(10, Request("a", 0, 0, "c", S)))


def test_restarted_server_keeps_its_position_in_a_new_record() -> None:
    world = World(fleet=servers(3))
    before = world.gateway.balancer.servers["s1"]
    before.failure_score = 1.0
    restarted = replace(servers(3)[1], started_us=world.now)
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, (restarted,)))
    after = world.gateway.balancer.servers["s1"]
    assert after is not before and after.failure_score == 0.0
    assert [server.endpoint.name for server in world.gateway.balancer.up] == ["s0", "s1", "s2"]


def test_operator_ejects_and_readmits_by_a_probe_and_slow_start() -> None:
    world = World(fleet=servers(2))
    server = world.gateway.balancer.servers["s0"]
    assert EjectionResult("s0", True, True) in world.tell(SetEjection("s0", True))
    assert [server.endpoint.name for server in world.gateway.balancer.up] == ["s1"]
    world.tell(EndpointList(EndpointListKind.FULL, 2, servers(2)))
    assert [server.endpoint.name for server in world.gateway.balancer.up] == ["s1"]
    assert EjectionResult("s0", False, True) in world.tell(SetEjection("s0", False))
    assert [server.endpoint.name for server in world.gateway.balancer.up] == ["s0", "s1"]
    assert server.needs_probe and server.credit == 1.0
    assert world.gateway.balancer.slow_start.is_warming_up(server)


def test_ejection_of_an_unknown_server_is_not_accepted() -> None:
    world = World(fleet=servers(2))
    assert EjectionResult("nobody", True, False) in world.tell(SetEjection("nobody", True))
