"""Connection affinity: prefers servers with an open connection when attempts are sparse.

If evenly spread attempts would use a connection less than twice before it is closed as idle, most of them
have to open a new one. Source: the settings' `conn_idle_us`; DESIGN leaves the choice of server to the
implementation.
"""

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.server_index import ServerIndex
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.times import S

MIN_USES_PER_CONNECTION = 2
# Less than the cost of one more attempt in flight, which is 2.
NEW_CONNECTION_COST = 1.5


class ConnectionAffinity:
    """Decides whether servers with an open connection are preferred, and finds these servers."""

    def __init__(self, context: DecisionContext, index: ServerIndex) -> None:
        self.context = context
        self.index = index
        self.is_preferred = False
        # How long after an answer a connection is assumed to be open.
        self.reuse_window_us = context.settings.conn_idle_us / 2

    def end_period(self, attempts_per_s: float, server_count: int) -> None:
        """Decide from a control period's rate of first attempts whether connected servers are preferred."""
        attempts_per_window = attempts_per_s * self.reuse_window_us / S
        self.is_preferred = attempts_per_window < MIN_USES_PER_CONNECTION * server_count

    def has_connection(self, server: ServerRecord) -> bool:
        """Return whether a connection to the server is assumed to be open."""
        if server.in_flight:
            return True
        return self.context.now_us - server.last_answer_us < self.reuse_window_us

    def connected(self) -> list[ServerRecord]:
        """Return the servers up that are assumed to have an open connection, in the order of the list."""
        return self.index.connected_since(self.context.now_us - self.reuse_window_us)

    def connection_cost(self, server: ServerRecord) -> float:
        """Return the factor by which opening a connection raises the expected cost of a server."""
        if self.is_preferred and not self.has_connection(server):
            return NEW_CONNECTION_COST
        return 1.0
