"""Removes endpoints whose leases have expired.

The controller that owns this task triggers the removal under its claim. While it calls regularly, the
registry's own check is suspended.
"""

import logging
import math
from collections.abc import Callable, Sequence

from orchidhatch.control.errors import ConflictError
from orchidhatch.control.lease_table import LeaseTable
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry.endpoints import Endpoint, RemoveEndpoint
from orchidhatch.control.registry.store import Outcome, Store
from orchidhatch.control.registry.write_pipeline import QueuedWrite, WritePipeline

log = logging.getLogger("orchidhatch.registry")

OWNER_ACTIVE_S = 3.0  # after the owner's last call; then the registry's own check resumes


class EndpointLeaseExpiry:
    """Tracks the leases of all endpoints, and removes endpoints whose leases are overdue."""

    def __init__(self, store: Store, writes: WritePipeline, now_s: Callable[[], float]) -> None:
        self.expired = 0
        self.last_owner_call_s = -math.inf
        self._store = store
        self._writes = writes
        self._now_s = now_s
        self.restart()

    def restart(self) -> None:
        """Restart all leases, as they could not be renewed here before."""
        self.leases = LeaseTable(self._store.entries.values(), self._now_s())

    def renew(self, id_: str, incarnation: int) -> bool:
        """Renew the lease of an incarnation; return False if it has none."""
        return self.leases.renew(id_, incarnation, self._now_s())

    # --- removal ---

    def check(self) -> None:
        """Remove overdue endpoints, unless a controller owns the task and is active."""
        if self._now_s() - self.last_owner_call_s >= OWNER_ACTIVE_S:
            self._remove_overdue(None)

    def check_for_owner(self, fence: Fence) -> int:
        """Remove overdue endpoints under an owner's claim, and return their number.

        The caller has checked the fence.
        """
        self.last_owner_call_s = self._now_s()
        return self._remove_overdue(fence)

    def _remove_overdue(self, fence: Fence | None) -> int:
        """Queue the removal of overdue endpoints, which checks the fence again, and return their number."""
        withheld_before = self.leases.withheld
        overdue = self.leases.take_overdue(self._now_s())
        for endpoint in overdue:
            self._remove(endpoint, fence)
        if self.leases.withheld and not withheld_before:
            log.error(
                "ALARM: mass expiry of endpoint leases withheld: overdue=%d leases=%d",
                self.leases.withheld,
                len(self.leases.leases),
            )
        return len(overdue)

    def _remove(self, endpoint: Endpoint, fence: Fence | None) -> None:
        log.warning("endpoint lease expired: endpoint=%s lease_ms=%d", endpoint.id, endpoint.lease_ms)
        self.leases.forget(endpoint.id)
        removal = RemoveEndpoint(endpoint.id, incarnation=endpoint.incarnation, fence=fence)
        if not self._writes.enqueue_internal(removal):
            self.leases.restore_overdue(endpoint, self._now_s())

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name, without the registry's prefix."""
        return {
            "leases": len(self.leases.leases),
            "leases_held": self.leases.withheld,
            "leases_expired_total": self.expired,
        }

    # --- notifications about writes ---

    def batch_written(self, writes: Sequence[QueuedWrite], outcomes: Sequence[Outcome]) -> None:
        """Start and end the leases of changed endpoints; restore a lease if the removal was rejected."""
        for outcome in outcomes:
            if isinstance(outcome, Endpoint):
                self._update_lease(outcome)
        for queued, outcome in zip(writes, outcomes, strict=True):
            if queued.connection:
                continue
            if isinstance(outcome, ConflictError):
                self._restore_lease(queued)
            elif isinstance(queued.write, RemoveEndpoint):
                self.expired += 1

    def batch_failed(self, writes: Sequence[QueuedWrite]) -> None:
        """Restore the leases of endpoints whose removal failed."""
        for queued in writes:
            if not queued.connection:
                self._restore_lease(queued)

    def _update_lease(self, changed: Endpoint) -> None:
        listed = self._store.entries.get(changed.id)
        if listed is None:
            self.leases.forget(changed.id)
        elif listed == changed:
            self.leases.begin(listed, self._now_s())

    def _restore_lease(self, queued: QueuedWrite) -> None:
        """Mark an endpoint as overdue again after its removal was rejected or failed."""
        write = queued.write
        listed = self._store.entries.get(write.id) if isinstance(write, RemoveEndpoint) else None
        if listed is None or listed.incarnation != write.incarnation:
            return
        if listed.id not in self.leases.leases:
            self.leases.restore_overdue(listed, self._now_s())
