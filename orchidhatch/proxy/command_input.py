"""The unprocessed input of one client connection, counted in the total of all connections."""

from collections.abc import Callable
from typing import Protocol

from orchidhatch.proxy.client_metrics import ClientMetrics
from orchidhatch.proxy.command_reader import CommandReader

# A client may take 2 s to send a command and must get an error line or a close within 3 s.
COMMAND_TIMEOUT_S = 2.4


class InputOwner(Protocol):
    """The set of client connections, with the totals of their input."""

    metrics: ClientMetrics
    clock: Callable[[], float]
    max_partial_command_bytes: int
    partial_command_bytes: int

    def elapsed_us(self, since_s: float) -> int:
        """Return the microseconds since a time of `clock`."""

    def schedule_sweep(self) -> None:
        """Schedule a check for connections to be closed or resumed on a time limit."""


class CommandInput:
    """The bytes that were read from a client and not processed yet; times are of the owner's clock."""

    __slots__ = ("_counted_bytes", "_owner", "command_deadline_s", "has_commands", "reader")

    def __init__(self, owner: InputOwner) -> None:
        self._owner = owner
        self._counted_bytes = 0
        """Unprocessed bytes, as counted by the owner."""
        self.reader = CommandReader()
        self.has_commands = False
        """Whether further commands may be complete; otherwise any input is the beginning of one."""
        self.command_deadline_s: float | None = None
        """When the awaited command must be complete; None if none is awaited."""

    def __bool__(self) -> bool:
        return bool(self.reader.buffer)

    def append(self, data: bytes) -> None:
        """Add bytes that were read."""
        self.reader.append(data)
        self.has_commands = True

    def next_command(self) -> list[bytes] | None:
        """Remove and return the next command's arguments; None if no further command is complete.

        A command without arguments is an empty list. Raises ProtocolError.
        """
        arguments = self.reader.next_command()
        if arguments is None:
            if self.reader.buffer and self.command_deadline_s is None:
                self.await_command()
        elif arguments and self.command_deadline_s is not None:
            self._end_command_wait()
        self.has_commands = arguments is not None and bool(self.reader.buffer)
        return arguments

    def clear(self) -> None:
        """Drop all input, as no further command is processed."""
        self.reader.buffer.clear()
        self.has_commands = False
        self.count()

    # --- memory ---

    def exceeds_memory(self) -> bool:
        """Return whether the incomplete command exceeds the memory for the input of all connections."""
        if self.has_commands:
            return False
        others_bytes = self._owner.partial_command_bytes - self._counted_bytes
        return others_bytes + len(self.reader.buffer) > self._owner.max_partial_command_bytes

    def count(self) -> None:
        """Update the owner's total."""
        unprocessed_bytes = len(self.reader.buffer)
        if unprocessed_bytes == self._counted_bytes:
            return
        self._owner.partial_command_bytes += unprocessed_bytes - self._counted_bytes
        self._counted_bytes = unprocessed_bytes

    # --- the timeout of a command ---

    def await_command(self) -> None:
        """Wait for a command from now on."""
        self.command_deadline_s = self._owner.clock() + COMMAND_TIMEOUT_S
        self._owner.schedule_sweep()

    def awaiting_since_s(self) -> float | None:
        """Return since when a command is awaited, None if none is."""
        if self.command_deadline_s is None:
            return None
        return self.command_deadline_s - COMMAND_TIMEOUT_S

    def _end_command_wait(self) -> None:
        self._owner.metrics.partial_waits.note(self._owner.elapsed_us(self.awaiting_since_s()))
        self.command_deadline_s = None

    def is_command_overdue(self, now_s: float) -> bool:
        """Return whether a command is awaited and its time is over."""
        return self.command_deadline_s is not None and now_s >= self.command_deadline_s
