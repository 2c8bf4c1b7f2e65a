"""The relay on a way between two processes: passes on what comes, and does to it what it is told.

A cut way keeps what is sent on it, as the sender's own kernel would go on sending it; a connection that is
begun over a cut comes to nothing, and is reset once the way is whole. All of a trial's relays share a loop.
"""

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from orchidhatch.faults.events import Recorder

Address = tuple[str, int]
# Makes what is done to the bytes of one connection, answers or what is sent there, as they are passed on.
Alter = Callable[[], Callable[[bytes], bytes]]
MOST_KEPT = 1 << 20  # bytes of one direction of a connection; past it the sender is not read any more
MOST_DATAGRAMS = 10_000  # of one way, that are on it
CONNECT_S = 5.0
HALF_READ_S = 0.02  # for the first half of an answer to be read, as a reset takes back what is not
AT_ONCE = struct.pack("ii", 1, 0)  # struct linger: what is unsent is dropped, and the peer gets a reset
END, RESET = b"", None  # in place of data: the sender has ended; the connection breaks


@dataclass
class Direction:
    """What one direction of a way does now."""

    delay_s: float = 0.0
    spread_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: without bound
    loss: float = 0.0  # of datagrams, as the two below
    double: float = 0.0
    turn: float = 0.0  # share that is overtaken by the next
    closed: bool = False  # cut or held

    def lateness(self, size: int, chance: random.Random) -> float:
        late = self.delay_s + self.spread_s * chance.random()
        return late + (size / self.bytes_per_s if self.bytes_per_s else 0.0)


@dataclass
class Way:
    """A way by its name, from its beginner to whom it reaches; `there` is the beginner's direction."""

    name: str
    recorder: Recorder
    chance: random.Random
    there: Direction = field(default_factory=Direction)
    back: Direction = field(default_factory=Direction)
    cut: bool = False  # new connections come to nothing
    mute: bool = False  # connections are taken, and nothing is passed on
    break_next: bool = False  # the next answer is broken in its middle
    links: set["Link"] = field(default_factory=set)

    def directions(self, which: str) -> list[Direction]:
        return {"there": [self.there], "back": [self.back], "both": [self.there, self.back]}[which]

    def opened(self) -> None:
        """Something was mended: what was kept goes on, what came to nothing is reset."""
        for link in list(self.links):
            link.go_on()


def reset(transport: asyncio.Transport) -> None:
    """End it so that the other side sees a reset, and no orderly end."""
    if not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
        transport.abort()


