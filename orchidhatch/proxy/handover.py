"""Taking over from the process that serves, and handing over to the next: one gateway in two processes.

The process that serves listens at a Unix socket in the directory that both share. A new process asks there
for the state, goes on from it, serves, and says so; then the old one releases the addresses. As long as the
connection lives, each sends the other what the decision core spends, sends and hears of.

The protocol is lines of JSON. A line that is malformed, too long or of another version ends the connection,
and the new process starts as after a restart.
"""

import asyncio
import json
import logging
import os
from collections.abc import Callable, Mapping
from enum import Enum
from pathlib import Path
from typing import Any, Protocol

from orchidhatch.gateway.events import Event, HandoverPeerGone
from orchidhatch.gateway.handover_codec import (
    MESSAGE_KINDS,
    MESSAGE_NAMES,
    from_plain,
    from_plain_with_optional,
    optional_to_plain,
    to_plain,
)
from orchidhatch.gateway.snapshots import GatewaySnapshot, HandoverMessage

log = logging.getLogger(__name__)

VERSION = 1
LINE_LIMIT_BYTES = 8 << 20  # some ten thousand customers
UNSENT_LIMIT_BYTES = 8 << 20  # a process that does not read this much any more is taken for gone
ANSWER_TIMEOUT_S = 2.0  # for the state to come, and for the addresses to be released
RETRY_S = 0.25  # while the other process is itself still taking over
RETRY_LIMIT = 20
SOCKET_COUNT_PERIOD_S = 0.2
OPTIONAL_FIELDS = "optional"
"""Where a line has the fields that a peer of the version before does not know."""


class Verb(Enum):
    """What a line says, by its name on the wire; the other names are those of the handover messages."""

    TAKE_OVER = "take over"
    NOT_NOW = "not now"
    STATE = "state"
    SERVING = "serving"
    RELEASED = "released"
    SOCKETS = "sockets"


VERBS = {verb.value: verb for verb in Verb}


def optional_fields(record: object) -> dict[str, object]:
    """What a line has in addition to a record's list; nothing where the list says all."""
    optional = optional_to_plain(record)
    return {OPTIONAL_FIELDS: optional} if optional else {}


class HandoverError(ValueError):
    """A line of the other process that does not fit the protocol; it ends the connection."""


class HandoverHost(Protocol):
    """What of the gateway's process is asked here."""

    def handover_state(self) -> dict[str, Any]:
        """The fields of the line that a successor goes on from."""

    def resume(self, state: GatewaySnapshot, known: Mapping[str, Any]) -> None:
        """Go on from the predecessor's state and its endpoint list."""

    def release(self) -> None:
        """Stop accepting, and release the addresses, as the successor serves."""

    def handover_peer_sent(self, event: Event) -> None:
        """Take in what the other process did."""

    def socket_counts(self) -> tuple[int, int]:
        """The sockets to clients and to backends that are open here."""

    def set_peer_socket_counts(self, clients: int, backends: int) -> None:
        """Take in how many sockets the other process has open."""


