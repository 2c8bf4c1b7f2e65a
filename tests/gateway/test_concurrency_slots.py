"""Concurrency slots under an open cap, at one gateway and over a gateway set."""

from collections import Counter
from dataclasses import replace

from orchidhatch.gateway.actions import Reject, SendAttempt, SendGossip
from orchidhatch.gateway.events import PeerMessage
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.settings import Plan
from tests.gateway.quota_scenarios import CAPPED, attempt_times, drive_capped
from tests.helpers import MS, SETTINGS, S, Set, World, of


def test_request_at_the_open_cap_waits_for_an_attempt_to_end() -> None:
    world = World(replace(SETTINGS, plans=(Plan(max_in_flight=2),)))
    assert of(SendAttempt, world.ask("a"))
    assert of(SendAttempt, world.ask("b"))
    assert not of(SendAttempt, world.ask("c"))
    assert not of(Reject, world.run(100 * MS))
    world.answer("a")
    assert [action.id for action in of(SendAttempt, world.run(50 * MS))] == ["c"]
    assert not of(SendAttempt, world.ask("d"))


def test_busiest_gateway_gets_the_whole_open_cap_and_ceiling() -> None:
    """Guards against a ceiling split in three, of which one gateway gets 3.3 per second for a quota of 8."""
    gateways = Set(3, replace(SETTINGS, plans=(CAPPED,)))
    drive_capped(gateways)
    ends = Counter(type(action) for world in gateways.worlds for _, action in world.log)
    assert gateways.sent() >= 0.9 * (8 + 8 * 40)
    assert ends[SendAttempt] + ends[Reject] == 1000
    in_flight = 0
    highest = 0
    sends_us = attempt_times(gateways)
    begins = [(sent_us, 1) for sent_us in sends_us]
    ends_us = [(sent_us + gateways.lasts_us, -1) for sent_us in sends_us]
    for _, change in sorted(begins + ends_us):
        in_flight += change
        highest = max(highest, in_flight)
    assert highest <= 2


def test_unused_slot_is_granted_again() -> None:
    leader = World(replace(SETTINGS, gateway_count=3, gateway_index=0, plans=(CAPPED,)))
    key = (0, 0, 0, 3)

    def request_slot(sender: int, in_flight: int = 0) -> list[tuple[int, SlotGrant]]:
        request = GossipMessage(*key, requested=-1.0, in_flight=in_flight)
        sends = of(SendGossip, leader.tell(PeerMessage(sender, (request,))))
        return [(send.peer, message.slot_grant) for send in sends for message in send.messages]

    leader.run(4 * S)
    assert request_slot(1) == [(1, SlotGrant.GRANTED)]
    assert request_slot(2) == [(2, SlotGrant.GRANTED)]
    for _ in range(3):
        assert request_slot(1, in_flight=1) == [(1, SlotGrant.QUEUED)]
        later = [
            (send.peer, message.slot_grant)
            for send in of(SendGossip, leader.run(500 * MS))
            for message in send.messages
        ]
    assert later == [(1, SlotGrant.GRANTED)]  # gateway 2 never reported an attempt, so its slot expired


def test_open_cap_below_the_set_size_goes_to_the_busy_gateway() -> None:
    """The open cap holds over all gateways, and a single busy gateway can use all of it."""
    plan = Plan(rate=100.0, burst=100.0, max_in_flight=2)
    gateways = Set(4, replace(SETTINGS, plans=(plan,)))
    gateways.ask(0, "first", customer="c")
    (customer,) = gateways.worlds[0].gateway.quotas.customers.values()
    leader = customer.leader
    gateways.run(300 * MS)
    for world in gateways.worlds:
        world.answer = lambda *_, **__: []  # attempts remain in flight from now on
    busy_index = (leader + 1) % 4
    busy = gateways.worlds[busy_index]
    for number in range(4):
        gateways.ask(busy_index, f"a{number}", customer="c", set_first=0)
    gateways.run(300 * MS)
    assert len(busy.out) == 2  # more than an even share, because the others use no slots
    for number in range(4):
        gateways.ask(leader, f"b{number}", customer="c")
    gateways.run(300 * MS)
    assert sum(len(world.out) for world in gateways.worlds) == 2
