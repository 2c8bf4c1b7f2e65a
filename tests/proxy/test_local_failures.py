"""System calls that fail on this machine: no fault of a backend, and no reason to turn clients away."""

import asyncio
import errno
import logging
from typing import Any

import pytest

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.proxy import backend_pool, endpoint_watch, server, watch_backoff
from orchidhatch.proxy.config import ConfigError
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader
from orchidhatch.proxy.endpoint_watch import EndpointWatcher
from tests.proxy.test_backend_pool import Sender
from tests.sockets import CONFIG, Backend, Client, Watch, front_door, query, refusing_address

LOCAL = [
    errno.EADDRNOTAVAIL,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENETUNREACH,
    errno.ECONNABORTED,
]


class FailingLoop:
    """The running loop, whose next connects fail."""

    def __init__(self, count: int, error: int) -> None:
        self.left, self.error = count, error
        self.loop = asyncio.get_running_loop()

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:  # noqa: ANN401
        if self.left:
            self.left -= 1
            raise OSError(self.error, "injected")
        return await self.loop.create_connection(*args)


class FailingAsyncio:
    """The asyncio module as one module of the program sees it."""

    def __init__(self, loop: FailingLoop) -> None:
        self.get_running_loop = lambda: loop

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        return getattr(asyncio, name)


def fail_connects(monkeypatch: pytest.MonkeyPatch, module: object, count: int, error: int) -> FailingLoop:
    loop = FailingLoop(count, error)
    monkeypatch.setattr(module, "asyncio", FailingAsyncio(loop))
    return loop


async def test_local_connect_failures_cost_no_request_and_no_score(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    every = [Backend(), Backend(), Backend()]
    async with front_door(*every) as (gateway, address):
        clients = [await Client.open(address) for _ in range(8)]
        fail_connects(monkeypatch, backend_pool, 20, errno.EADDRNOTAVAIL)
        answers = await asyncio.gather(
            *[client.ask(query(f"a{number}")) for number, client in enumerate(clients)]
        )
        assert answers == [b"ok"] * 8
        for known in gateway.core.balancer.servers.values():
            assert known.failure_score == 0 and not known.needs_probe
    assert any("EADDRNOTAVAIL" in record.getMessage() for record in caplog.records)


@pytest.mark.parametrize("error", LOCAL, ids=errno.errorcode.get)
async def test_locally_failed_dial_is_retried(monkeypatch: pytest.MonkeyPatch, error: int) -> None:
    sender = Sender(await Backend().start())
    loop = fail_connects(monkeypatch, backend_pool, 3, error)
    sender.send()
    assert await sender.result() is AttemptResult.OK
    assert loop.left == 0 and sender.backends.local_failures[errno.errorcode[error]] == 3
    sender.backends.close()


async def test_lasting_local_failure_is_not_the_backends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sender = Sender(await Backend().start())
    fail_connects(monkeypatch, backend_pool, 10_000, errno.ENOBUFS)
    sender.send()
    assert await sender.result() is AttemptResult.LOCAL_FAILURE
    assert sender.backends.connection_count == 0
    sender.backends.close()


async def test_refused_connection_is_the_backends_fault() -> None:
    sender = Sender(refusing_address())
    sender.send()
    assert await sender.result() is AttemptResult.CONNECT_FAILED


async def test_unexpected_dial_error_leaks_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sender = Sender(await Backend().start())

    async def dial(*_: object) -> None:
        raise RuntimeError("no such thing")

    monkeypatch.setattr(backend_pool.BackendPool, "dial", dial)
    sender.send()
    assert await sender.result() is AttemptResult.LOCAL_FAILURE
    assert sender.backends.connection_count == 0 and sender.backends.pools["s"].connecting == 0


async def waits_between_watches(found: EndpointWatcher, count: int) -> list[float]:
    """How long it waits between so many watches that fail, without the time going by."""
    waits: list[float] = []
    enough = asyncio.Event()

    async def pause(wait_s: float) -> None:
        waits.append(wait_s)
        if len(waits) == count:
            enough.set()
            await asyncio.Event().wait()

    found.pause = pause
    task = asyncio.create_task(found.run())
    await enough.wait()
    task.cancel()
    return waits


async def test_locally_failed_watch_is_retried_soon_in_large_tier(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The waits that spare an overbooked discovery are for what discovery did."""
    found = EndpointWatcher(
        refusing_address(), EndpointListReader(CONFIG), 0, lambda news: None, 3, 200, is_agent=False
    )
    fail_connects(monkeypatch, endpoint_watch, 10_000, errno.ENOBUFS)
    assert max(await waits_between_watches(found, 20)) <= watch_backoff.MAX_SHORT_BACKOFF_S


async def test_rejected_watch_is_retried_within_a_second() -> None:
    """As one does while its policy lease has expired: what it hears once it has it again counts as told."""

    async def reject(writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    found = EndpointWatcher(
        await Watch(reject).start(), EndpointListReader(CONFIG), 0, lambda news: None, 3, 200
    )
    assert max(await waits_between_watches(found, 8)) <= watch_backoff.MAX_SHORT_BACKOFF_S


async def test_start_retries_sockets_that_fail_briefly(
    caplog: pytest.LogCaptureFixture,
) -> None:
    tries = 0

    async def open_socket() -> str:
        nonlocal tries
        tries += 1
        if tries < 4:
            raise OSError(errno.ENOBUFS, "injected")
        return "open"

    with caplog.at_level(logging.WARNING):
        assert await server.open_with_retries(open_socket) == "open"
    assert sum("ENOBUFS" in record.getMessage() for record in caplog.records) == 3


async def test_start_without_sockets_reports_why(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "OPEN_TIMEOUT_S", 0.02)

    async def open_socket() -> None:
        raise OSError(errno.ENOBUFS, "injected")

    with pytest.raises(OSError, match="injected"):
        await server.open_with_retries(open_socket)


async def test_unreadable_configuration_is_read_again_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from orchidhatch.proxy import reload_signal

    monkeypatch.setattr(reload_signal, "RETRY_S", 0.001)
    left, applied = 3, asyncio.Event()

    def read() -> object:
        nonlocal left
        if left:
            left -= 1
            raise ConfigError("cannot read the configuration: too many open files")
        return CONFIG

    signal = reload_signal.ReloadSignal(read, lambda config: applied.set())
    signal.handle()
    assert not applied.is_set()
    await applied.wait()


async def test_unusable_configuration_is_abandoned_in_the_end(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    from orchidhatch.proxy import reload_signal

    monkeypatch.setattr(reload_signal, "RETRY_S", 0.001)
    reads = 0

    def read() -> object:
        nonlocal reads
        reads += 1
        raise ConfigError("makes no sense")

    reload_signal.ReloadSignal(read, lambda config: None).handle()
    while f"after {reload_signal.MAX_ATTEMPTS} attempts" not in caplog.text:
        await asyncio.sleep(0.001)
    assert reads == reload_signal.MAX_ATTEMPTS


def test_local_failure_is_uninformative_of_the_backend() -> None:
    """What waits for nothing but this gateway's own bound is not booked on the server."""
    from orchidhatch.gateway.attempts import UNINFORMATIVE_RESULTS
    from orchidhatch.gateway.retries import FREE_RETRY_RESULTS

    assert (
        AttemptResult.LOCAL_FAILURE in UNINFORMATIVE_RESULTS
        and AttemptResult.LOCAL_FAILURE in FREE_RETRY_RESULTS
    )
