"""Splits a byte stream into lines of bounded length."""


class LineTooLongError(ValueError):
    """A line exceeds its maximum length; the stream cannot be read any further."""


class LineSplitter:
    """Assembles lines from the pieces of a stream, without searching earlier pieces again."""

    def __init__(self, max_line_bytes: int) -> None:
        self.max_line_bytes = max_line_bytes
        self.partial = bytearray()
        """The incomplete last line."""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the lines that are complete now, without their line ends.

        Raises LineTooLongError if a line, complete or not, is longer than `max_line_bytes`.
        """
        first, *others = bytes(data).split(b"\n")
        self.partial += first
        self._check_length(len(self.partial))
        if not others:
            return []
        lines = [bytes(self.partial), *others[:-1]]
        self.partial = bytearray(others[-1])
        for line in others:
            self._check_length(len(line))
        return lines

    def _check_length(self, size: int) -> None:
        if size > self.max_line_bytes:
            raise LineTooLongError("line too long or not terminated")
