"""The time that an attempt tells its backend: what is left to the client when the command is written."""

import asyncio
import time
from typing import Any

import pytest

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.proxy import backend_connection, backend_pool
from orchidhatch.proxy.attempt import Attempt
from tests.proxy.test_backend_pool import Sender, deaf
from tests.proxy.test_local_failures import FailingAsyncio, FailingLoop
from tests.sockets import Backend, Client, front_door, kernel_socket, query

SLACK_MS = 150
WAIT_MS = 1500
DIAL_S = 0.22


class SlowLoop(FailingLoop):
    """The running loop, whose connects come up late."""

    async def create_connection(self, *args: Any) -> Any:  # noqa: ANN401
        await asyncio.sleep(DIAL_S)
        return await self.loop.create_connection(*args)


def stated_ms(arguments: list[bytes]) -> int:
    fields = dict(part.split("=") for part in arguments[3].decode().split(","))
    return int(fields["d"])


async def test_attempt_states_time_left_after_waiting_to_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    came_s: list[float] = []

    def answer(arguments: list[bytes]) -> bytes:
        came_s.append(time.monotonic())
        return b"-BUSY\r\n"  # so that a further attempt follows, which waits for a connection too

    backend = Backend(answer)
    async with front_door(backend) as (_, address):
        monkeypatch.setattr(backend_pool, "asyncio", FailingAsyncio(SlowLoop(0, 0)))
        monkeypatch.setattr(backend_pool, "REUSE_DELAY_US", 60_000_000)
        client = await Client.open(address)
        sent_s = time.monotonic()
        await client.ask(query("a1", wait_ms=WAIT_MS))
    assert len(backend.commands) == 3
    for arguments, at_s in zip(backend.commands, came_s, strict=True):
        left_ms = WAIT_MS - (at_s - sent_s) * 1000
        assert stated_ms(arguments) <= left_ms + SLACK_MS


async def test_command_not_written_in_time_is_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """What it tells of the time left would be read too late."""
    monkeypatch.setattr(backend_connection, "WRITE_TIMEOUT_S", 0.01)
    async with deaf() as (address, _):
        sender = Sender(address)
        sender.send(b"x" * (64 << 20))  # more than the kernel takes in
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        assert sender.backends.attempts_written == 0


async def test_attempt_past_its_deadline_is_not_written() -> None:
    backend = Backend()
    sender = Sender(await backend.start())
    attempt = Attempt("a", 0, "s", lambda left_us: b"?", lambda _, *how: sender.ended.put_nowait(how))
    attempt.deadline_us = 1
    sender.backends.send(attempt, 5_000_000)
    assert await sender.result() is AttemptResult.CONNECT_FAILED
    assert backend.commands == []
    sender.backends.close()


async def test_reply_unread_at_timeout_is_read() -> None:
    """After a long turn of the event loop timers go ahead of what has come meanwhile."""
    backend = Backend(lambda arguments: None)
    sender = Sender(await backend.start())
    attempt = sender.send()
    await backend.came.wait()
    kernel_socket(backend.writers[0]).sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
    attempt.time_out()
    assert await sender.result() is AttemptResult.OK
    sender.backends.close()
