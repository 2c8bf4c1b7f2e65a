"""Messages to the other gateways: what waits for each peer, spaced by what all can take in."""

import itertools
from collections import Counter, deque

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.constants import CC_PERIOD_US, MOST_PERIODS
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.quota import ASK_US
from orchidhatch.gateway.times import S

MOST_SIGHTINGS = 16  # attempts that a message may tell of: fewer than leave between two messages to a peer
MOST_WORDS = 60  # that wait for one peer: five messages full of them, more than any space lets come together
TELLS_AT_ONCE = 3  # messages that may leave ahead of their space: an ask is to be answered within ASK_US


class PeerOutbox:
    """What is to be told, and of the last attempts that ended here, how; by peer, how many of them were told.

    Each gateway of many sees each server too rarely to learn of a bad one alone.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context, set_ = context, context.settings
        self.waiting: dict[int, list[GossipMessage]] = {}  # by peer
        self.since: dict[int, int] = {}  # by peer, when the first word that waits for it came
        self.dropped = 0
        self.next_tell_us: dict[int, int] = {}  # by peer, when the next message to it would keep its space
        self.space_us = min(ASK_US, 2 * S * (set_.gateway_count - 1) / max(1, set_.peer_messages_per_s))
        self.ahead_us = round((TELLS_AT_ONCE - 1) * self.space_us)  # by so much it may leave ahead of it
        self.seen: deque[tuple[int, AttemptObservation]] = deque(maxlen=MOST_SIGHTINGS)
        self.seen_ever, self.told_seen = 0, dict[int, int]()
        self.tally: Counter[str] = Counter()  # how it went with the peers, as report.FATES

    def add(self, peer: int, word: GossipMessage) -> None:
        words = self.waiting.setdefault(peer, [])
        self.since.setdefault(peer, self.context.now_us)
        if len(words) == MOST_WORDS:  # the oldest is no news
            del words[0]
            self.dropped += 1
        words.append(word)

    def dues(self) -> list[float]:
        """When the next message may leave to each peer that words wait for."""
        return [self.next_tell_us.get(peer, 0) - self.ahead_us for peer in self.waiting]

    def send(self) -> None:
        """Send what may leave now; on average all peers together send no more than one can take in."""
        now = self.context.now_us
        latest = now + self.ahead_us
        for peer in [peer for peer in self.waiting if self.next_tell_us.get(peer, 0) <= latest]:
            self.next_tell_us[peer] = max(now, self.next_tell_us.get(peer, 0)) + self.space_us
            self.tally["told"] += 1
            waited_us = now - self.since.pop(peer)
            self.context.actions.append(
                SendGossip(peer, tuple(self.waiting.pop(peer)), self.untold_sightings(peer), waited_us)
            )

    def see(self, sighting: AttemptObservation) -> None:
        self.seen.append((self.context.now_us, sighting))
        self.seen_ever += 1

    def untold_sightings(self, peer: int) -> tuple[AttemptObservation, ...]:
        """What the peer has not been told; past the longest period it is no news."""
        new = self.seen_ever - self.told_seen.get(peer, 0)
        self.told_seen[peer] = self.seen_ever
        first = max(0, len(self.seen) - new)
        return tuple(
            seen
            for at, seen in itertools.islice(self.seen, first, None)
            if self.context.now_us - at < MOST_PERIODS * CC_PERIOD_US
        )
