"""JSON values read from the lines of a stream, each on one line or indented over several."""

import json
import re
from collections.abc import Callable
from typing import Any

MAX_VALUE_BYTES = 1 << 22
"""The largest value, whether on one line or on several."""

JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"?')
"""A JSON string, which cannot span lines; an unterminated one extends to the end of the line.

Without backtracking, and with a match for each quote, it takes time linear in the length of the line.
"""


class JsonLineReader:
    """Assembles JSON values from lines; `on_value` is called with each complete value."""

    def __init__(self, on_value: Callable[[Any], None]) -> None:
        self.on_value = on_value
        self.lines: list[bytes] = []
        """The lines of an incomplete value."""
        self.size = 0
        self.depth = 0
        """The number of open brackets."""

    def feed(self, line: bytes) -> None:
        """Process a non-empty line. Raises ValueError if the value is malformed or too large."""
        if not self.lines and self._handle_one_line_value(line):
            return
        unquoted = JSON_STRING.sub(b"", line)
        self.depth += unquoted.count(b"{") + unquoted.count(b"[")
        self.depth -= unquoted.count(b"}") + unquoted.count(b"]")
        self.lines.append(line)
        self.size += len(line)
        if self.size > MAX_VALUE_BYTES:
            raise ValueError("JSON value is too large or never ends")
        if self.depth <= 0:
            text = b"\n".join(self.lines)
            self.lines = []
            self.size = 0
            self.on_value(json.loads(text))

    def _handle_one_line_value(self, line: bytes) -> bool:
        """Handle a value that is on one line; return False if the line only begins a value."""
        try:
            value = json.loads(line)
        except json.JSONDecodeError as error:
            if error.pos < len(error.doc.rstrip()):
                raise
            return False
        self.on_value(value)
        return True
