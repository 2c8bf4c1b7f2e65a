"""The outbox of messages to the other gateways: a bounded queue for each peer, with paced sends."""

import itertools
from collections import Counter, deque

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.constants import MAX_CONTROL_PERIOD_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import MAX_PLAN_INDEX, AttemptObservation, GossipMessage
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US
from orchidhatch.gateway.metric_names import MESSAGES_SENT
from orchidhatch.gateway.times import S

OBSERVATIONS_LIMIT = 16
"""The attempt observations that are kept for the peers: the newest."""

MESSAGES_LIMIT = 60
"""The gossip messages that may wait for one peer; they fill seven datagrams at most."""

BURST_MESSAGES = 3
"""The sends to one peer that may follow each other without spacing, as a request is answered in time."""


class PeerOutbox:
    """Gossip messages that wait for each peer, and the observations of attempts that ended here.

    `waiting` holds the messages by peer, `since` when the first of them was added, `dropped` how many were
    dropped because too many waited. `tally` counts messages and requests by the names of
    `metric_names.GOSSIP_COUNTS`. Each gateway of many sends each server too few attempts to detect an outlier
    alone, so the peers get its observations.
    """

    def __init__(self, context: DecisionContext) -> None:
        settings = context.settings
        self.context = context
        self.waiting: dict[int, list[GossipMessage]] = {}
        self.since: dict[int, int] = {}
        self.dropped = 0
        self.tally: Counter[str] = Counter()
        # By peer, when its next send keeps the spacing; a burst is ahead of that by at most `burst_us`.
        self.next_send_us: dict[int, float] = {}
        fair_spacing_us = 2 * S * (settings.gateway_count - 1) / max(1, settings.peer_messages_per_s)
        self.spacing_us = min(LEADER_REPLY_TIMEOUT_US, fair_spacing_us)
        self.burst_us = round((BURST_MESSAGES - 1) * self.spacing_us)
        # The last observations with the times of their ends; by peer, how many of all it has been sent.
        self.observations: deque[tuple[int, AttemptObservation]] = deque(maxlen=OBSERVATIONS_LIMIT)
        self.observed_count = 0
        self.sent_counts: dict[int, int] = {}

    def add(self, peer: int, message: GossipMessage) -> None:
        """Queue a message for a peer; where too many wait, the oldest is dropped.

        One about a plan that no datagram can name takes no place of another, and brings about no send.
        """
        if message.plan_index > MAX_PLAN_INDEX:
            return
        messages = self.waiting.setdefault(peer, [])
        self.since.setdefault(peer, self.context.now_us)
        if len(messages) == MESSAGES_LIMIT:
            del messages[0]
            self.dropped += 1
        messages.append(message)

    def dues(self) -> list[float]:
        """When the next send to each peer that messages wait for is permitted."""
        return [self.next_send_us.get(peer, 0) - self.burst_us for peer in self.waiting]

    def send(self) -> None:
        """Send what the spacing permits now.

        On average all peers of a gateway together send it no more than it can receive.
        """
        latest_us = self.context.now_us + self.burst_us
        permitted = [peer for peer in self.waiting if self.next_send_us.get(peer, 0) <= latest_us]
        for peer in permitted:
            self.send_to(peer)

    def send_to(self, peer: int) -> None:
        """Send a peer all that waits for it."""
        now_us = self.context.now_us
        self.next_send_us[peer] = max(now_us, self.next_send_us.get(peer, 0)) + self.spacing_us
        self.tally[MESSAGES_SENT] += 1
        waited_us = now_us - self.since.pop(peer)
        messages = tuple(self.waiting.pop(peer))
        self.context.actions.append(SendGossip(peer, messages, self.unsent_observations(peer), waited_us))

    def add_observation(self, observation: AttemptObservation) -> None:
        """Keep the observation of an attempt that ended now, and drop the oldest of too many."""
        self.observations.append((self.context.now_us, observation))
        self.observed_count += 1

    def unsent_observations(self, peer: int) -> tuple[AttemptObservation, ...]:
        """The observations that a peer has not been sent, up to the age of the longest control period."""
        unsent_count = self.observed_count - self.sent_counts.get(peer, 0)
        self.sent_counts[peer] = self.observed_count
        first = max(0, len(self.observations) - unsent_count)
        return tuple(
            observation
            for ended_us, observation in itertools.islice(self.observations, first, None)
            if self.context.now_us - ended_us < MAX_CONTROL_PERIOD_US
        )
