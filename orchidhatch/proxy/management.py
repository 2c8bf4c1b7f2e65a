"""The management server: operators' calls over HTTP/1.1, one call per connection.

A call is answered in the event loop turn in which its last byte arrives, so a connection that stays open has
an incomplete call or an unread answer. The number of connections is limited: the oldest is closed.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote

import h11

from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.listening import closed_on_error, stream_socket
from orchidhatch.proxy.wait_queues import QueueStatus, WaitHistogram
from orchidhatch.streams.http_input import HttpInput

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16
MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 4096
"""For a body that is ignored: no call needs one."""
CALL_TIMEOUT_S = 5.0
"""For receiving the whole call and for sending the answer."""
PARAMETER = "{id}"
"""Matches any one segment of a path."""

Answer = tuple[int, str]
"""The HTTP status and the body's text."""


@dataclass(frozen=True, slots=True)
class RoutedAnswer:
    """An answer, and the methods that the path allows if the call's method is not among them."""

    answer: Answer
    allowed_methods: str = ""


class CallRouter:
    """The handlers by method and path; the segment that PARAMETER matches is passed to the handler.

    A call whose target equals that of a handler goes there; else its query is ignored.
    """

    def __init__(self, calls: dict[tuple[str, str], Callable[..., Answer]]) -> None:
        self.handlers = {
            (method, tuple(path.split("/"))): handler
            for (method, path), handler in calls.items()
            if "?" not in path
        }
        self.handlers_by_target = {call: handler for call, handler in calls.items() if "?" in call[1]}

    def answer(self, method: str, target: str) -> RoutedAnswer:
        """Answer a call by its handler, or with 404 or 405 if there is none."""
        exact_handler = self.handlers_by_target.get((method, target))
        if exact_handler:
            return RoutedAnswer(exact_handler())
        segments = tuple(map(unquote, target.partition("?")[0].split("/")))
        allowed = []
        for (handled_method, pattern), handler in self.handlers.items():
            if not matches(pattern, segments):
                continue
            if handled_method == method:
                return RoutedAnswer(handler(*parameters(pattern, segments)))
            allowed.append(handled_method)
        if allowed:
            return RoutedAnswer((HTTPStatus.METHOD_NOT_ALLOWED, "method not allowed"), ", ".join(allowed))
        return RoutedAnswer((HTTPStatus.NOT_FOUND, "unknown path"))


def matches(pattern: tuple[str, ...], segments: tuple[str, ...]) -> bool:
    """Return whether a path matches a pattern, segment by segment."""
    if len(pattern) != len(segments):
        return False
    return all(expected in (segment, PARAMETER) for expected, segment in zip(pattern, segments, strict=True))


def parameters(pattern: tuple[str, ...], segments: tuple[str, ...]) -> list[str]:
    """Return the segments that PARAMETER matches."""
    return [segment for expected, segment in zip(pattern, segments, strict=True) if expected == PARAMETER]


class CallConnection(asyncio.Protocol):
    """The connection of one call, closed after the answer."""

    def __init__(self, management: "Management") -> None:
        self.management = management
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.input = HttpInput(self.http, MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.opened_s = time.monotonic()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its timeout."""
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self.time_out)
        self.management.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Process received bytes, unless the call was answered."""
        previous_category = self.management.account.enter(CostCategory.MANAGEMENT)
        try:
            if not self.has_ended():
                self._read(data)
        finally:
            self.management.account.leave(previous_category)

    def _read(self, data: bytes) -> None:
        try:
            self.input.receive_data(data)
            if self.http.they_are_waiting_for_100_continue:
                self.transport.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
            while not self.has_ended():
                event = self.input.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                self._on_http_event(event)
        except h11.RemoteProtocolError as error:
            self.reply((error.error_status_hint, str(error)))

    def _on_http_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self.request = event
        elif isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            if self.body_bytes > MAX_BODY_BYTES:
                self.reply((HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "request body too large"))
        elif isinstance(event, h11.EndOfMessage):
            self._answer_call(self.request.method.decode(), self.request.target.decode())
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.close()

    def _answer_call(self, method: str, target: str) -> None:
        try:
            routed = self.management.calls.answer(method, target)
        except Exception:
            log.exception("management call failed: method=%s target=%s", method, target)
            routed = RoutedAnswer((HTTPStatus.INTERNAL_SERVER_ERROR, "internal error"))
        self.reply(routed.answer, routed.allowed_methods)

    def has_ended(self) -> bool:
        """Return whether the call was answered or the connection is closing; nothing more is read then."""
        return self.http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED) or self.transport.is_closing()

    def reply(self, answer: Answer, allowed_methods: str = "") -> None:
        """Answer the call and close the connection."""
        self.management.waits.note(round((time.monotonic() - self.opened_s) * 1e6))
        status, text = answer
        body = text.rstrip("\n").encode(errors="replace") + b"\n"
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if allowed_methods:
            headers.append(("Allow", allowed_methods))
        data = b""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            data = self.http.send(h11.Response(status_code=status, headers=headers))
            has_body = self.request is None or self.request.method != b"HEAD"
            if has_body:
                data += self.http.send(h11.Data(data=body))
            self.http.send(h11.EndOfMessage())
        self.transport.write(data)
        self.transport.close()

    def time_out(self) -> None:
        """End the call at its timeout: answer an incomplete one, abort one whose answer is not read."""
        if self.has_ended():
            self.transport.abort()
        else:
            self.reply((HTTPStatus.REQUEST_TIMEOUT, "request incomplete at the time limit"))

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection."""
        self.timer.cancel()
        self.management.connections.pop(self, None)


class Management:
    """The management server; at its connection limit, a new connection evicts the oldest one."""

    def __init__(self, calls: CallRouter, account: CpuAccounting | None = None) -> None:
        self.calls = calls
        self.account = account or CpuAccounting()
        self.connections: dict[CallConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.waits = WaitHistogram()
        self.evicted = 0
        """Connections closed to admit new ones, since the start."""

    async def start(self, host: str, port: int) -> None:
        """Listen at the address. Raises OSError."""
        loop = asyncio.get_running_loop()
        with closed_on_error(stream_socket((host, port))) as listening:
            self.server = await loop.create_server(lambda: CallConnection(self), sock=listening)

    def connection_opened(self, connection: CallConnection) -> None:
        """Register a new connection; close the oldest one if there are too many."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            self.evicted += 1
            next(iter(self.connections)).transport.abort()

    def queue_status(self) -> QueueStatus:
        """Return the connections as a wait queue, for the metrics page."""
        oldest_s = min((connection.opened_s for connection in self.connections), default=time.monotonic())
        return QueueStatus(
            "management",
            MAX_CONNECTIONS,
            len(self.connections),
            round((time.monotonic() - oldest_s) * 1e6),
            self.evicted,
            self.waits,
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()
