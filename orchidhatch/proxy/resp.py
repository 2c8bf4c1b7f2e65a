"""Parsing of RESP2 replies, in which each stated size is checked before memory is allocated for it."""

import re

MAX_LINE_BYTES = 1024
"""The longest line; an error line with a load report is shorter."""
MAX_ELEMENTS = 16
"""Elements of an array; a backend's reply has three."""
MAX_DEPTH = 2
"""Levels of nested arrays."""
MAX_LENGTH_DIGITS = 12

ELEMENT_TYPES = b"-+:$*"
"""The first bytes of elements, in the order of the following names."""
ERROR, SIMPLE_STRING, INTEGER, BULK_STRING, ARRAY = ELEMENT_TYPES

VALUE_HEAD = re.compile(rb"\*([1-9]|1[0-6])\r\n\$([1-9][0-9]{0,6})\r\n")
"""The beginning of a reply whose first element is a bulk string: the element count and the string's size."""


class ProtocolError(Exception):
    """Data that is not RESP or exceeds a limit; the connection cannot be used any further."""


class ReplyError(str):
    """An error line of a backend."""


class ReplyLine(bytes):
    """A simple string or an integer of a backend, as its line says it; it is not a bulk string."""


INCOMPLETE = object()
"""Stands for an element that has not arrived completely."""


def parse_length(digits: bytes | bytearray, maximum: int) -> int:
    """Parse a length. Raises ProtocolError if it is not a number or above `maximum`."""
    if not digits.isdigit():
        raise ProtocolError("length is not a number")
    if len(digits) > MAX_LENGTH_DIGITS or int(digits) > maximum:
        raise ProtocolError("length exceeds the limit")
    return int(digits)


class IncompleteArray:
    """An array of which some elements have not arrived yet."""

    __slots__ = ("elements", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.elements: list[object] = []


class ReplyParser:
    """Parses one reply at the beginning of a buffer that grows at its end.

    Complete elements are not parsed again when more bytes arrive, so the time is linear in the reply's
    length, whatever the pieces in which it comes. `position` is the end of what was parsed.
    """

    __slots__ = ("_arrays", "_max_value_bytes", "position")

    def __init__(self, max_value_bytes: int) -> None:
        self._max_value_bytes = max_value_bytes
        self._arrays: list[IncompleteArray] = []
        """The array that the next element belongs to, after those that it is nested in."""
        self.position = 0

    def parse(self, buffer: bytearray) -> object:
        """Return the reply, with each bulk string copied out of the buffer, or INCOMPLETE.

        Raises ProtocolError.
        """
        arrays = self._arrays
        while True:
            element = self._next_element(buffer)
            if element is INCOMPLETE:
                return INCOMPLETE
            if type(element) is IncompleteArray and element.size:
                arrays.append(element)
                continue
            while arrays:
                array = arrays[-1]
                array.elements.append(element)
                if len(array.elements) < array.size:
                    break
                element = arrays.pop()
            if not arrays:
                return value_of(element, buffer)

    def _next_element(self, buffer: bytearray) -> object:
        """Return the element at `position` and advance; a bulk string as its range in the buffer."""
        position = self.position
        if len(buffer) <= position:
            return INCOMPLETE
        type_byte = buffer[position]
        if type_byte not in ELEMENT_TYPES:
            raise ProtocolError(f"unknown element type {bytes([type_byte])!r}")
        end = buffer.find(b"\r\n", position, position + MAX_LINE_BYTES)
        if end < 0:
            if len(buffer) - position >= MAX_LINE_BYTES:
                raise ProtocolError("line too long or not terminated")
            return INCOMPLETE
        line = buffer[position + 1 : end]
        start = end + 2
        is_null = line == b"-1"
        if type_byte == BULK_STRING and not is_null:
            return self._bulk_string(buffer, line, start)
        self.position = start
        if type_byte == ERROR:
            return ReplyError(line.decode(errors="replace"))
        if type_byte in (SIMPLE_STRING, INTEGER):
            return ReplyLine(line)
        if is_null:
            return None
        return self._array(line)

    def _bulk_string(self, buffer: bytearray, line: bytearray, start: int) -> object:
        end = start + parse_length(line, self._max_value_bytes)
        if len(buffer) < end + 2:
            return INCOMPLETE
        if buffer[end : end + 2] != b"\r\n":
            raise ProtocolError("bulk string not terminated at its stated length")
        self.position = end + 2
        return slice(start, end)

    def _array(self, line: bytearray) -> IncompleteArray:
        if len(self._arrays) >= MAX_DEPTH:
            raise ProtocolError("arrays nested too deeply")
        return IncompleteArray(parse_length(line, MAX_ELEMENTS))


def value_of(element: object, buffer: bytearray) -> object:
    """Return a complete element, with lists for its arrays and bulk strings for their ranges."""
    if type(element) is IncompleteArray:
        return [value_of(nested, buffer) for nested in element.elements]
    if type(element) is slice:
        return bytes(buffer[element])
    return element


class ReplyReader:
    """Reads one reply at a time from a stream of bytes.

    A value of up to `max_value_bytes` is kept whole; a longer one, up to `max_long_value_bytes`, is passed on
    in pieces. hiredis is not used, as it allocates as many elements as an array header states: traversing (by
    the garbage collector) and freeing the array of a malformed 12-byte reply takes seconds of CPU time.
    """

    def __init__(self, max_value_bytes: int, max_long_value_bytes: int = 0) -> None:
        self.max_value_bytes = max_value_bytes
        self.max_long_value_bytes = max_long_value_bytes
        self.buffer = bytearray()
        self.substitute_head = b""
        """Replaces the header of a long value that was passed on."""
        self._parser = ReplyParser(max_value_bytes)

    def feed(self, data: bytes) -> None:
        """Append bytes received from the connection."""
        self.buffer += data

    def has_data(self) -> bool:
        """Return whether there are bytes that no reply has consumed."""
        return bool(self.buffer)

    def begin_long_value(self) -> tuple[int, bytes] | None:
        """Return the size of a long value and its first piece, None if the reply does not begin with one.

        The value begins with its head, so the piece may be empty. After `end_long_value`, the rest of the
        reply is read by `next_reply`, as if the value were empty.
        """
        head = self._long_value_head()
        if not head:
            return None
        size = int(head[2])
        self.substitute_head = b"*%b\r\n$0\r\n" % head[1]
        first_piece = bytes(self.buffer[head.end() : head.end() + size])
        del self.buffer[: head.end() + size]
        self._parser = ReplyParser(self.max_value_bytes)
        return size, first_piece

    def end_long_value(self) -> None:
        """Record that the long value was passed on completely."""
        self.buffer[:0] = self.substitute_head

    def next_reply(self, incomplete: object) -> object:
        """Remove and return the next reply, or return `incomplete`. Raises ProtocolError."""
        reply = self._parser.parse(self.buffer)
        if reply is INCOMPLETE:
            return incomplete
        del self.buffer[: self._parser.position]
        self._parser = ReplyParser(self.max_value_bytes)
        return reply

    def _long_value_head(self) -> re.Match[bytes] | None:
        head = VALUE_HEAD.match(self.buffer)
        if head and self.max_value_bytes < int(head[2]) <= self.max_long_value_bytes:
            return head
        return None
