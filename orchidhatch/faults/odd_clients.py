"""Clients that misbehave, beside a trial's load: they stop amid a command, flood, leave, half-close.

    python -m orchidhatch.faults.odd_clients SETTINGS.json

The gateway owes each of them an error line or a close within the time of the operators' page, unless a whole
request was sent; what becomes of each is written down. Settings are those of the load.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

import msgspec
import uvloop

from orchidhatch.faults.events import Recorder
from orchidhatch.faults.load import Settings, command, customer_name

STAYS_S = 6.0
"""For how long one that owes the rest of its command waits for what the gateway does."""
FLOOD_COMMANDS = 300
PIPELINED = 24
WAYS = ("silent", "half", "nonsense", "flood", "pipelined and gone", "half-closed", "gone amid")
OWED_AN_END = frozenset({"silent", "half", "nonsense"})
"""Those that send no whole request and stay: they are owed an error or a close."""


class OddClients:
    """Begins connections at random times, each misbehaving in one way."""

    def __init__(self, settings: Settings, recorder: Recorder) -> None:
        self._settings = settings
        self._recorder = recorder
        self._chance = random.Random(f"{settings.seed} odd clients")
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Until the load is over and all of them are done."""
        rate = self._settings.load.odd_per_s
        while self._now_s() < self._settings.seconds:
            await asyncio.sleep(self._chance.expovariate(rate))
            task = asyncio.create_task(self._one(self._chance.choice(WAYS)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _now_s(self) -> float:
        return (time.monotonic_ns() - self._settings.start_ns) / 1e9

    def _request(self) -> tuple[str, bytes]:
        """A whole request of its own id, and the id."""
        plan = self._settings.load.customers[0]
        id_ = f"odd{self._chance.getrandbits(44):011x}"
        fields = (
            f"c=read,t={plan.plan},d=2000,units=1,spread={plan.spread or len(self._settings.doors)},first=0"
        )
        words = [b"SVC.QUERY", customer_name(0, 0).encode(), id_.encode(), fields.encode()]
        return id_, command(words)

    async def _one(self, way: str) -> None:
        gateway = self._chance.randrange(len(self._settings.doors))
        name = f"odd-{self._chance.getrandbits(32):08x}"
        try:
            reader, writer = await asyncio.open_connection(*self._settings.doors[gateway])
        except OSError:
            return
        began_s = time.monotonic()
        self._recorder.note("odd", name, door=gateway, way=way)
        try:
            await self._misbehave(way, gateway, writer)
            how = await self._end_of(reader) if way in OWED_AN_END else "left"
        except OSError as error:
            how = type(error).__name__
        took_s = time.monotonic() - began_s
        self._recorder.note("odd-end", name, door=gateway, way=way, how=how, took_s=round(took_s, 3))
        writer.transport.abort()

    async def _misbehave(self, way: str, gateway: int, writer: asyncio.StreamWriter) -> None:
        id_, request = self._request()
        match way:
            case "half":
                writer.write(request[: self._chance.randrange(1, len(request))])
            case "nonsense":
                writer.write(self._chance.randbytes(40) + b"\r\n")
            case "flood":
                writer.write(command([b"PING"]) * FLOOD_COMMANDS)
                await asyncio.sleep(self._chance.uniform(0.0, 0.05))
            case "pipelined and gone":
                requests = [self._request() for _ in range(PIPELINED)]
                writer.write(b"".join(data for _, data in requests))
                await asyncio.sleep(self._chance.uniform(0.0, 0.1))
                self._leave([id_ for id_, _ in requests], gateway, writer)
            case "half-closed":
                writer.write(request)
                await asyncio.sleep(self._chance.uniform(0.0, 0.1))
                self._recorder.note("gone", id_, door=gateway)
                writer.write_eof()
                await asyncio.sleep(0.3)
            case "gone amid":
                writer.write(request[: self._chance.randrange(1, len(request))])
                await asyncio.sleep(self._chance.uniform(0.0, 0.5))

    def _leave(self, ids: list[str], gateway: int, writer: asyncio.StreamWriter) -> None:
        for id_ in ids:
            self._recorder.note("gone", id_, door=gateway)
        writer.transport.abort()

    async def _end_of(self, reader: asyncio.StreamReader) -> str:
        """What the gateway does for one that sends nothing more."""
        try:
            async with asyncio.timeout(STAYS_S):
                data = await reader.read(1 << 16)
        except TimeoutError:
            return "nothing"
        return "error" if data.startswith(b"-") else "closed" if not data else "answered"


async def play(settings: Settings) -> None:
    """Play all of them."""
    recorder = Recorder("odd-clients", Path(settings.folder))
    recorder.note("serves", "odd-clients")
    await OddClients(settings, recorder).play()
    recorder.note("done", "odd-clients")


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings)))
