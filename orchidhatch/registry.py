"""The list service: reads and watches as the protocol's page gives them, writes in a small form of its own.

    python -m orchidhatch.registry --listen 127.0.0.1:8500 --store list.db [--create]

One process holds the list. A write is answered once it is on disk; what comes while one batch is being
written is the next batch. Watches are told of each change in the turn after it is durable.
"""

import argparse
import asyncio
import json
import logging
import os
import random
import signal
import sys
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

import h11

from orchidhatch.forms import (
    MOST_BODY,
    FormError,
    listing,
    read_after,
    read_change,
    read_register,
    read_remove,
    read_renewal,
    written,
)
from orchidhatch.leases import TICK_S, Leases
from orchidhatch.store import Entry, RefusedError, Remove, Store, StoreError, UnlistedError, Write

log = logging.getLogger("orchidhatch.registry")

MOST_HEAD = 8192  # bytes
PATIENCE_S = 5.0  # for a whole call to come, and for its answer to be read
BEAT_S = 2.0  # an empty line to each watch, by the protocol
MOST_UNSENT = 256 * 1024  # bytes that a watch may leave unread beyond the list it began with
MOST_WATCHES, MOST_CALLS = 10_000, 2_000  # connections of either kind
MOST_WRITES, MOST_BATCH = 1_000, 500  # that wait; that go to disk together
COME_AGAIN_S = (1, 5)  # who is turned away is told a time from these, so that they don't return together


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    value: object
    kind: str = "application/json"


def told(text: str) -> dict[str, str]:
    return {"error": text}


def busy(text: str) -> Answer:
    return Answer(503, told(text))


class Connection(asyncio.Protocol):
    """One call, answered and closed; or a watch, until either side ends it."""

    def __init__(self, registry: "Registry") -> None:
        self.registry = registry
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.watches, self.generation = False, 0  # what this watch has been told
        self.answered = False
        self.first = 0  # bytes of the list that a watch began with

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.too_late)
        self.registry.calls.add(self)

    def data_received(self, data: bytes) -> None:
        if self.answered or self.watches:
            return
        try:
            self.http.receive_data(data)
            while not self.answered and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
        except h11.RemoteProtocolError as error:
            self.answer(Answer(error.error_status_hint, told(str(error))))

    def take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self.request = event
            if self.http.they_are_waiting_for_100_continue:
                self.transport.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MOST_BODY:
                self.answer(Answer(413, told(f"the body is longer than {MOST_BODY} bytes")))
        elif isinstance(event, h11.EndOfMessage):
            try:
                self.registry.call(self)
            except (FormError, ValueError) as error:
                self.answer(Answer(400, told(str(error))))
            except Exception:
                log.exception("cannot answer %r", self.request)
                self.answer(Answer(500, told("internal error")))
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.close()

    def answer(self, answer: Answer) -> None:
        """The whole answer, and the end of the connection; nothing where it has ended already."""
        if self.answered or self.watches or self.transport.is_closing():
            return
        self.answered = True
        self.registry.count(answer.status)
        value = answer.value
        body = value if isinstance(value, bytes) else json.dumps(value).encode() + b"\n"
        headers = [("Content-Type", answer.kind), ("Content-Length", str(len(body))), ("Connection", "close")]
        if answer.status == 503:
            headers.append(("Retry-After", str(self.registry.random.randint(*COME_AGAIN_S))))
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.write(self.http.send(h11.Response(status_code=answer.status, headers=headers))
                                 + self.http.send(h11.Data(data=body)))
        self.transport.close()

    def watch(self, after: int) -> None:
        """Begin with what changed since, or else with the whole list."""
        self.timer.cancel()
        self.watches = True
        line = self.registry.line(after) if after else self.registry.whole()  # 0: it knows none
        self.first, self.generation = len(line), self.registry.store.generation
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=headers)) + chunk(line))

    def tell(self, data: bytes) -> None:
        """A chunk, unless too much is unread: then the watch ends, and resumes by what it has had."""
        unsent = self.transport.get_write_buffer_size()
        self.first = min(self.first, unsent)  # what is left of the list that it began with
        if unsent - self.first > MOST_UNSENT:
            self.registry.cut += 1
            self.transport.abort()
        else:
            self.transport.write(data)

    def too_late(self) -> None:
        if self.answered:
            self.transport.abort()
        else:
            self.answer(Answer(408, told("no whole call came in time")))
            self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.transport.abort)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.registry.calls.discard(self)
        self.registry.watches.pop(self, None)


