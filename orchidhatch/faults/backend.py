"""A stand-in backend with cores, a queue, thrashing, a cold start, handshakes and load reports.

    python -m orchidhatch.trial.backend SETTINGS.json

It registers itself, renews its lease, and records each attempt from its last byte to its end.
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

MAX_PIPELINED_COMMANDS = 100
REGISTRATION_RETRY_S = 0.3
OVERSIZED_VALUE_BYTES = 200_000
"""More than the protocol allows; a gateway forwards it as a stream."""
RENEWALS_PER_LEASE = 3
MAX_TEXT_LENGTH = 200
LISTEN_BACKLOG = 512
MALFORMATIONS = ("twice", "nonsense", "endless", "long", "cut", "late", "reset", "late reset")


def payload_deadline_ms(payload: bytes) -> int:
    """The remaining time that the gateway names in a command's list of fields; 0 if it names none."""
    fields = dict(field.partition(b"=")[::2] for field in payload.split(b","))
    return int(fields.get(b"d", b"0"))


class Settings(msgspec.Struct, frozen=True):
    """The settings file of a backend."""

    name: str
    id: str  # in the registry
    listen: Address
    registries: list[Address]
    zone: str
    model: Backends
    seed: int
    folder: str  # of its events


class Attempt:
    """A complete command, from its receipt until its reply is ready or its connection is lost."""

    __slots__ = ("connection", "id", "is_finished")

    def __init__(self, connection: "Connection", id_: str) -> None:
        self.connection = connection
        self.id = id_
        self.is_finished = False


