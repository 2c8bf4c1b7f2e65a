"""A long value breaks while other commands on its client's connection are owed answers, over loopback."""

import asyncio
import contextlib
import itertools
from dataclasses import replace

import pytest

from orchidhatch.proxy import buffered_value, socket_inspection
from orchidhatch.proxy.server import GatewayServer
from tests.proxy.gateway_scripts import ask_with_one_behind, slow_client_of_sent_answer, until
from tests.sockets import SETTINGS, Backend, Client, front_door, query, value

LONG = bytes(range(256)) * 1024
HEAD = b"*3\r\n$%d\r\n" % len(LONG)
TAIL = b"\r\n$-1\r\n$-1\r\n"
BEGUN_BYTES = 1000
COMMANDS = 3


class Values:
    """Backends of three requests with long values, each of which has given its first bytes."""

    def __init__(self) -> None:
        self.backend = Backend(self._begin)
        self.is_cut: set[str] = set()

    def _begin(self, arguments: list[bytes]) -> bytes:
        if arguments[2].decode() in self.is_cut:
            return b"-ERR failed\r\n"  # a further attempt
        return HEAD + LONG[:BEGUN_BYTES]

    def end(self, name: str) -> None:
        """Give the rest of a value."""
        self.backend.writer_of(name).write(LONG[BEGUN_BYTES:] + TAIL)

    def cut(self, name: str) -> None:
        """Reset the connection amid a value."""
        self.is_cut.add(name)
        self.backend.writer_of(name).transport.abort()


@pytest.mark.parametrize("order", list(itertools.permutations(range(COMMANDS))))
@pytest.mark.parametrize("broken", range(COMMANDS))
async def test_broken_value_costs_no_other_answer(broken: int, order: tuple[int, ...]) -> None:
    """Guards against a close that takes answers with it: those before the value that broke, or behind it."""
    values = Values()
    async with front_door(values.backend) as (gateway, address):
        client = await Client.open(address)
        names = [f"a{number}" for number in range(COMMANDS)]
        client.send(b"".join(map(query, names)))
        await until(lambda: len(values.backend.commands) == COMMANDS)
        requests = gateway.requests
        await until(lambda: all(one.buffered or one.streaming_attempt for one in requests.open.values()))
        for number in order:
            if number == broken:
                values.cut(names[number])
            else:
                values.end(names[number])
            await until(lambda: names[number] not in requests.open)  # noqa: B023 - is awaited at once
        has_begun = broken == COMMANDS - 1 and order[-1] == broken
        for number in range(COMMANDS):
            if number == broken and has_begun:
                with pytest.raises((EOFError, ConnectionError)):
                    await client.answer()
            elif number == broken:
                assert str(await client.answer()).startswith("-")
            else:
                assert await client.answer() == LONG
        if not has_begun:
            values.backend.answer = lambda arguments: value(b"further")
            assert await client.ask(query("b1")) == b"further"
        assert not gateway.clients.backlog.total_bytes()


async def test_answer_before_a_broken_value_is_delivered_whole() -> None:
    """Guards against a reset that discards an earlier answer: it was sent, but the client had not read it."""
    first = b"x" * 24_000
    backend = Backend(lambda arguments: value(first) if arguments[2] == b"a1" else HEAD + LONG[:BEGUN_BYTES])
    async with front_door(backend) as (gateway, address):
        client = await slow_client_of_sent_answer(gateway, address)
        client.send(query("a2"))
        await until(lambda: any(one.streaming_attempt for one in gateway.requests.open.values()))
        client.send(query("a3"))  # lies unread, so that a plain close would be a reset
        (connection,) = gateway.clients.connections
        await until(lambda: socket_inspection.has_unread_bytes(connection.transport))
        backend.writers[-1].transport.abort()
        await until(lambda: not gateway.requests.open)
        client.writer.transport.resume_reading()
        assert await client.answer() == first
        with pytest.raises((EOFError, ConnectionError)):
            await client.answer()
        assert len(backend.commands) == 2


async def test_value_that_breaks_after_its_deadline_costs_no_answer_behind() -> None:
    """It is passed on at its deadline, as its backend gives it steadily, and breaks after that."""
    backend = Backend(lambda arguments: None if arguments[2] == b"a1" else value(b"second"))
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        writer = await ask_with_one_behind(gateway, backend, client, wait_ms=400)
        for place in range(8):
            writer.write(HEAD + LONG[:1000] if not place else LONG[:1000])
            await asyncio.sleep(0.06)
        writer.transport.abort()
        answers = []
        with contextlib.suppress(EOFError, ConnectionError):
            answers = [await client.answer() for _ in range(2)]
        assert len(answers) == 2 and answers[1] == b"second"


