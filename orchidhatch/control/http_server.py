"""Serving the list over HTTP: one call to a connection, and watches, as the protocol's page gives them."""

import asyncio
import json
import logging
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote, urlsplit

import h11

from orchidhatch.control.registry.store import Store
from orchidhatch.control.schemas import MOST_BODY, InvalidRequestError, listing, read_after

log = logging.getLogger("orchidhatch")

MOST_HEAD = 8192  # bytes
PATIENCE_S = 5.0  # for a whole call to come, and for its answer to be read
BEAT_S = 2.0  # an empty line to each watch, by the protocol
MOST_UNSENT = 256 * 1024  # bytes that a watch may leave unread beyond the list it began with
MOST_WATCHES, MOST_CALLS = 10_000, 2_000  # connections of either kind
MOST_MADE = 64  # lines kept ready for watches, each of them the whole list at most
WHOLE = -1  # in place of a generation that is known: none is
COME_AGAIN_S = (1, 5)  # who is turned away is told a time from these, so that they don't return together
STORE_HEADER = "Orchidhatch-Store"  # whose generations these are: the store's identity and term


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    value: object
    kind: str = "application/json"


def error_body(text: str) -> dict[str, str]:
    return {"error": text}


def unavailable(text: str) -> Response:
    return Response(503, error_body(text))


class Connection(asyncio.Protocol):
    """One call, answered and closed; or a watch, until either side ends it."""

    def __init__(self, server: "EndpointListServer") -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.watches, self.generation = False, 0  # what this watch has been told
        self.leases = False  # whether it is told lives and leases too
        self.answered = False
        self.first = 0  # bytes of the list that a watch began with

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.too_late)
        self.server.calls.add(self)
        if len(self.server.calls) > MOST_CALLS:
            self.server.shed += 1
            self.answer(unavailable("too many calls"))

    def data_received(self, data: bytes) -> None:
        if self.answered or self.watches:
            return
        try:
            self.http.receive_data(data)
            while not self.answered and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
        except h11.RemoteProtocolError as error:
            self.answer(Response(error.error_status_hint, error_body(str(error))))

    def take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self.request = event
            if self.http.they_are_waiting_for_100_continue:
                self.transport.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MOST_BODY:
                self.answer(Response(413, error_body(f"the body is longer than {MOST_BODY} bytes")))
        elif isinstance(event, h11.EndOfMessage):
            try:
                self.server.call(self)
            except (InvalidRequestError, ValueError) as error:
                self.answer(Response(400, error_body(str(error))))
            except Exception:
                log.exception("cannot answer %r", self.request)
                self.answer(Response(500, error_body("internal error")))
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.close()

    def answer(self, answer: Response) -> None:
        """The whole answer, and the end of the connection; nothing where it has ended already."""
        if self.answered or self.watches or self.transport.is_closing():
            return
        self.answered = True
        self.server.count(answer.status)
        value = answer.value
        body = value if isinstance(value, bytes) else json.dumps(value).encode() + b"\n"
        headers = [
            ("Content-Type", answer.kind),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            (STORE_HEADER, self.server.store_name()),
        ]
        if answer.status == 503:
            headers.append(("Retry-After", str(self.server.random.randint(*COME_AGAIN_S))))
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.write(
                self.http.send(h11.Response(status_code=answer.status, headers=headers))
                + self.http.send(h11.Data(data=body))
            )
        self.transport.close()

    def watch(self, after: int, leases: bool) -> None:
        """Begin with what changed since, or else with the whole list."""
        self.timer.cancel()
        self.watches, self.leases = True, leases
        line = self.server.line(after, leases) if after else self.server.whole(leases)  # 0: it knows none
        self.first, self.generation = len(line), self.server.store.generation
        headers = [
            ("Content-Type", "application/json"),
            ("Transfer-Encoding", "chunked"),
            (STORE_HEADER, self.server.store_name()),
        ]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=headers)) + chunk(line))

    def tell(self, data: bytes) -> None:
        """A chunk, unless too much is unread: then the watch ends, and resumes by what it has had."""
        unsent = self.transport.get_write_buffer_size()
        self.first = min(self.first, unsent)  # what is left of the list that it began with
        if unsent - self.first > MOST_UNSENT:
            self.server.cut += 1
            self.transport.abort()
        else:
            self.transport.write(data)

    def too_late(self) -> None:
        if self.answered:
            self.transport.abort()
        else:
            self.answer(Response(408, error_body("no whole call came in time")))
            self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.transport.abort)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.server.calls.discard(self)
        self.server.watches.pop(self, None)


def chunk(data: bytes) -> bytes:
    """A chunk of a body without a length. All watches get the same bytes, so no one's state makes them."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def term_of(name: str) -> int:
    """The term in a store's name; 0 for a service that names none."""
    term = name.rpartition(" ")[2]
    return int(term) if term.isascii() and term.isdigit() and len(term) <= 16 else 0


