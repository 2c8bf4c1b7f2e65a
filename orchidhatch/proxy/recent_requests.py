"""The ids of requests that a backend may have run lately, at this process or the other one of a handover.

Each request has an id of its own, so one that comes again must not run again.
"""

from collections.abc import Iterable

from orchidhatch.proxy.clock import now_us

RETENTION_US = 60_000_000
MAX_IDS = 8192
"""An id takes some 200 bytes."""


class RecentRequests:
    """Ids with the time at which each was last noted, the oldest first."""

    def __init__(self) -> None:
        self._noted_us: dict[str, int] = {}
        self._oldest_us = 0
        """When the oldest id was noted, or earlier."""

    def __contains__(self, request_id: str) -> bool:
        noted_us = self._noted_us.get(request_id)
        return noted_us is not None and now_us() - noted_us < RETENTION_US

    def __len__(self) -> int:
        return len(self._noted_us)

    def note(self, request_id: str) -> None:
        """Remember an id for RETENTION_US, or until MAX_IDS later ones are noted."""
        now = now_us()
        if request_id in self._noted_us:
            del self._noted_us[request_id]
        self._noted_us[request_id] = now
        if len(self._noted_us) > MAX_IDS or now - self._oldest_us >= RETENTION_US:
            self._forget_oldest(now)

    def _forget_oldest(self, now: int) -> None:
        for request_id, noted_us in list(self._noted_us.items()):
            self._oldest_us = noted_us
            if len(self._noted_us) <= MAX_IDS and now - noted_us < RETENTION_US:
                return
            del self._noted_us[request_id]

    def ids(self) -> list[str]:
        """Return the ids that are remembered, the oldest first."""
        return list(self._noted_us)

    def note_all(self, request_ids: Iterable[str]) -> None:
        """Remember the ids that another process remembers, the oldest first."""
        for request_id in request_ids:
            self.note(request_id)
