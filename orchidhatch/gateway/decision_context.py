"""The state that all components of the decision core share while an event is handled."""

import random

from orchidhatch.gateway.actions import Action
from orchidhatch.gateway.settings import Settings
from orchidhatch.gateway.snapshots import HandoverMessage


class DecisionContext:
    """The settings, the random source, the event's time in microseconds and the actions decided so far.

    `has_handover_peer` says that a second process also serves as this gateway during a handover, and
    `has_successor` that it takes over from this one. `has_unknown_peer` says that there may be such a
    process, whose attempts are not known.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.now_us = 0
        self.started_us = 0
        self.actions: list[Action] = []
        self.has_handover_peer = False
        self.has_successor = False
        self.has_unknown_peer = False

    def send_to_handover_peer(self, message: HandoverMessage) -> None:
        """Send a message to the handover peer, if there is one."""
        if self.has_handover_peer:
            self.actions.append(message)
