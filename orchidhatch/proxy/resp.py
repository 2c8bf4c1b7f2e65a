"""Reading RESP2 replies: every claim of a size is checked before memory is allocated for it."""

import re

MAX_LINE_BYTES = 1024
"""An error line with a load report is shorter."""
MAX_ELEMENTS = 16
"""Of an array; a backend's reply has three."""
MAX_DEPTH = 2
"""Of arrays in arrays."""
MAX_LENGTH_DIGITS = 12

VALUE_HEAD = re.compile(rb"\*([1-9]|1[0-6])\r\n\$([1-9][0-9]{0,6})\r\n")
"""The begin of a reply whose first element is a bulk string: the number of elements, the string's size."""


class ProtocolError(Exception):
    """What came is not RESP, or not of a form and size that is accepted here; the connection cannot go on."""


class ReplyError(str):
    """An error line that a backend replied with."""


def parse_length(digits: bytes | bytearray, maximum: int) -> int:
    """The number of a length. Raises ProtocolError where it is no number, or above the maximum."""
    if not digits.isdigit():
        raise ProtocolError("invalid length")
    if len(digits) > MAX_LENGTH_DIGITS or int(digits) > maximum:
        raise ProtocolError("too long")
    return int(digits)


class ReplyReader:
    """Reads one reply at a time from a stream of bytes.

    A value of up to `max_value` bytes is kept whole; a longer one, of up to `max_long_value`, is handed on as
    it comes. Not hiredis, which allocates as many elements as an array's head claims: a broken reply of
    12 bytes costs seconds of CPU when its array is traversed by collections and freed.
    """

    def __init__(self, max_value: int, max_long_value: int = 0) -> None:
        self.max_value = max_value
        self.max_long_value = max_long_value
        self.buffer = bytearray()
        self.substitute_head = b""
        """Stands for the head of a long value that was handed on."""

    def feed(self, data: bytes) -> None:
        """Add what was read from the connection."""
        self.buffer += data

    def has_data(self) -> bool:
        """Whether bytes are left that belong to no reply yet."""
        return bool(self.buffer)

    def begin_long(self) -> tuple[int, bytes] | None:
        """The size of a value that is too long to be kept whole, and what has come of it; else None.

        It is taken off the stream once any of it is here. Its end and the rest of the reply are read by
        `gets` after `end_long`, as though the value had been empty.
        """
        head = self._long_value_head()
        if not head or len(self.buffer) == head.end():
            return None
        size = int(head[2])
        self.substitute_head = b"*%b\r\n$0\r\n" % head[1]
        first_piece = bytes(self.buffer[head.end() : head.end() + size])
        del self.buffer[: head.end() + size]
        return size, first_piece

    def end_long(self) -> None:
        """Note that the long value was handed on whole."""
        self.buffer[:0] = self.substitute_head

    def gets(self, incomplete: object) -> object:
        """The next reply, taken off the stream, or `incomplete`. Raises ProtocolError."""
        if self._long_value_head():
            return incomplete  # its value begins with the next byte
        found = self._element(0, MAX_DEPTH)
        if found is None:
            return incomplete
        reply, end = found
        del self.buffer[:end]
        return reply

    def _long_value_head(self) -> re.Match[bytes] | None:
        head = VALUE_HEAD.match(self.buffer)
        if head and self.max_value < int(head[2]) <= self.max_long_value:
            return head
        return None

    def _element(self, at: int, depth: int) -> tuple[object, int] | None:
        """An element and where the next one begins; None if it is not whole."""
        if len(self.buffer) <= at:
            return None
        mark = self.buffer[at : at + 1]
        if mark not in b"-+:$*":
            raise ProtocolError(f"no element begins with {bytes(mark)!r}")
        end = self.buffer.find(b"\r\n", at, at + MAX_LINE_BYTES)
        if end < 0:
            if len(self.buffer) - at >= MAX_LINE_BYTES:
                raise ProtocolError("a line without an end")
            return None
        line = self.buffer[at + 1 : end]
        start = end + 2
        if mark == b"-":
            return ReplyError(line.decode(errors="replace")), start
        if mark in b"+:":
            return bytes(line), start
        if line == b"-1":
            return None, start
        if mark == b"$":
            return self._bulk_string(line, start)
        return self._array(line, start, depth)

    def _bulk_string(self, line: bytearray, start: int) -> tuple[bytes, int] | None:
        end = start + parse_length(line, self.max_value)
        if len(self.buffer) < end + 2:
            return None
        if self.buffer[end : end + 2] != b"\r\n":
            raise ProtocolError("a bulk string is longer than it says")
        return bytes(self.buffer[start:end]), end + 2

    def _array(self, line: bytearray, start: int, depth: int) -> tuple[list[object], int] | None:
        if depth <= 0:
            raise ProtocolError("too deep an array")
        elements: list[object] = []
        for _ in range(parse_length(line, MAX_ELEMENTS)):
            found = self._element(start, depth - 1)
            if found is None:
                return None
            element, start = found
            elements.append(element)
        return elements, start
