"""The handover protocol between two processes of one gateway, predecessor and successor.

The serving process listens on a Unix socket in a directory that both processes share. A new process requests
the state there, restores it, starts to serve and reports that; then the old process releases the addresses.
While the connection is open, each process sends the other the spending, attempts and ejections of its
decision core.

Messages are lines of JSON. A line that is malformed, too long or of another version closes the connection,
and the new process starts without the predecessor's state, as after a restart.
"""

import asyncio
import json
import logging
import os
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from pathlib import Path
from typing import Any, Protocol

from orchidhatch.gateway.events import Event, HandoverPeerGone
from orchidhatch.gateway.handover_codec import (
    MESSAGE_NAMES,
    MESSAGE_TYPES,
    from_plain,
    from_plain_with_optional,
    optional_to_plain,
    to_plain,
)
from orchidhatch.gateway.snapshots import GatewaySnapshot, HandoverMessage
from orchidhatch.streams.line_splitter import LineSplitter

log = logging.getLogger(__name__)

VERSION = 1
MAX_LINE_BYTES = 8 << 20  # about ten thousand customers
MAX_UNSENT_BYTES = 8 << 20  # a peer with more unread is treated as gone
ANSWER_TIMEOUT_S = 2.0  # for the state, and for the release of the addresses
RETRY_INTERVAL_S = 0.25  # while the other process has another handover in progress
MAX_TAKE_OVER_ATTEMPTS = 20
SOCKET_COUNT_PERIOD_S = 0.2
OPTIONAL_FIELDS = "optional"
"""The key of the fields that a process of the previous version does not know."""
RECENT_REQUESTS = "recent_requests"
"""The key of the ids of requests that may have run; absent in the state of a previous version."""
OPERATOR_DRAIN = "operator_drain"
"""The key of whether operators have drained the gateway; absent in the state of a previous version."""


class ControlMessage(Enum):
    """Control messages by their wire name; all other lines are messages of the decision core."""

    TAKE_OVER = "take over"
    NOT_NOW = "not now"
    STATE = "state"
    SERVING = "serving"
    RELEASED = "released"
    SOCKETS = "sockets"


CONTROL_MESSAGES = {control_message.value: control_message for control_message in ControlMessage}


def optional_fields(record: object) -> dict[str, object]:
    """Return the optional fields of a record as fields of a line; empty if the record has none."""
    optional = optional_to_plain(record)
    return {OPTIONAL_FIELDS: optional} if optional else {}


class HandoverError(ValueError):
    """A line of the other process violates the protocol; the connection is closed."""


class HandoverHost(Protocol):
    """The part of the gateway process that the protocol calls."""

    def create_handover_state(self) -> dict[str, Any]:
        """Return the fields of the state message for a successor."""

    def resume(
        self,
        state: GatewaySnapshot,
        known: Mapping[str, Any],
        recent_requests: Iterable[str],
        is_drained_by_operator: bool,
    ) -> None:
        """Restore the predecessor's state and endpoint list, and the ids of requests that may have run.

        Go on with a drain of the operators.
        """

    def release(self) -> None:
        """Stop accepting, and release the addresses, as the successor serves."""

    def apply_peer_event(self, event: Event) -> None:
        """Apply an event of the other process."""

    def socket_counts(self) -> tuple[int, int]:
        """Return the numbers of open sockets to clients and to backends."""

    def set_peer_socket_counts(self, clients: int, backends: int) -> None:
        """Set the numbers of the other process's open sockets."""


