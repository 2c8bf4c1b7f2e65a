"""Which server an attempt goes to: lifecycle, slow start, outliers, kept connections."""

from collections import Counter
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import (
    SendAttempt,
    Subscribe,
)
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.candidates import MAX_COMPARED_SERVERS
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import (
    EndpointList,
    PeerMessage,
    Request,
    SetEjection,
)
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.slow_start import SlowStart
from tests.helpers import MS, PLAN, SETTINGS, S, Set, World, of, servers


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_nothing_new_to_a_draining_server(state: EndpointState) -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, servers(1, state=state)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.server for _, action in world.log if isinstance(action, SendAttempt)} == {"s1"}


def test_server_missing_from_a_full_list_is_gone() -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointList(EndpointListKind.FULL, 2, servers(1)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.server for _, action in world.log if isinstance(action, SendAttempt)} == {"s0"}


def test_cold_server_is_sent_little() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(120):
        if n == 60:
            cold = replace(servers(4)[3], started_us=world.now)
            world.tell(EndpointList(EndpointListKind.CHANGES, 2, (cold,)))
            world.log.clear()
        world.ask(f"r{n}")
        world.run((10 + n * 37 % 50) * MS)
        world.answer(f"r{n}")
    counts = [sum(a.server == f"s{n}" for _, a in world.log if isinstance(a, SendAttempt)) for n in range(4)]
    assert counts[3] <= sum(counts) / 4 / 2  # warm ones share the rest by how quickly they chanced to answer


def test_half_warm_servers_are_used_while_warm_ones_are_busy() -> None:
    """Half the fleet is at 0.6 of its warmth; what it may take must not pile up on the other half."""
    fleet = servers(4)
    world = World(replace(SETTINGS, plans=(Plan(),), overload_multiple=3.0))
    started = tuple(replace(fleet[n], started_us=world.now - 5 * S) for n in (2, 3))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, started))
    world.gateway.balancer.usual = 10.0  # as it was before the restart
    for n in range(80):
        world.ask(f"r{n}")
        world.run(25 * MS)
        for (name, attempt), (_, sent, _) in list(world.out.items()):
            if world.now - sent >= 200 * MS:
                world.answer(name, attempt=attempt)
    sent = [action.server for _, action in world.log if isinstance(action, SendAttempt)]
    assert len(sent) == 80
    assert 0.3 <= sum(name in ("s2", "s3") for name in sent) / 80 <= 0.5


def test_what_a_cold_server_may_take_does_not_shrink_with_what_is_sent() -> None:
    """In a release most servers are cold; refusals lower the rate, and that must not lower it further."""
    world = World(replace(SETTINGS, plans=(Plan(),)))
    cold = world.gateway.balancer.servers["s0"]
    for n in range(200):
        world.ask(f"r{n}")
        world.run(20 * MS)
        world.answer(f"r{n}")
    before = world.gateway.balancer.slow_start.permitted_rate(cold)
    world.run(10 * S)
    assert world.gateway.overload.rate < 5
    assert world.gateway.balancer.slow_start.permitted_rate(cold) > before / 1.5


def test_cold_server_that_answers_quickly_is_sent_more_up_to_a_bound() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, (replace(servers(1)[0], started_us=world.now),)))
    cold = world.gateway.balancer.servers["s0"]

    def answered(after_us: int, result: AttemptResult = AttemptResult.OK) -> float:
        name = f"r{len(world.tries)}"
        world.ask(name)
        world.now += after_us
        server = world.gateway.balancer.servers[world.out[(name, 0)][0]]
        server.rate_multiplier = cold.rate_multiplier
        world.answer(name, result)
        cold.rate_multiplier = server.rate_multiplier
        return cold.rate_multiplier

    paces = [answered(MS) for _ in range(20)]
    assert paces == sorted(paces) and paces[-1] == 2.0  # under its bound even where servers are well used
    assert answered(900 * MS) < 2.0
    assert answered(MS, AttemptResult.RESET) == 1.0


def test_requests_are_held_rather_than_piled_on_the_one_warm_server() -> None:
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
    assert sent.count("s0") == 8  # as many as all gateways may have out for each server, twice over
    assert world.gateway.queue


