"""Leases: holders that do not renew in time are removed, except in a mass expiry.

Times are seconds of a monotonic clock, given by the caller, so that a step of the wall clock has no effect.
Leases begin again when the process starts, because no holder could renew while it was down.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

CHECK_INTERVAL_S = 1.0  # how often leases are checked
MAX_CHECK_GAP_S = 2 * CHECK_INTERVAL_S  # a longer gap between two checks means that this process was paused


class LeaseHolder(Protocol):
    """The holder of a lease: an endpoint or a session. A `lease_ms` of 0 means no lease."""

    id: str
    lease_ms: int

    @property
    def incarnation(self) -> int | str:
        """The incarnation that a renewal must name."""


@dataclass(frozen=True, slots=True)
class MassExpiryLimit:
    """The limit on how many leases may expire within the longest lease.

    If more than `share` of all leases and more than `few` expire, the cause is probably a failure of the
    network or this service, not of the holders. Their removal is then withheld, for `withheld_s` at most.
    """

    share: float = 0.2
    few: int = 2
    withheld_s: float = math.inf

    def is_exceeded(self, expiring: int, total: int) -> bool:
        """Return whether this number of expiring leases exceeds the limit."""
        return expiring > max(self.few, self.share * total)


DEFAULT_LIMIT = MassExpiryLimit()


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that expires at `due_s`."""

    due_s: float
    holder: LeaseHolder


class LeaseTable:
    """All leases by the holder's id. `withheld` is the number of removals that the last check withheld."""

    def __init__(
        self, holders: Iterable[LeaseHolder], now_s: float, limit: MassExpiryLimit = DEFAULT_LIMIT
    ) -> None:
        self.leases: dict[str, Lease] = {}
        self.withheld = 0
        self.last_check_s = now_s
        self._limit = limit
        self._expiries_s: deque[float] = deque()  # when leases expired whose holders were to be removed
        for holder in holders:
            self.begin(holder, now_s)

    def begin(self, holder: LeaseHolder, now_s: float) -> None:
        """Begin the lease of a holder, or extend it after a change to the holder."""
        if holder.lease_ms:
            self.leases[holder.id] = Lease(now_s + holder.lease_ms / 1000, holder)
        else:
            self.forget(holder.id)

    def renew(self, id_: str, incarnation: int | str, now_s: float) -> bool:
        """Renew a lease if this incarnation holds it. Return whether it was renewed."""
        lease = self.leases.get(id_)
        if lease is None or lease.holder.incarnation != incarnation:
            return False
        self.begin(lease.holder, now_s)
        return True

    def restore_overdue(self, holder: LeaseHolder, now_s: float) -> None:
        """Restore the lease of a holder whose removal failed, as overdue but not yet expired."""
        if self._expiries_s:
            self._expiries_s.pop()
        self.leases[holder.id] = Lease(now_s, holder)

    def forget(self, id_: str) -> None:
        """Remove the lease of a holder that was removed or no longer has one."""
        self.leases.pop(id_, None)

    def take_overdue(self, now_s: float) -> list[LeaseHolder]:
        """Return the holders to be removed now, and count their leases as expired.

        Called every CHECK_INTERVAL_S. A gap over MAX_CHECK_GAP_S is a pause of this process, and the excess
        extends all leases.
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
        """Drop the expiries that are older than the longest lease, which do not count for the limit."""
        longest_s = max((lease.holder.lease_ms for lease in self.leases.values()), default=0) / 1000
        while self._expiries_s and self._expiries_s[0] < now_s - longest_s:
            self._expiries_s.popleft()