class Machine:
    """Serves `cores` requests at a time; slower during the cold start and while overloaded."""

    def __init__(self, settings: Settings, recorder: Recorder) -> None:
        self.settings = settings
        self.model = settings.model
        self.recorder = recorder
        self.stream = random.Random(f"{settings.seed} {settings.id}")
        self.started_s = time.monotonic()
        self.core_free_times_s = [self.started_s] * self.model.cores
        self.in_flight: set[Attempt] = set()
        self.malformed_share_file = Path(settings.folder) / f"{settings.name}.spoil"
        self.connections: set[Connection] = set()

    def speed(self) -> float:
        """The speed of a core now; 1 when warm and not overloaded."""
        model = self.model
        age_s = time.monotonic() - self.started_s
        warmth = 1.0
        if model.cold_s:
            warmth = min(1.0, model.cold_from + (1 - model.cold_from) * age_s / model.cold_s)
        excess_per_core = max(0.0, len(self.in_flight) / model.cores - model.thrash_at)
        return warmth / (1 + model.thrash * excess_per_core)

    def load_report(self) -> bytes:
        """The load report, as it stands in replies."""
        busy = min(len(self.in_flight), self.model.cores)
        queued = len(self.in_flight) - busy
        return b"inflight=%d,queue=%d,util=%.2f" % (busy, queued, busy / self.model.cores)

    def occupy_core(self, cost_s: float) -> float:
        """Occupy the core that is free first; return the time at which the work is done."""
        start_s = max(time.monotonic(), heapq.heappop(self.core_free_times_s))
        done_s = start_s + cost_s / self.speed()
        heapq.heappush(self.core_free_times_s, done_s)
        return done_s

    def handle_command(self, connection: "Connection", arguments: list[bytes]) -> None:
        """Reply to a command, or start an attempt for it."""
        name = arguments[0].upper()
        is_query = name == b"SVC.QUERY" and len(arguments) == 4
        is_submit = name == b"SVC.SUBMIT" and len(arguments) == 5
        if name in (b"CLIENT", b"SELECT"):
            connection.write(b"+OK\r\n")
        elif name == b"PING":
            connection.write(b"+PONG\r\n")
        elif name == b"INFO":
            connection.write(b"-NOPERM\r\n")
        elif is_query or is_submit:
            self.start_attempt(connection, arguments)
        else:
            self.recorder.note("syntax", self.settings.id, words=repr(arguments)[:MAX_TEXT_LENGTH])
            connection.write(b"-SYNTAX\r\n")

    def start_attempt(self, connection: "Connection", arguments: list[bytes]) -> None:
        """Queue an attempt, or reject it if the queue is full."""
        id_ = arguments[2].decode(errors="replace")
        attempt = Attempt(connection, id_)
        connection.attempts.append(attempt)
        self.recorder.note(
            "attempt",
            id_,
            backend=self.settings.id,
            port=connection.port,
            customer=arguments[1].decode(errors="replace"),
            told_ms=payload_deadline_ms(arguments[3]),
        )
        if len(self.in_flight) >= self.model.cores + self.model.queue:
            report = self.load_report() if self.model.reports else b""
            self.finish(attempt, b"-BUSY %b\r\n" % report, "busy")
            return
        self.in_flight.add(attempt)
        cost_s = self.model.work_ms / 1000 * self.stream.expovariate(1.0)
        if connection.is_new:  # the cost of a TLS handshake
            connection.is_new = False
            cost_s += self.model.handshake_ms / 1000
        wait_s = self.occupy_core(cost_s) - time.monotonic()
        asyncio.get_running_loop().call_later(wait_s, self.complete, attempt)

    def complete(self, attempt: Attempt) -> None:
        """Reply to an attempt whose work is done; some of the replies are malformed while the trial asks."""
        self.in_flight.discard(attempt)
        value = f"{self.settings.id}:{attempt.id}".encode()
        report = b"$-1\r\n"
        if self.model.reports:
            load = self.load_report()
            report = b"$%d\r\n%b\r\n" % (len(load), load)
        reply = b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(value), value, report)
        if self.stream.random() < self.malformed_share():
            self.send_malformed(attempt, reply)
        else:
            self.finish(attempt, reply, "served")

    def malformed_share(self) -> float:
        """The share of malformed replies, from the file that the trial writes."""
        try:
            return float(self.malformed_share_file.read_text())
        except (OSError, ValueError):
            return 0.0

    def send_malformed(self, attempt: Attempt, reply: bytes) -> None:
        """Send a reply with a random kind of fault."""
        kind = self.stream.choice(MALFORMATIONS)
        self.recorder.note("spoilt", attempt.id, how=kind)
        loop = asyncio.get_running_loop()
        connection = attempt.connection
        if kind == "twice":
            self.finish(attempt, reply, "served")
            loop.call_later(self.stream.uniform(0.0, 0.04), connection.write, reply)
        elif kind == "nonsense":
            self.finish(attempt, b"!what\r\n", "spoilt")
        elif kind == "endless":
            connection.write(b"*3\r\n$60000\r\n" + b"x" * 100)
        elif kind == "long":
            value = b"x" * OVERSIZED_VALUE_BYTES + f":{attempt.id}".encode()
            self.finish(attempt, b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value), "served")
        elif kind == "cut":
            connection.write(b"*3\r\n$%d\r\n" % OVERSIZED_VALUE_BYTES + b"x" * 5000)
            loop.call_later(0.03, connection.transport.abort)
        elif kind == "late":
            loop.call_later(self.stream.uniform(0.5, 2.0), self.finish, attempt, reply, "served")
        elif kind == "late reset":
            loop.call_later(self.stream.uniform(0.3, 1.5), connection.transport.abort)
        else:
            connection.transport.abort()

    def finish(self, attempt: Attempt, reply: bytes, result: str) -> None:
        """Record the end of an attempt and send its reply, unless the attempt has finished before."""
        if attempt.is_finished:
            return
        attempt.is_finished = True
        port = attempt.connection.port
        self.recorder.note("over", attempt.id, backend=self.settings.id, port=port, how=result)
        attempt.connection.write_in_order(attempt, reply)


