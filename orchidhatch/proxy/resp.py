"""Reading RESP2 that others wrote: every claim of a size is checked before room is made for it."""

import re

MOST_LINE = 1024  # bytes: an error with a load report, with room to spare
MOST_ELEMENTS, MOST_DEPTH = 16, 2  # of a backend's answer; ours are flat and have three


LONG_VALUE = re.compile(rb"\*([1-9]|1[0-6])\r\n\$([1-9][0-9]{0,6})\r\n")


class ProtocolError(Exception):
    """What came is not RESP, or not of a form and size that is taken here; the connection cannot go on."""


class ReplyError(str):
    """An error line that a backend answered."""


def size(digits: bytes | bytearray, most: int) -> int:
    """The number of a length; what is above `most` is an error, however many digits it has."""
    if not digits.isdigit():
        raise ProtocolError("invalid length")
    if len(digits) > 12 or int(digits) > most:
        raise ProtocolError("too long")
    return int(digits)


class ReplyReader:
    """Reads one answer at a time from a stream of bytes.

    Not hiredis, which makes room for as many elements as an array's head claims: a broken answer of
    12 bytes costs seconds of CPU when its array is traversed by collections and freed.
    """

    def __init__(self, most_value: int, most_long: int = 0) -> None:
        self.most_value, self.most_long, self.buffer = most_value, most_long, bytearray()
        self.after = b""  # the head that stands for that of a long value

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def has_data(self) -> bool:
        return bool(self.buffer)

    def long_head(self) -> re.Match[bytes] | None:
        head = LONG_VALUE.match(self.buffer)
        return head if head and self.most_value < int(head[2]) <= self.most_long else None

    def begin_long(self) -> tuple[int, bytes] | None:
        """The size of a value that is too long to be kept whole, and what has come of it; else None.

        It is taken off the stream once any of it is here. Its end and the rest of the answer are read by
        `gets` after `end_long`, as though the value had been empty.
        """
        head = self.long_head()
        if not head or len(self.buffer) == head.end():
            return None
        size, self.after = int(head[2]), b"*%b\r\n$0\r\n" % head[1]
        first = bytes(self.buffer[head.end() : head.end() + size])
        del self.buffer[: head.end() + size]
        return size, first

    def end_long(self) -> None:
        self.buffer[:0] = self.after

    def gets(self, incomplete: object) -> object:
        """The next answer, taken off the stream, or `incomplete`."""
        if self.long_head():
            return incomplete  # its value begins with the next byte
        found = self.element(0, MOST_DEPTH)
        if found is None:
            return incomplete
        reply, end = found
        del self.buffer[:end]
        return reply

    def element(self, at: int, depth: int) -> tuple[object, int] | None:
        """An element and where the next one begins; None if it is not whole."""
        if len(self.buffer) <= at:
            return None
        mark = self.buffer[at : at + 1]
        if mark not in b"-+:$*":
            raise ProtocolError(f"no element begins with {bytes(mark)!r}")
        end = self.buffer.find(b"\r\n", at, at + MOST_LINE)
        if end < 0:
            if len(self.buffer) - at >= MOST_LINE:
                raise ProtocolError("a line without an end")
            return None
        line, start = self.buffer[at + 1 : end], end + 2
        if mark == b"-":
            return ReplyError(line.decode(errors="replace")), start
        if mark in b"+:":
            return bytes(line), start
        if line == b"-1":
            return None, start
        return self.bulk(line, start) if mark == b"$" else self.array(line, start, depth)

    def bulk(self, line: bytearray, start: int) -> tuple[bytes, int] | None:
        end = start + size(line, self.most_value)
        if len(self.buffer) < end + 2:
            return None
        if self.buffer[end : end + 2] != b"\r\n":
            raise ProtocolError("a bulk string is longer than it says")
        return bytes(self.buffer[start:end]), end + 2

    def array(self, line: bytearray, start: int, depth: int) -> tuple[list[object], int] | None:
        if depth <= 0:
            raise ProtocolError("too deep an array")
        elements: list[object] = []
        for _ in range(size(line, MOST_ELEMENTS)):
            found = self.element(start, depth - 1)
            if found is None:
                return None
            element, start = found
            elements.append(element)
        return elements, start
