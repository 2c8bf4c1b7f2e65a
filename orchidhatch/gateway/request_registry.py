"""The registry of in-flight requests, and how much of the gateway's capacity for them is in use."""

from collections.abc import Iterator

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest


class RequestRegistry:
    """The in-flight requests by id; those whose clients still wait for an answer are *open*.

    A request that is no longer open stays registered until its last attempt has ended.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.by_id: dict[str, InFlightRequest] = {}
        self.open_count = 0
        self.open_bytes = 0

    def __len__(self) -> int:
        return len(self.by_id)

    def __iter__(self) -> Iterator[InFlightRequest]:
        return iter(self.by_id.values())

    def get(self, request_id: str) -> InFlightRequest | None:
        """Return the request with that id; None if it is not in flight."""
        return self.by_id.get(request_id)

    def has_capacity_for(self, size_bytes: int) -> bool:
        """Return whether one more request of that size may be open; a limit of 0 means unlimited."""
        settings = self.context.settings
        if 0 < settings.max_open_requests <= self.open_count:
            return False
        return settings.max_open_bytes <= 0 or settings.max_open_bytes - self.open_bytes >= size_bytes

    def add(self, request: InFlightRequest) -> None:
        """Register a request that has arrived, as open."""
        self.by_id[request.id] = request
        self.open_count += 1
        self.open_bytes += request.size_bytes

    def close(self, request: InFlightRequest) -> None:
        """Mark the request as no longer open."""
        if request.is_closed:
            return
        request.is_closed = True
        self.open_count -= 1
        self.open_bytes -= request.size_bytes

    def remove(self, request: InFlightRequest) -> None:
        """Remove a request that has no attempts in flight."""
        self.by_id.pop(request.id, None)
