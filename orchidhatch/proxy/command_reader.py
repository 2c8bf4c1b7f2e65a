"""Parses RESP commands, which are arrays of bulk strings, from a client's byte stream."""

from collections.abc import Iterator

from orchidhatch.proxy.resp import ProtocolError

# The gateway's commands have at most five arguments.
MAX_ARGUMENTS = 16
MAX_BULK_STRING_BYTES = 64 * 1024
MAX_COMMAND_BYTES = MAX_BULK_STRING_BYTES + 4096
# A line such as `*3`, including the type byte and the line end.
MAX_LENGTH_LINE_BYTES = 16
MAX_LENGTH_DIGITS = 12
LINE_END = b"\r\n"


class CommandReader:
    """Splits a byte stream into commands; `buffer` holds what no command has consumed."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._needed_bytes = 0
        """The command cannot be complete while the buffer has fewer bytes."""

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Add received bytes and yield the arguments of each complete command, except empty ones.

        Raises ProtocolError.
        """
        self.append(data)
        while (arguments := self.next_command()) is not None:
            if arguments:
                yield arguments

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def may_have_command(self) -> bool:
        """Return whether the buffer may hold a complete command."""
        return bool(self.buffer) and len(self.buffer) >= self._needed_bytes

    def next_command(self) -> list[bytes] | None:
        """Remove and return the next command's arguments, None if the buffer holds no complete command.

        Raises ProtocolError if the bytes are not the start of a command of allowed size.
        """
        command = self._read_command() if len(self.buffer) >= self._needed_bytes else None
        if command is None:
            if len(self.buffer) > MAX_COMMAND_BYTES:
                raise ProtocolError("too big a command")
            return None
        arguments, end = command
        del self.buffer[:end]
        self._needed_bytes = 0
        return arguments

    def _read_command(self) -> tuple[list[bytes], int] | None:
        """Return the arguments and the end of the command in the buffer, None if it is incomplete."""
        array_header = self._read_length(0, b"*", MAX_ARGUMENTS)
        if array_header is None:
            return None
        count, position = array_header
        arguments = []
        for _ in range(count):
            bulk_string = self._read_bulk_string(position)
            if bulk_string is None:
                return None
            argument, position = bulk_string
            arguments.append(argument)
        return arguments, position

    def _read_bulk_string(self, position: int) -> tuple[bytes, int] | None:
        """Return the bulk string at `position` and its end, None if it is incomplete."""
        header = self._read_length(position, b"$", MAX_BULK_STRING_BYTES)
        if header is None:
            return None
        size, start = header
        end = start + size
        line_end = end + len(LINE_END)
        if len(self.buffer) < line_end:
            self._needed_bytes = line_end
            return None
        if self.buffer[end:line_end] != LINE_END:
            raise ProtocolError("a bulk string is longer than it says")
        return bytes(self.buffer[start:end]), line_end

    def _read_length(self, position: int, type_byte: bytes, maximum: int) -> tuple[int, int] | None:
        """Return the number in the line at `position` and the line's end, None if it is incomplete."""
        if len(self.buffer) <= position:
            return None
        digits_start = position + 1
        if self.buffer[position:digits_start] != type_byte:
            raise ProtocolError(f"expected '{type_byte.decode()}'")
        max_line_end = position + MAX_LENGTH_LINE_BYTES
        line_end = self.buffer.find(LINE_END, position, max_line_end)
        if line_end < 0:
            self._check_partial_length(self.buffer[digits_start:max_line_end])
            return None
        digits = self.buffer[digits_start:line_end]
        if not digits.isdigit():
            raise ProtocolError("invalid length")
        length = int(digits)
        if length > maximum:
            raise ProtocolError("too long")
        return length, line_end + len(LINE_END)

    def _check_partial_length(self, line: bytearray) -> None:
        """Raise ProtocolError unless `line` is a valid start of a length line."""
        digits = line.removesuffix(b"\r")
        is_number = not digits or digits.isdigit()
        if not is_number or len(digits) > MAX_LENGTH_DIGITS:
            raise ProtocolError("invalid length")
