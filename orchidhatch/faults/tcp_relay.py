"""The relay of TCP connections over a link: passes on what comes, as the link's faults let it."""

import asyncio
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from enum import Enum

from orchidhatch.faults.links import Address, Direction, Link

Alter = Callable[[], Callable[[bytes], bytes]]
"""Makes what alters the bytes of one direction of a connection as they are passed on."""

MAX_QUEUED_BYTES = 1 << 20
"""Of one direction of a connection; past it the sender is not read any more."""
CONNECT_TIMEOUT_S = 5.0
HALF_ANSWER_DELAY_S = 0.02
"""For the first half of an answer to be read, as a reset takes back what is not."""
LISTEN_BACKLOG = 1024
LINGER_NONE = struct.pack("ii", 1, 0)
"""As SO_LINGER: what is unsent is dropped, and the peer gets a reset."""


class Ending(Enum):
    """How a direction of a connection ended, in place of data."""

    END = "end"
    """The sender has shut its side down."""
    RESET = "reset"
    """The connection breaks."""


Piece = bytes | Ending


def reset(transport: asyncio.Transport) -> None:
    """Close it so that the other side sees a reset, and no orderly end."""
    if not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        transport.abort()


class RelayedStream:
    """One direction of a relayed connection: what is on its way, in order."""

    def __init__(self, connection: "RelayedConnection", direction: Direction) -> None:
        self.connection = connection
        self.direction = direction
        self.queue: deque[tuple[float, Piece]] = deque()
        """What is on its way, and when it is due at the other side."""
        self.queued_bytes = 0
        self.last_due_s = 0.0
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_paused = False
        self.has_ended = False
        self.alter: Callable[[bytes], bytes] | None = None

    def feed(self, piece: Piece) -> None:
        """Take what the source has sent."""
        size = size_of(piece)
        due_s = time.monotonic() + self.direction.delay_for(size, self.connection.link.chance)
        self.last_due_s = max(self.last_due_s, due_s)
        self.queue.append((self.last_due_s, piece))
        self.queued_bytes += size
        if self.queued_bytes > MAX_QUEUED_BYTES and not self.is_paused and not self.source.is_closing():
            self.source.pause_reading()
            self.is_paused = True
        self.flush()

    def flush(self) -> None:
        """Pass on what is due, unless the direction is closed."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.direction.is_closed or self.sink is None:
            return
        now_s = time.monotonic()
        while self.queue and self.queue[0][0] <= now_s:
            _, piece = self.queue.popleft()
            self.queued_bytes -= size_of(piece)
            self._put(piece)
        if self.queue:
            delay_s = self.queue[0][0] - now_s
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.flush)
        if self.is_paused and self.queued_bytes <= MAX_QUEUED_BYTES // 2 and not self.source.is_closing():
            self.source.resume_reading()
            self.is_paused = False

    def _put(self, piece: Piece) -> None:
        if self.sink.is_closing():
            return
        if piece is Ending.RESET:
            reset(self.sink)
        elif piece is Ending.END or not piece:
            self.has_ended = True
            self.connection.end_half(self)
        elif self.connection.link.breaks_next_answer and self is self.connection.backward:
            self._break_answer(piece)
        elif self.alter and not self.connection.client_has_left:
            self.sink.write(self.alter(piece))
        else:
            # A client that has left reads nothing more, so what still comes for it is not recorded.
            self.sink.write(piece)

    def _break_answer(self, piece: bytes) -> None:
        connection = self.connection
        connection.link.breaks_next_answer = False
        self.sink.write(piece[: len(piece) // 2])
        connection.link.recorder.note("broken", connection.link.name, port=connection.port)
        asyncio.get_running_loop().call_later(HALF_ANSWER_DELAY_S, connection.break_off)

    def close(self) -> None:
        """Pass nothing on any more."""
        if self.timer:
            self.timer.cancel()


def size_of(piece: Piece) -> int:
    """The bytes of a piece; an ending has none."""
    return len(piece) if isinstance(piece, bytes) else 0


class RelaySocket(asyncio.Protocol):
    """One of the two sockets of a relayed connection; the client's side is the one that was accepted."""

    def __init__(self, connection: "RelayedConnection", stream: RelayedStream, is_client_side: bool) -> None:
        self.connection = connection
        self.stream = stream
        self.is_client_side = is_client_side

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The socket is open."""
        self.stream.source = transport
        if self.is_client_side:
            self.connection.accepted(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on what came."""
        self.stream.feed(data)

    def eof_received(self) -> bool:
        """Pass on the end of one direction; the other goes on."""
        if self.is_client_side:
            self.connection.client_left()
        self.stream.feed(Ending.END)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on how the connection ended."""
        if self.is_client_side:
            self.connection.client_left()
        self.stream.feed(Ending.RESET if error else Ending.END)
        self.connection.socket_lost()


class RelayedConnection:
    """A connection over a link: two sockets, and a stream in each direction."""

    def __init__(self, link: Link, to: Address, alter: Alter | None, alter_forward: Alter | None) -> None:
        self.link = link
        self.to = to
        self.recorder = link.recorder
        self.forward = RelayedStream(self, link.forward)
        self.backward = RelayedStream(self, link.backward)
        self.forward.alter = alter_forward() if alter_forward else None
        self.backward.alter = alter() if alter else None
        self.never_connects = link.is_cut or link.is_mute
        self.port = 0
        """Of the socket to the other process."""
        self.client_has_left = False
        self.lost_sockets = 0
        self.task: asyncio.Task[None] | None = None

    def accepted(self, transport: asyncio.Transport) -> None:
        """The client has connected: connect to the other process, unless the link forbids it."""
        self.backward.sink = transport
        self.link.connections.add(self)
        if not self.never_connects:
            self.task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    lambda: RelaySocket(self, self.backward, False), *self.to
                )
        except (OSError, TimeoutError):
            self.recorder.note("refused", self.link.name)
            self.break_off()
            return
        self.port = transport.get_extra_info("sockname")[1]
        self.recorder.note("opened", self.link.name, port=self.port)
        if self.client_has_left:  # meanwhile; what it sent is passed on all the same
            self.recorder.note("left", self.link.name, port=self.port)
        self.forward.sink = transport
        self.forward.flush()

    def client_left(self) -> None:
        """The client has ended it: from now on nothing that it asked for counts as in flight."""
        if self.client_has_left:
            return
        self.client_has_left = True
        if self.port:
            self.recorder.note("left", self.link.name, port=self.port)

    def end_half(self, stream: RelayedStream) -> None:
        """End one direction; close the connection if both have ended."""
        if self.forward.has_ended and self.backward.has_ended:
            self.forward.sink.close()
            self.backward.sink.close()
        else:
            stream.sink.write_eof()

    def socket_lost(self) -> None:
        """One of the sockets is closed."""
        self.lost_sockets += 1
        if self.lost_sockets == 2 or self.forward.sink is None:
            self.close()

    def resume(self) -> None:
        """Pass on what was kept; a connection that never came up is reset once the link is whole."""
        if self.never_connects and not (self.link.is_cut or self.link.is_mute):
            self.break_off()
        self.forward.flush()
        self.backward.flush()

    def break_off(self) -> None:
        """Reset both sockets."""
        for stream in (self.forward, self.backward):
            if stream.sink:
                reset(stream.sink)

    def close(self) -> None:
        """Pass nothing on any more."""
        self.forward.close()
        self.backward.close()
        self.link.connections.discard(self)


class TcpRelay:
    """Accepts connections at an address and passes them on over a link."""

    def __init__(
        self, link: Link, to: Address, alter: Alter | None = None, alter_forward: Alter | None = None
    ) -> None:
        self.link = link
        self.to = to
        self.alter = alter
        self.alter_forward = alter_forward
        self.server: asyncio.Server | None = None
        self.address: Address = ("", 0)
        self.task: asyncio.Task[Address] | None = None
        self.connections: set[RelayedConnection] = set()
        """Accepted here; ended ones too, until the next is accepted."""

    async def start(self, host: str, port: int = 0) -> Address:
        """Listen, and return the address. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, host, port, backlog=LISTEN_BACKLOG)
        self.address = self.server.sockets[0].getsockname()
        return self.address

    def _accept(self) -> RelaySocket:
        connection = RelayedConnection(self.link, self.to, self.alter, self.alter_forward)
        open_connections = {known for known in self.connections if known in self.link.connections}
        self.connections = open_connections | {connection}
        return RelaySocket(connection, connection.forward, True)

    def refuse(self) -> None:
        """Accept no more connections: the process that they lead to is gone."""
        if self.server:
            self.server.close()
            self.server = None

    def break_connections(self) -> None:
        """Break the connections that were accepted here."""
        for connection in self.connections & self.link.connections:
            connection.break_off()

    def listen_again(self) -> None:
        """Accept connections again."""
        if not self.server:
            self.task = asyncio.ensure_future(self.start(*self.address))

    def close(self) -> None:
        """Stop listening, and break all connections over the link."""
        self.refuse()
        for connection in list(self.link.connections):
            if connection.task:
                connection.task.cancel()
            connection.break_off()
            connection.close()
