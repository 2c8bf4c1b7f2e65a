"""A stand-in backend, by the protocol's page: cores, queue, thrash, cold start, handshakes, load reports.

    python -m orchidhatch.trial.backend SETTINGS.json

It enters itself in the list, keeps its lease, and writes down each attempt from its last byte to its end.
"""

import asyncio
import heapq
import math
import random
import sys
import time
from pathlib import Path

import hiredis
import msgspec
import uvloop

from orchidhatch.control.http_client import Address, call
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.plan import Backends

MOST_PIPELINED = 100
AGAIN_S = 0.3  # until it tries to enter the list again
LONG_BYTES = 200_000  # over what the protocol allows; a gateway passes it on as it comes
SPOILT = ("twice", "nonsense", "endless", "long", "cut", "late", "reset")
RENEWALS = 3  # in the time of a lease


def told_wait_ms(fields: bytes) -> int:
    """How long the gateway says that it will wait, of a command's list of names and values."""
    parts = dict(part.partition(b"=")[::2] for part in fields.split(b","))
    return int(parts.get(b"d", b"0"))


class Settings(msgspec.Struct, frozen=True):
    name: str
    id: str  # in the list
    listen: Address
    registries: list[Address]
    zone: str
    model: Backends
    seed: int
    folder: str  # where its events go


class Attempt:
    """A command that has come whole: its place in the queue, until its answer is written or nobody waits."""

    __slots__ = ("conn", "id", "over")

    def __init__(self, conn: "Connection", id_: str) -> None:
        self.conn, self.id, self.over = conn, id_, False


class Machine:
    """What serves: `cores` at a time, slower while cold and while too much waits."""

    def __init__(self, settings: Settings, recorder: Recorder) -> None:
        self.settings, self.model, self.recorder = settings, settings.model, recorder
        self.chance = random.Random(f"{settings.seed} {settings.id}")
        self.began_s = time.monotonic()
        self.free_s = [self.began_s] * self.model.cores
        self.inside: set[Attempt] = set()
        self.spoil_file = Path(settings.folder) / f"{settings.name}.spoil"
        self.connections: set[Connection] = set()

    def speed(self) -> float:
        model, age = self.model, time.monotonic() - self.began_s
        warm = min(1.0, model.cold_from + (1 - model.cold_from) * age / model.cold_s) if model.cold_s else 1.0
        beyond = max(0.0, len(self.inside) / model.cores - model.thrash_at)
        return warm / (1 + model.thrash * beyond)

    def load(self) -> bytes:
        busy = min(len(self.inside), self.model.cores)
        return b"inflight=%d,queue=%d,util=%.2f" % (busy, len(self.inside) - busy, busy / self.model.cores)

    def work(self, cost_s: float) -> float:
        """A core is kept busy for that long from when one is free; the time at which it is done."""
        done = max(time.monotonic(), heapq.heappop(self.free_s)) + cost_s / self.speed()
        heapq.heappush(self.free_s, done)
        return done

    def take(self, conn: "Connection", words: list[bytes]) -> None:
        kind = words[0].upper()
        if kind in (b"CLIENT", b"SELECT"):
            conn.answer(b"+OK\r\n")
        elif kind == b"PING":
            conn.answer(b"+PONG\r\n")
        elif kind == b"INFO":
            conn.answer(b"-NOPERM\r\n")
        elif (kind == b"SVC.QUERY" and len(words) == 4) or (kind == b"SVC.SUBMIT" and len(words) == 5):
            self.serve(conn, words)
        else:
            self.recorder.note("syntax", self.settings.id, words=repr(words)[:200])
            conn.answer(b"-SYNTAX\r\n")

    def serve(self, conn: "Connection", words: list[bytes]) -> None:
        id_ = words[2].decode(errors="replace")
        attempt = Attempt(conn, id_)
        conn.attempts.append(attempt)
        self.recorder.note(
            "attempt",
            id_,
            backend=self.settings.id,
            port=conn.port,
            customer=words[1].decode(errors="replace"),
            told_ms=told_wait_ms(words[3]),
        )
        if len(self.inside) >= self.model.cores + self.model.queue:
            self.finish(attempt, b"-BUSY %b\r\n" % (self.load() if self.model.reports else b""), "busy")
            return
        self.inside.add(attempt)
        cost_s = self.model.work_ms / 1000 * self.chance.expovariate(1.0)
        if conn.is_new:  # as a TLS handshake would
            conn.is_new = False
            cost_s += self.model.handshake_ms / 1000
        wait_s = self.work(cost_s) - time.monotonic()
        asyncio.get_running_loop().call_later(wait_s, self.served, attempt)

    def served(self, attempt: Attempt) -> None:
        self.inside.discard(attempt)
        value = f"{self.settings.id}:{attempt.id}".encode()
        report = b"$-1\r\n"
        if self.model.reports:
            load = self.load()
            report = b"$%d\r\n%b\r\n" % (len(load), load)
        answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(value), value, report)
        if self.chance.random() < self.spoilt_share():
            self.spoil(attempt, answer)
        else:
            self.finish(attempt, answer, "served")

    def spoilt_share(self) -> float:
        """The share of answers that are spoilt now, as the trial has written it."""
        try:
            return float(self.spoil_file.read_text())
        except (OSError, ValueError):
            return 0.0

    def spoil(self, attempt: Attempt, answer: bytes) -> None:
        """Answer in one of the ways in which a faulty backend may."""
        how = self.chance.choice(SPOILT)
        self.recorder.note("spoilt", attempt.id, how=how)
        loop = asyncio.get_running_loop()
        if how == "twice":
            self.finish(attempt, answer, "served")
            loop.call_later(self.chance.uniform(0.0, 0.04), attempt.conn.answer, answer)
        elif how == "nonsense":
            self.finish(attempt, b"!what\r\n", "spoilt")
        elif how == "endless":
            attempt.conn.answer(b"*3\r\n$60000\r\n" + b"x" * 100)
        elif how == "long":
            value = b"x" * LONG_BYTES + f":{attempt.id}".encode()
            self.finish(attempt, b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value), "served")
        elif how == "cut":
            attempt.conn.answer(b"*3\r\n$%d\r\n" % LONG_BYTES + b"x" * 5000)
            loop.call_later(0.03, attempt.conn.transport.abort)
        elif how == "late":
            loop.call_later(self.chance.uniform(0.5, 2.0), self.finish, attempt, answer, "served")
        else:
            attempt.conn.transport.abort()

    def finish(self, attempt: Attempt, data: bytes, how: str) -> None:
        if not attempt.over:
            attempt.over = True
            self.recorder.note("over", attempt.id, backend=self.settings.id, port=attempt.conn.port, how=how)
            attempt.conn.answer_in_turn(attempt, data)


