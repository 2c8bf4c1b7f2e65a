"""Timeouts and repetition limits of requests to a quota leader, and the backoff if it does not answer."""

from orchidhatch.gateway.times import S

LEADER_REPLY_TIMEOUT_US = 80_000
"""How long a reply of the quota leader is awaited, and how long a granted slot may remain unused."""

MAX_LEADER_REQUESTS = 2
"""How many slot requests may remain unanswered before the leader counts as silent; also the limit of grant
requests to a silent leader."""

MAX_GRANT_REQUESTS = 3
"""How often a grant is requested before the request is decided without an answer."""

LEADER_ANSWER_TTL_US = 10 * S
"""How long an answer of the quota leader is used."""

MIN_BACKOFF_US = S // 2
"""The first delay after an unanswered request; it doubles up to LEADER_ANSWER_TTL_US."""


class LeaderBackoff:
    """Exponential backoff with jitter for requests to a leader that does not answer.

    The leader may be receiving more messages than it can process, and further requests add to its load.
    """

    def __init__(self) -> None:
        self.next_request_us: float = 0
        self.delay_us = 0

    def back_off(self, now_us: int, jitter: float) -> None:
        """Pause requests for 0.5 to 1.5 times the doubled delay; `jitter` is from 0 to 1."""
        self.delay_us = min(LEADER_ANSWER_TTL_US, max(MIN_BACKOFF_US, 2 * self.delay_us))
        self.next_request_us = now_us + self.delay_us * (0.5 + jitter)

    def reset(self) -> None:
        """Permit requests again, because the leader has answered."""
        self.next_request_us = 0
        self.delay_us = 0

    @property
    def is_leader_silent(self) -> bool:
        """Whether the leader has not answered since a request was decided without its answer."""
        return self.delay_us > 0

    def is_paused(self, now_us: int) -> bool:
        """Return whether requests are still paused."""
        return now_us < self.next_request_us
