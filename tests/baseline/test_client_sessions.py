"""Scripted client sessions against the answers, byte for byte, that version 655dcdd gave.

`python -m tests.baseline.test_client_sessions` in a checkout of that version records them anew.
"""

import asyncio
import hashlib
import json
import re
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import pytest

from orchidhatch.proxy import request_lifecycle
from orchidhatch.proxy.server import GatewayServer
from tests.sockets import (
    CUSTOMER,
    Address,
    Backend,
    Client,
    front_door,
    query,
    resp,
    run,
    submit,
    value,
)

RECORD = Path(__file__).parents[1] / "data" / "baseline" / "client-sessions.json"
END = resp("PING", "end-of-session")
END_ANSWER = b"$14\r\nend-of-session\r\n"
LONG = bytes(range(256)) * 300
LONG_HEAD = b"*3\r\n$%d\r\n" % len(LONG)
FIELDS = "c=read,t=team,d=500"
READ_PAUSE_S = 0.02
NO_BACKSTOP_US = 3_600_000_000
"""The decision core ends what a silent backend leaves, also where the event loop stood still meanwhile."""
LONGEST_STORED = 400
UNORDERED_AT_BACKEND = ("too_many_clients",)
"""Which of the requests reach the backend depends on the order in which their connections are read."""
BACKEND_ANSWERS = {
    b"err": b"-ERR failed\r\n",
    b"busy": b"-BUSY 9999\r\n",
    b"null": b"$-1\r\n",
    b"odd": b"?",
    b"long": LONG_HEAD + LONG + b"\r\n$-1\r\n$-1\r\n",
    b"part": LONG_HEAD + LONG[:1000],
    b"silent": None,
}
PLAIN = {
    "ping": [resp("PING"), resp("ping"), resp("PING", "text"), resp("PING", ""), resp("PING", "a", "b")],
    "pipelined": [query("a1") + resp("PING") + query("a2") + resp("WHAT") + submit("a3") + resp("PING", "x")],
    "many pipelined": [b"".join(query(f"b{n}") for n in range(40))],
    "cut anywhere": [query("c1")[:1], query("c1")[1:30], query("c1")[30:-1], query("c1")[-1:] + resp("PING")],
    "empty arrays": [b"*0\r\n" * 3, resp("PING")],
    "value of 64 KiB": [submit("d1", body=bytes(range(256)) * 256)],
    "long value": [query("long1") + query("d2"), query("long2"), resp("PING")],
    "failures": [submit("err1"), query("busy1"), submit("odd1"), submit("null1")],
}
WRONG = [
    *[(), ("GET", "x"), ("svc.query", CUSTOMER, "a", FIELDS), ("SVC.QUERY", CUSTOMER, "a")],
    *[("SVC.QUERY", CUSTOMER, "a", FIELDS, "BODY"), ("SVC.SUBMIT", CUSTOMER, "a", "c=settle,t=team,d=500")],
    *[
        ("SVC.QUERY", word, "a", FIELDS)
        for word in ("b4d65521", "0" * 15 + "g", "f" * 16, "0000000200000000")
    ],
    *[("SVC.QUERY", CUSTOMER, word, FIELDS) for word in ("", "a b", "x" * 65)],
    *[("SVC.QUERY", CUSTOMER, "a", fields) for fields in ("", "c=what,t=team,d=500", "c=read,t=what,d=500")],
    *[
        ("SVC.QUERY", CUSTOMER, "a", f"c=read,t=team{more}")
        for more in ("", ",d=-5", ",d=1e3", ",d=86400001")
    ],
    *[("SVC.QUERY", CUSTOMER, "a", "c=settle,t=team,d=500"), ("SVC.SUBMIT", CUSTOMER, "a", FIELDS, "B")],
    ("SVC.SUBMIT", CUSTOMER, "a", "c=book,t=team,d=500", "B"),
    *[("SVC.QUERY", CUSTOMER, "a", f"{FIELDS},{more}") for more in ("units=nan", "units=0", "units=2e6")],
    *[
        ("SVC.QUERY", CUSTOMER, "a", f"{FIELDS},{more}")
        for more in ("spread=3", "spread=0", "first=2", "d=9")
    ],
    *[
        ("SVC.QUERY", CUSTOMER, "a", f"{FIELDS},{more}")
        for more in ("é=1", "odd", "=1", "first=0000000000000")
    ],
]
MALFORMED = [
    *[b"PING\r\n", b"*1\r\n:1\r\n", b"*17\r\n", b"*100000000\r\n", b"$4\r\nPING\r\n", b"*x\r\n", b"*-1\r\n"],
    *[b"*1\r\n$65537\r\n", b"*1\r\n$1\r\nab\r\n", b"*1\r\n$" + b"1" * 40, b"*\r\n", b"\x16\x03\x01\x02\x00"],
    *[query("ok") + b"?", b"*2\r\n$65536\r\n" + bytes(65536) + b"\r\n$65536\r\n" + bytes(8000)],
]


