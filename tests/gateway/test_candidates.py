"""Candidates: which servers an attempt may go to."""

from dataclasses import replace

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, World, servers


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
