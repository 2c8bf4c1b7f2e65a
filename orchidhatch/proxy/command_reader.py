"""Reads RESP commands, which are arrays of bulk strings, from a client's stream of bytes."""

from collections.abc import Iterator

from orchidhatch.proxy.resp import ProtocolError

# The gateway's own commands have five at most.
MAX_ARGUMENTS = 16
MAX_BULK_STRING_BYTES = 64 * 1024
MAX_COMMAND_BYTES = MAX_BULK_STRING_BYTES + 4096
# A line such as `*3`, with its mark and its end.
MAX_LENGTH_LINE_BYTES = 16
MAX_LENGTH_DIGITS = 12
LINE_END = b"\r\n"


class CommandReader:
    """Cuts a stream of bytes into commands; `buffer` holds the part of a command that has come so far."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Add received bytes; yield the arguments of each command that is complete now.

        Empty arrays are passed over. Raises ProtocolError for bytes that are not the beginning of a command
        of allowed size.
        """
        self.buffer += data
        position = 0
        try:
            while True:
                command = self._read_command(position)
                if command is None:
                    break
                arguments, position = command
                if arguments:
                    yield arguments
        finally:
            del self.buffer[:position]
        if len(self.buffer) > MAX_COMMAND_BYTES:
            raise ProtocolError("too big a command")

    def _read_command(self, position: int) -> tuple[list[bytes], int] | None:
        """The arguments of the command at `position` and where it ends; None if it is not complete."""
        array_head = self._read_length(position, b"*", MAX_ARGUMENTS)
        if array_head is None:
            return None
        count, position = array_head
        arguments = []
        for _ in range(count):
            bulk_string = self._read_bulk_string(position)
            if bulk_string is None:
                return None
            argument, position = bulk_string
            arguments.append(argument)
        return arguments, position

    def _read_bulk_string(self, position: int) -> tuple[bytes, int] | None:
        """The bulk string at `position` and where it ends; None if it is not complete."""
        head = self._read_length(position, b"$", MAX_BULK_STRING_BYTES)
        if head is None:
            return None
        size, start = head
        end = start + size
        line_end = end + len(LINE_END)
        if len(self.buffer) < line_end:
            return None
        if self.buffer[end:line_end] != LINE_END:
            raise ProtocolError("a bulk string is longer than it says")
        return bytes(self.buffer[start:end]), line_end

    def _read_length(self, position: int, mark: bytes, maximum: int) -> tuple[int, int] | None:
        """The number in the line at `position`, and where the line ends; None if it is not complete."""
        if len(self.buffer) <= position:
            return None
        digits_start = position + 1
        if self.buffer[position:digits_start] != mark:
            raise ProtocolError(f"expected '{mark.decode()}'")
        longest_end = position + MAX_LENGTH_LINE_BYTES
        line_end = self.buffer.find(LINE_END, position, longest_end)
        if line_end < 0:
            self._check_partial_length(self.buffer[digits_start:longest_end])
            return None
        digits = self.buffer[digits_start:line_end].removesuffix(b"\r")
        if not digits.isdigit():
            raise ProtocolError("invalid length")
        length = int(digits)
        if length > maximum:
            raise ProtocolError("too long")
        return length, line_end + len(LINE_END)

    def _check_partial_length(self, line: bytearray) -> None:
        """Raise ProtocolError unless `line` may be the beginning of a length's digits and line end."""
        digits = line.removesuffix(b"\r")
        is_number = not digits or digits.isdigit()
        if not is_number or len(digits) > MAX_LENGTH_DIGITS:
            raise ProtocolError("invalid length")