def test_cold_server_is_not_flooded_by_a_hundred_gateways() -> None:
    """Each of them sees a server that has just started as the emptiest."""
    fleet = servers(20)
    gates = Set(100, replace(SETTINGS, plans=(Plan(),), cold_capacity=0.2), fleet)
    cold = replace(fleet[0], started_us=gates.worlds[0].now)
    for world in gates.worlds:
        world.gateway.balancer.mean_us = [10 * MS]
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, (cold,)))
    for n in range(1000):
        gates.ask(n * 7 % 100, f"r{n}", customer=f"c{n}")
        if n % 5 == 0:
            gates.run(10 * MS)
    names = [
        action.server for world in gates.worlds for _, action in world.log if isinstance(action, SendAttempt)
    ]
    assert len(names) == 1000
    assert names.count("s0") <= 0.6 * 1000 / 20  # warmth is 0.2 to 0.36 in these 2 s


def test_cold_servers_take_their_part_though_every_gateway_has_empty_warm_ones() -> None:
    """Forty gateways with a request every 0.4 s each: to each of them nearly all servers look empty."""
    fleet = servers(20)
    gates = Set(40, replace(SETTINGS, plans=(Plan(),), cold_capacity=0.2, overload_multiple=3.0), fleet)
    for n in range(600):  # so that it is known what a warm one is sent
        gates.ask(n * 7 % 40, f"w{n}", customer=f"c{n}")
        gates.run(10 * MS)
    cold = tuple(replace(server, started_us=gates.worlds[0].now) for server in fleet[:8])
    for world in gates.worlds:
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, cold))
        world.log.clear()
    for n in range(400):
        gates.ask(n * 7 % 40, f"r{n}", customer=f"c{n}")
        gates.run(10 * MS)
    names = [
        action.server for world in gates.worlds for _, action in world.log if isinstance(action, SendAttempt)
    ]
    sent = Counter(names)
    mean_warmth, even = 0.2 + 0.8 * 2 / 10, 400 / 20
    assert 0.5 * mean_warmth * even <= sum(sent[server.name] for server in cold) / 8 <= 3 * mean_warmth * even
    assert max(sent[server.name] for server in cold) < 2 * even


def test_what_one_gateway_met_keeps_the_others_off_a_bad_server() -> None:
    """Each alone would have to wait out a time-out of its own on it."""
    gates = Set(40, replace(SETTINGS, plans=(PLAN,)), servers(10))
    other = gates.worlds[1]
    index = other.gateway.balancer.servers["s0"].checksum
    for n in range(12):
        seen = tuple(AttemptObservation(*of_what, False, 0.9) for of_what in ((index, 0), (index, 7), (1, 0)))
        other.tell(PeerMessage(2, (GossipMessage(n, 0, 1, 5, level=20.0),), seen))
    for n in range(40):
        other.ask(f"r{n}", customer=f"c{n}", set_first=1, set_size=5)
        other.run(5 * MS)
        other.answer(f"r{n}")
    assert "s0" not in {action.server for _, action in other.log if isinstance(action, SendAttempt)}


def test_thin_traffic_stays_where_connections_are_kept_and_leaves_at_once_when_these_are_gone() -> None:
    """Two hundred doors that go everywhere cost each backend a handshake for every second attempt."""
    fleet = servers(100)
    world = World(replace(SETTINGS, gateway_count=200, plans=(Plan(),)), fleet)

    def used(name: str, count: int) -> list[str]:
        sent = []
        for n in range(count):
            sent += [action.server for action in of(SendAttempt, world.ask(f"{name}{n}", customer=f"c{n}"))]
            world.run(250 * MS)
            world.answer(f"{name}{n}")
        return sent

    assert len(used("a", 100)) == 100 and len(set(used("b", 100))) <= 2 * MAX_COMPARED_SERVERS
    known = set(used("c", 100))
    gone = tuple(replace(server, state=EndpointState.DRAINING) for server in fleet if server.name in known)
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, gone))
    after = used("d", 20)
    assert len(after) == 20 and not known & set(after)


def test_silent_server_is_left_and_tried_again() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(3))
    bad, sends, trials = "s0", 0, 0
    for n in range(400):
        world.ask(f"r{n}")
        world.run((1 + n * 37 % 50) * MS)
        for name, attempt in list(world.out):
            hit = world.out[(name, attempt)][0] == bad
            sends, trials = sends + hit, trials + (hit and n > 200)
            world.answer(name, AttemptResult.RESET if hit else AttemptResult.OK, attempt)
    assert sends < 20
    assert trials >= 1


def test_time_out_on_a_server_that_answers_others_is_no_sign() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(1))
    for n in range(4):
        world.ask(f"r{n}")
    for n in range(2):
        world.ask(f"ok{n}")
    world.run(1 * S)
    world.answer("ok0")
    world.run(10 * MS)
    for n in range(4):
        world.answer(f"r{n}", AttemptResult.TIMEOUT)
    assert world.gateway.balancer.servers["s0"].needs_probe is False


