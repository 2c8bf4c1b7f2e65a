"""The agent on a front door's machine: watches one of several registries and serves the list on loopback.

    python -m orchidhatch.agent --listen 127.0.0.1:8501 --registry 127.0.0.1:8500 --cache agent.db

While no registry answers it serves the list that it last had, also after a restart, and says how old it is.
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
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import h11

from orchidhatch.forms import FormError, read_instance
from orchidhatch.registry import read_listen
from orchidhatch.server import STORE_HEADER, Answer, ListServer, term_of
from orchidhatch.store import DELETED, DamagedError, Entry, Put, Remove, Store, StoreError, Write, put_aside

log = logging.getLogger("orchidhatch.agent")

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


class Agent(ListServer):
    """The list as the registries have told it, in a store of its own whose generations only rise."""

    def __init__(
        self, store: Store, registries: Sequence[Address], seed: int | None = None,
        wall_ms: Callable[[], int] = now_ms,
    ) -> None:
        super().__init__(store, seed)
        self.registries, self.at = list(registries), 0
        self.wall_ms = wall_ms
        # What was heard last, and of whom; and when it was last known to hold, by the wall clock, as that
        # alone goes on over a restart. It is shown and decides nothing.
        store.db.execute("CREATE TABLE IF NOT EXISTS heard (only INTEGER PRIMARY KEY CHECK (only = 1), "
                         "source TEXT NOT NULL, generation INTEGER NOT NULL, at_ms INTEGER NOT NULL) STRICT")
        row = store.db.execute("SELECT source, generation, at_ms FROM heard").fetchone()
        self.source, self.known, self.heard_ms = row or ("", 0, 0)
        self.noted_ms = self.heard_ms
        self.connected, self.switches, self.passed_over, self.malformed = False, 0, 0, 0
        self.backoff_s = BACKOFF_S

    def store_name(self) -> str:
        """Of the term that was heard: a store made anew from this list must be above it."""
        return f"{self.store.identity} {max(self.store.term, term_of(self.source))}"

    async def start(self, host: str, port: int) -> None:
        await super().start(host, port)
        self.tasks.append(asyncio.create_task(self.follow()))

    # --- what registries tell ---

    async def follow(self) -> None:
        while True:
            address = self.registries[self.at]
            try:
                await self.watch(address)
            except (OSError, TimeoutError, BehindError, FormError, StoreError, h11.ProtocolError) as error:
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
            target = f"/catalog/members?watch=1&after={self.known}"
            writer.write(http.send(h11.Request(method="GET", target=target, headers=headers))
                         + http.send(h11.EndOfMessage()))
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
                            raise FormError("a line without an end")
                        *lines, rest = buffer.split(b"\n")
                        buffer = bytearray(rest)
                        for line in lines:
                            self.hear(source, bytes(line))
                    elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                        raise FormError("the watch ended")
        finally:
            writer.transport.abort()

    def begin(self, response: h11.Response) -> str:
        """Whose list it is. One of an earlier term is no news."""
        if response.status_code != 200:
            raise FormError(f"status {response.status_code}")
        source = dict(response.headers).get(STORE_HEADER.lower().encode(), b"").decode(errors="replace")
        if term_of(source) < term_of(self.source):
            self.passed_over += 1
            raise BehindError(f"it is of term {term_of(source)}, and {term_of(self.source)} was heard before")
        return source

    def hear(self, source: str, line: bytes) -> None:
        """A line: the list as it is by now, or that nothing changed."""
        if line.strip():
            self.take(source, line)
        if self.connected:
            self.note(self.wall_ms())

    def take(self, source: str, line: bytes) -> None:
        try:
            news = json.loads(line)
            generation, reset, told = int(news["generation"]), bool(news["reset"]), list(news["instances"])
        except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
            raise FormError(f"a line that makes no sense: {error!r:.120}") from error
        if source == self.source and generation < self.known:
            self.passed_over += 1
            raise BehindError(f"it is at generation {generation}, and {self.known} was heard before")
        changed = source != self.source
        if changed and not reset:
            raise FormError("changes came where the whole list was needed")
        before = self.store.generation
        self.store.apply(self.differences(list(self.read(told)), reset))
        self.source, self.known, self.connected, self.backoff_s = source, generation, True, BACKOFF_S
        self.note(self.wall_ms(), always=True)
        if changed or self.store.generation != before:
            self.spread(whole=changed)

    def read(self, told: Iterable[Any]) -> Iterable[Entry]:
        """The entries; one that makes no sense is passed over, and the others hold."""
        for value in told:
            try:
                yield read_instance(value)
            except FormError as error:
                self.malformed += 1
                log.error("passed over an entry: %s", error)

    def differences(self, told: Sequence[Entry], reset: bool) -> list[Write]:
        """What it takes to make the list here what was told."""
        writes: list[Write] = []
        named = {entry.id for entry in told}
        if reset:
            writes += [Remove(id_) for id_ in self.store.entries if id_ not in named]
        for entry in told:
            known = self.store.entries.get(entry.id)
            if entry.lifecycle == DELETED:
                writes += [Remove(entry.id)] if known else []
            elif known is None or not same(known, entry):
                writes.append(Put(entry))
        return writes

    def note(self, at_ms: int, always: bool = False) -> None:
        """Put down that the list holds by now; seldom, as it is only shown."""
        self.heard_ms = at_ms
        if always or at_ms - self.noted_ms >= NOTED_S * 1000:
            self.noted_ms = at_ms
            self.store.db.execute("INSERT OR REPLACE INTO heard VALUES (1, ?, ?, ?)",
                                  (self.source, self.known, at_ms))

    # --- what it shows ---

    def age_s(self) -> float:
        return max(0, self.wall_ms() - self.heard_ms) / 1000 if self.heard_ms else -1.0

    def health(self) -> Answer:
        value = {"health": "serves", "connected": self.connected, "listAgeSeconds": self.age_s(),
                 "registry": shown(self.registries[self.at])}
        return Answer(200 if self.heard_ms else 503, value)

    def figures(self) -> str:
        return self.lines("agent", {
            "connected": int(self.connected), "list_age_seconds": self.age_s(),
            "registry_generation": self.known, "switches_total": self.switches,
            "behind_total": self.passed_over, "malformed_total": self.malformed,
        })


def same(known: Entry, told: Entry) -> bool:
    """Whether they differ in nothing that a front door is told."""
    return (known.address, known.zone, known.kind, known.cell, known.lifecycle, known.weight,
            known.started_ms) == (told.address, told.zone, told.kind, told.cell, told.lifecycle, told.weight,
                                  told.started_ms)


def open_cache(path: Path) -> Store:
    """The list as it was last had; a damaged one is put aside, as the registries have it all."""
    try:
        return Store(path, create=True, first=now_ms())
    except DamagedError as error:
        log.error("%s; put aside as %s, begun anew", error, put_aside(path).name)
        return Store(path, create=True, first=now_ms())


async def serve(options: argparse.Namespace) -> None:
    seed = random.SystemRandom().getrandbits(32) ^ os.getpid()  # agents of many machines start together
    agent = Agent(open_cache(options.cache), options.registry, seed)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await agent.start(*options.listen)
    at = agent.listener.sockets[0].getsockname()
    log.info("serves generation %d at %s:%d, a list %.0f s old", agent.store.generation, *at, agent.age_s())
    await stopped.wait()
    await agent.close()
    log.info("ends")


def main() -> int:
    parser = argparse.ArgumentParser(prog="orchidhatch.agent", description=__doc__.partition("\n")[0])
    parser.add_argument("--listen", type=read_listen, required=True, metavar="HOST:PORT")
    parser.add_argument("--registry", type=read_listen, required=True, action="append", metavar="HOST:PORT",
                        help="may be given several times")
    parser.add_argument("--cache", type=Path, required=True, metavar="FILE")
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        asyncio.run(serve(parser.parse_args()))
    except (StoreError, OSError) as error:
        print(f"orchidhatch.agent: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