class HandoverConnection(asyncio.Protocol):
    """The connection between the two processes, which sends and receives lines."""

    def __init__(
        self,
        on_line: Callable[["HandoverConnection", str, Mapping[str, Any]], None],
        on_lost: Callable[["HandoverConnection"], None],
    ) -> None:
        self.on_line = on_line
        self.on_lost = on_lost
        self.splitter = LineSplitter(MAX_LINE_BYTES)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def send(self, name: str, **values: object) -> None:
        """Send a line; abort the connection if the peer leaves more than MAX_UNSENT_BYTES unread."""
        if self.transport.is_closing():
            return
        line = json.dumps({"version": VERSION, "say": name, **values})
        self.transport.write(line.encode() + b"\n")
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log.error("handover connection aborted reason=peer-reads-nothing")
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle the complete lines; abort the connection on a malformed one."""
        try:
            for line in self.splitter.feed(data):
                self.receive(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            log.error("handover connection aborted reason=malformed-line error=%.200s", error)
            self.transport.abort()

    def receive(self, values: Mapping[str, Any]) -> None:
        """Handle one line. Raises HandoverError if it is of another version."""
        if values["version"] != VERSION:
            raise HandoverError(f"version {values['version']!r} is not supported")
        self.on_line(self, values["say"], values)

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the other process is gone."""
        self.on_lost(self)


