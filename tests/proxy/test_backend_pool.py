"""Connections to backends: reuse, bounds, and whether an attempt may have run."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import pytest

from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.endpoints import EndpointState
from orchidhatch.proxy import backend_connection, backend_pool, backends
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.backend_pool import REUSE_DELAY_US
from orchidhatch.proxy.backend_replies import read_reply
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.config import Address
from orchidhatch.proxy.idle_limit import IdleLimit
from orchidhatch.proxy.resp import ReplyReader
from tests.sockets import HOST, Backend, refusing_address, resp, value

S = 1_000_000


class Sender:
    """Sends attempts through a pool and keeps how they ended."""

    def __init__(self, address: Address, idle_us: int = 30 * S, most: int = 50) -> None:
        self.backends = Backends(idle_us, 200_000, most)
        self.backends.update({"s": EndpointState.UP}, {"s": address}, is_full=True)
        self.ended: asyncio.Queue[tuple[AttemptResult, bytes | None, LoadReport | None]] = asyncio.Queue()

    def send(self, payload: bytes = resp("PING"), timeout_us: int = 5 * S) -> Attempt:
        attempt = Attempt("a", 0, "s", lambda _: payload, lambda _, *how: self.ended.put_nowait(how))
        self.backends.send(attempt, timeout_us)
        return attempt

    async def turn(self) -> None:
        """Let the event loop turn once."""
        await asyncio.sleep(0)

    async def result(self) -> AttemptResult:
        return (await self.ended.get())[0]


@pytest.fixture
def rest(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Moves the connections' clock on by the time that one rests after an answer."""
    real, late_us = backends.now_us, [0]
    for module in (backend_connection, backend_pool, backends):
        monkeypatch.setattr(module, "now_us", lambda: real() + late_us[0])

    def pass_on() -> None:
        late_us[0] += REUSE_DELAY_US

    return pass_on


