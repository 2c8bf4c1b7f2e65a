"""The outbox of gossip messages: pacing, queue bounds, and the observations sent to each peer."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.constants import MAX_CONTROL_PERIOD_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import MAX_PLAN_INDEX, AttemptObservation, GossipMessage
from orchidhatch.gateway.peer_outbox import BURST_MESSAGES, MESSAGES_LIMIT, PeerOutbox
from orchidhatch.gateway.times import S
from tests.helpers import MS, SETTINGS, Set, World, of

PEER = 2
MESSAGE = GossipMessage(customer=1, plan_index=0, set_first=0, set_size=4)


def observation(latency: float) -> AttemptObservation:
    return AttemptObservation(7, 0, True, latency)


@pytest.fixture
def outbox() -> PeerOutbox:
    return PeerOutbox(DecisionContext(replace(SETTINGS, gateway_count=4, peer_messages_per_s=100.0)))


def sent(outbox: PeerOutbox) -> list[SendGossip]:
    """Return what is sent now, and clear the actions."""
    outbox.send()
    sends = [action for action in outbox.context.actions if isinstance(action, SendGossip)]
    outbox.context.actions.clear()
    return sends


def test_empty_outbox_sends_nothing(outbox: PeerOutbox) -> None:
    assert sent(outbox) == []


def test_sends_to_one_peer_keep_their_spacing_on_average(outbox: PeerOutbox) -> None:
    count = 0
    end_us = 2 * S
    for now_us in range(0, end_us, 1_000):
        outbox.context.now_us = now_us
        outbox.add(PEER, MESSAGE)
        count += len(sent(outbox))
    whole_spaces = end_us / outbox.spacing_us
    assert whole_spaces - 1 <= count <= whole_spaces + BURST_MESSAGES


def test_burst_is_sent_at_once_and_the_rest_when_due(outbox: PeerOutbox) -> None:
    counts = []
    for _ in range(BURST_MESSAGES + 2):
        outbox.add(PEER, MESSAGE)
        counts.append(len(sent(outbox)))
    assert counts == [1] * BURST_MESSAGES + [0, 0]
    (due_us,) = outbox.dues()
    outbox.context.now_us = int(due_us) - 1
    assert sent(outbox) == []
    outbox.context.now_us = int(due_us) + 1
    (send,) = sent(outbox)
    assert send.messages == (MESSAGE, MESSAGE)
    assert send.waited_us == int(due_us) + 1


def test_waiting_peer_does_not_delay_another(outbox: PeerOutbox) -> None:
    for _ in range(BURST_MESSAGES + 1):
        outbox.add(PEER, MESSAGE)
        sent(outbox)
    outbox.add(PEER + 1, MESSAGE)
    assert [send.peer for send in sent(outbox)] == [PEER + 1]


def test_full_outbox_drops_and_counts_the_oldest(outbox: PeerOutbox) -> None:
    messages = [replace(MESSAGE, demand=float(number)) for number in range(MESSAGES_LIMIT + 3)]
    for message in messages:
        outbox.add(PEER, message)
    assert outbox.dropped == 3
    (send,) = sent(outbox)
    assert send.messages == tuple(messages[3:])


def test_message_above_the_plan_index_limit_is_ignored(outbox: PeerOutbox) -> None:
    """Guards against messages about a plan index above 255 that evict others or consume observations."""
    unnameable = replace(MESSAGE, plan_index=MAX_PLAN_INDEX + 1)
    outbox.add_observation(observation(0.5))
    outbox.add(PEER, unnameable)
    assert sent(outbox) == []
    outbox.add(PEER, MESSAGE)
    for _ in range(MESSAGES_LIMIT):
        outbox.add(PEER, unnameable)
    [send] = sent(outbox)
    assert send.messages == (MESSAGE,)
    assert send.observations == (observation(0.5),)
    assert outbox.dropped == 0


def test_each_peer_is_sent_an_observation_once(outbox: PeerOutbox) -> None:
    outbox.add_observation(observation(1))
    outbox.add(PEER, MESSAGE)
    assert [send.observations for send in sent(outbox)] == [(observation(1),)]
    outbox.add_observation(observation(2))
    outbox.add(PEER, MESSAGE)
    outbox.add(PEER + 1, MESSAGE)
    assert {send.peer: send.observations for send in sent(outbox)} == {
        PEER: (observation(2),),
        PEER + 1: (observation(1), observation(2)),
    }


def test_observation_past_the_longest_period_is_not_sent(outbox: PeerOutbox) -> None:
    outbox.add_observation(observation(1))
    outbox.context.now_us = MAX_CONTROL_PERIOD_US
    outbox.add_observation(observation(2))
    outbox.add(PEER, MESSAGE)
    assert [send.observations for send in sent(outbox)] == [(observation(2),)]


def test_observations_of_ended_attempts_are_sent_while_new() -> None:
    """Each peer gets an observation once, none above the age limit, and at most the number kept."""
    world = World(replace(SETTINGS, gateway_count=2))
    outbox = world.gateway.outbox
    for number in range(3):
        world.ask(f"r{number}")
        world.answer(f"r{number}", AttemptResult.ERROR if number else AttemptResult.OK)
    first = outbox.unsent_observations(1)
    second = outbox.unsent_observations(1)
    assert [observed.succeeded for observed in first] == [True, False, False]
    assert second == ()
    # The latency of an error tells nothing about the load of the server.
    assert [observed.relative_latency for observed in first][1:] == [0.0, 0.0]
    assert len(outbox.unsent_observations(0)) == 3
    world.ask("late")
    world.answer("late")
    world.gateway.context.now_us += 3 * S
    assert outbox.unsent_observations(1) == ()
    for number in range(100):
        world.ask(f"s{number}", customer=f"c{number}")
        world.answer(f"s{number}")
    assert len(outbox.unsent_observations(1)) == 16


def test_sends_stay_under_half_of_what_a_gateway_can_receive() -> None:
    """A leader can receive all reports about one customer, however much the customer requests."""
    for count in (3, 40):
        gateways = Set(count)
        received = 0
        for number in range(2000):
            gateways.ask(number * 7 % count, f"r{number}")
            if number % 4 == 3:
                gateways.run(10 * MS)
                by_peer = [sum(send.peer == peer for _, send in gateways.posted) for peer in range(count)]
                received += max(by_peer)
        assert received / 5 <= 60


def test_burst_of_grant_requests_is_sent_without_spacing() -> None:
    """Guards against grant requests that arrive late, are repeated, and are counted twice by the leader."""
    world = World(replace(SETTINGS, gateway_count=4, gateway_index=0))
    names = [f"c{number}" for number in range(200)]
    counts = []
    for name in names:
        actions = world.ask(f"r{name}", customer=name, set_size=4, units=20.0)
        counts.append(len(of(SendGossip, actions)))
        if sum(counts) == 9:
            break
    assert max(counts) == 1
    assert sum(counts) == 9  # a burst of three to each of three peers
    assert not any(
        of(SendGossip, world.ask(f"s{name}", customer=name, set_size=4, units=20.0)) for name in names
    )


def test_waiting_messages_are_sent_when_the_spacing_permits() -> None:
    settings = replace(SETTINGS, gateway_count=3, gateway_index=0, peer_messages_per_s=4.0)
    world = World(settings)
    sends = []
    for number in range(8):
        sends += of(SendGossip, world.ask(f"a{number}", customer="c2", set_size=3, plan_index=0))
    outbox = world.gateway.outbox
    leader = next(iter(world.gateway.quotas.customers.values())).leader
    assert leader != 0
    assert sends
    assert not of(SendGossip, world.run(10 * MS))
    assert outbox.waiting
    spacing_us = outbox.spacing_us
    before_us = world.now
    later = of(SendGossip, world.run(10 * MS))
    while not later:
        assert world.now - before_us <= spacing_us + 3 * 20 * MS
        later = of(SendGossip, world.run(10 * MS))
    assert later[0].peer == leader
    assert not outbox.waiting
