"""The answers of one client connection that are in memory until the client has taken them."""

from orchidhatch.proxy.send_backlog import SendBacklog


class UnsentAnswers:
    """Measures the memory of a connection's answers, and whether its client takes any of them.

    `queued_bytes` are ready and not yet handed to the transport. `memory_bytes` is what was last measured and
    is counted in the backlog of all connections. `last_progress_s` is when the client last took some bytes,
    in seconds of the owner's clock.
    """

    __slots__ = (
        "_backlog",
        "_piece_bytes",
        "_written_bytes",
        "last_progress_s",
        "memory_bytes",
        "queued_bytes",
    )

    def __init__(self, backlog: SendBacklog) -> None:
        self._backlog = backlog
        self._piece_bytes = 0
        """Size of the last piece handed to the transport, which is freed when all of it is sent."""
        self._written_bytes = 0
        """Bytes in the transport's write buffer, as last measured."""
        self.queued_bytes = 0
        self.memory_bytes = 0
        self.last_progress_s = 0.0

    def note_written(self, piece_bytes: int) -> None:
        """Record that a queued piece was handed to the transport."""
        self.queued_bytes -= piece_bytes
        self._piece_bytes = piece_bytes

    def measure(self, write_buffer_bytes: int, now_s: float) -> None:
        """Count the queued bytes and the transport's write buffer, which keeps its last piece whole."""
        if write_buffer_bytes < self._written_bytes or not self._written_bytes:
            self.last_progress_s = now_s
        self._written_bytes = write_buffer_bytes
        buffer_memory_bytes = max(write_buffer_bytes, self._piece_bytes) if write_buffer_bytes else 0
        self._count(self.queued_bytes + buffer_memory_bytes)

    def discard(self) -> None:
        """Count nothing any more, as the connection is lost or is being closed at once."""
        self._written_bytes = 0
        self._count(0)

    def _count(self, memory_bytes: int) -> None:
        has_shrunk = memory_bytes < self.memory_bytes
        self._backlog.unsent_bytes += memory_bytes - self.memory_bytes
        self.memory_bytes = memory_bytes
        if has_shrunk:
            self._backlog.resume_waiting()

    def is_awaiting_client(self) -> bool:
        """Return whether bytes wait for the client to read, and not for an earlier answer."""
        return bool(self.memory_bytes and self._written_bytes)