class HandoverPeer:
    """The other process of this gateway, a predecessor or a successor; there is at most one at a time."""

    def __init__(self, host: HandoverHost, path: Path) -> None:
        self.host = host
        self.path = path
        self.connection: HandoverConnection | None = None
        self.resumed = asyncio.Event()
        self.released = asyncio.Event()
        self.ended = asyncio.Event()
        self.is_retry_requested = False
        self.server: asyncio.Server | None = None
        self.socket_count_timer: asyncio.TimerHandle | None = None
        self.handlers: dict[ControlMessage, Callable[[Mapping[str, Any]], None]] = {
            ControlMessage.NOT_NOW: self.on_not_now,
            ControlMessage.STATE: self.on_state,
            ControlMessage.SERVING: self.on_serving,
            ControlMessage.RELEASED: self.on_released,
            ControlMessage.SOCKETS: self.on_sockets,
        }

    # --- as successor ---

    async def take_over(self) -> bool:
        """Take over the state of the serving process; return False without a process or a valid state."""
        for _ in range(MAX_TAKE_OVER_ATTEMPTS):
            connection = await self.connect()
            if connection is None:
                return False
            self.connection = connection
            connection.send(ControlMessage.TAKE_OVER.value)
            if await self.wait_for_event(self.resumed):
                return True
            connection.transport.abort()
            if not self.is_retry_requested:
                log.error("handover failed, starting without reason=no-sound-state")
                return False
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def connect(self) -> HandoverConnection | None:
        """Return a connection to the serving process, None if there is none."""
        self.is_retry_requested = False
        self.ended.clear()
        try:
            _, connection = await asyncio.get_running_loop().create_unix_connection(
                self.create_connection, str(self.path)
            )
        except (FileNotFoundError, ConnectionRefusedError):
            return None
        except OSError as error:
            log.error("handover failed, starting without reason=cannot-connect error=%s", error)
            return None
        return connection

    def create_connection(self) -> HandoverConnection:
        """Return a connection whose lines this object handles."""
        return HandoverConnection(self.on_line, self.on_lost)

    async def announce_serving(self) -> None:
        """Report that this process serves, and wait until the predecessor has released the addresses."""
        if self.connection:
            self.connection.send(ControlMessage.SERVING.value)
            if not await self.wait_for_event(self.released):
                log.error("handover peer silent expected=released timeout_s=%s", ANSWER_TIMEOUT_S)

    async def wait_for_event(self, expected: asyncio.Event) -> bool:
        """Wait for the event; return whether it is set before a timeout or the end of the connection."""
        waits = [asyncio.ensure_future(event.wait()) for event in (expected, self.ended)]
        await asyncio.wait(waits, timeout=ANSWER_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return expected.is_set()

    # --- as predecessor ---

    async def listen_for_successor(self) -> None:
        """Listen for a successor; the path is replaced atomically, as the predecessor may still use it."""
        temporary_path = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary_path.unlink(missing_ok=True)
            self.server = await asyncio.get_running_loop().create_unix_server(
                self.create_connection, str(temporary_path)
            )
            temporary_path.chmod(0o600)
            temporary_path.replace(self.path)
        except OSError as error:
            log.error("handover not offered error=%s", error)

    def send_socket_counts(self) -> None:
        """Send the number of open sockets periodically, as both processes share one limit."""
        if self.connection:
            self.connection.send(ControlMessage.SOCKETS.value, count=self.host.socket_counts())
            loop = asyncio.get_running_loop()
            self.socket_count_timer = loop.call_later(SOCKET_COUNT_PERIOD_S, self.send_socket_counts)

    # --- both ---

    def on_line(self, connection: HandoverConnection, name: str, values: Mapping[str, Any]) -> None:
        """Handle a line of the other process. Raises ValueError, KeyError or TypeError if it is invalid."""
        control_message = CONTROL_MESSAGES.get(name)
        if control_message is ControlMessage.TAKE_OVER:
            self.on_take_over(connection)
        elif connection is not self.connection:
            raise HandoverError(f"'{name:.20}' comes before '{ControlMessage.TAKE_OVER.value}'")
        elif control_message:
            self.handlers[control_message](values)
        else:
            optional = values.get(OPTIONAL_FIELDS, {})
            message = from_plain_with_optional(MESSAGE_TYPES[name], values["record"], optional)
            self.host.apply_peer_event(message)

    def on_take_over(self, connection: HandoverConnection) -> None:
        """Send the state to a successor, or refuse it while there is another handover peer."""
        if self.connection:
            connection.send(ControlMessage.NOT_NOW.value)
            return
        self.connection = connection
        connection.send(ControlMessage.STATE.value, **self.host.create_handover_state())

    def on_not_now(self, _: Mapping[str, Any]) -> None:
        """Request a retry, as the serving process already has a handover peer."""
        self.is_retry_requested = True
        self.ended.set()

    def on_state(self, values: Mapping[str, Any]) -> None:
        """Restore the predecessor's state."""
        optional = values.get(OPTIONAL_FIELDS, {})
        state = from_plain_with_optional(GatewaySnapshot, values["state"], optional)
        known = values["known"]
        self.on_sockets(values)
        recent_requests = from_plain(tuple[str, ...], values.get(RECENT_REQUESTS, []))
        is_drained_by_operator = from_plain(bool, values.get(OPERATOR_DRAIN, False))
        self.host.resume(state, known, recent_requests, is_drained_by_operator)
        self.resumed.set()

    def on_serving(self, _: Mapping[str, Any]) -> None:
        """Release the addresses, as the successor serves."""
        self.host.release()
        self.connection.send(ControlMessage.RELEASED.value)
        self.send_socket_counts()

    def on_released(self, _: Mapping[str, Any]) -> None:
        """Handle that the predecessor has released the addresses."""
        self.released.set()

    def on_sockets(self, values: Mapping[str, Any]) -> None:
        """Set the numbers of the other process's open sockets."""
        clients, backends = from_plain(tuple[int, ...], values["count"])
        self.host.set_peer_socket_counts(max(0, clients), max(0, backends))

    def send(self, message: HandoverMessage) -> None:
        """Send a message of the decision core, if there is another process."""
        if self.connection:
            self.connection.send(
                MESSAGE_NAMES[type(message)], record=to_plain(message), **optional_fields(message)
            )

    def on_lost(self, connection: HandoverConnection) -> None:
        """Handle that the other process has exited or its connection was aborted."""
        if connection is self.connection:
            self.connection = None
            self.ended.set()
            self.host.set_peer_socket_counts(0, 0)
            self.host.apply_peer_event(HandoverPeerGone())

    def close(self) -> None:
        """Stop listening and close the connection."""
        if self.socket_count_timer:
            self.socket_count_timer.cancel()
        if self.server:
            self.server.close()
        if self.connection:
            self.connection.transport.close()
