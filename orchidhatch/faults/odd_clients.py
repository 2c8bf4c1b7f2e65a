"""Misbehaving clients beside a trial's load: incomplete commands, floods, disconnects, half-closes.

    python -m orchidhatch.faults.odd_clients SETTINGS.json

The gateway must send an error or close the connection within the time of the operators' page, unless it
received a complete request; the end of each connection is recorded. The settings are those of the load.
"""

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

import msgspec
import uvloop

from orchidhatch.control.http_client import Address
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.load import Settings, customer_name, encode_command

CROWD_RAMP_S = 8.0
"""In which the connections of a crowd are opened."""
CROWD_RETRY_S = 2.0
"""Until a connection of the crowd that the gateway closed is opened again."""
GATEWAY_WAIT_S = 6.0
"""How long a client with an incomplete command waits for the gateway to act."""
HALF_CLOSED_WAIT_S = 0.3
MAX_READ_BYTES = 1 << 16
FLOOD_COMMANDS = 300
PIPELINED_REQUESTS = 24
BEHAVIOURS = ("silent", "half", "nonsense", "flood", "pipelined and gone", "half-closed", "gone amid")
WAITING_BEHAVIOURS = frozenset({"silent", "half", "nonsense"})
"""Without a complete request and without a disconnect: the gateway must end the connection."""


class OddClients:
    """Opens connections at random times, each with a random kind of misbehaviour."""

    def __init__(self, settings: Settings, recorder: Recorder) -> None:
        self._settings = settings
        self._recorder = recorder
        self._stream = random.Random(f"{settings.seed} odd clients")
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Open connections until the load ends, then wait until all of them have ended."""
        rate = self._settings.load.odd_per_s
        crowd = self._start_crowd()
        while self._now_s() < self._settings.seconds:
            await asyncio.sleep(self._stream.expovariate(rate) if rate else CROWD_RETRY_S)
            if not rate:
                continue
            task = asyncio.create_task(self._run_client(self._stream.choice(BEHAVIOURS)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        for task in crowd:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_crowd(self) -> list[asyncio.Task[None]]:
        """Keep idle connections open to each gateway, in the share of the seeds that have a crowd."""
        load = self._settings.load
        if random.Random(f"{self._settings.seed} crowd").random() >= load.crowd_share or not load.crowd:
            return []
        self._recorder.note("crowd", "trial", connections=load.crowd)
        gateways = self._settings.doors * load.crowd
        return [asyncio.create_task(self._rest_at(gateway)) for gateway in gateways]

    async def _rest_at(self, gateway: Address) -> None:
        """Keep an idle connection to the gateway, and open it again where the gateway closes it."""
        await asyncio.sleep(self._stream.uniform(0.0, CROWD_RAMP_S))
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*gateway)
                try:
                    await reader.read()
                finally:
                    writer.transport.abort()
            await asyncio.sleep(CROWD_RETRY_S)

    def _now_s(self) -> float:
        return (time.monotonic_ns() - self._settings.start_ns) / 1e9

    def _request(self) -> tuple[str, bytes]:
        """A new request's id, and its command."""
        plan = self._settings.load.customers[0]
        id_ = f"odd{self._stream.getrandbits(44):011x}"
        spread = plan.spread or len(self._settings.doors)
        fields = f"c=read,t={plan.plan},d=2000,units=1,spread={spread},first=0"
        arguments = [b"SVC.QUERY", customer_name(0, 0).encode(), id_.encode(), fields.encode()]
        return id_, encode_command(arguments)

    async def _run_client(self, behaviour: str) -> None:
        """Open a connection, misbehave on it and record how it ended."""
        gateway = self._stream.randrange(len(self._settings.doors))
        name = f"odd-{self._stream.getrandbits(32):08x}"
        try:
            reader, writer = await asyncio.open_connection(*self._settings.doors[gateway])
        except OSError:
            return
        started_s = time.monotonic()
        self._recorder.note("odd", name, door=gateway, way=behaviour)
        try:
            await self._misbehave(behaviour, gateway, writer)
            result = "left"
            if behaviour in WAITING_BEHAVIOURS:
                result = await self._await_gateway(reader)
        except OSError as error:
            result = type(error).__name__
        took_s = round(time.monotonic() - started_s, 3)
        self._recorder.note("odd-end", name, door=gateway, way=behaviour, how=result, took_s=took_s)
        writer.transport.abort()

    async def _misbehave(self, behaviour: str, gateway: int, writer: asyncio.StreamWriter) -> None:
        """Send what the behaviour sends; record the requests that a disconnect abandons."""
        id_, request = self._request()
        match behaviour:
            case "half":
                writer.write(request[: self._stream.randrange(1, len(request))])
            case "nonsense":
                writer.write(self._stream.randbytes(40) + b"\r\n")
            case "flood":
                writer.write(encode_command([b"PING"]) * FLOOD_COMMANDS)
                await asyncio.sleep(self._stream.uniform(0.0, 0.05))
            case "pipelined and gone":
                requests = [self._request() for _ in range(PIPELINED_REQUESTS)]
                writer.write(b"".join(data for _, data in requests))
                await asyncio.sleep(self._stream.uniform(0.0, 0.1))
                self._disconnect([id_ for id_, _ in requests], gateway, writer)
            case "half-closed":
                writer.write(request)
                await asyncio.sleep(self._stream.uniform(0.0, 0.1))
                self._recorder.note("gone", id_, door=gateway)
                writer.write_eof()
                await asyncio.sleep(HALF_CLOSED_WAIT_S)
            case "gone amid":
                writer.write(request[: self._stream.randrange(1, len(request))])
                await asyncio.sleep(self._stream.uniform(0.0, 0.5))

    def _disconnect(self, ids: list[str], gateway: int, writer: asyncio.StreamWriter) -> None:
        """Record the abandoned requests and abort the connection."""
        for id_ in ids:
            self._recorder.note("gone", id_, door=gateway)
        writer.transport.abort()

    async def _await_gateway(self, reader: asyncio.StreamReader) -> str:
        """Wait for the gateway to act on a client that sends nothing more; return what it did."""
        try:
            async with asyncio.timeout(GATEWAY_WAIT_S):
                data = await reader.read(MAX_READ_BYTES)
        except TimeoutError:
            return "nothing"
        if not data:
            return "closed"
        return "error" if data.startswith(b"-") else "answered"


async def run_odd_clients(settings: Settings) -> None:
    """Run the misbehaving clients of a trial, and record their events in its folder."""
    recorder = Recorder("odd-clients", Path(settings.folder))
    recorder.note("serves", "odd-clients")
    await OddClients(settings, recorder).run()
    recorder.note("done", "odd-clients")


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_odd_clients(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings)))
