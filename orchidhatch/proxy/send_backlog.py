"""The bound on the bytes that wait in this process for slow clients."""

# The program itself needs up to 16 MB, and there may be two of it during a handover.
PROGRAM_MEMORY_MB = 32
# Each of two processes may use a third of the rest.
BACKLOG_MEMORY_DIVISOR = 3
MIN_BACKLOG_BYTES = 1 << 20
# Short answers are whole when they come, and cannot be paused: past this many limits the slowest client goes.
SHED_LIMITS = 2


class SendBacklog:
    """Bytes that wait for clients, in all connections.

    Up to `limit_bytes` long values are read ahead of slow clients, as a backend's attempt is out until its
    value is read.
    """

    def __init__(self) -> None:
        self.limit_bytes = MIN_BACKLOG_BYTES
        self.unsent_bytes = 0

    def set_memory(self, memory_mb: int) -> None:
        """Set the limit by the memory of the gateway, in MB."""
        spare_bytes = (memory_mb - PROGRAM_MEMORY_MB) * (1 << 20)
        self.limit_bytes = max(MIN_BACKLOG_BYTES, spare_bytes // BACKLOG_MEMORY_DIVISOR)

    def is_over_limit(self) -> bool:
        """Whether long values have to be paused."""
        return self.unsent_bytes > self.limit_bytes

    def shed_limit_bytes(self) -> int:
        """How many bytes may wait before the slowest clients are closed."""
        return SHED_LIMITS * self.limit_bytes
