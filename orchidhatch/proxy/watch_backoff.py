"""How long to wait before the next watch on discovery, so that a tier of gateways does not overload it.

All gateways lose an overloaded discovery together. It then takes long for each call, rejects those that have
waited for 2 s, and goes on with calls that nobody waits for any more: if all gateways come back in less time
than it needs for them, none is ever served. So waits grow with the size of the tier.

An agent on the gateway's own machine (endpoint lists are pushed) is overloaded by nobody, and what it has
counts as known to the gateway whether a watch is open or not; so a watch on it is opened again soon.
"""

import random

SECONDS_PER_GATEWAY = 0.2
"""In which one gateway of the tier may come back, on average."""
MIN_BACKOFF_S = 0.1
MAX_SHORT_BACKOFF_S = 1.0
"""The longest wait where discovery is not overloaded."""
MAX_BACKOFF_FACTOR = 4
"""Of the first mean wait, which doubles from one failure to the next."""
SMALL_TIER_GATEWAYS = 15
"""A tier this small cannot overload discovery."""
SMALL_TIER_MAX_BACKOFF_S = 4.0
"""An update counts as known 6 s after discovery could be reached."""
IMMEDIATE_RETRY_S = 0.1
"""The least time between two watches that are opened at once, and the longest such wait."""
RETRY_AFTER_SILENCE_S = 0.5
"""The longest wait after a silent watch on a discovery that all gateways share."""
MIN_LASTED_S = 3.0
"""A watch that lasted for longer was not ended by an overloaded discovery."""


class WatchBackoff:
    """The waits between watches of one gateway, in seconds, drawn by chance."""

    def __init__(self, seed: int, gateway_count: int, is_agent: bool) -> None:
        self.random = random.Random(seed)
        self.is_agent = is_agent
        self.is_small_tier = gateway_count <= SMALL_TIER_GATEWAYS
        self.least_s = max(MIN_BACKOFF_S, SECONDS_PER_GATEWAY * gateway_count / 2)
        self.mean_s = self.least_s

    def reset(self) -> None:
        """Begin anew: discovery has sent an update."""
        self.mean_s = self.least_s

    def shorten(self) -> None:
        """Begin with a short wait: another address holds from now on."""
        self.mean_s = min(self.least_s, MAX_SHORT_BACKOFF_S)

    def double(self) -> None:
        """Wait longer the next time."""
        longest_s = max(MAX_SHORT_BACKOFF_S, MAX_BACKOFF_FACTOR * self.least_s)
        self.mean_s = min(longest_s, self.mean_s * 2)

    def draw(self) -> float:
        """A wait after a watch that could not be opened."""
        return 2 * self.mean_s * self.random.random()

    def at_most(self, wait_s: float, limit_s: float) -> float:
        """The wait, or a shorter one drawn below the limit."""
        return min(wait_s, limit_s * self.random.random())

    def bounded(self, wait_s: float) -> float:
        """The wait, as long as it may be for this discovery and this tier."""
        if self.is_agent:
            return self.at_most(wait_s, MAX_SHORT_BACKOFF_S)
        if self.is_small_tier:
            return self.at_most(wait_s, SMALL_TIER_MAX_BACKOFF_S)
        return wait_s

    def after_watch(self, lasted_s: float, is_silent: bool, was_accepted: bool, was_malformed: bool) -> float:
        """A wait after a watch that was open and has ended, or fell silent.

        The agent's watch is opened again at once if it was accepted, or lasted for longer than an overloaded
        discovery lets anybody wait, or is silent: none of these is a sign of too many calls.
        """
        drawn = self.random.random()
        ended_well = is_silent or was_accepted or lasted_s >= MIN_LASTED_S
        if self.is_agent and not was_malformed and ended_well:
            return max(IMMEDIATE_RETRY_S - lasted_s, IMMEDIATE_RETRY_S * drawn)
        if is_silent and was_accepted:
            return RETRY_AFTER_SILENCE_S * drawn
        return 2 * self.mean_s * drawn
