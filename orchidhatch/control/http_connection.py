"""The transport of the control plane's HTTP servers: one request to a connection, or one watch.

HTTP/1.1 is parsed by h11. A request is bounded in size and in time; what is longer, late or malformed is
answered with an error and the connection closed.
"""

import asyncio
import logging
import random
from typing import Protocol

import h11

from orchidhatch.control.errors import RequestTimeoutError, RequestTooLargeError, UnavailableError
from orchidhatch.control.http_response import (
    JSON_CONTENT_TYPE,
    STORE_HEADER,
    ErrorBody,
    Response,
    error_response,
    has_status,
)
from orchidhatch.control.json_body import MAX_BODY_BYTES

log = logging.getLogger("orchidhatch")

MAX_HEAD_BYTES = 8192
REQUEST_TIMEOUT_S = 5.0  # for a whole request to arrive, and for its response to be read
MAX_UNSENT_BYTES = 256 * 1024  # that a watch may leave unread beyond the list it began with
MAX_REQUESTS = 2_000  # connections that are no watches
RETRY_AFTER_RANGE_S = (1, 5)  # spread, so that rejected clients don't return together


class OpenRequests(Protocol):
    """What a connection needs of its server's statistics."""

    open: set["Connection"]
    rejected: int

    def count_response(self, status: int) -> None:
        """Count a response."""


class ConnectionServer(Protocol):
    """What a connection needs of the server that accepted it."""

    requests: "OpenRequests"
    random: random.Random

    def handle(self, connection: "Connection") -> None:
        """Answer a whole request, or begin what will answer it. May raise any mapped error."""

    def store_name(self) -> str:
        """The value of STORE_HEADER."""

    def connection_ended(self, connection: "Connection") -> None:
        """Forget a connection."""


def encode_chunk(data: bytes) -> bytes:
    """A chunk of a body without a length: the same bytes for all watches, whatever state each is in."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Connection(asyncio.Protocol):
    """One request, answered and closed; or a watch, until either side ends it."""

    def __init__(self, server: ConnectionServer) -> None:
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.transport: asyncio.Transport | None = None
        self._server = server
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._timer: asyncio.TimerHandle | None = None
        self._is_answered = False
        self._is_watch = False
        self._initial_bytes_left = 0  # unread bytes of the list that a watch began with

    @property
    def is_closing(self) -> bool:
        """Whether the client has gone, or its response is being sent."""
        return self.transport.is_closing()

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the request's timeout, or reject the connection where there are too many."""
        self.transport = transport
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._handle_timeout)
        self._server.requests.open.add(self)
        if len(self._server.requests.open) > MAX_REQUESTS:
            self._server.requests.rejected += 1
            self.fail(UnavailableError("too many calls"))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; nothing is read after the request."""
        if self._is_answered or self._is_watch:
            return
        try:
            self._http.receive_data(data)
            while not self._is_answered:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self.answer(Response(error.error_status_hint, ErrorBody(str(error))))

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the timeout and let the server forget the connection."""
        self._timer.cancel()
        self._server.connection_ended(self)

    # --- requests ---

    def answer(self, response: Response) -> None:
        """Send the whole response and close; nothing where the connection has ended already."""
        if self._is_answered or self._is_watch or self.is_closing:
            return
        self._is_answered = True
        self._server.requests.count_response(response.status)
        body = response.body()
        headers = [
            ("Content-Type", response.kind),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            (STORE_HEADER, self._server.store_name()),
        ]
        if response.status == 503:
            headers.append(("Retry-After", str(self._server.random.randint(*RETRY_AFTER_RANGE_S))))
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = self._http.send(h11.Response(status_code=response.status, headers=headers))
            self.transport.write(head + self._http.send(h11.Data(data=body)))
        self.transport.close()

    def fail(self, error: Exception) -> None:
        """Answer with the status that the error has."""
        self.answer(error_response(error))

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self.request = event
            if self._http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.transport.write(self._http.send(interim))
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MAX_BODY_BYTES:
                self.fail(RequestTooLargeError(f"the body is longer than {MAX_BODY_BYTES} bytes"))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.close()

    def _handle_request(self) -> None:
        try:
            self._server.handle(self)
        except Exception as error:
            if has_status(error):
                self.fail(error)
                return
            log.exception("request failed unexpectedly: request=%r", self.request)
            self.answer(Response(500, ErrorBody("internal error")))

    def _handle_timeout(self) -> None:
        """The request is late, or its response is not read."""
        if self._is_answered:
            self.transport.abort()
            return
        self.fail(RequestTimeoutError("no whole request arrived in time"))
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.transport.abort)

    # --- watches ---

    def begin_watch(self, first_line: bytes) -> None:
        """Answer with a body that does not end, beginning with this line."""
        self._timer.cancel()
        self._is_watch = True
        self._initial_bytes_left = len(first_line)
        headers = [
            ("Content-Type", JSON_CONTENT_TYPE),
            ("Transfer-Encoding", "chunked"),
            (STORE_HEADER, self._server.store_name()),
        ]
        head = self._http.send(h11.Response(status_code=200, headers=headers))
        self.transport.write(head + encode_chunk(first_line))

    def send_chunk(self, chunk: bytes) -> bool:
        """Send one chunk of a watch. False, and the connection aborted, where too much is unread already:
        the client resumes by what it has received.
        """
        unsent_bytes = self.transport.get_write_buffer_size()
        self._initial_bytes_left = min(self._initial_bytes_left, unsent_bytes)
        if unsent_bytes - self._initial_bytes_left > MAX_UNSENT_BYTES:
            self.transport.abort()
            return False
        self.transport.write(chunk)
        return True
