"""The interface through which the policy leases use their registry."""

from collections.abc import Sequence
from typing import Protocol

from orchidhatch.control.http_connection import Connection
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.registry.store import Store


class LeaseHost(Protocol):
    """The part of a registry that its policy leases use."""

    store: Store

    def clock(self) -> float:
        """Return the monotonic time in seconds."""

    def may_decide(self) -> bool:
        """Return whether the registry accepts writes and knows that it was not replaced."""

    def accepts_writes(self) -> bool:
        """Return whether the registry accepts writes."""

    def check_may_renew(self) -> None:
        """Raise ConflictError or UnavailableError if leases may not be renewed."""

    def enqueue(self, write: ClaimsWrite, connection: Connection) -> None:
        """Queue a client's write, whose outcome is sent to the connection.

        Raises ControlError if the write cannot be queued.
        """

    def enqueue_internal(self, write: ClaimsWrite) -> bool:
        """Queue a write of the registry itself, and return whether it was queued."""

    async def write_aside(self, writes: Sequence[ClaimsWrite]) -> None:
        """Write what a replica stores apart from the endpoint list; raises StoreError if that fails."""
