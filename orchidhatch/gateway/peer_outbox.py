"""The outbox of gossip messages: a bounded queue for each peer, with paced sends."""

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
"""The number of attempt observations kept for the peers, the newest ones."""

MESSAGES_LIMIT = 60
"""The maximum of gossip messages waiting for one peer; they fill at most seven datagrams."""

BURST_MESSAGES = 3
"""The sends to one peer that may follow each other without spacing, so that requests are answered in time."""


class PeerOutbox:
    """The gossip messages waiting for each peer, and the observations of attempts that ended here.

    `waiting` holds the messages by peer, `since` the time at which the first of them was added, and
    `dropped` the number of messages dropped from full queues. `tally` counts messages and requests under the
    names in `metric_names.GOSSIP_COUNTS`.

    Observations are shared because one gateway of many sends each server too few attempts to detect an
    outlier alone.
    """

    def __init__(self, context: DecisionContext) -> None:
        settings = context.settings
        self.context = context
        self.waiting: dict[int, list[GossipMessage]] = {}
        self.since: dict[int, int] = {}
        self.dropped = 0
        self.tally: Counter[str] = Counter()
        # By peer, the time of the next evenly spaced send; a burst may precede it by up to `burst_us`.
        self.next_send_us: dict[int, float] = {}
        fair_spacing_us = 2 * S * (settings.gateway_count - 1) / max(1, settings.peer_messages_per_s)
        self.spacing_us = min(LEADER_REPLY_TIMEOUT_US, fair_spacing_us)
        self.burst_us = round((BURST_MESSAGES - 1) * self.spacing_us)
        # The newest observations with the end times of their attempts, and by peer how many of all were sent.
        self.observations: deque[tuple[int, AttemptObservation]] = deque(maxlen=OBSERVATIONS_LIMIT)
        self.observed_count = 0
        self.sent_counts: dict[int, int] = {}

    def add(self, peer: int, message: GossipMessage) -> None:
        """Queue a message for a peer; if the queue is full, the oldest message is dropped.

        A message about a plan index above MAX_PLAN_INDEX is ignored: it neither displaces another message
        nor causes a send.
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
        """Return when the next send is permitted to each peer with waiting messages."""
        return [self.next_send_us.get(peer, 0) - self.burst_us for peer in self.waiting]

    def send(self) -> None:
        """Send all messages that the spacing permits now.

        The spacing limits the average rate of messages from all its peers to what a gateway can receive.
        """
        latest_us = self.context.now_us + self.burst_us
        permitted = [peer for peer in self.waiting if self.next_send_us.get(peer, 0) <= latest_us]
        for peer in permitted:
            self.send_to(peer)

    def send_to(self, peer: int) -> None:
        """Send a peer all messages waiting for it."""
        now_us = self.context.now_us
        self.next_send_us[peer] = max(now_us, self.next_send_us.get(peer, 0)) + self.spacing_us
        self.tally[MESSAGES_SENT] += 1
        waited_us = now_us - self.since.pop(peer)
        messages = tuple(self.waiting.pop(peer))
        self.context.actions.append(SendGossip(peer, messages, self.unsent_observations(peer), waited_us))

    def add_observation(self, observation: AttemptObservation) -> None:
        """Keep the observation of an attempt that ended now; the oldest one is dropped beyond the limit."""
        self.observations.append((self.context.now_us, observation))
        self.observed_count += 1

    def unsent_observations(self, peer: int) -> tuple[AttemptObservation, ...]:
        """Return the observations not yet sent to a peer and younger than the longest control period."""
        unsent_count = self.observed_count - self.sent_counts.get(peer, 0)
        self.sent_counts[peer] = self.observed_count
        first = max(0, len(self.observations) - unsent_count)
        return tuple(
            observation
            for ended_us, observation in itertools.islice(self.observations, first, None)
            if self.context.now_us - ended_us < MAX_CONTROL_PERIOD_US
        )
