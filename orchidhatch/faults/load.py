"""Clients: an open-loop load, drawn ahead. A door that stalls shows in the latencies, not as fewer requests.

    python -m orchidhatch.trial.load SETTINGS.json

Each request leaves at the time that was drawn for it; by how much it was late is written down apart, as that
is this tool's fault and no door's.
"""

import asyncio
import random
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import hiredis
import msgspec
import uvloop

from orchidhatch.control.http_client import Address
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.plan import Customers, Load

KEPT_S = 2.0  # a connection that was idle for longer is not used again, as the door may be closing it
MOST_CONNECTIONS = 2000
MOST_ADVICE_MS = 2000
LEAVES_AFTER_S = (0.001, 0.4)
LAST_S = 8.0  # after the last arrival: what has no answer by then has none


class Settings(msgspec.Struct, frozen=True):
    doors: list[Address]  # as clients reach them
    load: Load
    seconds: float
    seed: int
    start_ns: int  # of the monotonic clock
    folder: str


class Ask(msgspec.Struct, frozen=True):
    """A request: when it is due, of whom, which doors its customer's set has, and its class.

    Its client closes the connection `leaves_after_s` after sending it; 0: never.
    """

    due_s: float
    id: str
    customer: str
    plan: str
    spread: int
    first: int
    door: int
    tries: int = 0
    kind: str = "read"
    leaves_after_s: float = 0.0


def customer_name(plan: int, number: int) -> str:
    """16 hex digits, a number below 2^33: spread over it, so that homes differ."""
    return f"{(plan << 28 | number * 2654435761 % (1 << 28)):016x}"


def arrivals(load: Load, seconds: float, doors: int, seed: int) -> list[Ask]:
    """All first tries, in the order of time; each customer's of a stream of its own, and each one's class."""
    asks = []
    for index, plan in enumerate(load.customers):
        for number in range(plan.count):
            asks += one_customer(load, plan, index, number, seconds, doors, seed)
    return sorted([as_drawn(load, ask) for ask in asks], key=lambda ask: (ask.due_s, ask.id))


def as_drawn(load: Load, ask: Ask) -> Ask:
    """The request with its class, and with the time after which its client leaves, if it does."""
    chance = random.Random(f"{ask.id} class")
    drawn = chance.random()
    kind = "settle" if drawn < load.unsafe else "book" if drawn < load.unsafe + load.keyed else "read"
    leaves_after_s = chance.uniform(*LEAVES_AFTER_S) if chance.random() < load.leaving else 0.0
    return msgspec.structs.replace(ask, kind=kind, leaves_after_s=leaves_after_s)


def one_customer(
    load: Load, plan: Customers, index: int, number: int, seconds: float, doors: int, seed: int
) -> Iterator[Ask]:
    chance = random.Random(f"{seed} clients {index} {number}")
    name, spread = customer_name(index, number), plan.spread or doors
    first, at = chance.randrange(doors), 0.0
    busiest = [chance.random() for _ in range(spread)]  # its requests come unevenly
    while True:
        bursts = load.burst_every_s and at % load.burst_every_s < load.burst_every_s / 5
        at += chance.expovariate(plan.asks * (load.burst_x if bursts else 1.0))
        if at >= seconds:
            return
        door = (first + chance.choices(range(spread), busiest)[0]) % doors
        yield Ask(at, f"{chance.getrandbits(48):012x}", name, plan.plan, spread, first, door)


