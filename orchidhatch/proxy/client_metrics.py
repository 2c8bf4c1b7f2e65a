"""What is counted of all client connections since the start."""

from collections import Counter

from orchidhatch.proxy.connection_state import CloseReason
from orchidhatch.proxy.wait_queues import WaitHistogram


class ClientMetrics:
    """Counts of closes, errors and waits of client connections."""

    def __init__(self) -> None:
        self.closes: Counter[CloseReason] = Counter()
        """Connections closed by the gateway."""
        self.unread_waits = WaitHistogram()
        """How long reading from a client was paused."""
        self.partial_waits = WaitHistogram()
        """How long a command was awaited."""
        self.unsent_waits = WaitHistogram()
        """How long writing to a client was paused."""
        self.malformed_commands = 0
        """Commands that got an error."""
        self.malformed_streams = 0
        """Connections that ended over bytes that are no command."""
        self.evictions = 0
        """Connections that ended for want of room."""
        self.command_timeouts = 0
        """Connections that ended as no command came in time."""
        self.slow_readers = 0
        """Connections that ended as their client read nothing."""
