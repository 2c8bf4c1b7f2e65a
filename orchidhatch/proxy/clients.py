"""Client connections: commands in, answers out in the order of the commands."""

import asyncio
import contextlib
import logging
import math
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from orchidhatch.gateway.events import Request
from orchidhatch.gateway.settings import Idempotency
from orchidhatch.proxy import socket_inspection as looks
from orchidhatch.proxy.config import MOST_US, Config
from orchidhatch.proxy.cpu_accounting import Account, Place
from orchidhatch.proxy.guards import Guard, Refusal
from orchidhatch.proxy.resp import ProtocolError
from orchidhatch.proxy.wait_queues import Waits

log = logging.getLogger(__name__)

MOST_WORDS = 16  # in a command; ours have five at most
MOST_WORD = 64 * 1024  # bytes: the largest value of the protocol
MOST_COMMAND = MOST_WORD + 4096
MOST_PIPELINED = 16  # commands read ahead on a connection before its reading pauses
MOST_WAIT_MS = 24 * 3600 * 1000

PATIENCE_S = 2.4  # for a command to be whole: a client may take 2 s, and a front door 3 s to answer or close
SWEEP_S = 0.1  # how often it is looked for, and whether a client has left that is not read from
MOST_UNSENT = 16 * 1024  # bytes that wait for a client before it counts as slow
# Of long values, what memory allows is taken in ahead of slow clients, as a backend's attempt is out until it
# is read. The program itself needs up to 16 MB, and there may be two of it, each with a third of the rest.
PROGRAM_MB, POOL_SHARE, LEAST_POOL = 32, 3, 1 << 20
# Short answers are whole when they come, and cannot be paused: past this many pools the slowest client goes.
SHED_POOLS = 2
STALL_S = 30.0  # how long a client may take nothing of what waits for it
LINGER_S = 1.0  # for the client's end, after ours, where it had sent more: what comes meanwhile is dropped

FAILED = b"-ERR failed\r\n"
SLOW = b"-ERR no whole command came in time\r\n"
EMPTYING = b"-ERR takes no new clients\r\n"
CROWDED = b"-ERR max number of clients reached\r\n"
CUSTOMERS = 1 << 33
HEX = frozenset(b"0123456789abcdefABCDEF")


class CommandError(Exception):
    """A well-formed command that is wrong; the connection lives."""