def chunk(data: bytes) -> bytes:
    """A chunk of a body without a length. All watches get the same bytes, so no one's state makes them."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Registry:
    """The list and those who read and write it."""

    def __init__(
        self, store: Store, clock: Callable[[], float] = time.monotonic, seed: int | None = None
    ) -> None:
        self.store, self.clock, self.random = store, clock, random.Random(seed)
        self.leases = Leases(store.entries.values(), clock())
        self.calls: set[Connection] = set()
        self.watches: dict[Connection, None] = {}
        self.waiting: deque[tuple[Write, Connection | None]] = deque()
        self.wake = asyncio.Event()
        self.statuses: dict[int, int] = {}
        self.cut = self.shed = self.expired = self.batches = self.writes = 0
        self.commit_s = self.longest_commit_s = 0.0
        self.committing: asyncio.Future[None] | None = None
        self.broken = ""  # why the last batch could not be written
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(job) for job in (self.write(), self.look(), self.beat())]
        self.server = await loop.create_server(lambda: Connection(self), host, port, backlog=1024)

    async def close(self) -> None:
        """Let what is on its way to the disk get there; end the rest."""
        if self.server:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, *filter(None, [self.committing]), return_exceptions=True)
        for connection in [*self.calls, *self.watches]:
            connection.transport.abort()
        self.store.close()

    def count(self, status: int) -> None:
        self.statuses[status] = self.statuses.get(status, 0) + 1

    # --- calls ---

    def call(self, connection: Connection) -> None:
        """A whole call: answered at once, made a watch, or left to wait for the disk."""
        request, body = connection.request, bytes(connection.body)
        method, target = request.method.decode(), urlsplit(request.target.decode(errors="replace"))
        path = tuple(map(unquote, target.path.split("/")[1:]))
        match method, path:
            case "GET", ("catalog", "members"):
                self.members(connection, parse_qs(target.query, keep_blank_values=True))
            case "POST", ("entries",):
                self.queue(read_register(body), connection)
            case "POST", ("entries", id_, "lifecycle"):
                self.queue(read_change(id_, body), connection)
            case "POST", ("entries", id_, "renew"):
                connection.answer(self.renew(id_, read_renewal(body)))
            case "DELETE", ("entries", id_):
                self.queue(read_remove(id_, body), connection)
            case "GET", ("entries", id_):
                known = self.store.entries.get(id_)
                connection.answer(Answer(200, written(known)) if known else Answer(404, told("not listed")))
            case "GET", ("healthcheck",):
                connection.answer(busy(self.broken) if self.broken else Answer(200, {"health": "serves"}))
            case "GET", ("metrics",):
                connection.answer(Answer(200, self.figures().encode(), "text/plain; version=0.0.4"))
            case _:
                connection.answer(Answer(404, told("no such call")))

    def members(self, connection: Connection, query: dict[str, list[str]]) -> None:
        if query.get("watch", ["0"]) != ["1"]:
            connection.answer(Answer(200, self.whole()))
        elif len(self.watches) >= MOST_WATCHES:
            self.shed += 1
            connection.answer(busy("too many watches"))
        else:
            after = read_after(query.get("after", ["0"])[-1])
            self.calls.discard(connection)
            self.watches[connection] = None
            connection.watch(after)

    def whole(self) -> bytes:
        return listing(self.store.generation, True, self.store.entries.values())

    def line(self, after: int) -> bytes:
        """What changed after a generation, or else the whole list."""
        changes = self.store.changes(after)
        return self.whole() if changes is None else listing(self.store.generation, False, changes)

    def renew(self, id_: str, life: int) -> Answer:
        if self.leases.renew(id_, life, self.clock()):
            return Answer(200, {"instanceId": id_, "life": life})
        known = self.store.entries.get(id_)
        if known is None:
            return Answer(404, told(f"{id_:.80} is not listed"))
        if not known.lease_ms:
            return Answer(409, told(f"{id_} has no lease"))
        return Answer(409, told(f"{id_} is in life {known.life}, not {life}"))

    # --- writes ---

    def queue(self, write: Write, connection: Connection | None) -> None:
        if len(self.waiting) >= MOST_WRITES:
            self.shed += 1
            if connection:
                connection.answer(busy("too many writes wait"))
            return
        self.waiting.append((write, connection))
        self.wake.set()

    async def write(self) -> None:
        """One batch after another; whose writer has gone is not carried out."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.waiting:
                most = min(MOST_BATCH, len(self.waiting))
                taken = [self.waiting.popleft() for _ in range(most)]
                wanted = [(write, by) for write, by in taken if by is None or not by.transport.is_closing()]
                self.shed += len(taken) - len(wanted)
                if wanted:
                    await self.write_batch(wanted)

    async def write_batch(self, wanted: Sequence[tuple[Write, Connection | None]]) -> None:
        batch = self.store.plan([write for write, _ in wanted])
        began = time.monotonic()
        try:
            self.committing = asyncio.ensure_future(asyncio.to_thread(self.store.commit, batch))
            await asyncio.shield(self.committing)  # a thread cannot be called off half way
        except StoreError as error:
            if not self.broken:
                log.error("%s; reads go on", error)
            self.broken = str(error)
            for _, connection in wanted:
                if connection:
                    connection.answer(busy(str(error)))
            return
        took = time.monotonic() - began
        self.broken = ""
        self.batches, self.writes = self.batches + 1, self.writes + len(batch.changed)
        self.commit_s, self.longest_commit_s = self.commit_s + took, max(self.longest_commit_s, took)
        before = self.store.generation
        self.store.take(batch)
        self.keep_leases(batch.changed)
        for (_, connection), outcome in zip(wanted, batch.outcomes, strict=True):
            if connection:
                connection.answer(outcome_of(outcome))
        if self.store.generation != before:
            self.spread()

    def keep_leases(self, changed: Sequence[Entry]) -> None:
        for entry in changed:
            known = self.store.entries.get(entry.id)
            if known is None:
                self.leases.forget(entry.id)
            elif known == entry:
                self.leases.begin(known, self.clock())

    def spread(self) -> None:
        """Tell all watches; those that know the same are sent the same bytes."""
        lines: dict[int, bytes] = {}
        for connection in list(self.watches):
            known = connection.generation
            if known not in lines:
                lines[known] = chunk(self.line(known))
            connection.generation = self.store.generation
            connection.tell(lines[known])

    async def look(self) -> None:
        """Have those leave whose leases have run out."""
        while True:
            await asyncio.sleep(TICK_S)
            held = self.leases.held
            for entry in self.leases.overdue(self.clock()):
                log.warning("%s did not renew its lease of %d ms", entry.id, entry.lease_ms)
                self.expired += 1
                self.leases.forget(entry.id)
                self.queue(Remove(entry.id, life=entry.life), None)
            if self.leases.held and not held:
                log.error("ALARM: %d of %d leases would run out together; they are held",
                          self.leases.held, len(self.leases.due))

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for connection in list(self.watches):
                connection.tell(chunk(b"\n"))

    def figures(self) -> str:
        values = {
            "generation": self.store.generation, "term": self.store.term, "entries": len(self.store.entries),
            "watches": len(self.watches), "calls": len(self.calls), "writes_waiting": len(self.waiting),
            "writes_total": self.writes, "batches_total": self.batches,
            "commit_seconds_total": round(self.commit_s, 6),
            "longest_commit_seconds": round(self.longest_commit_s, 6),
            "leases": len(self.leases.due), "leases_held": self.leases.held,
            "leases_expired_total": self.expired, "watches_cut_total": self.cut, "shed_total": self.shed,
            "broken": int(bool(self.broken)),
        }
        lines = [f"registry_{name} {value}" for name, value in values.items()]
        lines += [f'registry_answers_total{{status="{status}"}} {count}'
                  for status, count in sorted(self.statuses.items())]
        return "\n".join(lines) + "\n"