class RepeatedValues:
    """A backend that resets each attempt at a long value amid it, until one gives it whole.

    `attempts` has the bytes of each attempt: its head and a part of the value, or all of its answer.
    """

    def __init__(self, *attempts: bytes) -> None:
        self.attempts = attempts
        self.count = 0
        self.backend = Backend(self._answer)

    def _answer(self, arguments: list[bytes]) -> bytes | None:
        if arguments[2] != b"a1":
            return value(b"second")
        attempt = self.attempts[min(self.count, len(self.attempts) - 1)]
        self.count += 1
        return attempt


async def interrupt_value(
    values: RepeatedValues, gateway: GatewayServer, client: Client, behind: bytes
) -> None:
    """Break the first attempt after its value was passed on at its deadline, as it was steadily given."""
    client.send(query("a1", wait_ms=400) + behind)
    await until(lambda: values.count)
    writer = values.backend.writer_of("a1")
    exchange = gateway.requests.open["a1"]
    given_bytes = BEGUN_BYTES
    while not exchange.reply.has_begun:
        writer.write(LONG[given_bytes : given_bytes + BEGUN_BYTES])
        given_bytes += BEGUN_BYTES
        await asyncio.sleep(0.01)
    writer.transport.abort()


PARTIAL = HEAD + LONG[:BEGUN_BYTES]
WHOLE = HEAD + LONG + TAIL


@pytest.mark.parametrize(
    "further",
    [
        pytest.param((WHOLE,), id="whole"),
        pytest.param((b"-BUSY\r\n", WHOLE), id="busy"),
        pytest.param((b"-ERR failed\r\n", b"-BUSY\r\n", WHOLE), id="error"),
        pytest.param((b"*3\r\n$300000\r\n" + b"x" * 10, value(b"short"), WHOLE), id="another value"),
        pytest.param((HEAD + b"y" * len(LONG), WHOLE), id="other bytes"),
        pytest.param((HEAD + b"y" * len(LONG) + TAIL, WHOLE), id="other bytes, complete"),
    ],
)
async def test_broken_value_goes_on_from_another_attempt(
    further: tuple[bytes, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the loss of an answer behind a value that breaks after its deadline (review case 7)."""
    monkeypatch.setattr(buffered_value, "MIN_STEADY_US", 0)
    values = RepeatedValues(PARTIAL, *further)
    changes = {"settings": replace(SETTINGS, max_attempts=4)}
    async with front_door(values.backend, **changes) as (gateway, address):
        client = await Client.open(address)
        await interrupt_value(values, gateway, client, query("a2"))
        assert await client.answer() == LONG
        assert await client.answer() == b"second"
        assert await client.ask(query("a3")) == b"second"
        assert values.count == 1 + len(further)
        assert not gateway.requests.open and not gateway.clients.backlog.total_bytes()


async def test_value_that_breaks_in_each_attempt_ends_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(buffered_value, "MIN_STEADY_US", 0)
    values = RepeatedValues(PARTIAL, HEAD + b"y" * len(LONG))
    async with front_door(values.backend) as (gateway, address):
        client = await Client.open(address)
        await interrupt_value(values, gateway, client, query("a2"))
        with pytest.raises((EOFError, ConnectionError)):
            await client.answer()
        await until(lambda: not gateway.requests.open and not gateway.clients.connections)
        assert values.count == gateway.active.settings.max_attempts
        assert not gateway.clients.backlog.total_bytes()


async def test_broken_value_without_a_command_behind_is_not_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has failed and no answer is lost, so the backends are spared."""
    monkeypatch.setattr(buffered_value, "MIN_STEADY_US", 0)
    values = RepeatedValues(PARTIAL, WHOLE)
    async with front_door(values.backend) as (gateway, address):
        client = await Client.open(address)
        await interrupt_value(values, gateway, client, b"")
        with pytest.raises((EOFError, ConnectionError)):
            await client.answer()
        await until(lambda: not gateway.requests.open)
        assert values.count == 1


async def test_client_that_leaves_ends_the_attempt_for_the_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(buffered_value, "MIN_STEADY_US", 0)
    values = RepeatedValues(PARTIAL, PARTIAL)
    async with front_door(values.backend) as (gateway, address):
        client = await Client.open(address)
        await interrupt_value(values, gateway, client, query("a2"))
        await until(lambda: values.count == 2 and gateway.requests.open["a1"].streaming_attempt)
        client.writer.transport.abort()
        await until(lambda: not gateway.requests.open and not gateway.requests.ended)
        assert values.count == 2 and not gateway.clients.backlog.total_bytes()
