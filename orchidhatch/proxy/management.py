"""The calls of operators: HTTP/1.1 at an address of its own, one call to a connection.

A call is answered in the turn of the loop in which its last byte arrives, so every connection that stays
is one whose call is not whole, or whose answer is not read. These are few, and the oldest makes room.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from urllib.parse import unquote

import h11

from orchidhatch.proxy.cpu_accounting import Account, Place
from orchidhatch.proxy.listening import closed_on_error, stream_socket
from orchidhatch.proxy.wait_queues import Line, Waits

log = logging.getLogger(__name__)

MOST_CONNECTIONS = 16
MOST_HEAD = 4096  # bytes
MOST_BODY = 4096  # bytes; no call needs one
PATIENCE_S = 5.0  # for a whole call, and for its answer to be read

Answer = tuple[int, str]  # the status and the text
Call = Callable[[], Answer]


def fits(pattern: str, segment: str) -> bool:
    return pattern in (segment, "{id}")


class Calls:
    """The paths and what answers them; `{id}` stands for one segment."""

    def __init__(self, calls: dict[tuple[str, str], Callable[..., Answer]]) -> None:
        self.calls = {(method, tuple(path.split("/"))): call for (method, path), call in calls.items()}

    def answer(self, method: str, target: str) -> tuple[Answer, str]:
        """The answer, and the methods that the path allows if this one is none of them."""
        path = tuple(map(unquote, target.partition("?")[0].split("/")))
        allowed = []
        for (its_method, pattern), call in self.calls.items():
            if len(pattern) == len(path) and all(map(fits, pattern, path)):
                if its_method == method:
                    return call(*[q for p, q in zip(pattern, path, strict=True) if p == "{id}"]), ""
                allowed.append(its_method)
        return ((405, "not this method"), ", ".join(allowed)) if allowed else ((404, "no such call"), "")


class CallConnection(asyncio.Protocol):
    """One call: read, answered, closed."""

    def __init__(self, management: "Management") -> None:
        self.management = management
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.request: h11.Request | None = None
        self.body = 0
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.opened_s = time.monotonic()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.too_late)
        self.management.opened(self)

    def data_received(self, data: bytes) -> None:
        was = self.management.account.enter(Place.MANAGEMENT)
        try:
            if not self.done():
                self.read(data)
        finally:
            self.management.account.leave(was)

    def read(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            if self.http.they_are_waiting_for_100_continue:
                self.transport.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
            while not self.done() and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
        except h11.RemoteProtocolError as error:
            self.reply((error.error_status_hint, str(error)))

    def take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self.request = event
        elif isinstance(event, h11.Data):
            self.body += len(event.data)
            if self.body > MOST_BODY:
                self.reply((413, "too long a body"))
        elif isinstance(event, h11.EndOfMessage):
            method, target = self.request.method.decode(), self.request.target.decode()
            try:
                answer, allow = self.management.calls.answer(method, target)
            except Exception:
                log.exception("cannot answer %s %s", method, target)
                answer, allow = (500, "internal error"), ""
            self.reply(answer, allow)
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.close()

    def done(self) -> bool:
        """Whether it has been answered or has ended; no more is read."""
        return self.http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED) or self.transport.is_closing()

    def reply(self, answer: Answer, allow: str = "") -> None:
        self.management.waits.note(round((time.monotonic() - self.opened_s) * 1e6))
        status, text = answer
        body = text.rstrip("\n").encode(errors="replace") + b"\n"
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ] + ([("Allow", allow)] if allow else [])
        data = b""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            data = self.http.send(h11.Response(status_code=status, headers=headers))
            bodiless = self.request and self.request.method == b"HEAD"
            data += b"" if bodiless else self.http.send(h11.Data(data=body))
            self.http.send(h11.EndOfMessage())
        self.transport.write(data)
        self.transport.close()

    def too_late(self) -> None:
        """Its time is over: for the call, or else for reading the answer."""
        if self.done():
            self.transport.abort()
        else:
            self.reply((408, "no whole call came in time"))

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.management.connections.pop(self, None)


class Management:
    """Listens for calls; the connections are bounded, and the oldest makes room for a new one."""

    def __init__(self, calls: Calls, account: Account | None = None) -> None:
        self.calls, self.account = calls, account or Account()
        self.connections: dict[CallConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.waits, self.crowded_out = Waits(), 0

    async def start(self, host: str, port: int) -> None:
        """Serve at the address. Raises OSError."""
        loop = asyncio.get_running_loop()
        with closed_on_error(stream_socket((host, port))) as listening:
            self.server = await loop.create_server(lambda: CallConnection(self), sock=listening)

    def opened(self, connection: CallConnection) -> None:
        self.connections[connection] = None
        if len(self.connections) > MOST_CONNECTIONS:
            self.crowded_out += 1
            next(iter(self.connections)).transport.abort()

    def line(self) -> Line:
        oldest_s = min((one.opened_s for one in self.connections), default=time.monotonic())
        return Line(
            "management",
            MOST_CONNECTIONS,
            len(self.connections),
            round((time.monotonic() - oldest_s) * 1e6),
            self.crowded_out,
            self.waits,
        )

    def close(self) -> None:
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()
