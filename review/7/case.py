"""A long value breaks after its deadline: the request behind it, which has run and is answered, is lost."""

import asyncio
import contextlib
from collections import Counter

from review.rig2 import rig as rig2

VALUE_BYTES = 400_000
PIECES = 32
GIVEN_OVER_S = 3.2
"""How long a backend takes to give a long value, in pieces; the request's time is 2 s."""
RESET_AT_PIECE = 26
PAIRS = 12
RESET_EACH = 3
"""Every third long value is reset."""
WAIT_MS = 2000


class SlowBackend(rig2.Backend):
    """A search node with long values, which it gives slowly; some connections are reset under them."""

    given = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.rig.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                arguments = await rig2.read_command(reader)
                answer = await self.answer(arguments)
                if len(arguments) > 2 and arguments[2].startswith(b"long"):
                    await self.give_slowly(arguments[2].decode(), writer)
                else:
                    writer.write(answer)
                    await writer.drain()
        self.rig.writers.discard(writer)
        writer.close()

    async def give_slowly(self, id_: str, writer: asyncio.StreamWriter) -> None:
        """Give a long value in pieces, or reset the connection in the middle of it."""
        SlowBackend.given += 1
        is_reset = rig2.has_trouble() and SlowBackend.given % RESET_EACH == 0
        writer.write(b"*3\r\n$%d\r\n" % VALUE_BYTES)
        for piece in range(PIECES):
            if is_reset and piece == RESET_AT_PIECE:
                self.rig.note(f"reset under {id_}")
                writer.transport.abort()
                return
            writer.write(b"x" * (VALUE_BYTES // PIECES))
            await asyncio.sleep(GIVEN_OVER_S / PIECES)
        writer.write(b"\r\n$-1\r\n$-1\r\n")
        await writer.drain()


async def read_answer(reader: asyncio.StreamReader) -> str:
    """Read one answer whole."""
    line = await reader.readuntil(b"\r\n")
    if line.startswith(b"$") and line[1:2] != b"-":
        value = await reader.readexactly(int(line[1:]) + 2)
        return f"a value of {len(value) - 2} bytes"
    return line.decode().strip()


async def send_pair(rig: rig2.Rig, port: int, number: int) -> str:
    """Send two commands at once on one connection; return how the second one ended."""
    reader, writer = await asyncio.open_connection(rig2.HOST, port)
    fields = f"c=job-search,t=stor,d={WAIT_MS},units=1,spread=1,first=0"
    ids = [f"long{number}", f"short{number}"]
    customer = f"{number + 1:016x}"
    writer.write(b"".join(rig2.encode_command("SVC.QUERY", customer, id_, fields) for id_ in ids))
    rig.note(f"sent {ids} at once")
    end = "lost"
    try:
        async with asyncio.timeout(20):
            for id_ in ids:
                answer = await read_answer(reader)
                rig.note(f"answer {id_}: {answer}")
        end = "answered"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        rig.note(f"{id_}: {type(error).__name__}")
    writer.close()
    return end


async def case(rig: rig2.Rig) -> int:
    """Have clients send two commands at once, the first one for a long value."""
    backends = [SlowBackend(rig, f"s-{number}") for number in range(3)]
    for backend in backends:
        await backend.start()
    entries = [{**backend.entry(), "cell": 0, "weight": 1.0, "startedAtMs": 0} for backend in backends]
    discovery = rig2.Discovery(rig, entries)
    await discovery.start()
    listen, management = rig2.free_port(), rig2.free_port()
    config = rig2.gateway_config(listen, discovery.port, management=f"{rig2.HOST}:{management}")
    rig.start_gateway("door", rig.write_config("door", config))
    await rig.wait_http(management)
    await asyncio.sleep(1)
    pairs = []
    for number in range(PAIRS):
        pairs.append(asyncio.ensure_future(send_pair(rig, listen, number)))
        await asyncio.sleep(0.5)
    ends = await asyncio.gather(*pairs)
    run = {attempt.id for backend in backends for attempt in backend.attempts}
    lost = [number for number, end in enumerate(ends) if end == "lost" and f"short{number}" in run]
    rig.say(f"requests behind a long value: {dict(Counter(ends))}; lost though they have run: {len(lost)}")
    return rig2.BROKEN if lost else rig2.HELD


if __name__ == "__main__":
    rig2.run_case(__file__, case)
