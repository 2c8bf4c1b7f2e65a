"""Candidates: which servers an attempt may go to."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList, Request
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, Plan
from orchidhatch.gateway.snapshots import CustomerKey
from tests.helpers import MS, SAFE, SETTINGS, S, World, servers


def test_requests_queue_while_the_only_warm_server_is_full() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=2), servers(8))
    world.tell(
        EndpointList(
            EndpointListKind.CHANGES,
            2,
            tuple(replace(server, started_us=world.now) for server in servers(8)[1:]),
        )
    )
    for n in range(60):
        world.ask(f"r{n}")
    world.run(40 * MS)
    sent = [action.server for _, action in world.log if isinstance(action, SendAttempt)]
    assert sent.count("s0") == 8  # twice this gateway's part of the attempts in flight per server
    assert world.gateway.queue


def request_after_attempt(
    idempotency: Idempotency, scope: DeduplicationScope
) -> tuple[World, InFlightRequest]:
    """A world of four servers in two zones and two cells, and a request that was sent to the first server."""
    rule = replace(SAFE, idempotency=idempotency, dedup_scope=scope, dedup_window_us=3 * S)
    world = World(replace(SETTINGS, classes=(rule,)), servers(4))
    event = Request("a", 0, 0, "c", 6 * S)
    balancer = world.gateway.balancer
    customer = world.gateway.quotas.customer(CustomerKey(0, 0, 0, 1))
    request = InFlightRequest(event, rule, customer, world.now)
    request.servers.append(balancer.servers["s0"])
    request.first_server = balancer.servers["s0"]
    request.first_sent_us = world.now
    return world, request


def candidate_names(world: World, request: InFlightRequest) -> list[str]:
    candidates = world.gateway.balancer.candidate_filter.candidates(request)
    return [server.endpoint.name for server in candidates]


@pytest.mark.parametrize(
    ("idempotency", "scope", "names"),
    [
        (Idempotency.SAFE, DeduplicationScope.ALL, ["s1", "s2", "s3"]),
        (Idempotency.KEYED, DeduplicationScope.ALL, ["s1", "s2", "s3"]),
        (Idempotency.KEYED, DeduplicationScope.ZONE, ["s2"]),
        (Idempotency.KEYED, DeduplicationScope.CELL, ["s1"]),
        (Idempotency.UNSAFE, DeduplicationScope.ALL, []),
    ],
)
def test_retry_stays_within_the_deduplication_scope(
    idempotency: Idempotency, scope: DeduplicationScope, names: list[str]
) -> None:
    world, request = request_after_attempt(idempotency, scope)
    assert candidate_names(world, request) == names


def test_keyed_retry_has_no_candidate_from_the_window_end_on() -> None:
    world, request = request_after_attempt(Idempotency.KEYED, DeduplicationScope.ALL)
    world.gateway.context.now_us = request.first_sent_us + 3 * S - 1
    assert candidate_names(world, request) == ["s1", "s2", "s3"]
    world.gateway.context.now_us = request.first_sent_us + 3 * S
    assert candidate_names(world, request) == []


def test_excluded_servers_are_candidates_where_all_are_excluded() -> None:
    world, request = request_after_attempt(Idempotency.KEYED, DeduplicationScope.ALL)
    request.servers = list(world.gateway.balancer.up)
    assert candidate_names(world, request) == ["s0", "s1", "s2", "s3"]
    request.first_server = None
    assert candidate_names(world, request) == ["s0", "s1", "s2", "s3"]


def test_recovery_probe_is_one_attempt_and_no_unsafe_one() -> None:
    world, request = request_after_attempt(Idempotency.SAFE, DeduplicationScope.ALL)
    candidate_filter = world.gateway.balancer.candidate_filter
    probed = world.gateway.balancer.servers["s1"]
    probed.needs_probe = True
    assert not candidate_filter.is_excluded(request, probed)
    probed.in_flight[("b", 0)] = world.now
    assert candidate_filter.is_excluded(request, probed)
    world, request = request_after_attempt(Idempotency.UNSAFE, DeduplicationScope.ALL)
    probed = world.gateway.balancer.servers["s1"]
    probed.needs_probe = True
    assert world.gateway.balancer.candidate_filter.is_excluded(request, probed)