class CommandReader:
    """Cuts a stream of bytes into commands: arrays of bulk strings, and nothing else."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """The commands that are whole by now."""
        self.buffer += data
        start = 0
        try:
            while (found := self.command(start)) is not None:
                words, start = found
                if words:
                    yield words
        finally:
            del self.buffer[:start]
        if len(self.buffer) > MOST_COMMAND:
            raise ProtocolError("too big a command")

    def command(self, at: int) -> tuple[list[bytes], int] | None:
        head = self.length(at, b"*", MOST_WORDS)
        if head is None:
            return None
        count, at = head
        words = []
        for _ in range(count):
            head = self.length(at, b"$", MOST_WORD)
            if head is None:
                return None
            size, at = head
            end = at + size
            if len(self.buffer) < end + 2:
                return None
            if self.buffer[end : end + 2] != b"\r\n":
                raise ProtocolError("a bulk string is longer than it says")
            words.append(bytes(self.buffer[at:end]))
            at = end + 2
        return words, at

    def length(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        """The number in a line such as `*3`, and where the next one begins; None if it is not whole."""
        if len(self.buffer) <= at:
            return None
        if self.buffer[at : at + 1] != mark:
            raise ProtocolError(f"expected '{mark.decode()}'")
        end = self.buffer.find(b"\r\n", at, at + 16)
        digits = self.buffer[at + 1 : end if end >= 0 else at + 16].removesuffix(b"\r")
        if (digits and not digits.isdigit()) or (end < 0 and len(digits) > 12) or (end >= 0 and not digits):
            raise ProtocolError("invalid length")
        if end < 0:
            return None
        if int(digits) > most:
            raise ProtocolError("too long")
        return int(digits), end + 2


@dataclass(frozen=True, slots=True)
class Command:
    """A request as the module sees it, and the words to pass on."""

    request: Request
    words: list[bytes]
    fields_head: bytes  # the list of names and values before and after the time that the client waits
    fields_tail: bytes

    def payload(self, wait_us: int) -> bytes:
        """The command for a backend: unchanged but for how long this front door will wait."""
        fields = b"%b%d%b" % (self.fields_head, max(1, wait_us // 1000), self.fields_tail)
        words = [*self.words[:3], fields, *self.words[4:]]
        return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])


def whole(text: str, name: str, least: int, most: int) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > 12 or not least <= int(text) <= most:
        raise CommandError(f"invalid {name}")
    return int(text)


class CommandParser:
    """Checks commands against the settings, so that what is wrong reaches neither module nor backend."""

    def __init__(self, config: Config) -> None:
        self.classes, self.plans, self.settings = config.class_numbers, config.plan_numbers, config.settings

    def parse(self, words: list[bytes], answer_margin_us: int, most_us: int = MOST_US) -> Command:
        is_write = words[0] == b"SVC.SUBMIT"
        if not is_write and words[0] != b"SVC.QUERY":
            raise CommandError("unknown command")
        if len(words) != 4 + is_write:
            raise CommandError("wrong number of arguments")
        customer, request_id = self.customer(words[1]), self.request_id(words[2])
        try:
            parts = [part.partition("=") for part in words[3].decode("ascii").split(",")]
        except UnicodeDecodeError:
            raise CommandError("invalid fields") from None
        values = {name: value for name, _, value in parts}
        if not all(name and sign for name, sign, _ in parts):
            raise CommandError("invalid fields")
        if len(values) != len(parts):
            raise CommandError("a field is given twice")
        number = self.class_number(values, is_write)
        plan = self.plans.get(values.get("t", ""))
        if plan is None:
            raise CommandError("unknown plan")
        wait_ms = whole(values.get("d", ""), "time", 0, MOST_WAIT_MS)
        request = Request(
            id=request_id,
            class_index=number,
            plan_index=plan,
            customer=customer,
            time_left_us=min(most_us, max(0, wait_ms * 1000 - answer_margin_us)),
            units=self.units(values),
            set_size=whole(values.get("spread", "1"), "spread", 1, self.settings.gateway_count),
            set_first=whole(values.get("first", "0"), "first", 0, self.settings.gateway_count - 1),
            is_repeat=values.get("r") == "1",
            is_write=is_write,
            size_bytes=sum(map(len, words)),
        )
        at = words[3].find(b"d=") if words[3].startswith(b"d=") else words[3].find(b",d=") + 1
        return Command(request, words, words[3][: at + 2], words[3][at + 2 + len(values["d"]) :])

    def customer(self, word: bytes) -> str:
        if len(word) != 16 or not HEX.issuperset(word) or int(word, 16) >= CUSTOMERS:
            raise CommandError("invalid customer")
        return word.decode().lower()

    def request_id(self, word: bytes) -> str:
        if not 0 < len(word) <= 64 or not word.isalnum():
            raise CommandError("invalid id")
        return word.decode()

    def class_number(self, values: dict[str, str], is_write: bool) -> int:
        number = self.classes.get(values.get("c", ""))
        if number is None:
            raise CommandError("unknown class")
        effect = self.settings.classes[number].idempotency
        if is_write == (effect is Idempotency.SAFE):
            raise CommandError("the command does not serve this class")
        if effect is Idempotency.KEYED and not values.get("k"):
            raise CommandError("a key is missing")
        return number

    def units(self, values: dict[str, str]) -> float:
        try:
            units = float(values.get("units", "1"))
        except ValueError:
            units = math.nan
        if not 0 < units <= 1e6:  # also false for what is not a number
            raise CommandError("invalid units")
        return units


class CloseReason(StrEnum):
    """Why the gateway closes a client's connection."""

    BETWEEN_REQUESTS = "between_requests"
    """Idle, in a drain, over a malformed command, for a new client, or as no command came in time."""
    CLIENT_LEFT = "client_left"
    VALUE_BROKE = "value_broke"
    """A long value that had begun to be sent cannot be finished."""
    READS_NOTHING = "reads_nothing"
    PROCESS_ENDS = "process_ends"


