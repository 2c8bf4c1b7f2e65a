"""Keeps the front door on this machine to the policy that holds, while a list service says which one.

What the door may serve by follows from the last renewal that was answered: nothing once its lease is over;
before the moment of the decision the policy that held before, and from then on the new one. The door goes by
its configuration file: it is replaced whole, and read again on SIGHUP. Whether it has done so is read off
the door, and one that goes by anything else is held out.
"""

import asyncio
import json
import logging
import math
import os
import re
import secrets
import signal
import sqlite3
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

from orchidhatch.control.controller.summary import parse_gateway_metrics
from orchidhatch.control.http_client import Address, call
from orchidhatch.control.http_server import EndpointListServer
from orchidhatch.control.policy.document import (
    InvalidPolicyError,
    apply_policy,
    document_digest,
    parse_document,
)
from orchidhatch.control.policy.records import DOCUMENT_RECORD_PREFIX
from orchidhatch.control.policy.timing import (
    AGENT_SILENCE_LIMIT_S,
    AGENT_START_GRACE_S,
    LEASE_S,
    RENEWALS_PER_LEASE,
    SWITCH_MARGIN_S,
)
from orchidhatch.control.registry_client import RegistryClient

log = logging.getLogger("orchidhatch.policy")

STEER_S = 0.2  # between two looks at the door
DOOR_S = 1.0  # for its answer, which it owes within that
SWITCH_S = 2.0  # for it to go by a new file after SIGHUP
CHECK_S = 20.0  # for the door's own program to check one
MOST_KEPT = 6  # documents: what holds, what held before, what is prepared, some that may be asked for again
HEALTH = re.compile(r"policy (\d+) ([0-9a-f]{16}|-)")


@dataclass(frozen=True, slots=True)
class Setup:
    """Which door it is, and how it is reached: `pid` is a file that whoever starts the door writes its number
    to; `check` a command that checks the configuration that PROXY_CONFIG names."""

    name: str
    zone: str
    config: Path
    pid: Path
    check: Sequence[str]


@dataclass(frozen=True, slots=True)
class Heard:
    """The decision that holds, as last told. The moment lies between two times of our clock."""

    number: int = 0
    digest: str = ""
    before: str = ""
    earliest_s: float = -math.inf
    latest_s: float = math.inf

    def moment_s(self) -> float:
        """The middle, where both are known: as wrong as half an answer's way."""
        if math.isinf(self.earliest_s) or math.isinf(self.latest_s):
            return self.earliest_s if math.isinf(self.latest_s) else self.latest_s
        return (self.earliest_s + self.latest_s) / 2