class EndpointListServer:
    """A list and those who watch it; what else may be asked is its subclasses'."""

    def __init__(self, store: Store, seed: int | None = None) -> None:
        self.store, self.random = store, random.Random(seed)
        self.calls: set[Connection] = set()
        self.watches: dict[Connection, None] = {}
        self.statuses: dict[int, int] = {}
        self.cut = self.shed = 0
        self.lines_of: tuple[str, int, int] | None = None  # the list that these were made of:
        self.made: dict[tuple[int, bool], bytes] = {}  # by what is known, and whether leases are told
        self.closed = False  # whether watches are taken
        self.turn = asyncio.Lock()  # of those who write to the store's file
        self.working: asyncio.Future[None] | None = None
        self.listener: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.beat())]
        self.listener = await loop.create_server(lambda: Connection(self), host, port, backlog=1024)

    async def close(self) -> None:
        if self.listener:
            self.listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, *self.last(), return_exceptions=True)
        for connection in [*self.calls, *self.watches]:
            connection.transport.abort()
        self.store.close()

    def begin(self, job: Coroutine[None, None, None]) -> None:
        """A call that takes a while: kept until it ends, as a loop holds its tasks only weakly."""
        task = asyncio.ensure_future(job)
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)

    async def in_turn(self, work: Callable[[], None]) -> None:
        """Work with the store's file, in a thread, one after another; a thread cannot be called off."""
        async with self.turn:
            self.working = asyncio.ensure_future(asyncio.to_thread(work))
            await asyncio.shield(self.working)

    def last(self) -> Sequence[asyncio.Future[None]]:
        """What must have ended before the store is closed."""
        return [self.working] if self.working else []

    def count(self, status: int) -> None:
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def store_name(self) -> str:
        return f"{self.store.identity} {self.store.term}"

    # --- calls ---

    def call(self, connection: Connection) -> None:
        """A whole call: answered at once, made a watch, or left for a later answer."""
        request = connection.request
        target = urlsplit(request.target.decode(errors="replace"))
        path = tuple(map(unquote, target.path.split("/")[1:]))
        match request.method.decode(), path:
            case "GET", ("catalog", "members"):
                self.members(connection, parse_qs(target.query, keep_blank_values=True))
            case "GET", ("healthcheck",):
                connection.answer(self.health())
            case "GET", ("metrics",):
                connection.answer(Response(200, self.figures().encode(), "text/plain; version=0.0.4"))
            case method, _:
                self.other(connection, method, path, bytes(connection.body))

    def close_watches(self) -> None:
        """End all watches and take no more, until `closed` is no longer set: who watches hears nothing."""
        self.closed = True
        for connection in list(self.watches):
            connection.transport.close()

    def other(self, connection: Connection, method: str, path: tuple[str, ...], body: bytes) -> None:
        connection.answer(Response(404, error_body("no such call")))

    def health(self) -> Response:
        return Response(200, {"health": "serves"})

    def figures(self) -> str:
        raise NotImplementedError

    def lines(self, prefix: str, values: dict[str, float]) -> str:
        """Figures in Prometheus's text form, with those of all list servers."""
        values = {
            "generation": self.store.generation,
            "term": self.store.term,
            "entries": len(self.store.entries),
            "watches": len(self.watches),
            "calls": len(self.calls),
            "watches_cut_total": self.cut,
            "shed_total": self.shed,
            **values,
        }
        lines = [f"{prefix}_{name} {value}" for name, value in values.items()]
        lines += [
            f'{prefix}_answers_total{{status="{status}"}} {count}'
            for status, count in sorted(self.statuses.items())
        ]
        return "\n".join(lines) + "\n"

    def members(self, connection: Connection, query: dict[str, list[str]]) -> None:
        if query.get("watch", ["0"]) != ["1"]:
            connection.answer(Response(200, self.whole()))
        elif self.closed:
            connection.answer(unavailable("it takes no watches for now"))
        elif len(self.watches) >= MOST_WATCHES:
            self.shed += 1
            connection.answer(unavailable("too many watches"))
        else:
            after = read_after(query.get("after", ["0"])[-1])
            named = dict(connection.request.headers).get(STORE_HEADER.lower().encode())
            if named is not None and named.decode(errors="replace") != self.store_name():
                after = 0  # another store's generation says nothing here
            self.calls.discard(connection)
            self.watches[connection] = None
            connection.watch(after, leases=query.get("leases", ["0"]) == ["1"])

    def whole(self, leases: bool = False) -> bytes:
        return self.line(WHOLE, leases)

    def line(self, after: int, leases: bool = False) -> bytes:
        """What changed after a generation, or else the whole list: made once for all who know the same, as
        thousands of watches come back together after a restart."""
        if self.lines_of != (self.store.identity, self.store.term, self.store.generation):
            self.lines_of = self.store.identity, self.store.term, self.store.generation
            self.made.clear()
        changes = self.store.changes(after) if after != WHOLE else None
        key = (WHOLE if changes is None else after), leases
        if key not in self.made:
            if len(self.made) >= MOST_MADE:
                self.made.clear()
            entries = self.store.entries.values() if changes is None else changes
            self.made[key] = listing(self.store.generation, changes is None, entries, leases)
        return self.made[key]

    def spread(self, whole: bool = False) -> None:
        """Tell all watches; those that know the same are sent the same bytes."""
        for connection in list(self.watches):
            line = self.line(WHOLE if whole else connection.generation, connection.leases)
            connection.generation = self.store.generation
            connection.tell(chunk(line))

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for connection in list(self.watches):
                connection.tell(chunk(b"\n"))
