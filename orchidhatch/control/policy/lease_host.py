"""What the policy leases need of the registry that they are part of."""

from collections.abc import Sequence
from typing import Protocol

from orchidhatch.control.http_connection import Connection
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.registry.store import Store


class LeaseHost(Protocol):
    """The registry, as its policy leases see it."""

    store: Store

    def clock(self) -> float:
        """Monotonic seconds."""

    def may_decide(self) -> bool:
        """Whether the registry accepts writes, and knows that it was not replaced."""

    def accepts_writes(self) -> bool:
        """Whether the registry accepts writes."""

    def check_may_renew(self) -> None:
        """Raise ConflictError or UnavailableError where leases may not be renewed."""

    def enqueue(self, write: ClaimsWrite, connection: Connection) -> None:
        """Queue a client's write, which is answered with its outcome; may raise ControlError."""

    def enqueue_internal(self, write: ClaimsWrite) -> bool:
        """Queue a write of the registry itself; whether it is queued."""

    async def write_aside(self, writes: Sequence[ClaimsWrite]) -> None:
        """Write what a replica keeps beside the endpoint list; raises StoreError."""
