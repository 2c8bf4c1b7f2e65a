"""The connection of one watch on discovery, from its request to its end."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

import h11

from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.json_lines import MAX_VALUE_BYTES, JsonLineReader
from orchidhatch.streams.http_input import MAX_RESPONSE_HEAD_BYTES, HttpInput
from orchidhatch.streams.line_splitter import LineSplitter

log = logging.getLogger(__name__)

MALFORMED = (
    h11.ProtocolError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""The exceptions that a malformed watch event may raise; a deeply nested one raises RecursionError."""


class WatchState(Enum):
    """The progress of a watch; TRANSITIONS lists the allowed changes."""

    CONNECTING = "connecting"
    REQUESTED = "requested"
    ACCEPTED = "accepted"
    """Discovery has answered with status 200 and sends events."""
    ENDED = "ended"


TRANSITIONS = {
    WatchState.CONNECTING: {WatchState.REQUESTED, WatchState.ENDED},
    WatchState.REQUESTED: {WatchState.ACCEPTED, WatchState.ENDED},
    WatchState.ACCEPTED: {WatchState.ENDED},
    WatchState.ENDED: set[WatchState](),
}
"""For each state, the states that may follow."""


class WatchConnection(asyncio.Protocol):
    """A watch: sends its request and passes on the values and heartbeats that arrive.

    `on_value` is called with each JSON value, `on_accepted` once the watch is accepted, `on_heartbeat` at
    each empty line.
    """

    def __init__(
        self,
        target: str,
        host: str,
        on_value: Callable[[Any], None],
        on_accepted: Callable[["WatchConnection"], None],
        account: CpuAccounting,
        on_heartbeat: Callable[[], None] = lambda: None,
    ) -> None:
        self.target = target
        self.host = host
        self.value_reader = JsonLineReader(on_value)
        self.on_accepted = on_accepted
        self.on_heartbeat = on_heartbeat
        self.account = account
        self.http = h11.Connection(h11.CLIENT)
        self.input = HttpInput(self.http, MAX_RESPONSE_HEAD_BYTES)
        self.splitter = LineSplitter(MAX_VALUE_BYTES)
        self.state = WatchState.CONNECTING
        self.was_accepted = False
        self.was_malformed = False
        """Whether it received an event that could not be read."""
        self.opened_s = time.monotonic()
        self.last_received_s = self.opened_s
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def _enter(self, state: WatchState) -> None:
        """Change the state. Raises ValueError if the transition is not allowed."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"watch state {self.state.value} cannot become {state.value}")
        self.state = state

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self._enter(WatchState.REQUESTED)
        self.transport = transport
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """Process received bytes; a malformed event ends the watch."""
        self.last_received_s = time.monotonic()
        previous_category = self.account.enter(CostCategory.DISCOVERY)
        try:
            self.input.receive_data(data)
            while (event := self.input.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self._on_http_event(event)
        except MALFORMED as error:
            self._note_malformed(error)
            self.close()
        finally:
            self.account.leave(previous_category)

    def eof_received(self) -> None:
        """Handle the peer's close, which completes a response without a stated length.

        After a reset instead of a close, the rest of an incomplete value is dropped.
        """
        with contextlib.suppress(h11.ProtocolError):  # closed within a chunk: no complete value is left
            self.input.receive_data(b"")
            if isinstance(self.input.next_event(), h11.EndOfMessage):
                self._read_last_line()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the watch."""
        self._enter(WatchState.ENDED)
        if not self.ended.done():
            self.ended.set_result(None)

    def has_ended(self) -> bool:
        """Return whether the connection is closed."""
        return self.ended.done()

    def has_unread(self) -> bool:
        """Return whether received bytes are unread."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and socket_inspection.has_unread_bytes(transport)
        )

    def close(self) -> None:
        """Abort the connection."""
        if self.transport:
            self.transport.abort()

    def _on_http_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            if event.status_code != 200:
                raise ValueError(f"watch refused with status {event.status_code}")
            self._enter(WatchState.ACCEPTED)
            self.was_accepted = True
            self.on_accepted(self)
        if isinstance(event, h11.Data):
            self._read_lines(event.data)
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def _read_lines(self, data: bytes) -> None:
        for line in self.splitter.feed(data):
            if line.strip():
                self.value_reader.feed(line)
            else:
                self.on_heartbeat()

    def _read_last_line(self) -> None:
        try:
            if self.splitter.partial.strip():
                self.value_reader.feed(bytes(self.splitter.partial))
        except MALFORMED as error:
            self._note_malformed(error)

    def _note_malformed(self, error: Exception) -> None:
        log.error("endpoint watch event malformed: error=%s", error)
        self.was_malformed = True
