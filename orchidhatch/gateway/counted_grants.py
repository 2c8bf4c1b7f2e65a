"""The units that a quota leader has counted for its members' recent numbered grant requests.

Messages may be lost, so a member repeats a grant request under the same number. While the leader remembers
the request, it counts it once and gives each repetition the same answer.
"""

from collections.abc import Iterable
from typing import NamedTuple

from orchidhatch.gateway.times import S

COUNTED_GRANT_TTL_US = 0.6 * S
"""How long the leader recognizes a repeated grant request."""


class CountedGrant(NamedTuple):
    """The units requested and counted for a grant request, and when they were counted."""

    requested: float
    counted: float
    counted_us: int


class CountedGrants:
    """The grants of one customer that its leader has recently counted, by gateway and number."""

    def __init__(self) -> None:
        # Ordered by the time of counting, oldest first.
        self.grants: dict[tuple[int, int], CountedGrant] = {}

    def find(self, peer: int, number: int, requested: float, now_us: int) -> CountedGrant | None:
        """Return what was counted for the same grant request; None if it is new."""
        self._forget_old(now_us)
        grant = self.grants.get((peer, number))
        if grant is None or grant.requested != requested:
            return None
        return grant

    def add(self, peer: int, number: int, grant: CountedGrant) -> None:
        """Store what was counted for a gateway's request of that number."""
        self.grants.pop((peer, number), None)
        self.grants[peer, number] = grant

    def known(self, now_us: int) -> Iterable[tuple[tuple[int, int], CountedGrant]]:
        """Return the grants that may still be repeated, each with its gateway and number."""
        self._forget_old(now_us)
        return self.grants.items()

    def _forget_old(self, now_us: int) -> None:
        oldest_us = now_us - COUNTED_GRANT_TTL_US
        while self.grants:
            key, grant = next(iter(self.grants.items()))
            if grant.counted_us >= oldest_us:
                return
            del self.grants[key]
