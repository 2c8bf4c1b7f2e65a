"""The registry as the policy leases of its gateways see it."""

from collections.abc import Callable, Sequence

from orchidhatch.control.errors import ConflictError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.store import Store
from orchidhatch.control.registry.write_access import WriteAccess
from orchidhatch.control.registry.write_pipeline import WritePipeline


class PolicyLeaseHost:
    """Implements `orchidhatch.control.policy.lease_host.LeaseHost`."""

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
        """Monotonic seconds."""
        return self._now_s()

    def accepts_writes(self) -> bool:
        """Whether the registry accepts writes."""
        try:
            self._access.check_writable()
        except ConflictError:
            return False
        return True

    def may_decide(self) -> bool:
        """Whether the registry accepts writes, and knows that it was not replaced."""
        return self.accepts_writes() and self._peer_terms.is_current()

    def check_may_renew(self) -> None:
        """Raise ConflictError or UnavailableError where leases may not be renewed."""
        self._access.check_may_renew()

    def enqueue(self, write: ClaimsWrite, connection: Connection) -> None:
        """Queue a client's write, which is answered with its outcome. May raise ControlError."""
        self._writes.enqueue(write, connection)

    def enqueue_internal(self, write: ClaimsWrite) -> bool:
        """Queue a write of the registry itself; whether it is queued."""
        return self._writes.enqueue_internal(write)

    async def write_aside(self, writes: Sequence[ClaimsWrite]) -> None:
        """Write what a replica keeps beside the endpoint list. Raises StoreError."""
        await self._writes.write_aside(writes)