def answer_of(arguments: list[bytes]) -> bytes | None:
    """A backend's answer to the request, by the letters of its id."""
    kind = arguments[2].rstrip(b"0123456789")
    return BACKEND_ANSWERS.get(kind, value(b"value of " + arguments[2]))


async def read_to(client: Client, end: bytes | None = None) -> bytes:
    """What the client gets until `end`, or until its connection ends."""
    got = b""
    while end is None or not got.endswith(end):
        piece = await client.reader.read(1 << 16)
        if not piece:
            break
        got += piece
    return got


async def play(address: Address, pieces: list[bytes]) -> bytes:
    """Send the pieces one after another, then the command that marks the end."""
    client = await Client.open(address)
    for piece in [*pieces, END]:
        client.send(piece)
        await asyncio.sleep(READ_PAUSE_S)
    got = await read_to(client, END_ANSWER)
    client.writer.transport.abort()
    return got


async def end_by_client(address: Address, sent: bytes, size: int) -> bytes:
    """Send, read so many bytes, then end the client's sending, and read to the end."""
    client = await Client.open(address)
    client.send(sent)
    got = await client.reader.readexactly(size)
    await asyncio.sleep(READ_PAUSE_S)
    client.writer.write_eof()
    return got + await read_to(client)


async def half_command_times_out(gateway: GatewayServer, address: Address, backend: Backend) -> bytes:
    clients = [await Client.open(address) for _ in range(3)]
    clients[0].send(query("e1")[:20])
    clients[1].send(b"*0\r\n")
    answers = [await read_to(client) for client in clients]
    return b"|".join(answers)


async def ended_by_client(gateway: GatewayServer, address: Address, backend: Backend) -> bytes:
    long_start = len(b"$%d\r\n" % len(LONG)) + 1000
    answers = [
        await end_by_client(address, query("silent1"), 0),
        await end_by_client(address, query("part1"), long_start),
        await end_by_client(address, resp("PING") + query("f1")[:20], 0),
        await end_by_client(address, query("silent2") + query("f2"), 0),
    ]
    return b"|".join(answers)


async def same_id_twice(gateway: GatewayServer, address: Address, backend: Backend) -> bytes:
    client = await Client.open(address)
    client.send(query("silent1") + query("silent1") + END)
    await backend.came.wait()
    backend.writers[0].write(value(b"first"))
    return await read_to(client, END_ANSWER)


async def long_value_breaks(gateway: GatewayServer, address: Address, backend: Backend) -> bytes:
    client = await Client.open(address)
    client.send(query("part1"))
    got = await client.reader.readexactly(len(b"$%d\r\n" % len(LONG)) + 1000)
    backend.writers[0].transport.abort()
    assert await client.ended()
    return got


async def internal_fault(gateway: GatewayServer, address: Address, backend: Backend) -> bytes:
    client = await Client.open(address)
    client.send(resp("PING") + query("silent1"))
    await backend.came.wait()
    gateway.active.parser = None
    client.send(query("g1") + query("g2"))
    return await read_to(client)