@contextlib.asynccontextmanager
async def deaf() -> AsyncIterator[tuple[Address, socket.socket]]:
    """A machine that takes connections and reads nothing."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        yield listener.getsockname(), listener


async def test_connection_is_reused_for_one_command_at_a_time(rest: Callable[[], None]) -> None:
    backend = Backend(lambda arguments: None)
    sender = Sender(await backend.start())
    sender.send()
    sender.send()
    while len(backend.commands) < 2:
        backend.came.clear()
        await backend.came.wait()
    assert backend.opened == 2
    for writer in backend.writers:
        writer.write(value(b"x"))
    assert [await sender.result(), await sender.result()] == [AttemptResult.OK] * 2
    backend.answer = lambda arguments: value(b"y")
    for _ in range(5):
        rest()
        sender.send()
        assert await sender.result() is AttemptResult.OK
    assert backend.opened == 2
    rest()
    for _ in range(3):  # two have rested, and the first of them has to rest again
        sender.send()
        assert await sender.result() is AttemptResult.OK
    assert backend.opened == 3
    sender.backends.close()


async def test_abandoned_attempt_closes_its_connection() -> None:
    backend = Backend(lambda arguments: None)
    sender = Sender(await backend.start())
    attempt = sender.send()
    await backend.came.wait()
    attempt.cancel()
    assert await sender.result() is AttemptResult.CANCELLED
    await backend.left.wait()  # an answer that is still due must not meet the next command
    backend.answer = lambda arguments: value(b"fresh")
    sender.send()
    assert (await sender.ended.get())[1] == b"fresh"
    assert sender.ended.empty()
    sender.backends.close()


async def test_reset_after_last_byte_may_have_run() -> None:
    sender = Sender(await Backend(lambda arguments: b"").start())
    sender.send()
    assert await sender.result() is AttemptResult.RESET


async def test_silence_after_last_byte_is_a_timeout() -> None:
    async with deaf() as (address, _):
        sender = Sender(address)
        sender.send(timeout_us=50_000)
        assert await sender.result() is AttemptResult.TIMEOUT


async def test_failure_before_last_byte_never_ran() -> None:
    sender = Sender(refusing_address())
    sender.send()
    assert await sender.result() is AttemptResult.CONNECT_FAILED
    async with deaf() as (address, _):
        sender = Sender(address)
        sender.send(b"x" * (64 << 20), timeout_us=300_000)  # more than the kernel takes in
        assert await sender.result() is AttemptResult.CONNECT_FAILED
    async with deaf() as (address, listener):
        sender = Sender(address)
        sender.send(b"x" * (64 << 20))
        listener.setblocking(False)
        accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
        accepted.close()  # with bytes unread: a reset
        assert await sender.result() is AttemptResult.CONNECT_FAILED


async def test_connection_closed_once_up_never_ran() -> None:
    async with deaf() as (address, listener):
        sender = Sender(address)
        sender.send(timeout_us=20 * S)
        listener.setblocking(False)
        accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
        accepted.close()  # before the loop comes to know that the connection is up
        assert await asyncio.wait_for(sender.result(), 5) in (
            AttemptResult.CONNECT_FAILED,
            AttemptResult.RESET,
        )


async def test_unanswered_connect_times_out() -> None:
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        for _ in range(3):  # its backlog is full: the kernel drops further attempts to connect
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        sender = Sender(listener.getsockname())
        sender.send(timeout_us=20 * S)
        assert await asyncio.wait_for(sender.result(), 5) is AttemptResult.CONNECT_FAILED


async def test_idle_connection_is_closed_before_its_backend_does() -> None:
    backend = Backend()
    sender = Sender(await backend.start(), idle_us=200_000)
    sender.send()
    assert await sender.result() is AttemptResult.OK
    await backend.left.wait()
    assert sender.backends.connection_count == 0


async def test_timeout_or_reset_closes_idle_connections() -> None:
    """A machine that vanished resets them when it is back: an unsafe request would be lost on one."""

    for broken in (None, b""):
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start())
        sender.send()
        sender.send()
        while len(backend.commands) < 2:
            backend.came.clear()
            await backend.came.wait()
        for writer in backend.writers:
            writer.write(value(b"x"))
        assert [await sender.result(), await sender.result()] == [AttemptResult.OK] * 2
        assert len(sender.backends.pools["s"].idle_connections) == 2
        backend.answer = lambda arguments, broken=broken: broken
        sender.send(timeout_us=100_000)
        assert await sender.result() in (AttemptResult.TIMEOUT, AttemptResult.RESET)
        assert sender.backends.pools["s"].idle_connections == []


async def test_connections_are_bounded_over_all_backends() -> None:
    backend = Backend(lambda arguments: None)
    sender = Sender(await backend.start(), most=2)
    first = sender.send()
    sender.send()
    sender.send()
    assert await sender.result() is AttemptResult.LOCAL_FAILURE
    assert sender.backends.connection_count == 2
    first.cancel()
    assert await sender.result() is AttemptResult.CANCELLED
    await backend.came.wait()
    sender.backends.close()


async def test_bound_holds_while_only_connection_is_reused(rest: Callable[[], None]) -> None:
    """It was idle at another backend, and is no more."""
    backend = Backend(lambda arguments: value(b"x"))
    sender = Sender(await backend.start(), most=1)
    sender.backends.update({"t": EndpointState.UP}, {"t": backend.address}, is_full=False)
    sender.send()
    assert await sender.result() is AttemptResult.OK
    rest()
    backend.answer = lambda arguments: None
    sender.send()  # on the connection that was idle
    other = Attempt("b", 0, "t", lambda _: b"", lambda _, *how: sender.ended.put_nowait(how))
    sender.backends.send(other, 5 * S)
    assert await sender.result() is AttemptResult.LOCAL_FAILURE
    sender.backends.close()


async def test_gone_backend_keeps_attempts_but_no_idle_connections() -> None:
    backend = Backend(lambda arguments: None)
    sender = Sender(await backend.start())
    sender.send()
    await backend.came.wait()
    sender.backends.update({}, {}, is_full=True)
    backend.writers[0].write(value(b"x"))
    assert await sender.result() is AttemptResult.OK
    await backend.left.wait()
    sender.send()
    assert await sender.result() is AttemptResult.LOCAL_FAILURE


def test_load_report_is_read_by_name() -> None:
    load = LoadReport(util=0.61, service_ms=12.5)
    assert read_reply([b"v", None, b"util=0.61,latency_ms=12.5,strange=x"]) == (AttemptResult.OK, b"v", load)
    for odd in (b"util=what", b"util=nan", b"util=0.5,latency_ms=inf", b"util=-1"):
        assert read_reply([b"v", None, odd]) == (AttemptResult.OK, b"v", None)
    assert read_reply([b"v"]) == (AttemptResult.OK, b"v", None)
    assert read_reply([None, None, None])[0] is AttemptResult.ERROR


@pytest.mark.parametrize("reply", [b"*1\r\n:5\r\n", b"*3\r\n+OK\r\n$-1\r\n$-1\r\n"])
async def test_reply_that_begins_with_no_bulk_string_is_an_error(reply: bytes) -> None:
    """Guards against an answer whose value no backend made as the protocol requires."""
    sender = Sender(await Backend(lambda arguments: reply).start())
    sender.send()
    assert await sender.result() is AttemptResult.ERROR


async def test_claimed_reply_size_allocates_nothing() -> None:
    """Arrays made as long as they claim are traversed and freed on the gateway's CPU time."""

    for claim in (b"*100000000\r\n", b"*3\r\n*100000000\r\n", b"*3\r\n$5000000\r\n"):
        sender = Sender(await Backend(lambda arguments, claim=claim: claim).start())
        sender.send(timeout_us=20 * S)
        assert await asyncio.wait_for(sender.result(), 10) is AttemptResult.RESET
        assert sender.backends.connection_count == 0
        sender.backends.close()


