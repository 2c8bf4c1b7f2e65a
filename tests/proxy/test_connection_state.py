"""The states of a client connection: the table, and the instants at which ends cross, over loopback."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest

from orchidhatch.proxy.client_connection import MAX_PIPELINED_COMMANDS, ClientConnection
from orchidhatch.proxy.client_sweeper import COMMAND_TIMEOUT_ERROR
from orchidhatch.proxy.connection_state import ENDING_STATES, TRANSITIONS, CloseReason, ConnectionState
from orchidhatch.proxy.guards import Refusal
from orchidhatch.proxy.server import GatewayServer
from tests.proxy.test_long_values import HEAD, LONG, TAIL
from tests.sockets import Backend, Client, front_door, query, resp, value

IDLE = ConnectionState.IDLE
PROCESSING = ConnectionState.PROCESSING
ANSWERING = ConnectionState.ANSWERING
STREAMING = ConnectionState.STREAMING
FINISHING = ConnectionState.FINISHING
LINGERING = ConnectionState.LINGERING
CLOSING = ConnectionState.CLOSING
CLIENT_LEFT = ConnectionState.CLIENT_LEFT
LOST = ConnectionState.LOST

UNTIL_STREAMING = [PROCESSING, ANSWERING, STREAMING]


async def until(what: Callable[[], object]) -> None:
    while not what():
        await asyncio.sleep(0.001)


@pytest.fixture
def entered(monkeypatch: pytest.MonkeyPatch) -> list[ConnectionState]:
    """The states that connections enter, in order."""
    states: list[ConnectionState] = []
    enter = ClientConnection._enter

    def recorded(connection: ClientConnection, state: ConnectionState) -> None:
        before = connection.state
        enter(connection, state)
        if connection.state is not before:
            states.append(connection.state)

    monkeypatch.setattr(ClientConnection, "_enter", recorded)
    return states


@contextlib.asynccontextmanager
async def streaming_client(backend: Backend) -> AsyncIterator[tuple[GatewayServer, Client, ClientConnection]]:
    """A client that has read the head of a long value and its first 1000 bytes."""
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await client.reader.readexactly(len(b"$%d\r\n" % len(LONG)) + 1000)
        (connection,) = gateway.clients.connections
        assert connection.state is STREAMING
        yield gateway, client, connection


def test_each_state_has_a_row() -> None:
    assert set(TRANSITIONS) == set(ConnectionState)


@pytest.mark.parametrize("state", [state for state in ConnectionState if state is not LOST])
def test_loss_may_follow_any_state(state: ConnectionState) -> None:
    assert LOST in TRANSITIONS[state]


@pytest.mark.parametrize("state", sorted(ENDING_STATES))
def test_ending_state_is_never_left_for_a_serving_one(state: ConnectionState) -> None:
    assert TRANSITIONS[state] <= ENDING_STATES


async def test_state_outside_the_table_is_not_entered() -> None:
    async with front_door(Backend()) as (gateway, _):
        connection = gateway.clients.create_connection()
        connection._enter(STREAMING)
        assert connection.state is IDLE


async def test_states_of_an_answered_request(entered: list[ConnectionState]) -> None:
    async with front_door(Backend()) as (_, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        client.writer.close()
        await until(lambda: LOST in entered)
    assert entered == [PROCESSING, ANSWERING, IDLE, CLIENT_LEFT, LOST]


async def test_states_of_a_ping(entered: list[ConnectionState]) -> None:
    """It is answered amid the commands that were taken: the connection is idle only behind the last."""
    async with front_door(Backend()) as (gateway, address):
        client = await Client.open(address)
        client.send(resp("PING") * 2)
        assert [await client.answer(), await client.answer()] == [b"PONG", b"PONG"]
        assert entered == [PROCESSING, IDLE]
        assert len(gateway.clients.idle_without_request) == 1


async def test_client_half_closes_amid_a_long_value(entered: list[ConnectionState]) -> None:
    """The row from STREAMING to CLIENT_LEFT: the sweep finds the end, as nothing is read."""
    backend = Backend(lambda arguments: HEAD + LONG[:1000])
    async with streaming_client(backend) as (gateway, client, _):
        client.writer.write_eof()
        assert await client.ended()
        await until(lambda: LOST in entered)
        await backend.left.wait()
        assert not gateway.requests.open
        assert gateway.clients.metrics.closes == {CloseReason.CLIENT_LEFT: 1}
    assert entered == [*UNTIL_STREAMING, CLIENT_LEFT, LOST]


async def test_long_value_breaks_amid_the_stream(entered: list[ConnectionState]) -> None:
    """The row from STREAMING to CLOSING."""
    backend = Backend(lambda arguments: HEAD + LONG[:1000])
    async with streaming_client(backend) as (gateway, client, _):
        backend.writers[0].transport.abort()
        assert await client.ended()
        await until(lambda: LOST in entered)
        assert gateway.clients.metrics.closes == {CloseReason.VALUE_BROKE: 1}
    assert entered == [*UNTIL_STREAMING, CLOSING, LOST]


async def test_drain_amid_a_long_value_closes_behind_it(entered: list[ConnectionState]) -> None:
    """The rows from STREAMING over ANSWERING and IDLE to CLOSING."""
    backend = Backend(lambda arguments: HEAD + LONG[:1000])
    async with streaming_client(backend) as (gateway, client, connection):
        gateway.clients.stop_reading()
        assert connection.state is STREAMING
        backend.writers[0].write(LONG[1000:] + TAIL)
        assert await client.reader.readexactly(len(LONG) - 1000 + 2) == LONG[1000:] + b"\r\n"
        assert await client.ended()
        await until(lambda: LOST in entered)
        assert gateway.clients.metrics.closes == {CloseReason.BETWEEN_REQUESTS: 1}
    assert entered[:5] == [*UNTIL_STREAMING, ANSWERING, IDLE]
    assert entered[5] in (CLOSING, LINGERING)


async def test_command_is_read_again_behind_a_long_value(entered: list[ConnectionState]) -> None:
    backend = Backend(lambda arguments: HEAD + LONG[:1000])
    async with streaming_client(backend) as (_, client, connection):
        assert not connection.is_reading
        backend.answer = lambda arguments: value(b"second")
        client.send(query("a2"))
        backend.writers[0].write(LONG[1000:] + TAIL)
        await client.reader.readexactly(len(LONG) - 1000 + 2)
        assert await client.answer() == b"second"
        assert connection.is_reading
    assert entered[:6] == [*UNTIL_STREAMING, ANSWERING, IDLE, PROCESSING]


@pytest.mark.parametrize(
    ("owed", "is_reading"), [(MAX_PIPELINED_COMMANDS - 1, True), (MAX_PIPELINED_COMMANDS, False)]
)
async def test_reading_pauses_at_the_last_pipelined_command(owed: int, is_reading: bool) -> None:
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(b"".join(query(f"a{number}") for number in range(owed)))
        await until(lambda: len(gateway.requests.open) == owed)
        await backend.came.wait()
        (connection,) = gateway.clients.connections
        assert connection.is_reading is is_reading


@pytest.mark.refusals
async def test_close_while_an_answer_is_owed_is_refused(entered: list[ConnectionState]) -> None:
    """The row of ANSWERING, which no close follows."""
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        (connection,) = gateway.clients.connections
        connection.close()
        assert not gateway.guard.refusals
        connection.close_gracefully()
        assert gateway.guard.refusals == {Refusal.ANSWER_OWED: 1}
        assert connection.state is ANSWERING
        assert not gateway.clients.metrics.closes
        backend.writers[0].write(value(b"late"))
        assert await client.answer() == b"late"
        assert entered == [PROCESSING, ANSWERING, IDLE]


async def test_client_half_closes_while_an_answer_is_owed(entered: list[ConnectionState]) -> None:
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        client.writer.write_eof()
        assert await client.ended()
        await until(lambda: LOST in entered)
        assert not gateway.requests.open
    assert entered == [PROCESSING, ANSWERING, CLIENT_LEFT, LOST]


async def test_error_line_waits_for_what_is_owed_before_it(entered: list[ConnectionState]) -> None:
    """FINISHING: what comes meanwhile is dropped, and the close comes behind the last answer."""
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1") + b"?")
        await backend.came.wait()
        (connection,) = gateway.clients.connections
        await until(lambda: connection.state is FINISHING)
        client.send(query("a2"))
        await asyncio.sleep(0.02)
        assert list(gateway.requests.open) == ["a1"]
        backend.writers[0].write(value(b"first"))
        assert await client.answer() == b"first"
        assert str(await client.answer()).startswith("-ERR Protocol error")
        assert await client.ended()
        await until(lambda: LOST in entered)
    assert entered == [PROCESSING, FINISHING, CLOSING, LOST]


async def test_unread_bytes_at_the_close_make_it_linger(entered: list[ConnectionState]) -> None:
    """The client ends its own side then: the row from LINGERING to CLIENT_LEFT."""
    async with front_door(Backend()) as (gateway, address):
        client = await Client.open(address)
        client.send(b"GET / HTTP/1.1\r\n" + bytes(2 << 20))
        assert str(await client.answer()).startswith("-ERR Protocol error")
        assert await client.ended()
        client.writer.transport.abort()
        await until(lambda: not gateway.clients.connections)
    assert entered[:3] == [PROCESSING, FINISHING, LINGERING]
    assert entered[-1] is LOST


async def test_linger_ends_when_its_time_is_over(entered: list[ConnectionState]) -> None:
    """The row from LINGERING to CLOSING: the client sends on and never shuts its side."""
    async with front_door(Backend()) as (gateway, address):
        client = await Client.open(address)
        client.send(b"GET / HTTP/1.1\r\n" + bytes(2 << 20))
        assert str(await client.answer()).startswith("-ERR Protocol error")
        (connection,) = gateway.clients.connections
        await until(
            lambda: connection.state is LINGERING and not connection.transport.get_write_buffer_size()
        )
        connection.end_linger(connection.linger_until_s - 0.001)
        assert connection.state is LINGERING
        connection.end_linger(connection.linger_until_s)
        assert connection.state is CLOSING
        await until(lambda: not gateway.clients.connections)


async def test_silent_client_is_closed_and_half_a_command_told(entered: list[ConnectionState]) -> None:
    """The rows from IDLE to CLOSING and to FINISHING."""
    async with front_door(Backend()) as (gateway, address):
        now_s = 100.0
        gateway.clients.clock = lambda: now_s
        silent, half = await Client.open(address), await Client.open(address)
        half.send(query("a1")[:9])
        await until(lambda: any(one.reader.buffer for one in gateway.clients.connections))
        assert entered == [PROCESSING, IDLE]
        now_s += 10
        gateway.clients.sweeper.sweep()
        assert await silent.ended()
        assert await half.reader.read() == COMMAND_TIMEOUT_ERROR
        await until(lambda: entered.count(LOST) == 2)
    assert sorted(entered[2:5]) == [CLOSING, CLOSING, FINISHING]
