"""Membership: endpoint lists, lifecycle and subscription."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt, Subscribe
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, Request
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
