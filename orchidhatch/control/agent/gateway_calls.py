"""Acts at the front door on this machine, by whoever owns the claim that they are done for.

The highest epoch seen of each claim is kept on disk before an act is carried out, and a lower one is refused.
So is the number of the last act on each backend: what an owner sent before its own later act, and was kept
back on the way, is late too. Acts go one after another: none overtakes another between check and effect.
"""

import asyncio
import logging
import sqlite3
from urllib.parse import quote

from orchidhatch.control.http_client import Address, NoResponse, call
from orchidhatch.control.http_server import (
    Connection,
    EndpointListServer,
    Response,
    error_body,
    term_of,
    unavailable,
)
from orchidhatch.control.ownership.claims import Fence
from orchidhatch.control.registry.replication import Replicator

log = logging.getLogger("orchidhatch.door")

ACTS = {("backends", "maint"), ("backends", "ready"), ("healthcheck", "fail"), ("healthcheck", "ok")}
QUESTIONS = {"stats", "healthcheck"}  # that change nothing, and so need no owner
MOST_KNOWN = 20_000  # claims and backends whose last epochs and acts are kept
MOST_WAITING = 100  # acts that wait for their turn
DOOR_S = 1.0  # for the door's answer, which it owes within that
CLAIM_HEADER = "Orchidhatch-Claim"  # told to the door, which does not read it


class Door:
    """The front door, and the epochs that were seen here."""

    def __init__(self, server: EndpointListServer, following: Replicator, at: Address) -> None:
        self.server, self.db, self.following, self.at = server, server.store.db, following, at
        self.lock, self.waiting = asyncio.Lock(), 0
        self.acts = self.late = self.unknown = 0
        for table in (
            "epochs (claim TEXT PRIMARY KEY, epoch INTEGER NOT NULL)",
            "acts (subject TEXT PRIMARY KEY, number INTEGER NOT NULL)",
            "epochs_known (only INTEGER PRIMARY KEY CHECK (only = 1))",
        ):
            self.db.execute(f"CREATE TABLE IF NOT EXISTS {table} STRICT")
        self.epochs: dict[str, int] = dict(self.db.execute("SELECT claim, epoch FROM epochs").fetchall())
        self.numbers: dict[str, int] = dict(self.db.execute("SELECT subject, number FROM acts").fetchall())
        # A memory that was lost, or never was, would let anybody in: the list service is asked first.
        self.known = bool(self.db.execute("SELECT count(*) FROM epochs_known").fetchone()[0])

    async def ask(self, connection: Connection, question: str) -> None:
        """What the front door answers, as it is now."""
        if question not in QUESTIONS:
            connection.answer(Response(404, error_body("no such question")))
            return
        result = await call(self.at, "GET", f"/{question}", timeout_s=DOOR_S)
        connection.answer(
            unavailable(f"the front door does not answer: {result.reason}")
            if isinstance(result, NoResponse)
            else Response(result.status, {"door": result.value})
        )

    async def carry_out(self, connection: Connection, path: tuple[str, ...], fence: Fence, act: int) -> None:
        if (path[0], path[-1]) not in ACTS or len(path) not in (2, 3):
            connection.answer(Response(404, error_body("no such act")))
            return
        if self.waiting >= MOST_WAITING:
            connection.answer(unavailable("too many acts wait"))
            return
        self.waiting += 1
        try:
            async with self.lock:
                connection.answer(await self.in_turn(path, fence, act))
        finally:
            self.waiting -= 1

    async def in_turn(self, path: tuple[str, ...], fence: Fence, act: int) -> Response:
        if not self.known and not await self.learn():
            self.unknown += 1
            return unavailable("the epochs are not known here, and no list service tells them")
        highest = self.epochs.get(fence.claim, 0)
        if fence.epoch < highest:
            self.late += 1
            return Response(
                409, error_body(f"claim {fence.claim} is at epoch {highest} here, not {fence.epoch}")
            )
        subject = "/".join(path[:-1])
        if act < self.numbers.get(subject, 0):
            self.late += 1
            return Response(409, error_body(f"act {act} on {subject} comes after {self.numbers[subject]}"))
        if len(self.epochs) + len(self.numbers) >= MOST_KNOWN:
            return unavailable("too many claims and backends are known here")
        try:
            await self.keep({fence.claim: fence.epoch}, {subject: act})
        except sqlite3.Error as error:
            return unavailable(f"cannot keep the epoch: {error}")
        target = "/" + "/".join(quote(part, safe="") for part in path)
        result = await call(
            self.at,
            "POST",
            target,
            timeout_s=DOOR_S,
            headers={CLAIM_HEADER: f"{fence.claim} {fence.epoch} {act}"},
        )
        if isinstance(result, NoResponse):
            return unavailable(f"the front door does not answer: {result.reason}")
        carried_out = 200 <= result.status < 300
        self.acts += carried_out
        return Response(200 if carried_out else result.status, {"door": result.value})

    async def learn(self) -> bool:
        """Of a list service that is not behind what was heard: the epochs that hold by now."""
        registry = self.following.upstream_address
        result = await call(registry, "GET", "/claims", timeout_s=DOOR_S)
        if not result.ok or term_of(result.store_name) < self.following.highest_term():
            return False
        try:
            claims = result.value["claims"]
            await self.keep({claim["name"]: claim["epoch"] for claim in claims}, {}, known=True)
        except (sqlite3.Error, KeyError, TypeError) as error:
            log.error("cannot keep the epochs: %s", error)
            return False
        return True

    async def keep(self, epochs: dict[str, int], numbers: dict[str, int], known: bool = False) -> None:
        """Durable on return, and nothing to write where nothing is higher."""
        higher = {claim: epoch for claim, epoch in epochs.items() if epoch > self.epochs.get(claim, 0)}
        numbers = {one: number for one, number in numbers.items() if number > self.numbers.get(one, 0)}
        if higher or numbers or known:
            await self.server.in_turn(lambda: self.write(higher, numbers, known))
            self.epochs.update(higher)
            self.numbers.update(numbers)
            self.known = self.known or known

    def write(self, higher: dict[str, int], numbers: dict[str, int], known: bool) -> None:
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.db.executemany("INSERT OR REPLACE INTO epochs VALUES (?, ?)", list(higher.items()))
            self.db.executemany("INSERT OR REPLACE INTO acts VALUES (?, ?)", list(numbers.items()))
            if known:
                self.db.execute("INSERT OR IGNORE INTO epochs_known VALUES (1)")
            self.db.execute("COMMIT")
        except sqlite3.Error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def figures(self) -> dict[str, float]:
        return {
            "door_acts_total": self.acts,
            "door_late_total": self.late,
            "door_unknown_total": self.unknown,
            "door_acts_waiting": self.waiting,
        }