def test_reply_is_read_in_any_pieces() -> None:
    for stream, replies in (
        (value(b"a\r\nb", b"$9\r\nutil=0.61\r\n"), [[b"a\r\nb", None, b"util=0.61"]]),
        (b"-ERR failed\r\n-BUSY\r\n", ["ERR failed", "BUSY"]),
        (b"*-1\r\n*2\r\n*1\r\n:5\r\n+OK\r\n", [None, [[b"5"], b"OK"]]),
    ):
        reader, came = ReplyReader(1 << 16), []
        for byte in stream:
            reader.feed(bytes([byte]))
            if (reply := reader.next_reply(...)) is not ...:
                came.append(reply)
        assert came == replies and not reader.has_data()


def test_resets_after_idling_lower_the_idle_limit() -> None:
    limit = IdleLimit(15 * S)
    for n in range(40):
        limit.record_use(10_000, was_reset=n % 10 == 0)  # some are reset whatever they did before
        limit.record_use(150_000, was_reset=n % 10 < 4)
    assert limit.limit_us == 131_072
    for _ in range(4):
        limit.halve_counts()
    assert limit.limit_us == 15 * S  # tried again after a while


async def test_connection_idle_beyond_limit_is_not_reused(rest: Callable[[], None]) -> None:
    backend = Backend()
    sender = Sender(await backend.start())
    for limit_us, opened in ((15 * S, 1), (15 * S, 1), (-1, 2)):
        sender.backends.idle_limit.limit_us = limit_us
        rest()
        sender.send()
        assert await sender.result() is AttemptResult.OK
        assert backend.opened == opened
    sender.backends.close()


class CountingBuffer(bytearray):
    """Counts the searches for the end of a line."""

    searches = 0

    def find(self, sub: bytes, start: int, end: int) -> int:
        self.searches += 1
        return super().find(sub, start, end)


def test_reply_in_single_bytes_is_parsed_once() -> None:
    """Guards against time that grows with the square of a reply's length, for a backend that trickles it."""
    nested = b"*16\r\n" + b"+x\r\n" * 16
    stream = b"*16\r\n" + nested * 16
    reader = ReplyReader(1 << 16)
    reader.buffer = CountingBuffer()
    for byte in stream[:-1]:
        reader.buffer.append(byte)
        assert reader.next_reply(...) is ...
    elements = 1 + 16 + 16 * 16
    assert reader.buffer.searches <= len(stream) + elements
