"""What the policy leases need of the registry that they are part of."""

from collections.abc import Sequence
from typing import Protocol

from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.registry.store import Store


class LeaseHost(Protocol):
    """The registry, as its policy leases see it."""

    store: Store

    def clock(self) -> float:
        """Monotonic seconds."""

    def no_writes(self) -> Response | None:
        """Why the registry accepts no writes; None where it does."""

    def sure(self) -> bool:
        """Whether its peers were asked recently enough to know that it was not replaced."""

    def queue(self, write: ClaimsWrite, connection: Connection | None) -> bool:
        """Queue a write; its result is the response to the connection, where one is given."""

    async def write_aside(self, writes: Sequence[ClaimsWrite]) -> None:
        """Write what a replica keeps beside the endpoint list; raises StoreError."""
