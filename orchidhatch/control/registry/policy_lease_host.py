"""The registry's interface for the service that grants policy leases."""

from collections.abc import Callable, Sequence

from orchidhatch.control.errors import ConflictError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.store import Store
from orchidhatch.control.registry.write_access import WriteAccess
from orchidhatch.control.registry.write_pipeline import WritePipeline


class PolicyLeaseHost:
    """The registry's implementation of `orchidhatch.control.policy.lease_host.LeaseHost`."""

    def __init__(
        self,
        store: Store,
        writes: WritePipeline,
        access: WriteAccess,
        peer_terms: PeerTermGuard,
        now_s: Callable[[], float],
    ) -> None:
        self.store = store
        self._writes = writes
        self._access = access
        self._peer_terms = peer_terms
        self._now_s = now_s

    def clock(self) -> float:
        """Return monotonic seconds."""
        return self._now_s()

    def accepts_writes(self) -> bool:
        """Return whether the registry accepts writes."""
        try:
            self._access.check_writable()
        except ConflictError:
            return False
        return True

    def may_decide(self) -> bool:
        """Return whether the registry accepts writes and a recent check shows that it was not replaced."""
        return self.accepts_writes() and self._peer_terms.is_current()

    def check_may_renew(self) -> None:
        """Raise ConflictError or UnavailableError if leases must not be renewed."""
        self._access.check_may_renew()

    def enqueue(self, write: ClaimsWrite, connection: Connection) -> None:
        """Queue a client's write, whose outcome is sent to the connection. May raise ControlError."""
        self._writes.enqueue(write, connection)

    def enqueue_internal(self, write: ClaimsWrite) -> bool:
        """Queue a write of the registry itself and return whether it was queued."""
        return self._writes.enqueue_internal(write)

    async def write_aside(self, writes: Sequence[ClaimsWrite]) -> None:
        """Write a replica's own data, which is not part of the endpoint list. Raises StoreError."""
        await self._writes.write_aside(writes)
