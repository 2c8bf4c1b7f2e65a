"""The policy decision that an agent received, and when it is activated by the agent's own clock.

The registry tells how much time is left until the activation, not a point in time: no machine's clock is
trusted. Each answer bounds the activation time from both sides, and together they narrow it down.
"""

import math
from dataclasses import dataclass

from orchidhatch.control.policy.timing import SWITCH_MARGIN_S


@dataclass(frozen=True, slots=True)
class PolicyDecision:
    """The decision that holds: from its activation on the document `digest`, until then `previous_digest`.

    A digest of "" stands for the gateway's own settings without a policy. The activation time lies between
    `earliest_s` and `latest_s` by the monotonic clock.
    """

    number: int = 0
    digest: str = ""
    previous_digest: str = ""
    earliest_s: float = -math.inf
    latest_s: float = math.inf

    def activation_time_s(self) -> float:
        """The middle of its bounds, which is off by half an answer's way at most; infinite if unknown."""
        if math.isinf(self.earliest_s):
            return self.earliest_s
        if math.isinf(self.latest_s):
            return self.latest_s
        return (self.earliest_s + self.latest_s) / 2

    def digest_at(self, now_s: float) -> str:
        """The document to serve by at this time."""
        return self.digest if now_s >= self.activation_time_s() else self.previous_digest

    def admission_limit_us(self, now_s: float) -> int:
        """When a gateway that was not switched to the next document is to suspend admission by itself.

        In microseconds of the machine's monotonic clock, which the gateway shares; 0 for no limit.
        """
        is_pending = self.previous_digest != self.digest and now_s < self.activation_time_s()
        return round((self.activation_time_s() + SWITCH_MARGIN_S) * 1e6) if is_pending else 0

    def updated(
        self, number: int, digest: str, previous_digest: str, earliest_s: float, latest_s: float
    ) -> "PolicyDecision":
        """The decision as one more answer tells it, with the bounds of this one if it is the same."""
        if number == self.number:
            earliest_s = max(self.earliest_s, earliest_s)
            latest_s = min(self.latest_s, latest_s)
        return PolicyDecision(number, digest, previous_digest, earliest_s, max(earliest_s, latest_s))