class Source(Protocol):
    """Where the pieces of an answer come from."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...


class Reply:
    """The place of one answer among those of its connection; a long one comes in pieces."""

    __slots__ = ("connection", "data", "id", "moved_s", "paused", "source", "whole")

    def __init__(self, connection: "ClientConnection", data: bytes | None = None) -> None:
        self.connection, self.data, self.whole = connection, data, data is not None
        self.id: str | None = None  # of the request that it answers
        self.source: Source | None = None
        self.paused, self.moved_s = False, 0.0

    def send(self, data: bytes) -> None:
        """The whole answer, or the last of its pieces."""
        if not self.whole:
            self.data, self.whole = (self.data or b"") + data, True
            self.connection.flush()

    def begin(self, data: bytes, source: Source) -> None:
        self.data, self.source = data, source
        self.moved_s = self.connection.clients.clock()
        self.connection.update_reading()

    def is_last(self) -> bool:
        """Whether no answer to a further command is owed behind it."""
        return bool(self.connection.replies) and self.connection.replies[-1] is self

    def is_streaming(self) -> bool:
        """Whether its pieces come, and the last of them has not."""
        return self.source is not None and not self.whole

    def end_if_client_left(self, may_be_unread: bool) -> bool:
        """End the client's connection if it has left; whether it has.

        Its end is looked for at the socket where it may not have been read yet.
        """
        if self.connection.reading and not may_be_unread:
            return False
        return self.connection.end_if_left()

    def more(self, data: bytes) -> None:
        """A further piece; while it cannot leave, the source is paused."""
        self.data += data
        self.moved_s = self.connection.clients.clock()
        self.connection.flush()
        self.connection.measure()
        if self.connection.clogged or self.data:
            self.hold(self.connection.clients.crowded())

    def hold(self, wanted: bool) -> None:
        if self.source and wanted != self.paused:
            self.paused = wanted
            (self.source.pause if wanted else self.source.resume)()

    def cut(self) -> None:
        """The rest will not come: the client can tell only by the end of its connection."""
        if not self.whole:
            self.whole, self.source = True, None
            self.connection.cut(self)


class ClientConnection(asyncio.Protocol):
    """A client's connection; answers leave in the order of its commands."""

    def __init__(self, clients: "Clients") -> None:
        self.clients = clients
        self.reader = CommandReader()
        self.replies: deque[Reply] = deque()
        self.transport: asyncio.Transport | None = None
        self.closing, self.reading, self.clogged = False, True, False
        self.unsent, self.lost = 0, False  # bytes that wait for the client, when last looked at
        self.last = False  # reads no more; closes once all is answered
        self.taking = False  # amid what has come: what lies behind a command that is answered is owed too
        self.due_s: float | None = None  # when the command that is awaited must be whole
        self.proven = False  # has had a request taken
        self.paused_s = self.moved_s = 0.0  # when its reading paused; when it last took of what waits
        self.clogged_s = 0.0
        self.linger_until_s: float | None = None  # our side is shut, and what comes is read and dropped

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(MOST_UNSENT)
        self.awaits_command()  # who connects has something to ask
        self.clients.opened(self)

    def data_received(self, data: bytes) -> None:
        was = self.clients.account.enter(Place.CLIENTS)
        try:
            if not self.closing:
                self.read(data)
        finally:
            self.clients.account.leave(was)

    def read(self, data: bytes) -> None:
        self.taking = True
        try:
            for words in self.reader.feed(data):
                self.command_came()
                self.command(words)
            if self.reader.buffer and self.due_s is None:
                self.awaits_command()
        except ProtocolError as error:
            self.clients.unreadable += 1
            self.finish(b"-ERR Protocol error: %b\r\n" % str(error).encode())
        except Exception:
            # A fault of ours costs this connection, not the front door, and still answers what it owes.
            log.exception("a client's connection failed")
            self.fail_all()
            self.finish(b"-ERR internal error\r\n")
        self.taking = False
        if not self.replies and not self.closing:
            self.clients.rests(self)
        self.update_reading()

    def command(self, words: list[bytes]) -> None:
        reply = Reply(self)
        self.replies.append(reply)
        self.clients.busy(self)
        self.last = self.last or self.clients.reads_no_more
        name = words[0].upper()
        if name == b"PING" and len(words) <= 2:
            reply.send(self.clients.pong(words[1:]))
            return
        try:
            self.clients.take(words, reply)
            self.proven = True
        except CommandError as error:
            self.clients.malformed += 1
            reply.send(b"-ERR %b\r\n" % str(error).encode())

    def flush(self) -> None:
        was = self.clients.account.enter(Place.CLIENTS)
        try:
            self.write()
        finally:
            self.clients.account.leave(was)

    def write(self) -> None:
        assert self.transport is not None
        ready = []
        while self.replies and self.replies[0].data is not None:
            first = self.replies[0]
            ready.append(first.data)
            if not first.whole:
                first.data = b""
                break
            self.replies.popleft()
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))
            if self.clogged:
                self.measure()
        if not self.replies:
            if self.closing:
                self.shut()
            elif not self.taking:
                self.clients.rests(self)
        self.update_reading()

    def finish(self, data: bytes) -> None:
        """A last answer, then close."""
        self.closing = True
        self.replies.append(Reply(self, data))
        self.flush()

    def cut(self, reply: Reply) -> None:
        """End the connection over an answer that cannot be finished."""
        self.closing = True
        self.refuse_if_owed(CloseReason.VALUE_BROKE)
        self.clients.closes[CloseReason.VALUE_BROKE] += 1
        self.abort()

    def refuse_if_owed(self, reason: "CloseReason") -> bool:
        """Count the close as a broken rule if answers are owed here; whether they are."""
        owed = [reply for reply in self.replies if not reply.whole]
        for reply in owed:
            self.clients.guard.refuse(Refusal.ANSWER_OWED, reply.id or "", f"close={reason.value}")
        return bool(owed)

    def end_if_left(self) -> bool:
        """End the connection if its client has left, also where its end was not read yet; whether it has."""
        if self.transport is None or not (self.transport.is_closing() or looks.left(self.transport)):
            return False
        self.clients.closes[CloseReason.CLIENT_LEFT] += 1
        self.leave()
        self.abort()
        return True

    def fail_all(self) -> None:
        for reply in [reply for reply in self.replies if not reply.whole]:
            self.clients.gone(reply)
            reply.send(FAILED)

    def update_reading(self) -> None:
        """Read no further ahead than what fits: neither many commands nor answers that nobody reads."""
        if self.transport is None or self.transport.is_closing() or self.linger_until_s is not None:
            return
        wanted = len(self.replies) < MOST_PIPELINED and not self.clogged and not self.last
        if wanted and self.replies and self.replies[-1].source is not None:
            wanted = not self.replies[-1].is_streaming()
        if wanted and not self.reading:
            self.clients.unread_waits.note(self.clients.since_us(self.paused_s))
            self.transport.resume_reading()
        elif self.reading and not wanted:
            self.paused_s = self.clients.clock()
            self.transport.pause_reading()
            self.clients.sweep_later()  # its end would not be read meanwhile
        self.reading = wanted

    def pause_writing(self) -> None:
        self.clogged, self.clogged_s = True, self.clients.clock()
        self.moved_s = self.clogged_s
        self.measure()
        self.update_reading()

    def resume_writing(self) -> None:
        self.clogged = False
        self.clients.unsent_waits.note(self.clients.since_us(self.clogged_s))
        self.measure()
        if self.replies:
            self.replies[0].hold(False)
        self.update_reading()

    def measure(self) -> None:
        """Count what waits here for the client among what waits for all of them."""
        unsent = 0
        if self.transport and not self.lost:
            blocked = sum(len(reply.data) for reply in self.replies if reply.data)
            unsent = self.transport.get_write_buffer_size() + blocked
        if unsent < self.unsent or not self.unsent:
            self.moved_s = self.clients.clock()
        self.clients.unsent += unsent - self.unsent
        self.unsent = unsent
        if unsent:
            self.clients.sweep_later()

    def eof_received(self) -> None:
        """The client has gone. The loop first writes what is left for it, and tells of the end only then."""
        self.leave()

    def leave(self) -> None:
        """Nothing is owed any more on what is open here."""
        self.closing = True
        replies = list(self.replies)
        self.replies.clear()
        for reply in replies:
            if not reply.whole:
                self.clients.gone(reply)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self.leave()
        self.measure()
        self.clients.closed(self)

    def awaits_command(self) -> None:
        self.due_s = self.clients.clock() + PATIENCE_S
        self.clients.sweep_later()

    def command_came(self) -> None:
        if self.due_s is not None:
            self.clients.partial_waits.note(self.clients.since_us(self.due_s - PATIENCE_S))
            self.due_s = None

    def overdue(self, now_s: float) -> bool:
        late = not self.closing and not self.replies and self.due_s is not None and now_s >= self.due_s
        # After a long turn of the loop timers go ahead of what has come meanwhile.
        return late and not looks.unread(self.transport)

    def close(self) -> None:
        """Close between requests."""
        if not self.closing and not self.replies and self.transport:
            self.closing = True
            self.shut()

    def shut(self) -> None:
        """Close once all that was written has reached the client.

        Where bytes of it lie unread, the system would answer a close by a reset, and drop what it still holds
        for the client. So only our side is ended then, and what comes is read and dropped until the client
        ends its own, for LINGER_S at the most.
        """
        if self.transport.is_closing() or self.linger_until_s is not None:
            return
        if self.refuse_if_owed(CloseReason.BETWEEN_REQUESTS):
            return
        self.clients.closes[CloseReason.BETWEEN_REQUESTS] += 1
        if not self.transport.get_write_buffer_size() and not looks.unread(self.transport):
            self.transport.close()
            return
        self.linger_until_s = self.clients.clock() + LINGER_S
        self.transport.write_eof()
        if not self.reading:
            self.reading = True
            self.transport.resume_reading()
        self.clients.sweep_later()

    def end_linger(self, now_s: float) -> None:
        """Close a connection whose client has not ended it in time after all was written."""
        if self.transport.get_write_buffer_size():
            self.linger_until_s = now_s + LINGER_S
        elif now_s >= self.linger_until_s:
            self.transport.close()

    def is_swept(self) -> bool:
        """Whether time alone may end it, or let it go on."""
        waits = self.due_s is not None or self.linger_until_s is not None
        return waits or bool(self.unsent) or not self.reading

    def awaited(self) -> bool:
        """Whether a command has begun to come, or has come whole and was not read yet."""
        return bool(self.reader.buffer) or looks.unread(self.transport)

    def read_no_more(self) -> None:
        """What is open is answered; what comes now is not read, and the client sends it elsewhere."""
        self.last = bool(self.replies)
        self.update_reading()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


