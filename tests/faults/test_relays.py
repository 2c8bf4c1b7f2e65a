"""The relays on links: what they keep, delay, break and lose, and what they record of a watch."""

import asyncio
import contextlib
import itertools
import json
import random
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.faults.datagram_relay import DatagramRelay
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.links import Direction, Link
from orchidhatch.faults.tap import WatchTap
from orchidhatch.faults.tcp_relay import TcpRelay
from tests.sockets import HOST, run


class EchoLink:
    """A link to a service that echoes each line, with a connection over it."""

    def __init__(self, folder: Path) -> None:
        self.recorder = Recorder("test", folder)
        self.link = Link("a>b", self.recorder, random.Random(1))
        self.received: list[bytes] = []

    async def start(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError):
                while line := await reader.readline():
                    self.received.append(line)
                    writer.write(line)
            writer.close()

        self.server = await asyncio.start_server(echo, HOST, 0)
        self.relay = TcpRelay(self.link, self.server.sockets[0].getsockname())
        self.at = await self.relay.start(HOST)
        self.reader, self.writer = await asyncio.open_connection(*self.at)
        assert await self.echo(b"one\n") == b"one\n"

    async def echo(self, line: bytes) -> bytes:
        self.writer.write(line)
        return await self.reader.readline()

    def close(self) -> None:
        self.relay.close()
        self.server.close()
        self.writer.close()
        self.recorder.close()


def over_echo_link(folder: Path, job: Callable[[EchoLink], object]) -> None:
    async def whole() -> None:
        echo = EchoLink(folder)
        await echo.start()
        await job(echo)
        echo.close()

    run(whole())


@pytest.mark.parametrize(("which", "received"), [("there", [b"one\n"]), ("back", [b"one\n", b"two\n"])])
def test_closed_direction_delivers_what_came_once_open(
    tmp_path: Path, which: str, received: list[bytes]
) -> None:
    async def job(echo: EchoLink) -> None:
        for direction in echo.link.directions(which):
            direction.is_closed = True
        echo.writer.write(b"two\n")
        other = EchoLink(tmp_path)  # what goes over another link shows that time went by
        await other.start()
        while len(echo.received) < len(received):
            await other.echo(b"x\n")
        assert echo.received == received
        echo.writer.write(b"three\n")
        for direction in echo.link.directions(which):
            direction.is_closed = False
        echo.link.resume()
        assert [await echo.reader.readline(), await echo.reader.readline()] == [b"two\n", b"three\n"]
        other.close()

    over_echo_link(tmp_path, job)


def test_connection_over_a_cut_is_reset_once_whole(tmp_path: Path) -> None:
    async def job(echo: EchoLink) -> None:
        echo.link.is_cut = echo.link.forward.is_closed = echo.link.backward.is_closed = True
        reader, writer = await asyncio.open_connection(*echo.at)
        writer.write(b"new\n")
        echo.writer.write(b"old\n")
        echo.link.is_cut = echo.link.forward.is_closed = echo.link.backward.is_closed = False
        echo.link.resume()
        with pytest.raises(ConnectionResetError):
            await reader.readline()
        assert await echo.reader.readline() == b"old\n" and b"new\n" not in echo.received

    over_echo_link(tmp_path, job)


def test_answer_is_broken_once_in_its_middle(tmp_path: Path) -> None:
    async def job(echo: EchoLink) -> None:
        echo.link.breaks_next_answer = True
        echo.writer.write(b"1234567\n")
        with pytest.raises(ConnectionResetError):
            while await echo.reader.read(100) != b"":
                pass
        echo.reader, echo.writer = await asyncio.open_connection(*echo.at)
        assert await echo.echo(b"again\n") == b"again\n"

    over_echo_link(tmp_path, job)


def test_connections_are_refused_while_the_target_is_gone(tmp_path: Path) -> None:
    async def job(echo: EchoLink) -> None:
        echo.relay.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*echo.at)
        echo.relay.listen_again()
        await echo.relay.task
        echo.reader, echo.writer = await asyncio.open_connection(*echo.at)
        assert await echo.echo(b"again\n") == b"again\n"

    over_echo_link(tmp_path, job)