def test_list_must_be_asked_for() -> None:
    gateway = GatewayCore(replace(SETTINGS, must_subscribe=True))
    assert Subscribe(True) in gateway.handle(5, EndpointList(EndpointListKind.SAVED, 1, servers(2)))
    assert gateway.handle(9, EndpointList(EndpointListKind.FAILED, 0)) == [Subscribe(True)]
    assert of(SendAttempt, gateway.handle(10, Request("a", 0, 0, "c", S)))


def test_servers_that_all_came_back_take_what_is_asked() -> None:
    """A fault on the way makes each of them suspect for a while; none of them is cold for it."""
    settings = replace(SETTINGS, plans=(Plan(),))
    world = World(settings, servers(4))
    for server in world.gateway.balancer.up:
        server.needs_probe, server.ejected_until_us = True, world.now
    for n in range(100):
        world.ask(f"r{n}")
        world.run(25 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
    sent = len(of(SendAttempt, [action for _, action in world.log]))
    assert sent == 100


def test_warm_servers_cost_a_choice_no_look_at_their_warmth(monkeypatch: pytest.MonkeyPatch) -> None:
    looked = []
    warmth = SlowStart.weight

    def counted(slow_start: SlowStart, server: object) -> float:
        looked.append(server)
        return warmth(slow_start, server)

    world = World(replace(SETTINGS, gateway_count=200), servers(200))
    monkeypatch.setattr(SlowStart, "weight", counted)
    assert of(SendAttempt, world.ask("a"))
    assert len(looked) <= MAX_COMPARED_SERVERS


def test_server_is_warm_from_the_last_moment_of_its_start_on() -> None:
    started = 100 * S - SETTINGS.warm_up_us + 1  # the world begins at 100 s
    world = World(fleet=servers(2, started_us=started))
    gateway = world.gateway
    assert all(gateway.balancer.slow_start.weight(server) < 1 for server in gateway.balancer.up)
    world.run(1)
    gateway.context.now_us = world.now
    assert all(gateway.balancer.slow_start.weight(server) == 1 for server in gateway.balancer.up)
    world.tell(SetEjection("s0", True))
    world.tell(SetEjection("s0", False))  # it may have started anew meanwhile
    assert gateway.balancer.slow_start.weight(gateway.balancer.servers["s0"]) == SETTINGS.cold_capacity
    assert gateway.balancer.slow_start.weight(gateway.balancer.up[1]) == 1


def test_server_that_has_a_connection_is_preferred_to_one_as_good_but_not_to_an_emptier_one() -> None:
    world = World(replace(SETTINGS, conn_idle_us=8 * S), servers(8))
    world.run(2 * S)  # so few attempts that none would find the connection of the one before
    first = of(SendAttempt, world.ask("a"))[0].server
    world.run(500 * MS)
    world.answer("a")
    for n in range(5):  # the others are as quick, as far as anybody knows
        assert of(SendAttempt, world.ask(f"b{n}"))[0].server == first
        world.run(500 * MS)
        world.answer(f"b{n}")
    assert of(SendAttempt, world.ask("c"))[0].server == first
    assert of(SendAttempt, world.ask("d"))[0].server != first
    world.run(500 * MS)
    world.answer("c")
    world.answer("d")
    gateway = world.gateway
    routing = gateway.balancer
    costs = {
        server.endpoint.name: routing.expected_cost.of(server) / server.relative_latency
        for server in routing.up
    }
    assert sorted(costs.values())[1] < sorted(costs.values())[2] == sorted(costs.values())[-1]
    world.run(6 * S)  # by now those connections are closed
    assert (
        len({round(routing.expected_cost.of(server) / server.relative_latency, 9) for server in routing.up})
        == 1
    )


def test_connections_are_no_reason_where_an_even_spread_keeps_them() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),), conn_idle_us=8 * S), servers(8))
    gateway = world.gateway
    for gap, thin in ((20 * MS, False), (500 * MS, True)):  # 25 attempts a server in 4 s, and one
        for n in range(20 * S // gap):
            world.ask(f"a{gap}-{n}")
            world.run(gap)
            world.answer(f"a{gap}-{n}")
        assert gateway.balancer.affinity.is_preferred is thin
        costs = {
            round(gateway.balancer.expected_cost.of(server) / server.relative_latency, 9)
            for server in gateway.balancer.up
        }
        assert len(costs) == 1 + thin