class Clients:
    """All client connections, bounded in number."""

    def __init__(
        self,
        most: int,
        take: Callable[[list[bytes], Reply], None],
        gone: Callable[[Reply], None],
        account: Account | None = None,
        guard: Guard | None = None,
    ) -> None:
        self.account = account or Account()
        self.guard = guard or Guard()
        self.closes: Counter[CloseReason] = Counter()  # by the gateway, since the start
        self.most, self.take, self.gone = most, take, gone
        self.others = 0  # held by another process that is this front door too
        self.clock: Callable[[], float] = time.monotonic
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}  # between requests; the one idle longest first
        self.unproven: dict[ClientConnection, None] = {}  # the same for those that have asked nothing yet
        self.pool = LEAST_POOL  # bytes of long values that may wait for slow clients
        self.unsent = 0  # those that do
        self.welcome = True  # what PING is told
        self.said_no = asyncio.Event()  # it was told so
        self.draining = self.reads_no_more = False
        self.sweeping = False  # a sweep is due
        self.empty = asyncio.Event()
        self.unread_waits, self.partial_waits, self.unsent_waits = Waits(), Waits(), Waits()
        self.malformed = self.unreadable = 0  # commands that got an error; connections that ended over one
        self.crowded_out = self.slow = self.cut = 0  # connections ended: no room, no command, no reader

    def since_us(self, then_s: float) -> int:
        return round((self.clock() - then_s) * 1e6)

    def connection(self) -> ClientConnection:
        return ClientConnection(self)

    def opened(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        if len(self.connections) + self.others > self.most:
            self.make_room(connection)
        if not connection.closing:
            self.wait(connection)

    def make_room(self, connection: ClientConnection) -> None:
        """End one for a new one: first of those that have been served.

        The first request on a connection may come late, and would be lost with it; a client that has
        been served sends one that crosses the close again.
        """
        self.crowded_out += 1
        silent = (one for one in [*self.idle, *self.unproven] if one is not connection and not one.awaited())
        oldest = next(silent, None)
        if oldest:
            self.busy(oldest)
            oldest.close()
        else:
            connection.finish(CROWDED)

    def pong(self, text: list[bytes]) -> bytes:
        """The answer to PING."""
        if not self.welcome:
            self.said_no.set()
            return EMPTYING
        return b"$%d\r\n%b\r\n" % (len(text[0]), text[0]) if text else b"+PONG\r\n"

    def sweep(self) -> None:
        """Let go of those that connect and ask nothing, or stop amid a command; again while any may."""
        self.sweeping = False
        now_s = self.clock()
        for connection in [one for one in self.connections if not one.reading]:
            connection.end_if_left()
        for connection in [connection for connection in self.connections if connection.overdue(now_s)]:
            self.slow += 1
            if connection.reader.buffer:
                connection.finish(SLOW)
            else:
                connection.close()  # an error line could be taken for the answer to what comes at last
        for connection in [one for one in self.connections if one.linger_until_s is not None]:
            connection.end_linger(now_s)
        self.take_in_more()
        self.shed(now_s)
        if any(one.is_swept() for one in self.connections):
            self.sweep_later()

    def sweep_later(self) -> None:
        if not self.sweeping:
            self.sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_S, self.account.run, Place.CLIENTS, self.sweep)

    def shed(self, now_s: float) -> None:
        """Let go of clients that take nothing of what waits for them, long or while too much waits for all.

        A value that is passed on in pieces has a limit of its own, as its backend may be what does not move.
        """
        stuck = sorted(
            (
                connection
                for connection in self.connections
                if connection.unsent and not any(reply.source for reply in connection.replies)
            ),
            key=lambda connection: connection.moved_s,
        )
        for connection in stuck:
            if now_s - connection.moved_s < STALL_S and self.unsent <= SHED_POOLS * self.pool:
                break
            log.warning(
                "cut a client that left %d bytes unread for %.1f s",
                connection.unsent,
                now_s - connection.moved_s,
            )
            self.cut += 1
            self.closes[CloseReason.READS_NOTHING] += 1
            connection.abort()
            self.unsent -= connection.unsent
            connection.unsent = 0

    def set_pool(self, memory_mb: int) -> None:
        self.pool = max(LEAST_POOL, (memory_mb - PROGRAM_MB) * (1 << 20) // POOL_SHARE)

    def crowded(self) -> bool:
        return self.unsent > self.pool

    def take_in_more(self) -> None:
        """Look again at what waits; where there is room, go on with the values that were paused."""
        for connection in self.connections:
            if connection.unsent:
                connection.measure()
        for connection in self.connections:
            for reply in connection.replies:
                if reply.paused and not self.crowded():
                    reply.hold(False)

    def busy(self, connection: ClientConnection) -> None:
        self.idle.pop(connection, None)
        self.unproven.pop(connection, None)

    def rests(self, connection: ClientConnection) -> None:
        """It has no request open."""
        if connection.last or (self.draining and not connection.awaited()):
            connection.close()
        else:
            self.wait(connection)

    def wait(self, connection: ClientConnection) -> None:
        (self.idle if connection.proven else self.unproven)[connection] = None

    def closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.unproven.pop(connection, None)
        if not self.connections:
            self.empty.set()

    def drain(self) -> None:
        """Close what is idle, and what becomes so; a command that has begun to come is awaited."""
        self.draining = True
        for connection in [*self.idle, *self.unproven]:
            if not connection.awaited():
                connection.close()

    def read_no_more(self) -> None:
        """The same, and no more is read behind what is open now, or behind the next that comes."""
        self.drain()
        self.reads_no_more = True
        for connection in self.connections:
            connection.read_no_more()

    def take_again(self) -> None:
        """Undo a drain; connections that were to close do so."""
        self.welcome, self.draining, self.reads_no_more = True, False, False
        self.said_no.clear()

    async def left(self, within_s: float) -> bool:
        """Wait for the last connection to end; whether it has."""
        if self.connections:
            self.empty.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.empty.wait(), within_s)
        return not self.connections

    def close(self) -> None:
        """End all connections, whatever is open on them."""
        for connection in list(self.connections):
            self.closes[CloseReason.PROCESS_ENDS] += 1
            connection.abort()
