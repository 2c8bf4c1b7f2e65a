"""Connection affinity: sparse attempts go to servers with an open connection."""

from dataclasses import replace

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.candidates import MAX_COMPARED_SERVERS
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, World, of, servers


def test_sparse_attempts_reuse_connections_until_a_drain() -> None:
    """Attempts of 200 gateways to every server would cost a handshake for every second attempt."""
    fleet = servers(100)
    world = World(replace(SETTINGS, gateway_count=200, plans=(Plan(),)), fleet)

    def used_servers(name: str, count: int) -> list[str]:
        sent = []
        for n in range(count):
            sent += [action.server for action in of(SendAttempt, world.ask(f"{name}{n}", customer=f"c{n}"))]
            world.run(250 * MS)
            world.answer(f"{name}{n}")
        return sent

    assert len(used_servers("a", 100)) == 100 and len(set(used_servers("b", 100))) <= 2 * MAX_COMPARED_SERVERS
    connected = set(used_servers("c", 100))
    drained = tuple(
        replace(server, state=EndpointState.DRAINING) for server in fleet if server.name in connected
    )
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, drained))
    used_after = used_servers("d", 20)
    assert len(used_after) == 20 and not connected & set(used_after)


def relative_costs(world: World) -> dict[str, float]:
    """Each server's expected cost, but for what its latency contributes."""
    balancer = world.gateway.balancer
    return {
        server.endpoint.name: balancer.expected_cost.compute(server) / server.relative_latency
        for server in balancer.up
    }


def test_connected_server_is_preferred_to_an_equal_one() -> None:
    """But not while it has an attempt in flight and the other one has none."""
    world = World(replace(SETTINGS, conn_idle_us=8 * S), servers(8))
    world.run(2 * S)  # so few attempts that none would find the connection of the one before
    first = of(SendAttempt, world.ask("a"))[0].server
    world.run(500 * MS)
    world.answer("a")
    for n in range(5):  # the latency of the others is not known to differ
        assert of(SendAttempt, world.ask(f"b{n}"))[0].server == first
        world.run(500 * MS)
        world.answer(f"b{n}")
    assert of(SendAttempt, world.ask("c"))[0].server == first
    assert of(SendAttempt, world.ask("d"))[0].server != first
    world.run(500 * MS)
    world.answer("c")
    world.answer("d")
    costs = sorted(relative_costs(world).values())
    assert costs[1] < costs[2] == costs[-1]
    world.run(6 * S)  # those connections are closed by now
    assert len({round(cost, 9) for cost in relative_costs(world).values()}) == 1


def test_connections_do_not_matter_in_dense_traffic() -> None:
    """An even spread keeps all connections open there."""
    world = World(replace(SETTINGS, plans=(Plan(),), conn_idle_us=8 * S), servers(8))
    for gap_us, is_sparse in ((20 * MS, False), (500 * MS, True)):  # 25 attempts a server in 4 s, and one
        for n in range(20 * S // gap_us):
            world.ask(f"a{gap_us}-{n}")
            world.run(gap_us)
            world.answer(f"a{gap_us}-{n}")
        assert world.gateway.balancer.affinity.is_preferred is is_sparse
        costs = {round(cost, 9) for cost in relative_costs(world).values()}
        assert len(costs) == 1 + is_sparse
