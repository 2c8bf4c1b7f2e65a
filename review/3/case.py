"""At a planned restart, requests sent on connections that stay open have no answer when SIGKILL comes."""

import asyncio
import contextlib
import signal
import time
from pathlib import Path
from typing import Any

from standins.rig import (
    HOST,
    Backend,
    Discovery,
    Gateway,
    Record,
    answer_to,
    read_answer,
    resp,
    run_case,
    site_settings,
    trouble,
)

BACKENDS = 4
HUNG_BACKENDS = 2
WORK_S = 0.15
DEADLINE_MS = 4000
WARM_UP_REQUESTS = 40
CLIENTS = 12
# The clients' first requests come shortly before SIGTERM, the next ones after it.
BEFORE_SIGTERM_S = 0.1
SENDS_AFTER_S = 1.0
# SIGKILL: the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
KILL_AFTER_S = 3.75


class SearchNode(Backend):
    """A backend that can hang: it takes requests and answers none."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record, self.work)
        self.is_hung = False

    async def work(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer after the usual time, unless the backend hangs by then."""
        await asyncio.sleep(WORK_S)
        if not self.is_hung:
            writer.write(answer_to(words))


def krakow_settings() -> dict[str, Any]:
    """Return settings within the ranges of krakow-main, for a deployment with one front door."""
    settings = site_settings()
    settings["categories"][0] |= {
        "name": "parcel-lookup",
        "deadline-us": DEADLINE_MS * 1000,
        "on-time-us": 1_200_000,
    }
    plan = {"name": "gmina", "units-per-s": 29.0, "burst": 78.0, "value-factor": 1.6, "overrun-cost": 1.0}
    settings["plans"] = [{**settings["plans"][2], **plan}]
    settings["ceilings"] |= {"max-attempts": 3, "max-retry-after-us": 500_000, "peers": False}
    settings["ceilings"] |= {"conn-idle-us": 15_000_000}
    settings |= {"tiers": ["parcel-map"], "kinds": ["std-4c"], "zones": ["room-a", "room-b", "room-c"]}
    settings["stats"] = {"how": "on_probe", "names": ["cpu_share", "served_ps"]}
    settings["clients"] = {"marks-retry": False}
    settings["extra"] |= {"largest": 6}
    settings["obligations"] |= {"drain-grace-us": 500_000, "fall-us": 2_000_000}
    return settings


def lookup(name: str, customer: int) -> bytes:
    """Return a request of the site's class."""
    fields = f"c=parcel-lookup,t=gmina,d={DEADLINE_MS},units=1,spread=1,first=0"
    return resp(b"SVC.QUERY", b"%016x" % customer, name.encode(), fields.encode())


class Client:
    """A client's connection, on which answers are awaited in the order of the requests."""

    def __init__(self, record: Record, number: int) -> None:
        self.record = record
        self.number = number
        self.answers: dict[str, bytes] = {}
        self.sent: list[str] = []
        self.ended_s = 0.0
        self.task: asyncio.Task[None] | None = None

    async def open(self, port: int) -> "Client":
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                answer = await read_answer(self.reader)
                name = self.sent[len(self.answers)]
                self.answers[name] = answer
                self.record.note(f"client {self.number} has {name}: {answer!r}")
        self.ended_s = time.monotonic()
        self.record.note(f"client {self.number}: its connection has ended")

    def send(self, name: str) -> None:
        """Send a request."""
        self.sent.append(name)
        self.writer.write(lookup(name, 100 + self.number))
        self.record.note(f"client {self.number} sends {name}")


async def case(record: Record, folder: Path) -> bool:
    """Return whether SIGKILL found no request unanswered that came more than 0.7 s after SIGTERM."""
    nodes = [SearchNode(f"s-{number}", record) for number in range(BACKENDS)]
    for node in nodes:
        await node.start()
    discovery = await Discovery(record).start()
    discovery.zone, discovery.kind = "room-a", "std-4c"
    discovery.set(*map(discovery.entry, nodes))
    gateway = Gateway(record, folder)
    try:
        gateway.write_config(discovery, krakow_settings())
        await gateway.start()
        clients = [await Client(record, number).open(gateway.port) for number in range(CLIENTS)]
        for number in range(WARM_UP_REQUESTS):
            clients[number % CLIENTS].send(f"warm{number}")
            await asyncio.sleep(0.05)
        await asyncio.sleep(3 * WORK_S)

        for node in nodes[:HUNG_BACKENDS]:
            node.is_hung = trouble()
        record.note(f"backends that hang: {[node.name for node in nodes if node.is_hung]}")
        for client in clients:
            client.send(f"first{client.number}")
        await asyncio.sleep(BEFORE_SIGTERM_S)
        gateway.signal(signal.SIGTERM)
        signalled_s = time.monotonic()
        await asyncio.sleep(SENDS_AFTER_S)
        is_open = [client for client in clients if not client.ended_s]
        for client in is_open:
            client.send(f"next{client.number}")
        await asyncio.sleep(signalled_s + KILL_AFTER_S - time.monotonic())
        killed_s = time.monotonic()
        gateway.signal(signal.SIGKILL)
        await asyncio.sleep(0.3)
        lost = [
            client
            for client in is_open
            if client.sent[-1] not in client.answers and (not client.ended_s or client.ended_s >= killed_s)
        ]
        for client in lost:
            record.note(f"{client.sent[-1]} was unanswered at SIGKILL; run: {is_run(nodes, client)}")
        record.note(f"{len(is_open)} connections stayed open, {len(lost)} requests on them are lost")
        return not lost
    finally:
        await gateway.stop()


def is_run(nodes: list[SearchNode], client: Client) -> bool:
    """Return whether a client's last request came to a backend."""
    return any(client.sent[-1] == name for node in nodes for _, name in node.arrived)


run_case(case)