class Connection(asyncio.Protocol):
    """A connection of a front door: answers leave in the order of its commands."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.parser = machine, hiredis.Reader()
        self.attempts: list[Attempt] = []
        self.answers: dict[Attempt, bytes] = {}
        self.is_new, self.port, self.uses = True, 0, 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.port = transport, transport.get_extra_info("peername")[1]
        if len(self.machine.connections) >= self.machine.model.connections:
            transport.abort()
        else:
            self.machine.connections.add(self)
            self.rest()

    def rest(self) -> None:
        """Close the connection if it stays idle, without a word."""
        if rests_s := self.machine.model.rests_s:
            used = self.uses
            wait_s = self.machine.chance.uniform(0.0, rests_s)
            asyncio.get_running_loop().call_later(wait_s, self.close_if_idle, used)

    def close_if_idle(self, used: int) -> None:
        """Close it unless it was used since."""
        if self.uses == used and not self.attempts and self.transport:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.uses += 1
        self.parser.feed(data)
        try:
            while (words := self.parser.gets()) is not False:
                if len(self.attempts) >= MOST_PIPELINED or not isinstance(words, list) or not words:
                    self.transport.abort()
                    return
                self.machine.take(self, words)
        except hiredis.ProtocolError:
            self.machine.recorder.note("syntax", self.machine.settings.id, words=repr(data)[:200])
            self.transport.abort()

    def answer(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def answer_in_turn(self, attempt: Attempt, data: bytes) -> None:
        self.answers[attempt] = data
        while self.attempts and (ready := self.answers.pop(self.attempts[0], None)) is not None:
            del self.attempts[0]
            self.answer(ready)

    def connection_lost(self, error: Exception | None) -> None:
        """Whoever asked has gone: what is out of it is over, though the work is done all the same."""
        self.machine.connections.discard(self)
        for attempt in self.attempts:
            if not attempt.over:
                attempt.over = True
                self.machine.recorder.note(
                    "over", attempt.id, backend=self.machine.settings.id, port=self.port, how="left"
                )
        self.attempts.clear()


async def stay_listed(settings: Settings, recorder: Recorder) -> None:
    """Enter the list, and renew the lease; anew where it is not known, at the next if one is silent."""
    started_ms = time.time_ns() // 1_000_000
    entry = {
        "instanceId": settings.id,
        "hostPort": f"{settings.listen[0]}:{settings.listen[1]}",
        "zone": settings.zone,
        "machineType": "m2",
        "startedAtMs": started_ms,
        "leaseMs": settings.model.lease_ms,
    }
    at, life = 0, 0
    while True:
        registry = settings.registries[at % len(settings.registries)]
        path, value = (f"/entries/{settings.id}/renew", {"life": life}) if life else ("/entries", entry)
        result = await call(registry, "POST", path, value)
        if result.ok:
            if not life:
                recorder.note("listed", settings.id, life=result.value["life"])
            life = result.value["life"]
            await asyncio.sleep(settings.model.lease_ms / 1000 / RENEWALS)
            continue
        if result.status == 404 or (result.status == 409 and "is in life" in str(result.value)):
            life = 0  # its lease ran out, or another life is listed
        else:
            at += 1
        await asyncio.sleep(AGAIN_S)


async def serve(settings: Settings) -> None:
    recorder = Recorder(settings.name, Path(settings.folder))
    machine = Machine(settings, recorder)
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Connection(machine), *settings.listen, backlog=512)
    recorder.note("serves", settings.id)
    await asyncio.gather(stay_listed(settings, recorder), asyncio.sleep(math.inf))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings)))