class HandoverConnection(asyncio.Protocol):
    """The connection between the two processes: lines in and out."""

    def __init__(
        self,
        on_line: Callable[["HandoverConnection", str, Mapping[str, Any]], None],
        on_lost: Callable[["HandoverConnection"], None],
    ) -> None:
        self.on_line = on_line
        self.on_lost = on_lost
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def send(self, name: str, **values: object) -> None:
        """Send a line; a process that reads nothing any more is taken for gone."""
        if self.transport.is_closing():
            return
        line = json.dumps({"version": VERSION, "say": name, **values})
        self.transport.write(line.encode() + b"\n")
        if self.transport.get_write_buffer_size() > UNSENT_LIMIT_BYTES:
            log.error("handover connection aborted reason=peer-reads-nothing")
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass on the lines that are complete; a malformed one ends the connection."""
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        try:
            if len(rest) > LINE_LIMIT_BYTES:
                raise HandoverError("a line is too long")
            for line in lines:
                self.receive(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            log.error("handover connection aborted reason=malformed-line error=%.200s", error)
            self.transport.abort()

    def receive(self, values: Mapping[str, Any]) -> None:
        """Pass on one line; a HandoverError for another version."""
        if values["version"] != VERSION:
            raise HandoverError(f"version {values['version']!r} is not known")
        self.on_line(self, values["say"], values)

    def connection_lost(self, error: Exception | None) -> None:
        """Say that the other process is gone."""
        self.on_lost(self)


class HandoverPeer:
    """The other process that is this gateway too, predecessor or successor: one at a time at most."""

    def __init__(self, host: HandoverHost, path: Path) -> None:
        self.host = host
        self.path = path
        self.connection: HandoverConnection | None = None
        self.resumed = asyncio.Event()
        self.released = asyncio.Event()
        self.ended = asyncio.Event()
        self.is_retry_requested = False
        self.server: asyncio.Server | None = None
        self.count_timer: asyncio.TimerHandle | None = None
        self.handlers: dict[Verb, Callable[[Mapping[str, Any]], None]] = {
            Verb.NOT_NOW: self.on_not_now,
            Verb.STATE: self.on_state,
            Verb.SERVING: self.on_serving,
            Verb.RELEASED: self.on_released,
            Verb.SOCKETS: self.on_sockets,
        }

    # --- the new process ---

    async def take_over(self) -> bool:
        """Go on from the state of the process that serves; False if there is none, or none that is sound."""
        for _ in range(RETRY_LIMIT):
            connection = await self.connect()
            if connection is None:
                return False
            self.connection = connection
            connection.send(Verb.TAKE_OVER.value)
            if await self.comes_in_time(self.resumed):
                return True
            connection.transport.abort()
            if not self.is_retry_requested:
                log.error("handover failed, starting without reason=no-sound-state")
                return False
            await asyncio.sleep(RETRY_S)
        return False

    async def connect(self) -> HandoverConnection | None:
        """A connection to the process that serves; None if there is none."""
        self.is_retry_requested = False
        self.ended.clear()
        try:
            _, connection = await asyncio.get_running_loop().create_unix_connection(
                self.new_connection, str(self.path)
            )
        except (FileNotFoundError, ConnectionRefusedError):
            return None
        except OSError as error:
            log.error("handover failed, starting without reason=cannot-connect error=%s", error)
            return None
        return connection

    def new_connection(self) -> HandoverConnection:
        """A connection whose lines come here."""
        return HandoverConnection(self.on_line, self.on_lost)

    async def serve(self) -> None:
        """Say that clients are served here now; wait until the other process has released the addresses."""
        if self.connection:
            self.connection.send(Verb.SERVING.value)
            if not await self.comes_in_time(self.released):
                log.error("handover peer silent expected=released timeout_s=%s", ANSWER_TIMEOUT_S)

    async def comes_in_time(self, wanted: asyncio.Event) -> bool:
        """Whether the event comes before the time-out and the end of the connection."""
        waits = [asyncio.ensure_future(event.wait()) for event in (wanted, self.ended)]
        await asyncio.wait(waits, timeout=ANSWER_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return wanted.is_set()

    # --- the old process ---

    async def offer(self) -> None:
        """Listen for a successor; the path is replaced at once, as the old process may still hold it."""
        fresh = self.path.with_suffix(f".{os.getpid()}")
        try:
            fresh.unlink(missing_ok=True)
            self.server = await asyncio.get_running_loop().create_unix_server(self.new_connection, str(fresh))
            fresh.chmod(0o600)
            fresh.replace(self.path)
        except OSError as error:
            log.error("handover not offered error=%s", error)

    def send_socket_counts(self) -> None:
        """Say regularly how many sockets are open here: the limit is that of both processes together."""
        if self.connection:
            self.connection.send(Verb.SOCKETS.value, count=self.host.socket_counts())
            loop = asyncio.get_running_loop()
            self.count_timer = loop.call_later(SOCKET_COUNT_PERIOD_S, self.send_socket_counts)

    # --- both ---

    def on_line(self, connection: HandoverConnection, name: str, values: Mapping[str, Any]) -> None:
        """Take in one line of the other process; a ValueError, KeyError or TypeError if it does not fit."""
        verb = VERBS.get(name)
        if verb is Verb.TAKE_OVER:
            self.on_take_over(connection)
        elif connection is not self.connection:
            raise HandoverError(f"'{name:.20}' comes before '{Verb.TAKE_OVER.value}'")
        elif verb:
            self.handlers[verb](values)
        else:
            optional = values.get(OPTIONAL_FIELDS, {})
            message = from_plain_with_optional(MESSAGE_KINDS[name], values["record"], optional)
            self.host.handover_peer_sent(message)

    def on_take_over(self, connection: HandoverConnection) -> None:
        """A successor asks for the state; only one may at a time."""
        if self.connection:
            connection.send(Verb.NOT_NOW.value)
            return
        self.connection = connection
        connection.send(Verb.STATE.value, **self.host.handover_state())

    def on_not_now(self, _: Mapping[str, Any]) -> None:
        """The process that serves has a handover peer already."""
        self.is_retry_requested = True
        self.ended.set()

    def on_state(self, values: Mapping[str, Any]) -> None:
        """The predecessor's state."""
        optional = values.get(OPTIONAL_FIELDS, {})
        state = from_plain_with_optional(GatewaySnapshot, values["state"], optional)
        known = values["known"]
        self.on_sockets(values)
        self.host.resume(state, known)
        self.resumed.set()

    def on_serving(self, _: Mapping[str, Any]) -> None:
        """The successor serves."""
        self.host.release()
        self.connection.send(Verb.RELEASED.value)
        self.send_socket_counts()

    def on_released(self, _: Mapping[str, Any]) -> None:
        """The predecessor has released the addresses."""
        self.released.set()

    def on_sockets(self, values: Mapping[str, Any]) -> None:
        """How many sockets the other process has open."""
        clients, backends = from_plain(tuple[int, ...], values["count"])
        self.host.set_peer_socket_counts(max(0, clients), max(0, backends))

    def send(self, message: HandoverMessage) -> None:
        """Send what the decision core did here, if there is another process."""
        if self.connection:
            self.connection.send(
                MESSAGE_NAMES[type(message)], record=to_plain(message), **optional_fields(message)
            )

    def on_lost(self, connection: HandoverConnection) -> None:
        """The other process has ended, or its connection was aborted."""
        if connection is self.connection:
            self.connection = None
            self.ended.set()
            self.host.set_peer_socket_counts(0, 0)
            self.host.handover_peer_sent(HandoverPeerGone())

    def close(self) -> None:
        """Stop listening, and close the connection."""
        if self.count_timer:
            self.count_timer.cancel()
        if self.server:
            self.server.close()
        if self.connection:
            self.connection.transport.close()
