"""Leases: whoever does not renew in time is removed, but never all at once.

Times are monotonic seconds that the caller gives, so that a step of the wall clock changes nothing. Leases
begin anew when the process does, as nobody could renew while it was down.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

CHECK_INTERVAL_S = 1.0  # how often leases are checked
MAX_CHECK_GAP_S = 2 * CHECK_INTERVAL_S  # a longer gap between two checks is a pause of this process


class LeaseHolder(Protocol):
    """What has a lease: an endpoint or a session. A `lease_ms` of 0 is no lease."""

    id: str
    lease_ms: int

    @property
    def incarnation(self) -> int | str:
        """What a renewal must name."""


@dataclass(frozen=True, slots=True)
class MassExpiryLimit:
    """How many leases may run out within the longest one.

    More than `share` of all, beyond a `few`, is not many single failures: rather the network, or this
    service, failed. Their removal is withheld, for `withheld_s` at most.
    """

    share: float = 0.2
    few: int = 2
    withheld_s: float = math.inf

    def is_exceeded(self, expiring: int, total: int) -> bool:
        """Whether this many of a total are too many."""
        return expiring > max(self.few, self.share * total)


DEFAULT_LIMIT = MassExpiryLimit()


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that runs out at `due_s`."""

    due_s: float
    holder: LeaseHolder


class LeaseTable:
    """All leases, by the holder's id. `withheld` counts those whose removal the last check withheld."""

    def __init__(
        self, holders: Iterable[LeaseHolder], now_s: float, limit: MassExpiryLimit = DEFAULT_LIMIT
    ) -> None:
        self.leases: dict[str, Lease] = {}
        self.withheld = 0
        self.last_check_s = now_s
        self._limit = limit
        self._expiries_s: deque[float] = deque()  # when leases were let run out
        for holder in holders:
            self.begin(holder, now_s)

    def begin(self, holder: LeaseHolder, now_s: float) -> None:
        """Begin a lease, or let it go on after a change to its holder."""
        if holder.lease_ms:
            self.leases[holder.id] = Lease(now_s + holder.lease_ms / 1000, holder)
        else:
            self.forget(holder.id)

    def renew(self, id_: str, incarnation: int | str, now_s: float) -> bool:
        """Begin a lease anew, if it is this incarnation that has it; whether it is."""
        lease = self.leases.get(id_)
        if lease is None or lease.holder.incarnation != incarnation:
            return False
        self.begin(lease.holder, now_s)
        return True

    def restore_overdue(self, holder: LeaseHolder, now_s: float) -> None:
        """Put back one whose removal failed: it is overdue still, and did not run out yet."""
        if self._expiries_s:
            self._expiries_s.pop()
        self.leases[holder.id] = Lease(now_s, holder)

    def forget(self, id_: str) -> None:
        """Drop the lease of a holder that is removed or has none any more."""
        self.leases.pop(id_, None)

    def take_overdue(self, now_s: float) -> list[LeaseHolder]:
        """Those that are to be removed now, counted as run out.

        Called each CHECK_INTERVAL_S; a longer gap is a pause of this process, and counts for nobody.
        """
        self._extend_by_pause(now_s)
        self._forget_old_expiries(now_s)
        overdue = [lease for lease in self.leases.values() if lease.due_s <= now_s]
        expiring = len(overdue) + len(self._expiries_s)
        expired = overdue
        if self._limit.is_exceeded(expiring, len(self.leases) + len(self._expiries_s)):
            expired = [lease for lease in overdue if lease.due_s + self._limit.withheld_s <= now_s]
        self.withheld = len(overdue) - len(expired)
        self._expiries_s.extend([now_s] * len(expired))
        return [lease.holder for lease in expired]

    def _extend_by_pause(self, now_s: float) -> None:
        pause_s = now_s - self.last_check_s - MAX_CHECK_GAP_S
        self.last_check_s = now_s
        if pause_s > 0:
            self.leases = {
                id_: Lease(lease.due_s + pause_s, lease.holder) for id_, lease in self.leases.items()
            }

    def _forget_old_expiries(self, now_s: float) -> None:
        """Only those within the longest lease count for the limit."""
        longest_s = max((lease.holder.lease_ms for lease in self.leases.values()), default=0) / 1000
        while self._expiries_s and self._expiries_s[0] < now_s - longest_s:
            self._expiries_s.popleft()
