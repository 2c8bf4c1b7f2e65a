"""A registry on a loopback socket or in a process of its own, and a client of it, for tests."""

import asyncio
import contextlib
import json
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Store
from tests.sockets import HOST

ROOT = Path(__file__).parents[3]


def address_of(registry: Registry) -> tuple[str, int]:
    return registry.listener.sockets[0].getsockname()


@contextlib.asynccontextmanager
async def serving(
    path: Path,
    create: bool = True,
    peers: tuple[tuple[str, int], ...] = (),
    follow: tuple[tuple[str, int], ...] = (),
    **changes: Any,  # noqa: ANN401
) -> AsyncIterator[Registry]:
    registry = Registry(Store(path, create, **changes), seed=1, peers=peers, follow=follow)
    await registry.start(HOST, 0)
    try:
        yield registry
    finally:
        await registry.close()


async def raw(at: tuple[str, int], data: bytes) -> tuple[int, dict[str, str], bytes]:
    reader, writer = await asyncio.open_connection(*at)
    writer.write(data)
    head, _, text = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    first, *lines = head.decode().split("\r\n")
    return int(first.split()[1]), dict(line.lower().split(": ", 1) for line in lines), text


async def call(at: tuple[str, int], line: str, content: bytes = b"") -> tuple[int, Any]:
    head = f"{line} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(content)}\r\n\r\n"
    status, _, text = await raw(at, head.encode() + content)
    return status, json.loads(text) if text.startswith((b"{", b"[")) else text.decode()


class Watcher:
    """A watch, read line by line."""

    @classmethod
    async def open(cls, at: tuple[str, int], after: int = 0) -> "Watcher":
        watcher = cls()
        watcher.reader, watcher.writer = await asyncio.open_connection(*at)
        target = f"/catalog/members?watch=1&after={after}"
        watcher.writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert (await watcher.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        return watcher

    async def chunk(self) -> bytes:
        size = int(await self.reader.readline(), 16)
        data = await self.reader.readexactly(size + 2)
        return data[:-2]

    async def next_event(self) -> dict[str, Any]:
        """The next line that is not empty."""
        while not (line := await self.chunk()).strip():
            pass
        assert line.endswith(b"\n") and line.count(b"\n") == 1
        return json.loads(line)


def lifecycles_by_id(event: dict[str, Any]) -> dict[str, str]:
    return {entry["instanceId"]: entry["lifecycle"] for entry in event["instances"]}


async def start(path: Path, listen: tuple[str, int], *more: str) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.registry",
        "--listen",
        f"{HOST}:{listen[1]}",
        "--store",
        str(path),
        *more,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    while b"serves generation" not in (line := await process.stderr.readline()):
        assert line, "the registry has ended"
    return process
