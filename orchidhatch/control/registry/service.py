"""The list service: reads and watches as the protocol's page gives them, writes in a small form of its own.

    python -m orchidhatch.registry --listen 127.0.0.1:8500 --store list.db [--create]

One process holds the list. A write is answered once it is on disk; what comes while one batch is being
written is the next batch. Watches are told of each change in the turn after it is durable.
"""

import argparse
import asyncio
import logging
import math
import os
import signal
import sys
import time
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path

import h11
import msgspec

from orchidhatch.control.http_server import (
    MOST_HEAD,
    STORE_HEADER,
    Connection,
    EndpointListServer,
    Response,
    error_body,
    term_of,
    unavailable,
)
from orchidhatch.control.leases import TICK_S, Leases
from orchidhatch.control.ownership import service as ownership
from orchidhatch.control.ownership.claims import Fence
from orchidhatch.control.ownership.service import Ownership
from orchidhatch.control.policy.leases import GatewayPolicyLeases
from orchidhatch.control.registry.backups import Backups, BackupSummary
from orchidhatch.control.registry.replication import Replicator
from orchidhatch.control.registry.store import (
    Batch,
    ConflictError,
    Entry,
    NotFoundError,
    Outcome,
    Remove,
    Store,
    StoreError,
    Write,
)
from orchidhatch.control.registry.watch_client import WATCH_TIMEOUT_S
from orchidhatch.control.schemas import (
    read_backup,
    read_change,
    read_owner,
    read_promotion,
    read_register,
    read_remove,
    read_renewal,
    written,
)

log = logging.getLogger("orchidhatch.registry")

# Between questions to peers for their term, and for an answer. They overlap: a slow network must not make a
# peer that answers look silent.
ASK_S, ASK_PATIENCE_S = 0.5, 2.0
# How long a look at the peers holds, from its beginning: longer than the last question that ended can be old
# where none is answered. A follower hears a beat each BEAT_S, and is not promoted unforced before it has
# heard none for WATCH_TIMEOUT_S, which is more than both: no look from before a stop outlives a promotion.
WORD_S = 2.8
# For so long after it answered a peer that asked, a follower is not promoted unforced, as that one may go by
# the answer: its word, which began before the answer, and a twentieth for clocks that differ.
PROMISE_S = 1.05 * WORD_S
MOST_WRITES, MOST_BATCH = 1_000, 500  # that wait; that go to disk together
OWNED_S = 3.0  # since an owner of that work last ended leases: then the service looks again itself


