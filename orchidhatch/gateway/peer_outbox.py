"""Messages to the other gateways: what waits for each peer, spaced by what all can take in."""

import itertools
from collections import Counter, deque

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.constants import MAX_CONTROL_PERIOD_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.quota import ASK_US
from orchidhatch.gateway.times import S

OBSERVATIONS_LIMIT = (
    16  # attempts that a message may tell of: fewer than leave between two messages to a peer
)
MESSAGES_LIMIT = (
    60  # that wait for one peer: five messages full of them, more than any space lets come together
)
BURST_MESSAGES = 3  # messages that may leave ahead of their space: an ask is to be answered within ASK_US


class PeerOutbox:
    """What is to be told, and of the last attempts that ended here, how; by peer, how many of them were told.

    Each gateway of many sees each server too rarely to learn of a bad one alone.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context, set_ = context, context.settings
        self.waiting: dict[int, list[GossipMessage]] = {}  # by peer
        self.since: dict[int, int] = {}  # by peer, when the first word that waits for it came
        self.dropped = 0
        self.next_send_us: dict[int, int] = {}  # by peer, when the next message to it would keep its space
        self.spacing_us = min(ASK_US, 2 * S * (set_.gateway_count - 1) / max(1, set_.peer_messages_per_s))
        self.ahead_us = round((BURST_MESSAGES - 1) * self.spacing_us)  # by so much it may leave ahead of it
        self.observations: deque[tuple[int, AttemptObservation]] = deque(maxlen=OBSERVATIONS_LIMIT)
        self.observed_count, self.sent_count = 0, dict[int, int]()
        self.tally: Counter[str] = Counter()  # how it went with the peers, as report.FATES

    def add(self, peer: int, word: GossipMessage) -> None:
        words = self.waiting.setdefault(peer, [])
        self.since.setdefault(peer, self.context.now_us)
        if len(words) == MESSAGES_LIMIT:  # the oldest is no news
            del words[0]
            self.dropped += 1
        words.append(word)

    def dues(self) -> list[float]:
        """When the next message may leave to each peer that words wait for."""
        return [self.next_send_us.get(peer, 0) - self.ahead_us for peer in self.waiting]

    def send(self) -> None:
        """Send what may leave now; on average all peers together send no more than one can take in."""
        now = self.context.now_us
        latest = now + self.ahead_us
        for peer in [peer for peer in self.waiting if self.next_send_us.get(peer, 0) <= latest]:
            self.next_send_us[peer] = max(now, self.next_send_us.get(peer, 0)) + self.spacing_us
            self.tally["told"] += 1
            waited_us = now - self.since.pop(peer)
            self.context.actions.append(
                SendGossip(peer, tuple(self.waiting.pop(peer)), self.unsent_observations(peer), waited_us)
            )

    def add_observation(self, sighting: AttemptObservation) -> None:
        self.observations.append((self.context.now_us, sighting))
        self.observed_count += 1

    def unsent_observations(self, peer: int) -> tuple[AttemptObservation, ...]:
        """What the peer has not been told; past the longest period it is no news."""
        new = self.observed_count - self.sent_count.get(peer, 0)
        self.sent_count[peer] = self.observed_count
        first = max(0, len(self.observations) - new)
        return tuple(
            seen
            for at, seen in itertools.islice(self.observations, first, None)
            if self.context.now_us - at < MAX_CONTROL_PERIOD_US
        )
