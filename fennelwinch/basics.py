"""What all rooms of the decisions share: units, the moment, chance, and the actions so far."""

import random

from fennelwinch import interface as i

S, NEVER = 1_000_000, 1 << 62  # microseconds in a second; a time that does not come
TICK_US = 20_000  # how often held requests and words are looked at: well under any aim
CC_PERIOD_US, MOST_PERIODS = S, 2  # the Call Control Period, and how many of them an OPPUI may be
# For each ready server, by all gateways: attempts a second when the cap engages, and out at once ever.
START_PER_SERVER, LEAST_OUT = 8, 2  # the second: for one gateway in any case
SMOOTH = 0.1  # weight of a new latency in a running mean


class Desk:
    """The settings, the event's time in microseconds, and the actions so far; and whether there is a twin.

    A twin is another process that is this gateway too, while one takes over from the other. `blind` means
    that there may be one, unheard.
    """

    def __init__(self, settings: i.Settings) -> None:
        self.set, self.random = settings, random.Random(settings.seed)
        self.now = self.started_us = 0
        self.actions: list[i.Action] = []
        self.has_twin = self.blind = False

    def tell_twin(self, word: i.TwinSpend | i.TwinSend | i.TwinEnd | i.TwinMaint) -> None:
        if self.has_twin:
            self.actions.append(word)
