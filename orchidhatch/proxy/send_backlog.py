"""The limit on the bytes that wait in this process for slow clients."""

# A process needs up to 16 MB without buffers, and two processes run during a handover.
PROGRAM_MEMORY_MB = 32
# Each of the two processes may use a third of the remaining memory.
BACKLOG_MEMORY_DIVISOR = 3
MIN_BACKLOG_BYTES = 1 << 20
# Short answers arrive complete and cannot be paused, so the backlog may exceed its limit. Above this multiple
# of the limit the slowest clients are closed.
SHED_LIMIT_FACTOR = 2


class SendBacklog:
    """The unsent bytes of all client connections.

    Long values are read ahead of slow clients up to `limit_bytes`, as an attempt stays in flight until its
    value is read.
    """

    def __init__(self) -> None:
        self.limit_bytes = MIN_BACKLOG_BYTES
        self.unsent_bytes = 0

    def set_memory(self, memory_mb: int) -> None:
        """Set the limit from the gateway's memory, in MB."""
        spare_bytes = (memory_mb - PROGRAM_MEMORY_MB) * (1 << 20)
        self.limit_bytes = max(MIN_BACKLOG_BYTES, spare_bytes // BACKLOG_MEMORY_DIVISOR)

    def is_over_limit(self) -> bool:
        """Return whether streamed values must be paused."""
        return self.unsent_bytes > self.limit_bytes

    def shed_limit_bytes(self) -> int:
        """Return the number of unsent bytes above which the slowest clients are closed."""
        return SHED_LIMIT_FACTOR * self.limit_bytes
