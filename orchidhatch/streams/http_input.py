"""Feeds HTTP/1.1 input to h11 so that parsing takes time linear in its length.

h11 matches each header line against a pattern that allows white space on both sides of the value. If the
line cannot match, because of a character that is not allowed in it, the time for a run of white space grows
with the square of its length. h11's own limit is applied to incomplete heads only. So heads are checked for
their length and for these characters before h11 gets them, and trailers, which h11 parses alike, are kept
short.
"""

import re

import h11

MAX_RESPONSE_HEAD_BYTES = 16 * 1024
"""The longest head of a response that the clients of a watch accept."""
BODY_SLICE_BYTES = 64 * 1024
"""The most bytes of a body that are parsed at once."""
TRAILER_SLICE_BYTES = 1024
"""The same where a trailer may begin, and the longest trailer."""

FORBIDDEN_IN_HEAD = re.compile(rb"[\x00\x0b\x0c]|\r[^\n]")
"""What h11 accepts in no line of a head."""
BLANK_LINE = re.compile(rb"\n\r?\n")
LAST_CHUNK = re.compile(rb"\n0")
"""The beginning of the line that may be the header of the last chunk, before the trailer."""
BLANK_LINE_CARRY_BYTES = 2

HEAD_STATES = (h11.IDLE, h11.SEND_RESPONSE)
"""The states of the sending side in which it sends the head of a request or response."""


class HttpInput:
    """The received bytes of one HTTP connection, which `http` parses piece by piece."""

    def __init__(self, http: h11.Connection, max_head_bytes: int) -> None:
        self._http = http
        self._max_head_bytes = max_head_bytes
        self._pending = bytearray()
        self._is_eof = False
        self._head_bytes = 0
        """Bytes of the current head that were passed to h11."""
        self._framing_bytes = 0
        """The most bytes that h11 may hold of a chunk's header or a trailer."""
        self._trailer_bytes = 0
        """The same of a trailer that began in the last piece."""
        self._carry = b"\n"
        """The last bytes that were passed to h11."""

    def receive_data(self, data: bytes) -> None:
        """Add received bytes; no bytes mean that the peer has closed its side."""
        self._pending += data
        self._is_eof = self._is_eof or not data

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event, or NEED_DATA or PAUSED as h11 does. Raises h11.RemoteProtocolError."""
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                self._framing_bytes = self._trailer_bytes
                return event
            if not self._feed():
                return event

    def _feed(self) -> bool:
        """Pass the next bytes to h11; return whether there were any."""
        if not self._pending:
            if self._is_eof:
                self._is_eof = False
                self._http.receive_data(b"")
                return True
            return False
        if self._http.their_state in HEAD_STATES:
            self._feed_head()
        else:
            self._feed_body()
        return True

    def _feed_head(self) -> None:
        """Pass on bytes up to the end of the head."""
        window = self._carry + self._pending[: self._max_head_bytes + 1]
        blank_line = BLANK_LINE.search(window)
        end = blank_line.end() if blank_line else len(window)
        if FORBIDDEN_IN_HEAD.search(window, 0, end):
            raise h11.RemoteProtocolError("a character is not allowed in a head", error_status_hint=400)
        piece_bytes = end - len(self._carry)
        self._head_bytes += piece_bytes
        if self._head_bytes > self._max_head_bytes:
            raise h11.RemoteProtocolError("the head is too long", error_status_hint=431)
        self._pass_on(piece_bytes)
        if blank_line:
            self._head_bytes = 0
            self._carry = b"\n"

    def _feed_body(self) -> None:
        """Pass on a piece of the body, a short one if a trailer may begin in it or has begun."""
        if self._framing_bytes > TRAILER_SLICE_BYTES:
            raise h11.RemoteProtocolError("a chunk header or the trailer is too long", error_status_hint=431)
        size = min(len(self._pending), BODY_SLICE_BYTES)
        may_end = LAST_CHUNK.search(self._carry + self._pending[:size]) is not None
        if may_end or self._framing_bytes:
            size = min(size, TRAILER_SLICE_BYTES)
        self._trailer_bytes = size if may_end else 0
        self._framing_bytes += size
        self._pass_on(size)

    def _pass_on(self, size: int) -> None:
        piece = bytes(self._pending[:size])
        del self._pending[:size]
        self._carry = (self._carry + piece)[-BLANK_LINE_CARRY_BYTES:]
        self._http.receive_data(piece)
