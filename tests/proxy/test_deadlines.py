"""The time that an attempt tells its backend: what is left to the client when the command is written."""

import asyncio
import time
from typing import Any

import pytest

from orchidhatch.proxy import backends
from tests.proxy.test_local_failures import FailingAsyncio, FailingLoop
from tests.sockets import Backend, Client, front_door, query

SLACK_MS = 150
WAIT_MS = 1500
DIAL_S = 0.22


class SlowLoop(FailingLoop):
    """The running loop, whose connects come up late."""

    async def create_connection(self, *args: Any) -> Any:  # noqa: ANN401
        await asyncio.sleep(DIAL_S)
        return await self.loop.create_connection(*args)


def told_ms(words: list[bytes]) -> int:
    fields = dict(part.split("=") for part in words[3].decode().split(","))
    return int(fields["d"])


async def test_attempt_that_waited_for_its_connection_tells_what_is_left_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    came_s: list[float] = []

    def answer(words: list[bytes]) -> bytes:
        came_s.append(time.monotonic())
        return b"-BUSY\r\n"  # so that a further attempt follows, which waits for a connection too

    backend = Backend(answer)
    async with front_door(backend) as (_, address):
        monkeypatch.setattr(backends, "asyncio", FailingAsyncio(SlowLoop(0, 0)))
        monkeypatch.setattr(backends, "REST_US", 60_000_000)
        client = await Client.open(address)
        sent_s = time.monotonic()
        await client.ask(query("a1", wait_ms=WAIT_MS))
    assert len(backend.commands) == 3
    for words, at_s in zip(backend.commands, came_s, strict=True):
        left_ms = WAIT_MS - (at_s - sent_s) * 1000
        assert told_ms(words) <= left_ms + SLACK_MS
