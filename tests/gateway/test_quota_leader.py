"""The leader side of quotas: counting of grants and reports."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList, PeerMessage
from orchidhatch.gateway.gossip import GossipMessage, MessageKind
from orchidhatch.gateway.snapshots import CustomerKey
from tests.gateway.quota_scenarios import CAPPED, all_customers
from tests.helpers import MS, PLAN, SETTINGS, S, Set, World, of


def test_granted_units_are_counted_once() -> None:
    """Guards against units that the leader counts when it grants them and again when members report."""
    gateways = Set(20, replace(SETTINGS, plans=(replace(PLAN, burst=10.0),)))
    for number in range(300):
        gateways.ask(number * 7 % 20, f"r{number}")
        gateways.run(110 * MS)
    leaders = [customer for customer in all_customers(gateways) if customer.is_leader]
    assert leaders[0].quota.set_level > 6  # of 10, at nine tenths of the refill rate


def test_granted_units_not_sent_return_to_the_quota() -> None:
    gateways = Set(20)
    for world in gateways.worlds:
        world.tell(EndpointList(EndpointListKind.FULL, 2, ()))
    for _ in range(3):
        for number in range(20):
            gateways.ask(number, f"r{gateways.worlds[number].now}")
        gateways.run(4 * S)
    levels = [
        customer.quota.set_level
        for world in gateways.worlds
        for customer in world.gateway.quotas.customers.values()
        if customer.leader == world.gateway.settings.gateway_index
    ]
    assert levels == [pytest.approx(20, abs=0.5)]


def test_report_of_attempts_in_flight_is_not_answered() -> None:
    world = World(replace(SETTINGS, gateway_count=2, plans=(replace(PLAN, max_in_flight=1),)))
    led_here = (0, 0, 0, 2)
    world.tell(PeerMessage(1, (GossipMessage(*led_here, level=0.0, in_flight=1),)))
    (customer,) = world.gateway.quotas.customers.values()
    assert customer.leader_slots.in_use(world.now) == 1
    assert customer.quota.set_level == 0
    assert not of(SendGossip, [action for _, action in world.log])


def test_report_of_spending_is_answered_while_the_level_is_low() -> None:
    world = World(replace(SETTINGS, gateway_count=2))
    led_here = (0, 0, 0, 2)
    report = GossipMessage(*led_here, level=20.0, spent=4.0)
    assert not of(SendGossip, world.tell(PeerMessage(1, (report,))))
    assert not of(SendGossip, world.tell(PeerMessage(1, (report,))))
    (send,) = of(SendGossip, world.tell(PeerMessage(1, (report,))))
    (answer,) = send.messages
    assert answer.kind is MessageKind.LEADER_ANSWER
    assert answer.level == 8.0
    assert not answer.is_grant_answer


def test_granted_slot_takes_units_of_the_leaders_ceiling() -> None:
    world = World(replace(SETTINGS, gateway_count=3, plans=(CAPPED,)))
    world.run(4 * S)
    customer = world.gateway.quotas.customer(CustomerKey(0, 0, 0, 3))
    before = customer.ceiling.units
    world.tell(PeerMessage(1, (GossipMessage(*customer.key, requested=-2.0),)))
    assert before >= 2.0
    assert customer.ceiling.units == before - 2.0


def test_ceded_ceiling_is_not_received_beside_a_handover_peer() -> None:
    """Guards against both processes of a handover using the same ceded refill."""
    for has_peer in (False, True):
        world = World(replace(SETTINGS, gateway_count=3, plans=(CAPPED,)))
        world.gateway.context.has_handover_peer = has_peer
        customer = world.gateway.quotas.customer(CustomerKey(0, 0, 0, 3))
        world.tell(PeerMessage(1, (GossipMessage(*customer.key),)))
        assert bool(customer.ceiling.received_until_us) is not has_peer


def test_own_requests_get_a_fair_share_of_free_slots() -> None:
    leader = World().gateway.quotas.leader
    assert all(leader.is_slot_for_own_requests(0) for _ in range(100))
    turns = sum(leader.is_slot_for_own_requests(3) for _ in range(4000))
    assert turns == pytest.approx(1000, abs=150)