class Keeper:
    """One door's."""

    def __init__(
        self,
        server: EndpointListServer,
        registries: Sequence[Address],
        door: Address,
        setup: Setup,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.server, self.links, self.door, self.setup = server, RegistryClient(list(registries)), door, setup
        self.clock, self.db = clock, server.store.db
        self.db.execute(
            "CREATE TABLE IF NOT EXISTS policy_heard (only INTEGER PRIMARY KEY CHECK (only = 1), "
            "life TEXT NOT NULL, number INTEGER NOT NULL, digest TEXT NOT NULL, "
            "before TEXT NOT NULL) STRICT"
        )
        self.db.execute(
            "CREATE TABLE IF NOT EXISTS policy_documents (digest TEXT PRIMARY KEY, "
            "text TEXT NOT NULL, at INTEGER NOT NULL) STRICT"
        )
        row = self.db.execute("SELECT life, number, digest, before FROM policy_heard").fetchone()
        # One agent at a time has this file, so the life goes on with it: nobody has to wait for its lease.
        self.life = row[0] if row else secrets.token_hex(8)
        self.heard = Heard(*row[1:]) if row else Heard()
        documents = self.db.execute("SELECT digest, text FROM policy_documents ORDER BY at").fetchall()
        self.documents: dict[str, str] = {
            digest: text for digest, text in documents if document_digest(text) == digest
        }
        self.good_until_s = -math.inf
        self.began_s = clock()
        # Whether the door says that it is under a policy at all, by which decision's number; `has` is which.
        self.under, self.number = False, 0
        self.has = self.flaw = ""  # and what was wrong with a document, after its digest
        self.serves, self.counts = False, (0, 0, 0)
        self.checked: set[str] = set()  # documents that the door's own program would go by
        self.needed: set[str] = set()  # documents to be had ready
        self.want = ""  # one that the list service asks for
        self.switches = self.held_out = self.stuck = 0

    # --- what holds ---

    def may_serve(self) -> str | None:
        """The document that the door may serve by now; None for none at all."""
        now = self.clock()
        if now >= self.good_until_s:
            return None
        return self.heard.digest if now >= self.heard.moment_s() else self.heard.before

    def managed(self) -> bool:
        """Whether the door's file says that it is under a policy."""
        try:
            return "policy" in json.loads(self.setup.config.read_bytes())
        except (OSError, ValueError):
            return False

    async def renew(self) -> None:
        """Tell how the door is, and hear what holds."""
        sent_s, heard = self.clock(), self.heard
        report: dict[str, Any] = {
            "life": self.life,
            "has": self.has,
            "number": heard.number,
            "digest": heard.digest,
            "ready": [*self.checked],
            "flaw": self.flaw[:300],
            "counts": self.counts,
            "serves": self.serves,
        }
        if heard.number and not math.isinf(heard.moment_s()):
            report["leftMs"] = round((heard.moment_s() - sent_s) * 1000)
        if self.want in self.documents:
            report["text"] = self.documents[self.want]
        status, told = await self.links.call(
            "POST", f"/doors/{quote(self.setup.name, safe='')}/renew", report
        )
        if status == 404 or (status == 409 and "another life" in str(told)):
            await self.links.call(
                "POST", "/doors", {"name": self.setup.name, "life": self.life, "zone": self.setup.zone}
            )
        elif status == 200:
            await self.hear(told, sent_s)

    async def hear(self, told: Mapping[str, Any], sent_s: float) -> None:
        """A moment known is kept; an answer that is behind what was heard before is worth nothing."""
        self.want = told["want"]
        if told["sure"]:
            number, left_s, now = told["number"], told["leftMs"] / 1000, self.clock()
            if number < self.heard.number:
                log.warning(
                    "the list service is at policy %d, and %d was heard before", number, self.heard.number
                )
                return
            new = number != self.heard.number
            known = Heard(number) if new else self.heard
            earliest = max(known.earliest_s, sent_s + left_s)
            self.heard = Heard(
                number,
                told["digest"],
                told["before"],
                earliest,
                max(earliest, min(known.latest_s, now + left_s)),
            )
            if new:
                await self.keep_heard()
            self.good_until_s = sent_s + LEASE_S
        self.needed = {self.heard.digest, self.heard.before, told["prepare"]} - {""}

    async def keep_heard(self) -> None:
        row = 1, self.life, self.heard.number, self.heard.digest, self.heard.before
        await self.server.in_turn(
            lambda: self.db.execute("INSERT OR REPLACE INTO policy_heard VALUES (?, ?, ?, ?, ?)", row)
        )

    # --- documents ---

    async def prepare(self) -> None:
        """Have what was heard of ready. That takes its time, and no renewal waits for it. What was wrong with
        a document is forgotten once it is not asked for: it may be proposed again when that was mended."""
        if self.flaw.partition(" ")[0] not in self.needed:
            self.flaw = ""
        for digest in sorted(self.needed):
            await self.make_ready(digest)

    async def make_ready(self, digest: str) -> None:
        """Have the document on disk, and checked by the door's own program."""
        if digest in self.checked or self.flaw.startswith(digest):
            return
        if digest not in self.documents:
            status, told = await self.links.call("GET", f"/records/{DOCUMENT_RECORD_PREFIX}{digest}")
            if status != 200 or document_digest(told["text"]) != digest:
                return
            await self.keep_document(digest, told["text"])
        try:
            await self.check(digest)
        except InvalidPolicyError as error:
            log.error("document %s: %s", digest, error)
            self.flaw = f"{digest} {error}"[:300]
        else:
            self.checked.add(digest)

    async def keep_document(self, digest: str, text: str) -> None:
        self.documents[digest] = text
        kept = {self.heard.digest, self.heard.before, digest}
        excess = max(0, len(self.documents) - MOST_KEPT)
        for old in [old for old in self.documents if old not in kept][:excess]:
            del self.documents[old]
            self.checked.discard(old)
        rows = [(digest, text, at) for at, (digest, text) in enumerate(self.documents.items())]

        def write() -> None:
            self.db.execute("BEGIN IMMEDIATE")
            try:
                self.db.execute("DELETE FROM policy_documents")
                self.db.executemany("INSERT INTO policy_documents VALUES (?, ?, ?)", rows)
                self.db.execute("COMMIT")
            except sqlite3.Error:
                self.db.execute("ROLLBACK")
                raise

        await self.server.in_turn(write)

    async def check(self, digest: str) -> None:
        tried = self.setup.config.with_suffix(".tried")
        tried.write_text(self.composed(digest))
        process = await asyncio.create_subprocess_exec(
            *self.setup.check,
            env={**os.environ, "PROXY_CONFIG": str(tried)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(CHECK_S):
                said = (await process.communicate())[1]
        except TimeoutError:
            process.kill()
            await process.wait()
            raise InvalidPolicyError(f"its check took over {CHECK_S:g} s") from None
        if process.returncode:
            raise InvalidPolicyError(
                " ".join(said.decode(errors="replace").split())[-200:] or "its check failed"
            )

    def composed(self, digest: str) -> str:
        """The door's configuration by this document; its own settings stay beside, to be laid over again."""
        try:
            values = json.loads(self.setup.config.read_bytes())
            base = values.get("policy", {}).get("base") or values["settings"]
            policy = parse_document(self.documents[digest], digest) if digest else None
            values["settings"] = apply_policy(base, policy) if policy else base
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            raise InvalidPolicyError(f"the door's configuration makes no sense: {error!r:.120}") from error
        values["policy"] = {
            "number": self.heard.number,
            "digest": digest,
            "until_us": self.until_us(),
            "silent_ms": round(AGENT_SILENCE_LIMIT_S * 1000),
            "base": base,
        }
        return json.dumps(values)

    def until_us(self) -> int:
        """When the door is to bar itself, should this process not come to have it switch: it is told once the
        decision is heard. The two are on one machine, and its monotonic clock is the same for both."""
        heard = self.heard
        ends = heard.before != heard.digest and self.clock() < heard.moment_s()
        return round((heard.moment_s() + SWITCH_MARGIN_S) * 1e6) if ends else 0

    # --- the door ---

    async def look(self) -> int:
        """How the door is: the status of its health, 0 where it does not answer."""
        status, text, _ = await call(self.door, "GET", "/healthcheck", within_s=DOOR_S)
        found = HEALTH.search(str(text))
        self.serves = status == 200
        if status:
            self.under, self.has = bool(found), found[2].strip("-") if found else ""
            self.number = int(found[1]) if found else 0
        return status

    async def steer(self) -> None:
        """One look at the door, and what follows from it."""
        status, may = await self.look(), self.may_serve()
        if not self.managed():
            if may is not None and status:  # the first time, or somebody else wrote the file
                await self.switch(may)
            return
        if may is None:
            if self.clock() - self.began_s > AGENT_START_GRACE_S:
                await self.hold_out(status)
        elif not status:
            return
        elif (self.under, self.number, self.has) != (True, self.heard.number, may):
            await self.switch(may)
        else:
            self.server.closed = False
            if status != 200:
                await self.tell("healthcheck/ok")

    async def tell(self, what: str) -> bool:
        status, _, _ = await call(self.door, "POST", f"/{what}", within_s=DOOR_S)
        return status == 200

    async def hold_out(self, status: int) -> None:
        """No clients any more. A door that cannot be told hears nothing of us either, and bars itself."""
        if status == 200:
            self.held_out += 1
            log.warning("holds the door out: no list service says which policy holds")
        if status not in (0, 200) or await self.tell("healthcheck/fail"):
            self.server.closed = False
        else:
            self.server.close_watches()

    async def switch(self, digest: str) -> None:
        """Have the door go by this document; one that does not is held out."""
        if digest and digest not in self.documents:
            await self.hold_out(200)
            return
        number = self.heard.number
        try:
            self.replace_file(self.composed(digest))
        except (InvalidPolicyError, OSError) as error:
            log.error("cannot write the door's configuration: %s", error)
            await self.hold_out(200)
            return
        self.hang_up()
        self.switches += 1
        until = self.clock() + SWITCH_S
        while self.clock() < until:
            if await self.look() and (self.under, self.number, self.has) == (True, number, digest):
                log.info("the door goes by document %s", digest or "-")
                return
            await asyncio.sleep(STEER_S / 10)
        self.stuck += 1
        log.error("the door was told of document %s and goes by %s; it is held out", digest, self.has or "-")
        await self.hold_out(200)

    def replace_file(self, text: str) -> None:
        """Whole or not at all, whenever this process or the door's is killed."""
        new = self.setup.config.with_suffix(".new")
        with new.open("w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        new.replace(self.setup.config)

    def hang_up(self) -> None:
        """Signal the door, and nobody else who has its number by now."""
        try:
            number = int(self.setup.pid.read_text())
            descriptor = os.pidfd_open(number)
        except (OSError, ValueError) as error:
            log.warning("the door's process is not known: %s", error)
            return
        try:
            environment = Path(f"/proc/{number}/environ").read_bytes().split(b"\0")
            if f"PROXY_CONFIG={self.setup.config}".encode() in environment:
                signal.pidfd_send_signal(descriptor, signal.SIGHUP)
            else:
                log.error("process %d is not the door of %s", number, self.setup.config)
        except OSError as error:
            log.warning("cannot signal the door: %s", error)
        finally:
            os.close(descriptor)

    async def read_counts(self) -> None:
        status, text, _ = await call(self.door, "GET", "/stats", within_s=DOOR_S)
        if status == 200 and (reading := parse_gateway_metrics(str(text))):
            self.counts = reading.answered, reading.deferred, reading.errored

    # --- all the time ---

    async def keep_renewing(self) -> None:
        while True:
            with suppress(sqlite3.Error):  # a disk that is full: what was heard holds in memory
                await self.renew()
            await asyncio.sleep(LEASE_S / RENEWALS_PER_LEASE)

    async def keep_preparing(self) -> None:
        while True:
            with suppress(sqlite3.Error, OSError):  # a disk that is full: it is tried again
                await self.prepare()
            await asyncio.sleep(STEER_S)

    async def keep_steering(self) -> None:
        looked = 0
        while True:
            await self.steer()
            looked += 1
            if looked % 4 == 0:
                await self.read_counts()
            left_s = self.heard.moment_s() - self.clock()
            await asyncio.sleep(min(STEER_S, left_s) if left_s > 0 else STEER_S)

    def figures(self) -> dict[str, float]:
        return {
            "policy_lease_seconds": round(max(-1.0, self.good_until_s - self.clock()), 3),
            "policy_number": self.heard.number & 0xFFFFFFFF,
            "policy_switches_total": self.switches,
            "policy_held_out_total": self.held_out,
            "policy_stuck_total": self.stuck,
            "door_serves": int(self.serves),
        }
