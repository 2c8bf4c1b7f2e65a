"""The open requests of a server of the control plane, and counts of its responses."""

from orchidhatch.control.http_connection import Connection


class RequestStatistics:
    """Counts since the server's start. `open` has the connections other than watches."""

    def __init__(self) -> None:
        self.open: set[Connection] = set()
        self.rejected = 0  # because a limit was exceeded
        self.count_by_status: dict[int, int] = {}

    def count_response(self, status: int) -> None:
        """Count a response by its status."""
        self.count_by_status[status] = self.count_by_status.get(status, 0) + 1