def outcome_of(outcome: Entry | RefusedError) -> Answer:
    if isinstance(outcome, Entry):
        return Answer(200, written(outcome))
    return Answer(404 if isinstance(outcome, UnlistedError) else 409, told(str(outcome)))


def read_listen(value: str) -> tuple[str, int]:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdecimal() or not int(port) < 65536:
        raise argparse.ArgumentTypeError(f"'{value}' is not host:port")
    return host, int(port)


async def serve(options: argparse.Namespace) -> None:
    # A new store goes on from the time in ms: above what one before it gave, at under 1,000 writes a second.
    store = Store(options.store, options.create, first=time.time_ns() // 1_000_000)
    registry = Registry(store, seed=os.getpid())
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await registry.start(*options.listen)
    at = registry.server.sockets[0].getsockname()
    log.info("serves generation %d of %s at %s:%d", registry.store.generation, registry.store.identity, *at)
    await stopped.wait()
    await registry.close()
    log.info("ends")


def main() -> int:
    parser = argparse.ArgumentParser(prog="orchidhatch.registry", description=__doc__.partition("\n")[0])
    parser.add_argument("--listen", type=read_listen, required=True, metavar="HOST:PORT")
    parser.add_argument("--store", type=Path, required=True, metavar="FILE")
    parser.add_argument("--create", action="store_true", help="make a new store where there is none")
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        asyncio.run(serve(parser.parse_args()))
    except (StoreError, OSError) as error:
        print(f"orchidhatch.registry: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
