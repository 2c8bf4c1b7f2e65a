"""The policy decision that an agent received, and when it is activated by the agent's own clock.

The registry sends the time that remains until the activation rather than a point in time, because machines'
clocks are not trusted. Each answer gives a lower and an upper bound of the activation time; further answers
narrow them down.
"""

import math
from dataclasses import dataclass

from orchidhatch.control.policy.timing import SWITCH_MARGIN_S


@dataclass(frozen=True, slots=True)
class PolicyDecision:
    """The current decision: `previous_digest` applies until its activation time, `digest` after that.

    A digest of "" stands for the gateway's own settings without a policy. The activation time lies between
    `earliest_s` and `latest_s` by the monotonic clock.
    """

    number: int = 0
    digest: str = ""
    previous_digest: str = ""
    earliest_s: float = -math.inf
    latest_s: float = math.inf

    def activation_time_s(self) -> float:
        """Return the middle of the bounds, infinite if unknown; it errs by half an answer's delay at most."""
        if math.isinf(self.earliest_s):
            return self.earliest_s
        if math.isinf(self.latest_s):
            return self.latest_s
        return (self.earliest_s + self.latest_s) / 2

    def digest_at(self, now_s: float) -> str:
        """Return the digest of the document that applies at this time."""
        return self.digest if now_s >= self.activation_time_s() else self.previous_digest

    def admission_limit_us(self, now_s: float) -> int:
        """Return when a gateway that was not switched to the next document must suspend admission by itself.

        The unit is microseconds of the machine's monotonic clock, which the gateway shares; 0 means no limit.
        """
        is_pending = self.previous_digest != self.digest and now_s < self.activation_time_s()
        return round((self.activation_time_s() + SWITCH_MARGIN_S) * 1e6) if is_pending else 0

    def updated(
        self, number: int, digest: str, previous_digest: str, earliest_s: float, latest_s: float
    ) -> "PolicyDecision":
        """Return the decision of one more answer, with narrower bounds if it has the same number."""
        if number == self.number:
            earliest_s = max(self.earliest_s, earliest_s)
            latest_s = min(self.latest_s, latest_s)
        return PolicyDecision(number, digest, previous_digest, earliest_s, max(earliest_s, latest_s))
