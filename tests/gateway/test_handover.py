"""Handover: two processes that act as one gateway, and the snapshot between them."""

from dataclasses import replace

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.events import HandoverPeerGone, HandoverPeerUnknown, StartHandover
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.snapshots import (
    CustomerKey,
    GatewaySnapshot,
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverSpend,
)
from tests.helpers import MS, PLAN, SAFE, SETTINGS, World, of

KEY = CustomerKey(1, 0, 0, 1)


def peer_attempt(world: World, units: float = 1.0) -> HandoverAttempt:
    return HandoverAttempt(KEY, "a", 0, "s0", world.now, units)


def test_attempt_of_the_peer_is_counted_once_until_it_ends() -> None:
    world = World()
    balancer = world.gateway.balancer
    credit = balancer.servers["s0"].credit
    for _ in range(2):
        world.tell(peer_attempt(world))
    assert world.gateway.overload.in_flight == 1
    assert world.gateway.overload.admitted_this_period == 1
    assert list(balancer.servers["s0"].in_flight) == [("a", 0)]
    assert balancer.servers["s0"].credit == credit - 1
    for _ in range(2):
        world.tell(HandoverAttemptEnd("a", 0))
    assert world.gateway.overload.in_flight == 0
    assert not balancer.servers["s0"].in_flight


def test_retry_of_the_peer_is_not_counted_as_admitted() -> None:
    world = World()
    world.tell(peer_attempt(world, units=0.0))
    assert world.gateway.overload.in_flight == 1
    assert world.gateway.overload.admitted_this_period == 0


def test_spending_of_the_peer_leaves_less_quota() -> None:
    world = World(replace(SETTINGS, plans=(replace(PLAN, rate=1.0),)))
    customer = world.gateway.quotas.customer(KEY)
    assert customer.has_local_share(15.0)
    world.tell(HandoverSpend(KEY, 15.0))
    assert not customer.has_local_share(15.0)


def test_attempts_of_a_peer_that_is_gone_have_ended() -> None:
    world = World()
    world.tell(peer_attempt(world))
    world.tell(HandoverPeerGone())
    assert world.gateway.overload.in_flight == 0
    assert not world.gateway.context.has_handover_peer


def test_rate_ceiling_starts_empty_after_an_unknown_peer_is_gone() -> None:
    world = World(replace(SETTINGS, plans=(Plan(ceiling_rate=1.0, ceiling_burst=5.0),)))
    customer = world.gateway.quotas.customer(KEY)
    world.run(5_000 * MS)
    assert not customer.refill(world.now).lacks_ceiling_units(4.0)
    world.tell(HandoverPeerGone())
    assert not customer.lacks_ceiling_units(4.0)
    world.tell(HandoverPeerUnknown())
    world.tell(HandoverPeerGone())
    assert customer.lacks_ceiling_units(4.0)
    assert not world.gateway.context.has_unknown_peer


def snapshot_of(world: World) -> GatewaySnapshot:
    (snapshot,) = of(GatewaySnapshot, world.tell(StartHandover()))
    return snapshot


def test_successor_goes_on_from_the_snapshot() -> None:
    predecessor = World()
    for n in range(20):
        predecessor.ask(f"r{n}")
        predecessor.run(50 * MS)
        predecessor.answer(f"r{n}")
    (sent,) = of(SendAttempt, predecessor.ask("last"))
    predecessor.gateway.balancer.slow_start.usual_rate = 12.0
    snapshot = snapshot_of(predecessor)
    successor = World()
    successor.now = predecessor.now
    successor.tell(snapshot)
    balancer = successor.gateway.balancer
    assert (
        balancer.mean_latencies_us
        == predecessor.gateway.balancer.mean_latencies_us
        != World().gateway.balancer.mean_latencies_us
    )
    assert balancer.slow_start.usual_rate == 12.0
    assert successor.gateway.overload.in_flight == 1
    assert list(balancer.servers[sent.server].in_flight) == [("last", 0)]
    latencies = {name: server.relative_latency for name, server in balancer.servers.items()}
    assert latencies == {
        name: server.relative_latency for name, server in predecessor.gateway.balancer.servers.items()
    }


def test_mean_latencies_of_other_classes_are_not_restored() -> None:
    snapshot = snapshot_of(World(replace(SETTINGS, classes=(SAFE, SAFE))))
    successor = World()
    successor.tell(snapshot)
    assert successor.gateway.balancer.mean_latencies_us == World().gateway.balancer.mean_latencies_us
