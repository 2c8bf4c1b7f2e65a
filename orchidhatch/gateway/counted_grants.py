"""What a quota leader has counted for the numbered grant requests of its members, for a short time.

Messages may be lost, so a member repeats a grant request under its number. The leader counts it once and
answers each repetition alike, while it remembers the request.
"""

from collections.abc import Iterable
from typing import NamedTuple

from orchidhatch.gateway.times import S

COUNTED_GRANT_TTL_US = 0.6 * S
"""For how long a repeated grant request is known as such."""


class CountedGrant(NamedTuple):
    """The units that were requested and counted, and when."""

    requested: float
    counted: float
    counted_us: int


class CountedGrants:
    """The grants of one customer that its leader has counted of late, by gateway and number."""

    def __init__(self) -> None:
        # In the order in which they were counted.
        self.grants: dict[tuple[int, int], CountedGrant] = {}

    def find(self, peer: int, number: int, requested: float, now_us: int) -> CountedGrant | None:
        """What was counted for the same grant request; None for a new one."""
        self._forget_old(now_us)
        grant = self.grants.get((peer, number))
        if grant is None or grant.requested != requested:
            return None
        return grant

    def add(self, peer: int, number: int, grant: CountedGrant) -> None:
        """Remember what was counted for a gateway's request of that number."""
        self.grants.pop((peer, number), None)
        self.grants[peer, number] = grant

    def known(self, now_us: int) -> Iterable[tuple[tuple[int, int], CountedGrant]]:
        """The grants that a repeated request may be for, each by gateway and number."""
        self._forget_old(now_us)
        return self.grants.items()

    def _forget_old(self, now_us: int) -> None:
        oldest_us = now_us - COUNTED_GRANT_TTL_US
        while self.grants:
            key, grant = next(iter(self.grants.items()))
            if grant.counted_us >= oldest_us:
                return
            del self.grants[key]
