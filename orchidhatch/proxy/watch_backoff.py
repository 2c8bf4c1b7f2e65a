"""The waits between watches on discovery, chosen so that a tier of gateways does not overload it.

All gateways lose an overloaded discovery at the same time. It then answers slowly, rejects calls that have
waited for 2 s, and still processes calls whose callers have given up: if all gateways return faster than it
can process their calls, none is ever served. So the waits grow with the size of the tier.

An agent on the gateway's own machine, which gets endpoint lists pushed, cannot be overloaded by the tier, and
its list counts as known to the gateway whether a watch is open or not. So a watch on an agent is reopened
soon.
"""

import random

SECONDS_PER_GATEWAY = 0.2
"""The average time per gateway of the tier in which one of them may return."""
MIN_BACKOFF_S = 0.1
MAX_SHORT_BACKOFF_S = 1.0
"""The longest wait if discovery is not overloaded."""
MAX_BACKOFF_FACTOR = 4
"""The largest mean wait, as a multiple of the first; the mean doubles with each failure."""
SMALL_TIER_GATEWAYS = 15
"""A tier of at most this size cannot overload discovery."""
SMALL_TIER_MAX_BACKOFF_S = 4.0
"""An update must be known 6 s after discovery is reachable again."""
IMMEDIATE_RETRY_S = 0.1
"""The shortest time between the openings of two watches, and the longest wait of an immediate retry."""
RETRY_AFTER_SILENCE_S = 0.5
"""The longest wait after a silent watch on a discovery that all gateways share."""
MIN_LASTED_S = 3.0
"""A watch that lasted this long was not ended by an overloaded discovery."""


class WatchBackoff:
    """The random waits between the watches of one gateway, in seconds."""

    def __init__(self, seed: int, gateway_count: int, is_agent: bool) -> None:
        self.random = random.Random(seed)
        self.is_agent = is_agent
        self.is_small_tier = gateway_count <= SMALL_TIER_GATEWAYS
        self.initial_mean_s = max(MIN_BACKOFF_S, SECONDS_PER_GATEWAY * gateway_count / 2)
        self.mean_s = self.initial_mean_s

    def reset(self) -> None:
        """Return to the first mean wait, as discovery has sent an update."""
        self.mean_s = self.initial_mean_s

    def shorten(self) -> None:
        """Return to a short mean wait, as discovery's address has changed."""
        self.mean_s = min(self.initial_mean_s, MAX_SHORT_BACKOFF_S)

    def double(self) -> None:
        """Double the mean wait, up to its limit."""
        max_mean_s = max(MAX_SHORT_BACKOFF_S, MAX_BACKOFF_FACTOR * self.initial_mean_s)
        self.mean_s = min(max_mean_s, self.mean_s * 2)

    def draw_wait(self) -> float:
        """Return a random wait after a watch that could not be opened."""
        return 2 * self.mean_s * self.random.random()

    def limit_wait(self, wait_s: float, limit_s: float) -> float:
        """Return the wait, or a random one below the limit if that is shorter."""
        return min(wait_s, limit_s * self.random.random())

    def limit_for_tier(self, wait_s: float) -> float:
        """Limit the wait for this type of discovery and this size of tier."""
        if self.is_agent:
            return self.limit_wait(wait_s, MAX_SHORT_BACKOFF_S)
        if self.is_small_tier:
            return self.limit_wait(wait_s, SMALL_TIER_MAX_BACKOFF_S)
        return wait_s

    def draw_after_watch(
        self, lasted_s: float, is_silent: bool, was_accepted: bool, was_malformed: bool
    ) -> float:
        """Return a random wait after a watch that was open and has ended or fallen silent.

        A watch on an agent is reopened at once if it was accepted, is silent, or lasted for longer than an
        overloaded discovery lets a call wait: none of these indicates overload.
        """
        fraction = self.random.random()
        ended_well = is_silent or was_accepted or lasted_s >= MIN_LASTED_S
        if self.is_agent and not was_malformed and ended_well:
            return max(IMMEDIATE_RETRY_S - lasted_s, IMMEDIATE_RETRY_S * fraction)
        if is_silent and was_accepted:
            return RETRY_AFTER_SILENCE_S * fraction
        return 2 * self.mean_s * fraction
