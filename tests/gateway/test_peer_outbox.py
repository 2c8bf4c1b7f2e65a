"""The outbox of messages to the other gateways: pacing, bound, what each peer was sent of observations."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.constants import MAX_CONTROL_PERIOD_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.peer_outbox import BURST_MESSAGES, MESSAGES_LIMIT, PeerOutbox
from orchidhatch.gateway.times import S
from tests.helpers import SETTINGS

PEER = 2
WORD = GossipMessage(customer=1, plan_index=0, set_first=0, set_size=4)


def observation(latency: float) -> AttemptObservation:
    return AttemptObservation(7, 0, True, latency)


@pytest.fixture
def outbox() -> PeerOutbox:
    return PeerOutbox(DecisionContext(replace(SETTINGS, gateway_count=4, peer_messages_per_s=100.0)))


def sent(outbox: PeerOutbox) -> list[SendGossip]:
    """What leaves now; the actions are taken off."""
    outbox.send()
    messages = [action for action in outbox.context.actions if isinstance(action, SendGossip)]
    outbox.context.actions.clear()
    return messages


def test_nothing_leaves_when_nothing_waits(outbox: PeerOutbox) -> None:
    assert sent(outbox) == []


def test_messages_to_one_peer_keep_their_space_on_average(outbox: PeerOutbox) -> None:
    count, end_us = 0, 2 * S
    for now in range(0, end_us, 1_000):
        outbox.context.now_us = now
        outbox.add(PEER, WORD)
        count += len(sent(outbox))
    whole_spaces = end_us / outbox.spacing_us
    assert whole_spaces - 1 <= count <= whole_spaces + BURST_MESSAGES


def test_a_burst_leaves_at_once_up_to_its_bound_then_waits_until_it_is_due(outbox: PeerOutbox) -> None:
    counts = []
    for _ in range(BURST_MESSAGES + 2):
        outbox.add(PEER, WORD)
        counts.append(len(sent(outbox)))
    assert counts == [1] * BURST_MESSAGES + [0, 0]
    (due_us,) = outbox.dues()
    outbox.context.now_us = int(due_us) - 1
    assert sent(outbox) == []
    outbox.context.now_us = int(due_us) + 1
    (message,) = sent(outbox)
    assert message.messages == (WORD, WORD)
    assert message.waited_us == int(due_us) + 1


def test_one_peer_that_waits_does_not_delay_another(outbox: PeerOutbox) -> None:
    for _ in range(BURST_MESSAGES + 1):
        outbox.add(PEER, WORD)
        sent(outbox)
    outbox.add(PEER + 1, WORD)
    assert [message.peer for message in sent(outbox)] == [PEER + 1]


def test_the_oldest_is_dropped_and_counted_when_the_outbox_is_full(outbox: PeerOutbox) -> None:
    words = [replace(WORD, demand=float(number)) for number in range(MESSAGES_LIMIT + 3)]
    for word in words:
        outbox.add(PEER, word)
    assert outbox.dropped == 3
    (message,) = sent(outbox)
    assert message.messages == tuple(words[3:])


def test_each_peer_is_sent_an_observation_once(outbox: PeerOutbox) -> None:
    outbox.add_observation(observation(1))
    outbox.add(PEER, WORD)
    assert [message.observations for message in sent(outbox)] == [(observation(1),)]
    outbox.add_observation(observation(2))
    outbox.add(PEER, WORD)
    outbox.add(PEER + 1, WORD)
    assert {message.peer: message.observations for message in sent(outbox)} == {
        PEER: (observation(2),),
        PEER + 1: (observation(1), observation(2)),
    }


def test_an_observation_older_than_the_longest_period_is_not_sent(outbox: PeerOutbox) -> None:
    outbox.add_observation(observation(1))
    outbox.context.now_us = MAX_CONTROL_PERIOD_US
    outbox.add_observation(observation(2))
    outbox.add(PEER, WORD)
    assert [message.observations for message in sent(outbox)] == [(observation(2),)]
