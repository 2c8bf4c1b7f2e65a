"""Long answers before other answers on clients' connections take a front door far over its memory."""

import asyncio
import contextlib
import signal
import socket
from collections import Counter
from pathlib import Path

from standins.rig import (
    HOST,
    Backend,
    Discovery,
    Gateway,
    Record,
    answer_to,
    memory_mb,
    query,
    read_answer,
    run_case,
    site_settings,
    trouble,
    value_for,
)

MEMORY_MB = 80
SOCKETS = 384
CLIENTS = 30
CLIENT_EVERY_S = 0.06
# The protocol's longest value, and the longest of the hard days.
USUAL_BYTES = 64 * 1024
LONG_BYTES = 4 << 20
READ_BYTES = 100_000
READ_EVERY_S = 0.05
RECEIVE_BUFFER_BYTES = 32 * 1024
SAMPLE_S = 0.01


def size_of(words: list[bytes]) -> int:
    """Return the size of a request's value; the trouble: those of `long` requests are long."""
    if not words[2].startswith(b"long"):
        return 0
    return LONG_BYTES if trouble() else USUAL_BYTES


async def serve(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer at once."""
    writer.write(answer_to(words, size_of(words)))
    await writer.drain()


class Platform:
    """Kills the front door when it is over its memory, as the deployment page says."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self.record = record
        self.gateway = gateway
        self.peak_mb = 0.0
        self.has_killed = False

    async def watch(self) -> None:
        """Look at the memory until the process is killed."""
        while not self.has_killed:
            with contextlib.suppress(OSError):
                used_mb = memory_mb(self.gateway.pid)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    self.record.note(f"platform: {used_mb:.0f} MB of {MEMORY_MB} MB")
                    self.gateway.signal(signal.SIGKILL)
                    self.has_killed = True
            await asyncio.sleep(SAMPLE_S)


async def slow_reader(connection: socket.socket) -> asyncio.StreamReader:
    """Return what a client has read, that takes some seconds for 4 MiB."""
    reader = asyncio.StreamReader(limit=LONG_BYTES * 2)

    async def copy() -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(connection, READ_BYTES):
                reader.feed_data(data)
                await asyncio.sleep(READ_EVERY_S)
        reader.feed_eof()

    reader.copying = asyncio.create_task(copy())  # type: ignore[attr-defined]
    return reader


async def ask(record: Record, port: int, number: int) -> str:
    """Send a request with a long answer and another one behind it; return how that ended."""
    await asyncio.sleep(number * CLIENT_EVERY_S)
    names = [f"long{number}", f"next{number}"]
    has_sent = False
    try:
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, (HOST, port))
            await loop.sock_sendall(
                connection, b"".join(query(name, customer=1000 + number) for name in names)
            )
            has_sent = True
            record.note(f"client {number} sends {names[0]} and {names[1]}")
            reader = await slow_reader(connection)
            for name in names:
                answer = await read_answer(reader)
                is_value = answer == value_for(name.encode(), size_of([b"", b"", name.encode()]))
                record.note(f"client {number} has {name}: {len(answer)} bytes, sound {is_value}")
    except (asyncio.IncompleteReadError, OSError) as error:
        end = "lost" if has_sent else "came too late"
        record.note(f"client {number} {end}: {error!r:.80}")
        return end
    return "answered"


async def case(record: Record, folder: Path) -> bool:
    """Return whether the front door stayed within its memory."""
    backends = [await Backend(f"s-{number}", record, serve).start() for number in range(9)]
    discovery = await Discovery(record).start()
    discovery.set(*map(discovery.entry, backends))
    gateway = Gateway(record, folder)
    try:
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
        gateway.write_config(discovery, site_settings(), limits=limits)
        await gateway.start()
        platform = Platform(record, gateway)
        watch = asyncio.create_task(platform.watch())
        ends = await asyncio.gather(*[ask(record, gateway.port, number) for number in range(CLIENTS)])
        watch.cancel()
        record.note(f"peak {platform.peak_mb:.0f} MB of {MEMORY_MB} MB; killed: {platform.has_killed}")
        record.note(f"clients by how it ended for them: {dict(Counter(ends))}")
        return not platform.has_killed and gateway.process.returncode is None
    finally:
        await gateway.stop()


run_case(case)
