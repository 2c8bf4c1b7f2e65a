"""What h11 gets to parse: what it can parse in time linear in its length."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.streams.http_input import BODY_SLICE_BYTES, TRAILER_SLICE_BYTES, HttpInput

MAX_HEAD_BYTES = 300
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
STREAMS = [
    HEAD + b"\r\n",
    b"GET /a HTTP/1.1\nHost: a\n\nGET /b HTTP/1.1\r\n",
    HEAD + b"Content-Length: 7\r\n\r\n\n0\r\n\r\n\n\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\n\n0\r\n\r\r\n003\r\nabc\r\n0\r\nA: b\r\n\r\n",
    HEAD + b"X: \t a b \r\n\t c\r\n\r\n",
    b"\r\n" + HEAD + b"\r\n",
    b"GET /a\r\n\r\n",
]


class RecordingConnection(h11.Connection):
    """Records what it gets to parse."""

    def __init__(self) -> None:
        super().__init__(h11.SERVER)
        self.received: list[bytes] = []

    def receive_data(self, data: bytes) -> None:
        self.received.append(data)
        super().receive_data(data)


def events_of(reader: HttpInput | h11.Connection, pieces: list[bytes]) -> tuple[bytes, list[str]]:
    """The body and the other events, up to the one after which nothing more is read."""
    body, others = b"", []
    for piece in pieces:
        reader.receive_data(piece)
        try:
            while (event := reader.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Data):
                    body += event.data
                else:
                    others.append(repr(event))
                if isinstance(event, h11.ConnectionClosed):
                    return body, others
        except h11.RemoteProtocolError:
            return body, [*others, "error"]
    return body, others


@given(st.sampled_from(STREAMS), st.lists(st.integers(1, 40)), st.booleans())
def test_events_are_those_of_h11_alone(stream: bytes, sizes: list[int], is_closed: bool) -> None:
    pieces = []
    rest = stream
    for size in sizes:
        pieces.append(rest[:size])
        rest = rest[size:]
    pieces = [piece for piece in [*pieces, rest] if piece] + [b""] * is_closed
    http = h11.Connection(h11.SERVER)
    assert events_of(HttpInput(http, MAX_HEAD_BYTES), pieces) == events_of(h11.Connection(h11.SERVER), pieces)


RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSES = [
    RESPONSE + b"4\r\n\n0\r\n\r\n1\r\na\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + RESPONSE + b"1\r\n\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nno length\n\n0\r\n",
    b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno",
]


def client_connection() -> h11.Connection:
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    http.send(h11.EndOfMessage())
    return http


@given(st.sampled_from(RESPONSES), st.integers(1, 60), st.booleans())
def test_events_of_a_response_are_those_of_h11_alone(stream: bytes, size: int, is_closed: bool) -> None:
    pieces = [stream[start : start + size] for start in range(0, len(stream), size)] + [b""] * is_closed
    expected = events_of(client_connection(), pieces)
    assert events_of(HttpInput(client_connection(), MAX_HEAD_BYTES), pieces) == expected


@pytest.mark.parametrize("character", [b"\x00", b"\x0b", b"\x0c", b"\r"])
@pytest.mark.parametrize("piece_bytes", [1, 1000])
def test_head_that_cannot_match_is_not_parsed(character: bytes, piece_bytes: int) -> None:
    """Guards against the time for white space before such a character, which grows with its square."""
    stream = HEAD + b"X:" + b" " * 100 + character + b" a\r\n\r\n"
    http = RecordingConnection()
    reader = HttpInput(http, MAX_HEAD_BYTES)
    pieces = [stream[start : start + piece_bytes] for start in range(0, len(stream), piece_bytes)]
    assert events_of(reader, pieces) == (b"", ["error"])
    assert b"a\r\n\r\n" not in b"".join(http.received)


def test_long_head_in_one_piece_is_not_parsed() -> None:
    http = RecordingConnection()
    stream = HEAD + b"X: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n"
    assert events_of(HttpInput(http, MAX_HEAD_BYTES), [stream]) == (b"", ["error"])
    assert http.received == []


@pytest.mark.parametrize("piece_bytes", [100, 100_000])
def test_long_trailer_is_not_parsed(piece_bytes: int) -> None:
    """h11 parses a trailer as it does a head, so its length is bounded before that."""
    trailer = b"X:" + b" " * 90_000 + b"\x00\r\n\r\n"
    stream = HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + trailer
    http = RecordingConnection()
    reader = HttpInput(http, MAX_HEAD_BYTES)
    pieces = [stream[start : start + piece_bytes] for start in range(0, len(stream), piece_bytes)]
    body, others = events_of(reader, pieces)
    assert (body, others[-1]) == (b"a", "error")
    assert sum(map(len, http.received)) <= len(HEAD) + 100 + 3 * TRAILER_SLICE_BYTES


def test_long_body_is_parsed_in_large_slices() -> None:
    http = RecordingConnection()
    body = b"x" * 3 * BODY_SLICE_BYTES
    stream = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    assert events_of(HttpInput(http, MAX_HEAD_BYTES), [stream])[0] == body
    assert len(http.received) == 4