async def too_many_clients(gateway: GatewayServer, address: Address, backend: Backend) -> bytes:
    """Of ten connections one is idle: it goes for the eleventh, and there is none for the twelfth."""
    clients = [await Client.open(address) for _ in range(10)]
    answers = [await client.ask(resp("PING")) for client in clients]
    for number, client in enumerate(clients[1:]):
        client.send(query(f"silent{number}"))
    while len(gateway.requests.open) < 9:
        await asyncio.sleep(0.001)
    eleventh = await Client.open(address)
    answers.append(await eleventh.ask(resp("PING")))
    eleventh.send(query("silent99"))
    while len(gateway.requests.open) < 10:
        await asyncio.sleep(0.001)
    twelfth = await Client.open(address)
    return b"|".join([repr(answers).encode(), await read_to(clients[0]), await read_to(twelfth)])


async def drain(gateway: GatewayServer, address: Address, backend: Backend) -> bytes:
    """Idle, amid a command, an answer owed with one more behind it, a long value under way, a late client."""
    clients = [await Client.open(address) for _ in range(4)]
    for client, sent in zip(
        clients, (resp("PING"), query("h1")[:20], query("silent1"), query("part1")), strict=True
    ):
        client.send(sent)
    while len(gateway.requests.open) < 2 or not backend.commands:
        await asyncio.sleep(0.001)
    draining = asyncio.create_task(gateway.drain())
    await asyncio.sleep(READ_PAUSE_S)
    late = await play(address, [resp("PING"), query("h2")])
    answers = [late, await read_to(clients[0])]
    clients[1].send(query("h1")[20:] + query("h3"))
    clients[2].send(query("h4"))
    for arguments, writer in zip(backend.commands, backend.writers, strict=True):
        if arguments[2] in (b"silent1", b"part1"):
            rest = LONG[1000:] + b"\r\n$-1\r\n$-1\r\n"
            writer.write(value(b"late") if arguments[2] == b"silent1" else rest)
    answers += [await read_to(client) for client in clients[1:]]
    await draining
    return b"|".join(answers)


Session = Callable[[GatewayServer, Address, Backend], Awaitable[bytes]]
SESSIONS: dict[str, Session] = {
    **{name: lambda _, at, __, pieces=pieces: play(at, pieces) for name, pieces in PLAIN.items()},
    **{
        f"wrong {n}": lambda _, at, __, arguments=arguments: play(at, [resp(*arguments)])
        for n, arguments in enumerate(WRONG)
    },
    **{f"malformed {n}": lambda _, at, __, data=data: play(at, [data]) for n, data in enumerate(MALFORMED)},
    **{
        one.__name__: one
        for one in (half_command_times_out, ended_by_client, long_value_breaks, internal_fault)
    },
    **{one.__name__: one for one in (same_id_twice, too_many_clients, drain)},
}


def shortened(got: bytes) -> str:
    """The bytes as text; of many their number and digest."""
    if len(got) <= LONGEST_STORED:
        return got.decode("latin-1")
    return f"{len(got)} bytes, SHA-256 {hashlib.sha256(got).hexdigest()}"


async def session(name: str) -> list[str]:
    """What the client got, and what came to the backend but for the time, which passes."""
    backend = Backend(answer_of)
    with mock.patch.object(request_lifecycle, "BACKSTOP_US", NO_BACKSTOP_US):
        async with front_door(backend, sockets=80) as (gateway, address):
            got = await SESSIONS[name](gateway, address, backend)
    if name in UNORDERED_AT_BACKEND:
        return [shortened(got)]
    commands = {
        b" ".join(re.sub(rb"\bd=\d+", b"d=", word) for word in arguments) for arguments in backend.commands
    }
    return [shortened(got), *sorted(map(shortened, commands))]


@pytest.mark.parametrize("name", SESSIONS)
async def test_client_session_gets_recorded_answers(name: str) -> None:
    recorded = json.loads(RECORD.read_text())
    assert await session(name) == recorded[name]


def record() -> None:
    """Write the answers of this checkout."""
    found: dict[str, list[str]] = {}

    async def play_all() -> None:
        for name in SESSIONS:
            found[name] = await session(name)

    run(play_all(), within_s=120)
    RECORD.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    record()
