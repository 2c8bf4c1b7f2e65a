"""The requests that a server of the control plane has open, and how it answered the others."""

from orchidhatch.control.http_connection import Connection


class RequestStatistics:
    """Counted since the server's start. `open` are the connections that are no watches."""

    def __init__(self) -> None:
        self.open: set[Connection] = set()
        self.rejected = 0  # over a limit
        self.count_by_status: dict[int, int] = {}

    def count_response(self, status: int) -> None:
        """Count a response by its status."""
        self.count_by_status[status] = self.count_by_status.get(status, 0) + 1
