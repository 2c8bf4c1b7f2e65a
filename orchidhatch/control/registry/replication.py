"""Replicator another list service: its watch, held against the list here, which only goes forward.

An agent follows registries for a front door; a registry that was started with --follow does it to stand by.
"""

import asyncio
import json
import logging
import random
import socket
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import h11
from msgspec.structs import replace

from orchidhatch.control.http_server import STORE_HEADER, EndpointListServer, term_of
from orchidhatch.control.registry.store import DELETED, Entry, Put, Remove, StoreError, Write
from orchidhatch.control.schemas import InvalidRequestError, read_instance

log = logging.getLogger("orchidhatch.following")

CONNECT_S = 1.0
SILENT_S = 5.0  # an empty line comes every 2 s
BACKOFF_S, MOST_BACKOFF_S = 0.2, 8.0  # of the mean wait between tries; it doubles
MOST_LINE = 64 << 20  # bytes: the most entries of a list, each as long as may be
NOTED_S = 10.0  # how often it is put down that the list still holds

Address = tuple[str, int]


class BehindError(Exception):
    """A registry tells what is older than what was heard before."""


def shown(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def now_ms() -> int:
    return time.time_ns() // 1_000_000


class Replicator:
    """What keeps a list server's store as one of several registries tells it.

    `leases` asks for lives and leases too, which the protocol's form has not. Times are Unix milliseconds.
    """

    def __init__(
        self,
        server: EndpointListServer,
        registries: Sequence[Address],
        leases: bool = False,
        wall_ms: Callable[[], int] = now_ms,
    ) -> None:
        self.server, self.registries, self.at, self.leases = server, list(registries), 0, leases
        self.random: random.Random = server.random
        self.wall_ms = wall_ms
        # What was heard last, and of whom; and when it was last known to hold, by the wall clock, as that
        # alone goes on over a restart. It is shown and decides nothing.
        db = server.store.db
        db.execute(
            "CREATE TABLE IF NOT EXISTS heard (only INTEGER PRIMARY KEY CHECK (only = 1), "
            "source TEXT NOT NULL, generation INTEGER NOT NULL, at_ms INTEGER NOT NULL) STRICT"
        )
        row = db.execute("SELECT source, generation, at_ms FROM heard").fetchone()
        self.source, self.known, self.heard_ms = row or ("", 0, 0)
        self.noted_ms = self.heard_ms
        self.connected, self.switches, self.passed_over, self.malformed = False, 0, 0, 0
        self.backoff_s = BACKOFF_S
        self.heard_s = time.monotonic()  # when a line came last; the start, if none did

    def silent_s(self) -> float:
        """Since the last line, by the monotonic clock."""
        return time.monotonic() - self.heard_s

    def still_listens(self) -> bool:
        """Whether a process may still be there: only a connection that is refused says that none is.
        This waits for up to CONNECT_S, and is for another thread."""
        try:
            socket.create_connection(self.registries[self.at], CONNECT_S).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True

    def term(self) -> int:
        """Of the list that was heard: a store made anew from it must be above it."""
        return max(self.server.store.term, term_of(self.source))

    def was_promoted(self) -> bool:
        """Whether the store has begun a term of its own since it last heard a list."""
        return bool(self.source) and self.server.store.term > term_of(self.source)

    def source_at(self) -> Address:
        """The service that is watched, or is tried next."""
        return self.registries[self.at]

    def registry(self) -> str:
        return shown(self.registries[self.at])

    def age_s(self) -> float:
        """Since the list was last known to hold; -1 if it never was."""
        return max(0, self.wall_ms() - self.heard_ms) / 1000 if self.heard_ms else -1.0

    async def follow(self) -> None:
        while True:
            address = self.registries[self.at]
            try:
                await self.watch(address)
            except (
                OSError,
                TimeoutError,
                BehindError,
                InvalidRequestError,
                StoreError,
                h11.ProtocolError,
            ) as error:
                log.warning("no watch on %s: %s", shown(address), str(error) or type(error).__name__)
            except Exception:
                log.exception("the watch on %s failed", shown(address))
            self.connected = False
            self.at = (self.at + 1) % len(self.registries)
            self.switches += 1
            await asyncio.sleep(2 * self.backoff_s * self.random.random())
            self.backoff_s = min(MOST_BACKOFF_S, 2 * self.backoff_s)

    async def watch(self, address: Address) -> None:
        """One watch, until it ends or is silent."""
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            http, buffer = h11.Connection(h11.CLIENT), bytearray()
            headers = [("Host", shown(address))] + ([(STORE_HEADER, self.source)] if self.source else [])
            target = f"/catalog/members?watch=1&after={self.known}{'&leases=1' if self.leases else ''}"
            writer.write(
                http.send(h11.Request(method="GET", target=target, headers=headers))
                + http.send(h11.EndOfMessage())
            )
            source = ""
            while True:
                async with asyncio.timeout(SILENT_S):
                    data = await reader.read(1 << 16)
                http.receive_data(data)
                while (event := http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                    if isinstance(event, h11.Response):
                        source = self.begin(event)
                    elif isinstance(event, h11.Data):
                        buffer += event.data
                        if len(buffer) > MOST_LINE:
                            raise InvalidRequestError("a line without an end")
                        *lines, rest = buffer.split(b"\n")
                        buffer = bytearray(rest)
                        for line in lines:
                            await self.hear(source, bytes(line))
                    elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                        raise InvalidRequestError("the watch ended")
        finally:
            writer.transport.abort()

    def begin(self, response: h11.Response) -> str:
        """Whose list it is. One of an earlier term is no news."""
        if response.status_code != 200:
            raise InvalidRequestError(f"status {response.status_code}")
        source = dict(response.headers).get(STORE_HEADER.lower().encode(), b"").decode(errors="replace")
        if term_of(source) < self.term():
            self.passed_over += 1
            raise BehindError(f"it is of term {term_of(source)}, and {self.term()} was heard before")
        return source

    async def hear(self, source: str, line: bytes) -> None:
        """A line: the list as it is by now, or that nothing changed."""
        self.heard_s = time.monotonic()
        if line.strip():
            await self.take(source, line)
        if self.connected:
            self.heard_ms = self.wall_ms()
            if self.heard_ms - self.noted_ms >= NOTED_S * 1000:
                await self.server.in_turn(self.note)

    async def take(self, source: str, line: bytes) -> None:
        try:
            news = json.loads(line)
            generation, reset, told = int(news["generation"]), bool(news["reset"]), list(news["instances"])
        except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
            raise InvalidRequestError(f"a line that makes no sense: {error!r:.120}") from error
        if source == self.source and generation < self.known:
            self.passed_over += 1
            raise BehindError(f"it is at generation {generation}, and {self.known} was heard before")
        changed = source != self.source
        if changed and not reset:
            raise InvalidRequestError("changes came where the whole list was needed")
        store = self.server.store
        before = store.generation
        batch = store.plan(self.differences(list(self.read(told)), reset))

        def write() -> None:
            store.commit(batch)
            self.source, self.known, self.heard_ms = source, generation, self.wall_ms()
            self.note()

        await self.server.in_turn(write)  # the disk may be slow, and a front door must hear of us meanwhile
        store.take(batch)
        self.connected, self.backoff_s = True, BACKOFF_S
        if changed or store.generation != before:
            self.server.spread(whole=changed)

    def read(self, told: Iterable[Any]) -> Iterable[Entry]:
        """The entries; one that makes no sense is passed over, and the others hold."""
        for value in told:
            try:
                yield read_instance(value, leases=self.leases)
            except InvalidRequestError as error:
                self.malformed += 1
                log.error("passed over an entry: %s", error)

    def differences(self, told: Sequence[Entry], reset: bool) -> list[Write]:
        """What it takes to make the list here what was told."""
        writes: list[Write] = []
        known, named = self.server.store.entries, {entry.id for entry in told}
        if reset:
            writes += [Remove(id_) for id_ in known if id_ not in named]
        for entry in told:
            if entry.lifecycle == DELETED:
                writes += [Remove(entry.id)] if entry.id in known else []
            elif entry.id not in known or not same(known[entry.id], entry):
                writes.append(Put(entry))
        return writes

    def note(self) -> None:
        """Put down what was heard, and that it held then."""
        self.noted_ms = self.heard_ms
        self.server.store.db.execute(
            "INSERT OR REPLACE INTO heard VALUES (1, ?, ?, ?)", (self.source, self.known, self.heard_ms)
        )


def same(known: Entry, told: Entry) -> bool:
    """Whether they differ in nothing that was told; an entry of the protocol's form tells no life."""
    untold = {} if told.incarnation else {"incarnation": known.incarnation, "lease_ms": known.lease_ms}
    return known == replace(told, version=known.version, **untold)