class Connection(asyncio.Protocol):
    """A connection of a gateway; replies are sent in the order of its commands."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.parser = hiredis.Reader()
        self.attempts: list[Attempt] = []
        self.ready_replies: dict[Attempt, bytes] = {}
        self.is_new = True
        self.port = 0
        self.use_count = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, unless there are too many."""
        self.transport = transport
        self.port = transport.get_extra_info("peername")[1]
        if len(self.machine.connections) >= self.machine.model.connections:
            transport.abort()
        else:
            self.machine.connections.add(self)
            self.schedule_idle_close()

    def schedule_idle_close(self) -> None:
        """Schedule a close at a random time, for the case that the connection is idle until then."""
        max_idle_s = self.machine.model.rests_s
        if max_idle_s:
            wait_s = self.machine.stream.uniform(0.0, max_idle_s)
            asyncio.get_running_loop().call_later(wait_s, self.close_if_idle, self.use_count)

    def close_if_idle(self, earlier_use_count: int) -> None:
        """Close the connection unless it was used since."""
        if self.use_count == earlier_use_count and not self.attempts and self.transport:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Handle each complete command; abort the connection on anything else."""
        self.use_count += 1
        self.parser.feed(data)
        try:
            while (arguments := self.parser.gets()) is not False:
                is_command = isinstance(arguments, list) and arguments
                if len(self.attempts) >= MAX_PIPELINED_COMMANDS or not is_command:
                    self.transport.abort()
                    return
                self.machine.handle_command(self, arguments)
        except hiredis.ProtocolError:
            text = repr(data)[:MAX_TEXT_LENGTH]
            self.machine.recorder.note("syntax", self.machine.settings.id, words=text)
            self.transport.abort()

    def write(self, data: bytes) -> None:
        """Write to the gateway, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def write_in_order(self, attempt: Attempt, reply: bytes) -> None:
        """Write the reply once the replies to all earlier commands are written."""
        self.ready_replies[attempt] = reply
        while self.attempts and self.attempts[0] in self.ready_replies:
            first = self.attempts.pop(0)
            self.write(self.ready_replies.pop(first))

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the attempts in flight on the connection; their work is done nevertheless."""
        self.machine.connections.discard(self)
        for attempt in self.attempts:
            if not attempt.is_finished:
                attempt.is_finished = True
                self.machine.recorder.note(
                    "over", attempt.id, backend=self.machine.settings.id, port=self.port, how="left"
                )
        self.attempts.clear()


async def maintain_registration(settings: Settings, recorder: Recorder) -> None:
    """Register the backend and renew its lease.

    Registers again if its incarnation is not current; goes on to the next registry after any other failure.
    """
    started_ms = time.time_ns() // 1_000_000
    entry = {
        "instanceId": settings.id,
        "hostPort": f"{settings.listen[0]}:{settings.listen[1]}",
        "zone": settings.zone,
        "machineType": "m2",
        "startedAtMs": started_ms,
        "leaseMs": settings.model.lease_ms,
    }
    registry_index = 0
    incarnation = 0
    while True:
        registry = settings.registries[registry_index % len(settings.registries)]
        if incarnation:
            result = await call(registry, "POST", f"/entries/{settings.id}/renew", {"life": incarnation})
        else:
            result = await call(registry, "POST", "/entries", entry)
        if result.ok:
            if not incarnation:
                recorder.note("listed", settings.id, life=result.value["life"])
            incarnation = result.value["life"]
            await asyncio.sleep(settings.model.lease_ms / 1000 / RENEWALS_PER_LEASE)
            continue
        is_expired = result.status == 404
        is_superseded = result.status == 409 and "is in life" in str(result.value)
        if is_expired or is_superseded:
            incarnation = 0
        else:
            registry_index += 1
        await asyncio.sleep(REGISTRATION_RETRY_S)


async def run_backend(settings: Settings) -> None:
    """Serve and stay registered until the process is ended."""
    recorder = Recorder(settings.name, Path(settings.folder))
    machine = Machine(settings, recorder)
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Connection(machine), *settings.listen, backlog=LISTEN_BACKLOG)
    recorder.note("serves", settings.id)
    await asyncio.gather(maintain_registration(settings, recorder), asyncio.sleep(math.inf))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_backend(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings)))