class DatagramPair:
    """A datagram relay that leads to a sink; `after` says what arrives there."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.link = Link("a>b", recorder, random.Random(1))
        self.relay = DatagramRelay(self.link)
        self.opposite = DatagramRelay(Link("b>a", recorder, random.Random(1)))
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.sink: asyncio.DatagramTransport

    async def start(self) -> None:
        received = self.received

        class Sink(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
                received.put_nowait(data)

        loop = asyncio.get_running_loop()
        self.sink, _ = await loop.create_datagram_endpoint(Sink, local_addr=(HOST, 0))
        for relay in (self.relay, self.opposite):
            await loop.create_datagram_endpoint(lambda relay=relay: relay, local_addr=(HOST, 0))
        self.relay.opposite = self.opposite
        self.relay.to = self.sink.get_extra_info("sockname")

    async def after(self, *sent: bytes) -> list[bytes]:
        """What arrives of them, up to a mark that is sent over the whole link."""
        for data in sent:
            self.relay.datagram_received(data, (HOST, 1))
        faults = self.link.forward, self.link.is_cut
        self.link.forward, self.link.is_cut = Direction(), False
        self.relay.datagram_received(b"mark", (HOST, 1))
        self.link.forward, self.link.is_cut = faults
        found = []
        while (data := await self.received.get()) != b"mark":
            found.append(data)
        return found

    def close(self) -> None:
        for transport in (self.sink, self.relay.transport, self.opposite.transport):
            transport.close()


async def test_datagrams_are_lost_doubled_reordered_and_held(tmp_path: Path) -> None:
    recorder = Recorder("test", tmp_path)
    pair = DatagramPair(recorder)
    await pair.start()
    direction = pair.link.forward
    assert await pair.after(b"1", b"2") == [b"1", b"2"]
    direction.loss = 1.0
    assert await pair.after(b"1") == []
    direction.loss = 0.0
    direction.duplication = 1.0
    assert await pair.after(b"1") == [b"1", b"1"]
    direction.duplication = 0.0
    direction.reordering = 1.0
    assert await pair.after(b"1", b"2") == [b"2", b"1"]
    direction.reordering = 0.0
    direction.is_closed = True
    assert await pair.after(b"1") == []
    direction.is_closed = False
    pair.relay.resume()
    assert await pair.after() == [b"1"]
    pair.link.is_cut = True
    assert await pair.after(b"1") == []
    pair.close()
    recorder.close()


@given(st.lists(st.integers(0, 400), max_size=8))
def test_watch_is_altered_alike_in_any_pieces(cuts: list[int]) -> None:
    noted = []

    class Notes:
        def note(self, what: str, about: str, **told: object) -> None:
            noted.append((about, told))

    line = (
        json.dumps(
            {
                "generation": 7,
                "reset": True,
                "instances": [
                    {"instanceId": "b-1", "hostPort": "127.101.100.101:7001", "lifecycle": "SERVING"},
                    {"instanceId": "b-2", "hostPort": "127.101.100.102:7002", "lifecycle": "DRAINING"},
                ],
            },
            separators=(",", ":"),
        ).encode()
        + b"\n"
    )
    data = b"HTTP/1.1 200 OK\r\n\r\n" + b"%x\r\n%b\r\n" % (len(line), line) + b"1\r\n\n\r\n"
    tap = WatchTap(Notes(), "door-3", b"127.101.100.", b"127.101.104.")
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    passed = b"".join(tap(data[a:b]) for a, b in itertools.pairwise(edges))
    assert passed == data.replace(b"127.101.100.", b"127.101.104.") and len(passed) == len(data)
    assert noted == [
        ("door-3", {"generation": 7, "reset": True, "states": {"SERVING": ["b-1"], "DRAINING": ["b-2"]}})
    ]
