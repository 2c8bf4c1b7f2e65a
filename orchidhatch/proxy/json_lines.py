"""JSON values from the lines of a stream, each on one line or indented over several."""

import json
import re
from collections.abc import Callable
from typing import Any

MAX_VALUE_BYTES = 1 << 22
"""Of one value, whether it stands on one line or on several."""

JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
"""A string of JSON, which never goes on over the end of a line."""


class JsonLineReader:
    """Puts JSON values together from lines; `take` gets each value that is whole."""

    def __init__(self, take: Callable[[Any], None]) -> None:
        self.take = take
        self.lines: list[bytes] = []
        """Of a value that is not whole."""
        self.size = 0
        self.depth = 0
        """Brackets that are open."""

    def feed(self, line: bytes) -> None:
        """Take a line that is not empty. Raises ValueError where the value is malformed or too large."""
        if not self.lines and self._take_one_line_value(line):
            return
        bare = JSON_STRING.sub(b"", line)
        self.depth += bare.count(b"{") + bare.count(b"[")
        self.depth -= bare.count(b"}") + bare.count(b"]")
        self.lines.append(line)
        self.size += len(line)
        if self.size > MAX_VALUE_BYTES:
            raise ValueError("a value without an end")
        if self.depth <= 0:
            text = b"\n".join(self.lines)
            self.lines = []
            self.size = 0
            self.take(json.loads(text))

    def _take_one_line_value(self, line: bytes) -> bool:
        """Take a value that stands on one line; False if the line is only the first of a value."""
        try:
            value = json.loads(line)
        except json.JSONDecodeError as error:
            if error.pos < len(error.doc.rstrip()):
                raise
            return False
        self.take(value)
        return True
