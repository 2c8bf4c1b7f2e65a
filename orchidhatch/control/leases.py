"""Leases: who does not renew in time leaves the list, but never all at once.

Times are monotonic seconds that the caller gives, so that a step of the wall clock changes nothing. Leases
begin anew when the process does, as nobody could renew while it was down.
"""

import math
from collections import deque
from collections.abc import Iterable

from orchidhatch.control.ownership.claims import Session
from orchidhatch.control.registry.store import Entry

Leased = Entry | Session  # what has an id, a life, and a lease_ms

TICK_S = 1.0  # how often they are looked at
# More than this share of all leases within the longest one, beyond a few, is no many single deaths: rather
# the network, or we, are what failed. They are held, and a person is told.
MOST_SHARE, FEW = 0.2, 2


class Leases:
    """When each lease runs out, by the entry's id.

    More than `share` of them at once, beyond a `few`, are held, for `held_s` at most.
    """

    def __init__(
        self,
        entries: Iterable[Leased],
        now_s: float,
        share: float = MOST_SHARE,
        few: int = FEW,
        held_s: float = math.inf,
    ) -> None:
        self.share, self.few, self.held_s = share, few, held_s
        self.due: dict[str, tuple[float, Leased]] = {}
        self.looked_s = now_s
        self.ended: deque[float] = deque()  # when leases were let run out
        self.held = 0  # overdue, and kept listed
        for entry in entries:
            self.begin(entry, now_s)

    def begin(self, entry: Leased, now_s: float) -> None:
        """A lease begins, or goes on after a change to its entry."""
        if entry.lease_ms:
            self.due[entry.id] = now_s + entry.lease_ms / 1000, entry
        else:
            self.due.pop(entry.id, None)

    def renew(self, id_: str, life: int | str, now_s: float) -> bool:
        """Whether it is this life that is listed; then its lease begins anew."""
        _, entry = self.due.get(id_, (0.0, None))
        if entry is None or entry.life != life:
            return False
        self.begin(entry, now_s)
        return True

    def put_back(self, entry: Leased, now_s: float) -> None:
        """One that was to leave could not be removed: it is overdue still, and has not left."""
        if self.ended:
            self.ended.pop()
        self.due[entry.id] = now_s, entry

    def forget(self, id_: str) -> None:
        self.due.pop(id_, None)

    def overdue(self, now_s: float) -> list[Leased]:
        """Those that are to leave the list now. Called each TICK_S; a longer gap is a pause of ours, and
        counts for nobody."""
        paused = max(0.0, now_s - self.looked_s - 2 * TICK_S)
        self.looked_s = now_s
        if paused:
            self.due = {id_: (due + paused, entry) for id_, (due, entry) in self.due.items()}
        longest = max((entry.lease_ms for _, entry in self.due.values()), default=0) / 1000
        while self.ended and self.ended[0] < now_s - longest:
            self.ended.popleft()
        late = [entry for due, entry in self.due.values() if due <= now_s]
        most = max(self.few, self.share * (len(self.due) + len(self.ended)))
        if len(late) + len(self.ended) > most:
            ending = [entry for due, entry in self.due.values() if due + self.held_s <= now_s]
            self.held, late = len(late) - len(ending), ending
        else:
            self.held = 0
        self.ended.extend([now_s] * len(late))
        return late
