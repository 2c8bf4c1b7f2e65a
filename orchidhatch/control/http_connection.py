"""The transport of the control plane's HTTP servers: each connection serves one request or one watch.

HTTP/1.1 is parsed by h11. Requests are limited in size and time; one that is too long, too late or malformed
is answered with an error, and its connection is closed.
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
from orchidhatch.streams.http_input import HttpInput

log = logging.getLogger("orchidhatch")

MAX_HEAD_BYTES = 8192
REQUEST_TIMEOUT_S = 5.0  # to receive a complete request, and for the client to read its response
MAX_UNSENT_BYTES = 256 * 1024  # the most unsent bytes of a watch, beyond its initial list
MAX_REQUESTS = 2_000  # open connections other than watches
RETRY_AFTER_RANGE_S = (1, 5)  # randomized, so that rejected clients do not retry at the same time


class OpenRequests(Protocol):
    """The part of a server's statistics that a connection uses."""

    open: set["Connection"]
    rejected: int

    def count_response(self, status: int) -> None:
        """Count a response by its status."""


class ConnectionServer(Protocol):
    """The part of a server that its connections use."""

    requests: "OpenRequests"
    random: random.Random

    def handle(self, connection: "Connection") -> None:
        """Answer a complete request, or start a task that will. May raise any error that has a status."""

    def store_name(self) -> str:
        """Return the value of STORE_HEADER."""

    def connection_ended(self, connection: "Connection") -> None:
        """Remove a connection that has ended."""


def encode_chunk(data: bytes) -> bytes:
    """Return data as an HTTP chunk. Unlike h11's output it has no state, so all watches can share it."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Connection(asyncio.Protocol):
    """A connection that is closed after the response to its one request, or a watch that either side ends."""

    def __init__(self, server: ConnectionServer) -> None:
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.transport: asyncio.Transport | None = None
        self._server = server
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._input = HttpInput(self._http, MAX_HEAD_BYTES)
        self._timer: asyncio.TimerHandle | None = None
        self._is_answered = False
        self._is_watch = False
        self._initial_bytes_left = 0  # unsent bytes of a watch's initial list

    @property
    def is_closing(self) -> bool:
        """Whether the client has disconnected, or the connection closes once its response is sent."""
        return self.transport.is_closing()

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the request's timeout, or reject the connection if there are too many."""
        self.transport = transport
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._handle_timeout)
        self._server.requests.open.add(self)
        if len(self._server.requests.open) > MAX_REQUESTS:
            self._server.requests.rejected += 1
            self.fail(UnavailableError("too many open requests"))

    def data_received(self, data: bytes) -> None:
        """Parse received data; data after the request is ignored."""
        if self._is_answered or self._is_watch:
            return
        try:
            self._input.receive_data(data)
            while not self._is_answered:
                event = self._input.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self.answer(Response(error.error_status_hint, ErrorBody(str(error))))

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the timeout and remove the connection from the server."""
        self._timer.cancel()
        self._server.connection_ended(self)

    # --- requests ---

    def answer(self, response: Response) -> None:
        """Send the response and close the connection, unless it was answered or closed before."""
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
        """Answer with the error's status and text."""
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
        """Reject a request that is too late, or abort if the client does not read its response."""
        if self._is_answered:
            self.transport.abort()
            return
        self.fail(RequestTimeoutError("no complete request arrived in time"))
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.transport.abort)

    # --- watches ---

    def begin_watch(self, first_line: bytes) -> None:
        """Start a response without an end, whose body begins with this line."""
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
        """Send one chunk of a watch. Return whether it was sent.

        The connection is aborted instead if too many bytes are unsent; the client resumes after the
        generation that it received last.
        """
        unsent_bytes = self.transport.get_write_buffer_size()
        self._initial_bytes_left = min(self._initial_bytes_left, unsent_bytes)
        if unsent_bytes - self._initial_bytes_left > MAX_UNSENT_BYTES:
            self.transport.abort()
            return False
        self.transport.write(chunk)
        return True
