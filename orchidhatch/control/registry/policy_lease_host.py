"""The registry as the policy leases of its gateways see it."""

from collections.abc import Callable, Sequence

from orchidhatch.control.errors import ControlError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response, error_response
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.policy.leases import GatewayPolicyLeases
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.store import Outcome, Store
from orchidhatch.control.registry.write_access import WriteAccess
from orchidhatch.control.registry.write_pipeline import QueuedWrite, WritePipeline


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

    def no_writes(self) -> Response | None:
        """Why the registry accepts no writes; None where it does."""
        try:
            self._access.check_writable()
        except ControlError as error:
            return error_response(error)
        return None

    def sure(self) -> bool:
        """Whether its peers were asked recently enough to know that it was not replaced."""
        return self._peer_terms.is_current()

    def queue(self, write: ClaimsWrite, connection: Connection | None) -> bool:
        """Queue a write; whether it is queued. The connection, if one is given, is answered in any case."""
        try:
            self._writes.enqueue(write, connection)
        except ControlError as error:
            if connection:
                connection.fail(error)
            return False
        return True

    async def write_aside(self, writes: Sequence[ClaimsWrite]) -> None:
        """Write what a replica keeps beside the endpoint list. Raises StoreError."""
        await self._writes.write_aside(writes)


class PolicyLeaseObserver:
    """Tells the policy leases what was written."""

    def __init__(self, policy_leases: GatewayPolicyLeases) -> None:
        self._policy_leases = policy_leases

    def batch_written(self, writes: Sequence[QueuedWrite], outcomes: Sequence[Outcome]) -> None:
        """Pass on the outcomes."""
        self._policy_leases.wrote(outcomes)

    def batch_failed(self, writes: Sequence[QueuedWrite]) -> None:
        """Pass on that nothing was written."""
        self._policy_leases.not_written()
