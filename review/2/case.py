"""A long answer that is cut takes the answer before it on the same connection with it."""

import asyncio
import struct
from pathlib import Path

from standins.rig import (
    HOST,
    Backend,
    Discovery,
    Gateway,
    Record,
    answer_to,
    query,
    read_answer,
    run_case,
    site_settings,
    socket,
    trouble,
    value_for,
)

PAIRS = 20
CUT_EVERY = 5
SLOW_S = 0.5
LONG_BYTES = 400_000
CUT_BYTES = 150_000
WAIT_MS = 2000
# Up to half a second after its time an answer only earns nothing; on sockets each limit is 50 ms longer.
ANSWER_WITHIN_S = WAIT_MS / 1000 + 0.5 + 0.05
FAILED_ANSWERS = (b"-", b"+", b":", b"*")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def serve(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer at once, but a `slow` request after half a second, and a `long` one with a long value.

    The trouble: the connection is reset under one long answer in five.
    """
    is_cut = words[2].startswith(b"long") and not int(words[2][4:]) % CUT_EVERY and trouble()
    if words[2].startswith(b"slow"):
        await asyncio.sleep(SLOW_S)
    answer = answer_to(words, LONG_BYTES if words[2].startswith(b"long") else 0)
    if is_cut:
        writer.write(answer[:CUT_BYTES])
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)
    else:
        writer.write(answer)


async def ask(record: Record, port: int, number: int) -> bool:
    """Send two requests at once on one connection; return whether the first one's answer came whole."""
    first, second = f"slow{number}", f"long{number}"
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(query(first, wait_ms=WAIT_MS) + query(second, wait_ms=WAIT_MS))
    record.note(f"client sends {first} and {second} on one connection")
    is_answered = False
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            answer = await read_answer(reader)
            # The value, a refusal, and anything that is no value (a failure) are all final answers.
            is_answered = answer == value_for(first.encode()) or answer.startswith(FAILED_ANSWERS)
            record.note(f"client has the answer to {first}: {answer[:60]!r}")
            answer = await read_answer(reader)
            record.note(f"client has the answer to {second}: {len(answer)} bytes, {answer[:30]!r}")
    except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
        record.note(f"client's connection ends: {type(error).__name__}; {first} answered: {is_answered}")
    writer.close()
    return is_answered


async def case(record: Record, folder: Path) -> bool:
    """Return whether every first request got its answer."""
    backends = [await Backend(f"s-{number}", record, serve).start() for number in range(4)]
    discovery = await Discovery(record).start()
    discovery.set(*map(discovery.entry, backends))
    gateway = Gateway(record, folder)
    try:
        gateway.write_config(discovery, site_settings())
        await gateway.start()
        answered = [await ask(record, gateway.port, number) for number in range(PAIRS)]
        record.note(f"{answered.count(False)} of {PAIRS} first requests have no answer")
        return all(answered)
    finally:
        await gateway.stop()


run_case(case)