class Pipe:
    """One direction of a connection: what is on its way, in order."""

    def __init__(self, link: "Link", direction: Direction) -> None:
        self.link, self.direction = link, direction
        self.kept: deque[tuple[float, bytes | None]] = deque()
        self.size, self.last_s = 0, 0.0
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.paused = self.ended = False
        self.alter: Callable[[bytes], bytes] | None = None

    def feed(self, data: bytes | None) -> None:
        now = time.monotonic()
        self.last_s = max(self.last_s, now + self.direction.lateness(len(data or b""), self.link.way.chance))
        self.kept.append((self.last_s, data))
        self.size += len(data or b"")
        if self.size > MOST_KEPT and not self.paused and not self.source.is_closing():
            self.source.pause_reading()
            self.paused = True
        self.flush()

    def flush(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.direction.closed or self.sink is None:
            return
        now = time.monotonic()
        while self.kept and self.kept[0][0] <= now:
            _, data = self.kept.popleft()
            self.size -= len(data or b"")
            self.put(data)
        if self.kept:
            self.timer = asyncio.get_running_loop().call_later(self.kept[0][0] - now, self.flush)
        if self.paused and self.size <= MOST_KEPT // 2 and not self.source.is_closing():
            self.source.resume_reading()
            self.paused = False

    def put(self, data: bytes | None) -> None:
        if self.sink.is_closing():
            return
        if data is RESET:
            reset(self.sink)
        elif data == END:
            self.ended = True
            self.link.end_half(self)
        elif self.link.way.break_next and self is self.link.back:
            self.link.way.break_next = False
            self.sink.write(data[: len(data) // 2])
            self.link.recorder.note("broken", self.link.way.name, port=self.link.port)
            asyncio.get_running_loop().call_later(HALF_READ_S, self.link.break_off)
        else:
            # Who has left reads nothing more: what still comes for it was told to nobody.
            self.sink.write(self.alter(data) if self.alter and not self.link.gone else data)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()


class End(asyncio.Protocol):
    """One of the two sockets of a link."""

    def __init__(self, link: "Link", pipe: Pipe, is_beginner: bool) -> None:
        self.link, self.pipe, self.is_beginner = link, pipe, is_beginner

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.pipe.source = transport
        if self.is_beginner:
            self.link.begun(transport)

    def data_received(self, data: bytes) -> None:
        self.pipe.feed(data)

    def eof_received(self) -> bool:
        if self.is_beginner:
            self.link.left()
        self.pipe.feed(END)
        return True  # the other direction goes on

    def connection_lost(self, error: Exception | None) -> None:
        if self.is_beginner:
            self.link.left()
        self.pipe.feed(RESET if error else END)
        self.link.lost()


class Link:
    """A connection over a way."""

    def __init__(self, way: Way, to: Address, alter: Alter | None, alter_there: Alter | None) -> None:
        self.way, self.to, self.recorder = way, to, way.recorder
        self.there, self.back = Pipe(self, way.there), Pipe(self, way.back)
        self.back.alter = alter() if alter else None
        self.there.alter = alter_there() if alter_there else None
        self.doomed = way.cut or way.mute  # it never comes up
        self.port, self.gone, self.ends = 0, False, 0
        self.task: asyncio.Task[None] | None = None

    def begun(self, transport: asyncio.Transport) -> None:
        self.back.sink = transport
        self.way.links.add(self)
        if not self.doomed:
            self.task = asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                transport, _ = await loop.create_connection(lambda: End(self, self.back, False), *self.to)
        except (OSError, TimeoutError):
            self.recorder.note("refused", self.way.name)
            self.break_off()
            return
        self.port = transport.get_extra_info("sockname")[1]
        self.recorder.note("opened", self.way.name, port=self.port)
        if self.gone:  # it left meanwhile; what it sent is passed on all the same
            self.recorder.note("left", self.way.name, port=self.port)
        self.there.sink = transport
        self.there.flush()

    def left(self) -> None:
        """Its beginner has ended it: from now on nothing that it asked for counts as out."""
        if not self.gone:
            self.gone = True
            if self.port:
                self.recorder.note("left", self.way.name, port=self.port)

    def end_half(self, pipe: Pipe) -> None:
        """A direction has ended; both have: so has the connection."""
        if self.there.ended and self.back.ended:
            self.there.sink.close()
            self.back.sink.close()
        else:
            pipe.sink.write_eof()

    def lost(self) -> None:
        self.ends += 1
        if self.ends == 2 or self.there.sink is None:
            self.close()

    def go_on(self) -> None:
        if self.doomed and not (self.way.cut or self.way.mute):
            self.break_off()
        self.there.flush()
        self.back.flush()

    def break_off(self) -> None:
        for pipe in (self.there, self.back):
            if pipe.sink:
                reset(pipe.sink)

    def close(self) -> None:
        self.there.close()
        self.back.close()
        self.way.links.discard(self)


class TcpRelay:
    """Takes connections at an address and passes them on over a way."""

    def __init__(
        self, way: Way, to: Address, alter: Alter | None = None, alter_there: Alter | None = None
    ) -> None:
        self.way, self.to, self.alter, self.alter_there = way, to, alter, alter_there
        self.server: asyncio.Server | None = None
        self.at: Address = ("", 0)
        self.task: asyncio.Task[Address] | None = None
        self.links: set[Link] = set()  # begun here, ended ones too until the next begins

    async def start(self, host: str, port: int = 0) -> Address:
        def begin() -> End:
            link = Link(self.way, self.to, self.alter, self.alter_there)
            self.links = {known for known in self.links if known in self.way.links} | {link}
            return End(link, link.there, True)

        self.server = await asyncio.get_running_loop().create_server(begin, host, port, backlog=1024)
        self.at = self.server.sockets[0].getsockname()
        return self.at

    def refuse(self) -> None:
        """Whom it leads to is gone: no more connections are taken."""
        if self.server:
            self.server.close()
            self.server = None

    def break_links(self) -> None:
        """Break the connections that were begun here."""
        for link in self.links & self.way.links:
            link.break_off()

    def listen_again(self) -> None:
        if not self.server:
            self.task = asyncio.ensure_future(self.start(*self.at))

    def close(self) -> None:
        self.refuse()
        for link in list(self.way.links):
            if link.task:
                link.task.cancel()
            link.break_off()
            link.close()


class Datagrams(asyncio.DatagramProtocol):
    """Where one process's words to another one come in, and the other's to it go out from."""

    def __init__(self, way: Way) -> None:
        self.way = way
        self.transport: asyncio.DatagramTransport | None = None
        self.opposite: Datagrams | None = None  # of the same two processes, the other way round
        self.to: Address | None = None  # the process that this relay's words go to
        self.kept: deque[bytes] = deque(maxlen=MOST_DATAGRAMS)  # while the way is held
        self.turned: bytes | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.take(data)

    def error_received(self, error: OSError) -> None:
        """A process that is down refuses its words, as on a real network."""

    def take(self, data: bytes) -> None:
        there, chance = self.way.there, self.way.chance
        if self.way.cut or chance.random() < there.loss:
            return
        if there.closed:
            self.kept.append(data)
        elif self.turned is None and chance.random() < there.turn:
            self.turned = data  # until the next has gone
        else:
            for one in self.copies(data):
                late = there.lateness(len(one), chance)
                if late:
                    asyncio.get_running_loop().call_later(late, self.put, one)
                else:
                    self.put(one)

    def copies(self, data: bytes) -> Iterator[bytes]:
        yield data
        if self.way.chance.random() < self.way.there.double:
            yield data
        if self.turned is not None:
            turned, self.turned = self.turned, None
            yield turned

    def put(self, data: bytes) -> None:
        if not self.opposite.transport.is_closing():
            self.opposite.transport.sendto(data, self.to)

    def go_on(self) -> None:
        kept, self.kept = self.kept, deque(maxlen=MOST_DATAGRAMS)
        for data in kept:
            self.take(data)


class Watchman:
    """How late the loop that carries all relays is: a trial on a machine that is too slow says nothing."""

    TICK_S = 0.02

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.late_s: list[float] = []
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.ensure_future(self.watch())

    async def watch(self) -> None:
        while True:
            due = time.monotonic() + self.TICK_S
            await asyncio.sleep(self.TICK_S)
            self.late_s.append(max(0.0, time.monotonic() - due))

    async def close(self) -> None:
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        late = sorted(self.late_s) or [0.0]
        self.recorder.note(
            "relay",
            "loop",
            ticks=len(late),
            median_ms=late[len(late) // 2] * 1e3,
            p99_ms=late[len(late) * 99 // 100] * 1e3,
            most_ms=late[-1] * 1e3,
        )