class Registry(EndpointListServer):
    """The list and those who read and write it."""

    def __init__(
        self,
        store: Store,
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
        peers: Sequence[tuple[str, int]] = (),
        follow: Sequence[tuple[str, int]] = (),
        backups: Path | None = None,
    ) -> None:
        super().__init__(store, seed)
        self.following = Replicator(self, follow, include_leases=True) if follow else None
        if self.following and self.following.was_promoted():  # whoever starts it again may not know
            log.warning("was promoted to term %d; follows nobody any more", store.term)
            self.following = None
        self.follow_tasks: list[asyncio.Task[None]] = []
        self.peers, self.fenced = peers, ""  # why it takes no writes any more
        self.asked_s = -math.inf  # when the last look at the peers that has ended was begun
        self.promised_s = -math.inf  # when a peer was told our term last, and may go by it
        self.lapses = 0  # times that the last look was too old to acknowledge by
        self.clock = clock
        self.leases = Leases(store.entries.values(), clock())
        self.ownership, self.doors = Ownership(self), GatewayPolicyLeases(self)
        self.backups = Backups(backups) if backups else None
        self.waiting: deque[tuple[Write, Connection | None]] = deque()
        self.wake = asyncio.Event()
        self.owned_s = -math.inf  # when an owner last had overdue leases ended
        self.expired = self.batches = self.writes = 0
        self.commit_s = self.longest_commit_s = 0.0
        self.broken = ""  # why the last batch could not be written

    async def start(self, host: str, port: int) -> None:
        await self.ask_peers()  # one that comes back learns that it was replaced before it takes a write
        await super().start(host, port)
        if self.peers:
            self.tasks.append(asyncio.create_task(self.keep_asking()))
        if self.following:
            replicator = self.following
            self.follow_tasks = [
                asyncio.create_task(job)
                for job in (self.following.run(), self.doors.keep_copy(lambda: replicator.upstream_address))
            ]
            self.tasks += self.follow_tasks
        self.tasks += [asyncio.create_task(job) for job in (self.write(), self.look())]

    # --- calls ---

    def other(self, connection: Connection, method: str, path: tuple[str, ...], body: bytes) -> None:
        match method, path:
            case "POST", ("entries",):
                self.queue(read_register(body), connection)
            case "POST", ("entries", id_, "lifecycle"):
                self.queue(read_change(id_, body), connection)
            case "POST", ("entries", id_, "renew"):
                connection.answer(self.renew(id_, read_renewal(body)))
            case "POST", ("leases", "end"):
                connection.answer(self.end_in_name(read_owner(body)))
            case "POST", ("backup",):
                self.begin(self.back_up(connection, read_backup(body)))
            case "GET", ("term",):
                self.promised_s = self.clock()
                connection.answer(Response(200, {"term": self.store.term}))
            case "POST", ("promote",):
                self.begin(self.answer_promotion(connection, read_promotion(body)))
            case "DELETE", ("entries", id_):
                self.queue(read_remove(id_, body), connection)
            case "GET", ("entries", id_):
                known = self.store.entries.get(id_)
                connection.answer(
                    Response(200, written(known)) if known else Response(404, error_body("not listed"))
                )
            case _:
                if not (
                    self.ownership.call(connection, method, path, body)
                    or self.doors.call(connection, method, path, body)
                ):
                    super().other(connection, method, path, body)

    def store_name(self) -> str:
        return f"{self.store.identity} {self.following.highest_term() if self.following else self.store.term}"

    def health(self) -> Response:
        if self.following:
            value = {
                "health": "follows",
                "connected": self.following.connected,
                "lagSeconds": self.following.list_age_s(),
                "follows": self.following.upstream,
            }
            return Response(200 if self.following.has_list else 503, value)
        return unavailable(self.fenced or self.broken) if self.fenced or self.broken else super().health()

    async def answer_promotion(self, connection: Connection, force: bool) -> None:
        listens = (
            bool(self.following) and not force and await asyncio.to_thread(self.following.upstream_may_run)
        )
        async with self.turn:  # nothing that was heard is half way to the disk
            connection.answer(self.promote(force, listens))

    def promote(self, force: bool, listens: bool) -> Response:
        """From a follower to the one that takes writes. All watches end, as they were told another term.

        `listens`: something still takes connections where the followed service was, or nothing says that it
        does not: a process that was stopped does, and may wake up within the time that its word holds.
        """
        heard = self.following
        if not heard:
            return Response(
                409, error_body(f"it follows none; it is the list service of term {self.store.term}")
            )
        if not heard.has_list:
            return Response(409, error_body("it has never heard a list"))
        if heard.connected and not force:
            return Response(409, error_body(f"{heard.upstream} still answers; stop it first, or force it"))
        silent_s = heard.silence_s()
        asked_s = self.clock() - self.promised_s
        if asked_s < PROMISE_S and not force:
            return Response(
                409,
                error_body(
                    f"a peer asked {asked_s:.1f} s ago and may still take writes; stop it, "
                    f"wait {PROMISE_S:.1f} s, or force it"
                ),
            )
        if listens and silent_s < WATCH_TIMEOUT_S:
            return Response(
                409,
                error_body(
                    f"{heard.upstream} is silent for {silent_s:.1f} s only and may go on; "
                    f"ask again after {WATCH_TIMEOUT_S:g} s, or force it"
                ),
            )
        try:
            self.store.begin_term(
                heard.highest_term() + 1, max(heard.position.generation + 1, time.time_ns() // 1_000_000)
            )
        except StoreError as error:
            return unavailable(str(error))
        for task in self.follow_tasks:
            task.cancel()
        self.following, self.asked_s = None, -math.inf  # a follower has asked nobody
        self.leases = Leases(self.store.entries.values(), self.clock())
        self.ownership.begin()
        self.doors.begin()
        log.warning(
            "promoted to term %d at generation %d; it had heard generation %d of %s, %.1f s ago",
            self.store.term,
            self.store.generation,
            heard.position.generation,
            heard.position.store_name,
            heard.list_age_s(),
        )
        for connection in list(self.watches):
            connection.transport.close()
        return Response(
            200,
            {
                "term": self.store.term,
                "generation": self.store.generation,
                "entries": len(self.store.entries),
                "heardGeneration": heard.position.generation,
                "lagSeconds": heard.list_age_s(),
            },
        )

    async def back_up(self, connection: Connection, fence: Fence | None) -> None:
        """A copy of the store, in the name of a claim if one is given."""
        if not self.backups:
            connection.answer(Response(409, error_body("it was given no folder for backups")))
            return

        def work() -> None:
            self.store.book.draft(self.store.term).check(fence)  # no write comes between this and the copy
            summaries.append(self.backups.create(self.store))

        summaries: list[BackupSummary] = []
        try:
            await self.in_turn(work)
        except ConflictError as refusal:
            connection.answer(outcome_of(refusal))
        except StoreError as error:
            log.error("%s", error)
            connection.answer(unavailable(str(error)))
        else:
            connection.answer(Response(200, msgspec.to_builtins(summaries[0])))

    def renew(self, id_: str, life: int) -> Response:
        if refusal := self.no_writes():
            return refusal
        if not self.sure():
            return unavailable("it did not run for a while, and asks its peers first")
        if self.leases.renew(id_, life, self.clock()):
            return Response(200, {"instanceId": id_, "life": life})
        known = self.store.entries.get(id_)
        if known is None:
            return Response(404, error_body(f"{id_:.80} is not listed"))
        if not known.lease_ms:
            return Response(409, error_body(f"{id_} has no lease"))
        return Response(409, error_body(f"{id_} is in life {known.life}, not {life}"))

    def no_writes(self) -> Response | None:
        """Why no write is taken, if none is."""
        if self.following:
            return Response(409, error_body(f"it follows {self.following.upstream}, and takes no writes"))
        return Response(409, error_body(self.fenced)) if self.fenced else None

    # --- terms ---

    async def keep_asking(self) -> None:
        asking: set[asyncio.Task[None]] = set()
        try:
            while not self.fenced:
                await asyncio.sleep(ASK_S)
                asking.add(task := asyncio.create_task(self.ask_peers()))
                task.add_done_callback(asking.discard)
        finally:
            for task in asking:
                task.cancel()

    async def ask_peers(self) -> None:
        """Look at all peers at once. One that does not answer in time says nothing, and writes go on."""
        began = self.clock()
        peers = () if self.following or self.fenced else self.peers
        terms = await asyncio.gather(*map(term_at, peers))
        self.asked_s = max(self.asked_s, began)  # what was heard may be from then, if we stood still since
        for peer, term in zip(peers, terms, strict=True):
            if term > self.store.term and not self.fenced:
                self.fenced = f"fenced: {peer[0]}:{peer[1]} is of term {term}, this is of {self.store.term}"
                log.error("%s; no writes are taken, reads go on", self.fenced)

    def sure(self) -> bool:
        """Whether the last look at the peers is recent enough to acknowledge by. Our own clock tells whether
        we did not run since: then another may have been promoted, and the writes that waited are its."""
        return not self.peers or self.clock() - self.asked_s < WORD_S

    async def make_sure(self) -> bool:
        """Whether a write may be acknowledged by now; asked anew where the last look is too old."""
        if not self.sure():
            self.lapses += 1
            log.warning(
                "the last look at the peers is %.1f s old; nothing is acknowledged before the next",
                self.clock() - self.asked_s,
            )
            while not self.sure():  # it may have stood still while it asked, too
                await self.ask_peers()
        return not self.fenced

    # --- writes ---

    def queue(self, write: Write, connection: Connection | None) -> bool:
        """Whether it waits for the disk now; else its writer is told why not."""
        refusal = self.no_writes()
        if not refusal and len(self.waiting) >= MOST_WRITES:
            self.shed += 1
            refusal = unavailable("too many writes wait")
        if refusal:
            if connection:
                connection.answer(refusal)
            return False
        self.waiting.append((write, connection))
        self.wake.set()
        return True

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
                if not wanted:
                    continue
                if await self.make_sure():
                    await self.write_batch(wanted)
                else:
                    answer_all(wanted, Response(409, error_body(self.fenced)))

    async def write_batch(self, wanted: Sequence[tuple[Write, Connection | None]]) -> None:
        batch = self.store.plan([write for write, _ in wanted])
        began = time.monotonic()
        try:
            await self.in_turn(lambda: self.store.commit(batch))
        except StoreError as error:
            if not self.broken:
                log.error("%s; reads go on", error)
            self.broken = str(error)
            answer_all(wanted, unavailable(str(error)))
            self.doors.not_written()
            for write, connection in wanted:
                if not connection:
                    self.not_ended(write)
            return
        took = time.monotonic() - began
        self.broken = ""
        self.batches, self.writes = self.batches + 1, self.writes + len(batch.changed)
        self.commit_s, self.longest_commit_s = self.commit_s + took, max(self.longest_commit_s, took)
        before = self.store.generation
        self.store.take(batch)
        self.keep_leases(batch.changed)
        self.ownership.wrote(batch.outcomes)
        self.doors.wrote(batch.outcomes)
        for (write, connection), outcome in zip(wanted, batch.outcomes, strict=True):
            if isinstance(outcome, ConflictError):
                self.ownership.refused += 1
                if not connection:
                    self.not_ended(write)
            elif not connection and isinstance(write, Remove):
                self.expired += 1
        if await self.make_sure():  # it may have stood still on the way to the disk
            for (_, connection), outcome in zip(wanted, batch.outcomes, strict=True):
                if connection:
                    connection.answer(outcome_of(outcome))
        else:
            answer_all(wanted, Response(409, error_body(self.fenced)))
        if self.store.generation != before:
            self.spread()

    async def write_aside(self, writes: Sequence[Write]) -> None:
        """What a follower writes for itself, beside what it hears of the list."""
        if not writes:
            return

        def work() -> None:
            batch = self.store.plan(writes)  # in its turn: nothing else is planned meanwhile
            self.store.commit(batch)
            made.append(batch)

        made: list[Batch] = []
        await self.in_turn(work)
        self.store.take(made[0])

    def keep_leases(self, changed: Sequence[Entry]) -> None:
        for entry in changed:
            known = self.store.entries.get(entry.id)
            if known is None:
                self.leases.forget(entry.id)
            elif known == entry:
                self.leases.begin(known, self.clock())

    async def look(self) -> None:
        """Have those leave whose leases have run out, unless an owner sees to it."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.following:  # it is the other's to end them
                continue
            self.ownership.look()
            self.doors.look()
            if self.clock() - self.owned_s >= OWNED_S:
                self.end_leases(None)

    def end_in_name(self, fence: Fence) -> Response:
        """An owner has ended what is overdue; while one does, the service's own look rests."""
        if refusal := self.no_writes():
            return refusal
        if not self.sure():
            return unavailable("it did not run for a while, and asks its peers first")
        try:
            self.store.book.draft(self.store.term).check(fence)
        except ConflictError as refusal:
            return outcome_of(refusal)
        self.owned_s = self.clock()
        return Response(200, {"ending": self.end_leases(fence), "held": self.leases.held})

    def end_leases(self, fence: Fence | None) -> int:
        """Those that are overdue now are to leave; how many. Each removal is held against the fence again."""
        held, late = self.leases.held, self.leases.overdue(self.clock())
        for entry in late:
            log.warning("%s did not renew its lease of %d ms", entry.id, entry.lease_ms)
            self.leases.forget(entry.id)
            if not self.queue(Remove(entry.id, life=entry.life, fence=fence), None):
                self.leases.put_back(entry, self.clock())
        if self.leases.held and not held:
            log.error(
                "ALARM: %d of %d leases would run out together; they are held",
                self.leases.held,
                len(self.leases.due),
            )
        return len(late)

    def not_ended(self, write: Write) -> None:
        """A removal over a lease did not come about: whom it concerned is overdue still."""
        known = self.store.entries.get(write.id) if isinstance(write, Remove) else None
        if known and known.life == write.life and known.id not in self.leases.due:
            self.leases.put_back(known, self.clock())

    def figures(self) -> str:
        return self.lines(
            "registry",
            {
                **self.ownership.figures(),
                **self.doors.figures(),
                **(
                    {"backups_total": self.backups.completed, "backups_failed_total": self.backups.failed}
                    if self.backups
                    else {}
                ),
                "writes_waiting": len(self.waiting),
                "writes_total": self.writes,
                "batches_total": self.batches,
                "commit_seconds_total": round(self.commit_s, 6),
                "longest_commit_seconds": round(self.longest_commit_s, 6),
                "leases": len(self.leases.due),
                "leases_held": self.leases.held,
                "leases_expired_total": self.expired,
                "broken": int(bool(self.broken)),
                "fenced": int(bool(self.fenced)),
                "lapses_total": self.lapses,
                "following": int(bool(self.following)),
                "lag_seconds": self.following.list_age_s() if self.following else 0,
                "followed_generation": self.following.position.generation if self.following else 0,
            },
        )


async def term_at(address: tuple[str, int]) -> int:
    """The term of the list service there; 0 where none answers within ASK_PATIENCE_S."""
    http, writer = h11.Connection(h11.CLIENT), None
    try:
        async with asyncio.timeout(ASK_PATIENCE_S):
            reader, writer = await asyncio.open_connection(*address)
            question = h11.Request(method="GET", target="/term", headers=[("Host", address[0])])
            writer.write(http.send(question) + http.send(h11.EndOfMessage()))
            while (event := http.next_event()) is h11.NEED_DATA:
                http.receive_data(await reader.read(MOST_HEAD))
    except (OSError, TimeoutError, h11.ProtocolError):
        return 0
    finally:
        if writer:
            writer.transport.abort()
    headers = dict(event.headers) if isinstance(event, h11.Response) else {}
    return term_of(headers.get(STORE_HEADER.lower().encode(), b"").decode(errors="replace"))


def answer_all(wanted: Sequence[tuple[Write, Connection | None]], answer: Response) -> None:
    for _, connection in wanted:
        if connection:
            connection.answer(answer)


def outcome_of(outcome: Outcome) -> Response:
    if isinstance(outcome, Entry):
        return Response(200, written(outcome))
    if not isinstance(outcome, ConflictError):
        return Response(200, ownership.written(outcome))
    return Response(404 if isinstance(outcome, NotFoundError) else 409, error_body(str(outcome)))


def read_listen(value: str) -> tuple[str, int]:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdecimal() or not int(port) < 65536:
        raise argparse.ArgumentTypeError(f"'{value}' is not host:port")
    return host, int(port)


async def serve(options: argparse.Namespace) -> None:
    # A new store goes on from the time in ms: above what one before it gave, at under 1,000 writes a second.
    store = Store(options.store, options.create, first=time.time_ns() // 1_000_000)
    registry = Registry(
        store, seed=os.getpid(), peers=options.peer, follow=options.follow, backups=options.backups
    )
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await registry.start(*options.listen)
    at = registry.listener.sockets[0].getsockname()
    log.info("serves generation %d of %s at %s:%d", registry.store.generation, registry.store.identity, *at)
    await stopped.wait()
    await registry.close()
    log.info("ends")


def main() -> int:
    parser = argparse.ArgumentParser(prog="orchidhatch.registry", description=__doc__.partition("\n")[0])
    parser.add_argument("--listen", type=read_listen, required=True, metavar="HOST:PORT")
    parser.add_argument("--store", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--peer",
        type=read_listen,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="another list service, which may have replaced this one; may be repeated",
    )
    parser.add_argument(
        "--follow",
        type=read_listen,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="stand by for this list service: serve reads, take no writes until promoted",
    )
    parser.add_argument("--backups", type=Path, metavar="FOLDER", help="where copies of the store are kept")
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