def command(words: list[bytes]) -> bytes:
    """A command as it is on the wire."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Client(asyncio.Protocol):
    """A connection to a door, one request at a time."""

    def __init__(self, clients: "Clients", door: int) -> None:
        self.clients, self.door, self.ask = clients, door, None
        self.ask: Ask | None
        self.uses = self.received = 0
        self.parser, self.idle_s = hiredis.Reader(), 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def send(self, ask: Ask) -> None:
        self.ask, self.received = ask, 0
        text = (
            f"c={ask.kind},t={ask.plan},d={self.clients.settings.load.patience_ms},units=1,"
            f"spread={ask.spread},first={ask.first}" + (",r=1" if ask.tries else "")
        )
        if ask.kind == "book":
            text += f",k={ask.id[:12]}"
        words = [b"SVC.QUERY", ask.customer.encode(), ask.id.encode(), text.encode()]
        if ask.kind != "read":
            words = [b"SVC.SUBMIT", *words[1:], b"body"]
        self.transport.write(command(words))
        if ask.leaves_after_s:
            asyncio.get_running_loop().call_later(ask.leaves_after_s, self.leave, ask)
        self.clients.recorder.note(
            "ask",
            ask.id,
            door=ask.door,
            customer=ask.customer,
            plan=ask.plan,
            kind=ask.kind,
            new=self.uses == 0,
            late_us=round((self.clients.now_s() - ask.due_s) * 1e6),
            tries=ask.tries,
        )
        self.uses += 1

    def leave(self, ask: Ask) -> None:
        """Close the connection on which the request is unanswered."""
        if self.ask is not ask:
            return
        self.ask = None
        self.clients.recorder.note("gone", ask.id, door=ask.door)
        self.transport.abort()
        self.clients.over(ask, "left", "")

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self.parser.feed(data)
        while (reply := self.parser.gets()) is not False:
            if self.ask is None:
                self.clients.recorder.note("surplus", f"door-{self.door}", reply=repr(reply)[:80])
                continue
            ask, self.ask, self.idle_s = self.ask, None, time.monotonic()
            self.clients.answered(self, ask, reply)

    def connection_lost(self, error: Exception | None) -> None:
        if self.ask is not None:
            ask, self.ask = self.ask, None
            how = "cut" if self.received else "closed"  # its answer had begun, or not
            self.clients.over(ask, how, repr(error) if error else "")
        self.clients.forget(self)


class Clients:
    """All of them."""

    def __init__(self, settings: Settings, recorder: Recorder) -> None:
        self.settings, self.recorder = settings, recorder
        self.idle: list[list[Client]] = [[] for _ in settings.doors]
        self.all: set[Client] = set()
        self.chance = random.Random(f"{settings.seed} retries")
        self.open: dict[str, Ask] = {}

    def now_s(self) -> float:
        return (time.monotonic_ns() - self.settings.start_ns) / 1e9

    async def play(self) -> None:
        loop = asyncio.get_running_loop()
        settings = self.settings
        asks = arrivals(settings.load, settings.seconds, len(settings.doors), settings.seed)
        for ask in asks:
            if (wait := ask.due_s - self.now_s()) > 0:
                await asyncio.sleep(wait)
            loop.create_task(self.begin(ask))  # noqa: RUF006 - `open` tells of those that are under way
            self.open[ask.id] = ask
        deadline = self.settings.seconds + LAST_S
        while self.open and self.now_s() < deadline:
            await asyncio.sleep(0.05)
        for ask in self.open.values():
            self.recorder.note("unanswered", ask.id, door=ask.door)

    async def begin(self, ask: Ask) -> None:
        idle = self.idle[ask.door]
        while idle:
            client = idle.pop()
            if not client.transport.is_closing() and time.monotonic() - client.idle_s < KEPT_S:
                client.send(ask)
                return
            client.transport.close()
        if len(self.all) >= MOST_CONNECTIONS:
            self.over(ask, "crowded", "")
            return
        try:
            async with asyncio.timeout(self.settings.load.patience_ms / 1000):
                _, client = await asyncio.get_running_loop().create_connection(
                    lambda: Client(self, ask.door), *self.settings.doors[ask.door]
                )
        except (OSError, TimeoutError) as error:
            self.over(ask, "unsent", repr(error))
            return
        self.all.add(client)
        client.send(ask)

    def answered(self, client: Client, ask: Ask, reply: object) -> None:
        self.idle[ask.door].append(client)
        if isinstance(reply, bytes) or (isinstance(reply, list) and reply and isinstance(reply[0], bytes)):
            value = reply if isinstance(reply, bytes) else reply[0]
            self.over(ask, "served", value.decode(errors="replace"))
        elif isinstance(reply, hiredis.ReplyError) and str(reply).startswith("BUSY"):
            self.over(ask, "busy", str(reply))
            self.come_again(ask, str(reply))
        else:
            self.over(ask, "failed", str(reply))

    def over(self, ask: Ask, how: str, text: str) -> None:
        self.open.pop(ask.id, None)
        self.recorder.note("end", ask.id, how=how, text=text[-80:])

    def come_again(self, ask: Ask, text: str) -> None:
        """By the advice where there is one; a new try has a new id."""
        words = text.split()
        advice_ms = int(words[1]) if len(words) > 1 and words[1].isdecimal() else 200
        due = self.now_s() + min(advice_ms, MOST_ADVICE_MS) / 1000
        if ask.tries < self.settings.load.retries and due < self.settings.seconds:
            door = (ask.first + self.chance.randrange(ask.spread)) % len(self.settings.doors)
            again = msgspec.structs.replace(
                ask, due_s=due, id=f"{ask.id[:12]}{ask.tries + 1}", door=door, tries=ask.tries + 1
            )
            self.open[again.id] = again
            asyncio.get_running_loop().call_at(
                asyncio.get_running_loop().time() + due - self.now_s(), self.begin_later, again
            )

    def begin_later(self, ask: Ask) -> None:
        asyncio.get_running_loop().create_task(self.begin(ask))

    def forget(self, client: Client) -> None:
        self.all.discard(client)


async def play(settings: Settings) -> None:
    recorder = Recorder("clients", Path(settings.folder))
    recorder.note("serves", "clients")
    await Clients(settings, recorder).play()
    recorder.note("done", "clients")


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings)))
