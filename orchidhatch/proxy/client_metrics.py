"""Metrics of all client connections since the process start."""

from collections import Counter

from orchidhatch.proxy.connection_state import CloseReason
from orchidhatch.proxy.wait_queues import WaitHistogram


class ClientMetrics:
    """Counts of closes, errors and waits of client connections."""

    def __init__(self) -> None:
        self.closes: Counter[CloseReason] = Counter()
        """Connections closed by the gateway."""
        self.unread_waits = WaitHistogram()
        """Times for which reading from a client was paused."""
        self.partial_waits = WaitHistogram()
        """Times for which a command was awaited."""
        self.unsent_waits = WaitHistogram()
        """Times for which writing to a client was paused."""
        self.malformed_commands = 0
        """Commands that were answered with an error."""
        self.malformed_streams = 0
        """Connections closed because of a protocol error."""
        self.refused_commands = 0
        """Incomplete commands that were refused for lack of memory."""
        self.evictions = 0
        """New connections over the connection limit, each of which cost an idle connection or was closed."""
        self.command_timeouts = 0
        """Connections closed because no command arrived in time."""
        self.slow_readers = 0
        """Connections closed because their client read nothing."""
