"""The watch on discovery and the datagrams between front doors."""

import asyncio
import itertools
import json
import socket
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList, Event
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.gossip_codec import pack_message
from orchidhatch.proxy import endpoint_watch, watch_backoff
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader, EndpointUpdate
from orchidhatch.proxy.endpoint_watch import EndpointWatcher
from orchidhatch.proxy.json_lines import JSON_STRING, JsonLineReader
from orchidhatch.proxy.peers import Peers
from orchidhatch.proxy.server import GatewayServer
from tests.sockets import CONFIG, HEAD, HOST, Watch, catalog, chunk, entry, refusing_address, run

AT = (HOST, 6379)


async def news_of(watch: Watch, count: int, version: int = 0) -> list[EndpointUpdate]:
    """The first news that a watch brings."""
    received: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
    found = EndpointWatcher(await watch.start(), EndpointListReader(CONFIG), version, received.put_nowait)
    task = asyncio.create_task(found.run())
    try:
        return [await received.get() for _ in range(count)]
    finally:
        task.cancel()


def script(*pieces: bytes, stay: bool = True) -> object:
    async def play(writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.001)  # so that the pieces are read apart
        if stay:
            await asyncio.Event().wait()

    return play


async def test_list_lines_in_pieces_with_heartbeats_and_unknown_states() -> None:
    odd = [entry("s2", AT, "RESTING"), {"instanceId": "odd"}, entry("s3", AT, "DRAINING")]
    line = catalog(5, [entry("s1", AT), *odd])
    gone = catalog(6, [{"instanceId": "s1", "lifecycle": "DELETED"}], reset=False)
    stream = HEAD + chunk(b"\n") + chunk(line[:30])
    stream += chunk(line[30:] + b"\n" + gone[:9]) + chunk(gone[9:])
    pieces = [stream[n : n + 50] for n in range(0, len(stream), 50)]
    first, second = await news_of(Watch(script(*pieces)), 2)
    states = {server.name: server.state for server in first.event.endpoints}
    assert (first.event.kind, first.event.version) == (EndpointListKind.FULL, 5)
    draining = EndpointState.DRAINING
    assert states == {"s1": EndpointState.UP, "s2": draining, "s3": draining}
    assert (second.event.kind, second.event.version) == (EndpointListKind.CHANGES, 6)
    assert second.event.endpoints[0].state is EndpointState.GONE


async def test_ended_watch_resumes_after_last_version() -> None:
    watch = Watch(
        script(HEAD + chunk(catalog(5, [])), stay=False),
        script(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", stay=False),
        script(HEAD + chunk(catalog(6, [])[:20]), stay=False),  # breaks within a line: not heard
        script(HEAD + chunk(b"{not json\n")),
        script(HEAD + chunk(catalog(9, [], reset=False))),
    )
    found = await news_of(watch, 2, version=3)
    assert [news.event.version for news in found] == [5, 9]
    afters = [target.partition("after=")[2] for target in watch.targets]
    assert afters == ["3", "5", "5", "5", "5"]


@pytest.mark.parametrize("size", [1, 7, 1 << 20])
@pytest.mark.parametrize("indent", [0, 1, 4, "\t"])
async def test_indented_lists_are_read(indent: int | str, size: int) -> None:
    """On several lines, with an empty one of the watch's own amid them, and with brackets in their texts."""
    odd = entry("s}1", AT) | {"note": 'a "{[ \\" of text'}
    whole = json.loads(catalog(5, [odd, entry("s2", AT)]))
    text = json.dumps(whole, indent=indent).encode().replace(b"\n", b"\n\n", 1) + b"\n"
    text += b"\n" + catalog(6, [entry("s3", AT)], reset=False)
    text += json.dumps(json.loads(catalog(7, [], reset=False)), indent=indent).encode() + b"\n"

    pieces = [chunk(text[at : at + size]) for at in range(0, len(text), size)]
    watch = Watch(script(HEAD + b"".join(pieces)))
    found = await news_of(watch, 3)
    assert [news.event.version for news in found] == [5, 6, 7]
    assert [server.name for server in found[0].event.endpoints] == ["s}1", "s2"]
    assert len(watch.targets) == 1


@pytest.mark.parametrize(
    "lines",
    [
        [b'{"generation":', b"}"],
        [b"{", b'"generation": 4', b'"reset": true', b"}"],
        [b'{"a', b'":1}'],
        [b"]"],
        [b"{not json"],
        [b"{", b'"a": "' + b"x" * (1 << 22) + b'",'],
    ],
)
def test_malformed_lines_are_rejected(lines: list[bytes]) -> None:
    values: list[object] = []
    read = JsonLineReader(values.append)
    with pytest.raises(ValueError):
        for line in lines:
            read.feed(line)
    assert not values


async def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE_LIMIT_S", 0.2)

    watch = Watch(script(HEAD), script(HEAD + chunk(catalog(4, []))))
    assert (await news_of(watch, 1))[0].event.version == 4
    assert len(watch.targets) == 2


NONE = b""  # a watch that is not answered at all
LIST, EMPTY = HEAD + chunk(catalog(4, [])), HEAD + chunk(b"\n")


@pytest.mark.parametrize(
    ("pushed", "stream", "ends", "soon"),
    [
        *[(True, stream, "silent", True) for stream in (LIST, EMPTY, HEAD, NONE)],
        *[(True, stream, "reset", True) for stream in (LIST, EMPTY, HEAD)],
        (True, NONE, "reset", True),
        (True, HEAD + chunk(b"{not json\n"), "reset", True),
        (False, LIST, "silent", True),
        (False, NONE, "silent", False),
        (False, LIST, "reset", False),
    ],
)
def test_ended_watch_is_reopened_at_once_unless_overloaded(
    pushed: bool, stream: bytes, ends: str, soon: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What the agent has counts as told whether or not a watch is open, in the largest tier too, whatever it
    did to the watch before. Who asks a service that all share leaves it time."""
    monkeypatch.setattr(endpoint_watch, "SILENCE_LIMIT_S", 0.05)
    waits: list[float] = []

    async def job() -> None:
        async def play(writer: asyncio.StreamWriter) -> None:
            writer.write(stream)
            if ends == "silent":
                await asyncio.Event().wait()
            await writer.drain()
            writer.transport.close() if stream else writer.transport.abort()

        found = EndpointWatcher(
            await Watch(play).start(),
            EndpointListReader(CONFIG),
            0,
            lambda news: None,
            3,
            200,
            is_agent=pushed,
        )

        async def noted(wait_s: float) -> None:
            waits.append(wait_s)
            raise asyncio.CancelledError

        monkeypatch.setattr(found, "pause", noted)
        with pytest.raises(asyncio.CancelledError):
            await found.run()

    run(job())
    assert waits[0] <= 1.0 if soon else waits[0] > 1.0


@pytest.mark.parametrize("pushed", [True, False])
def test_absent_agent_is_asked_again_within_a_second(pushed: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """It is this machine's own, and costs nobody anything; a service that all share is left time."""
    waits: list[float] = []

    async def job() -> None:
        found = EndpointWatcher(
            refusing_address(), EndpointListReader(CONFIG), 0, lambda news: None, 3, 200, is_agent=pushed
        )

        async def noted(wait_s: float) -> None:
            waits.append(wait_s)
            if len(waits) == 8:
                raise asyncio.CancelledError

        monkeypatch.setattr(found, "pause", noted)
        with pytest.raises(asyncio.CancelledError):
            await found.run()

    run(job())
    assert max(waits) <= 1.0 if pushed else sum(waits) > 60


@pytest.mark.parametrize("answered", [0, 1])
async def test_either_unanswered_watch_may_be_accepted_after_outage(
    answered: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What the agent gets at discovery's return counts as told at once: a watch has to be there by then."""
    monkeypatch.setattr(endpoint_watch, "SILENCE_LIMIT_S", 0.2)

    opened: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
    received: asyncio.Queue[EndpointUpdate] = asyncio.Queue()

    async def play(writer: asyncio.StreamWriter) -> None:
        opened.put_nowait(writer)
        await asyncio.Event().wait()

    found = EndpointWatcher(
        await Watch(play).start(), EndpointListReader(CONFIG), 0, received.put_nowait, 3, 200
    )
    task = asyncio.create_task(found.run())
    writers = [await opened.get(), await opened.get()]
    writers[answered].write(LIST)
    assert (await received.get()).event.version == 4
    task.cancel()


@pytest.mark.parametrize("phase", ["watching", "waiting", "connecting"])
def test_changed_address_is_followed_at_once(phase: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """In the largest tier a try that is refused is followed by 40 s of waiting, and 4 s are what there is."""

    async def job() -> None:
        received: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        new = await Watch(script(HEAD + chunk(catalog(9, [])))).start()
        old = refusing_address() if phase == "waiting" else await Watch(script(LIST)).start()
        found = EndpointWatcher(old, EndpointListReader(CONFIG), 0, received.put_nowait, 3, 200)
        pause, reached = found.pause, asyncio.Event()

        async def paused(wait_s: float) -> None:
            reached.set()
            await pause(wait_s)

        monkeypatch.setattr(found, "pause", paused)
        if phase == "connecting":
            connect = asyncio.get_running_loop().create_connection

            async def held(*args: object) -> object:
                made = await connect(*args)
                found.move(new)  # its coming up is told only now
                return made

            loop = SimpleNamespace(
                create_connection=held, create_future=asyncio.get_running_loop().create_future
            )
            monkeypatch.setattr(endpoint_watch.asyncio, "get_running_loop", lambda: loop)
        task = asyncio.create_task(found.run())
        if phase == "waiting":
            await reached.wait()
        if phase == "watching":
            assert (await received.get()).event.version == 4
        if phase != "connecting":
            found.move(new)
        while (await received.get()).event.version != 9:
            pass
        task.cancel()

    run(job(), within_s=6)


def test_start_times_are_converted_to_this_clock() -> None:
    read = EndpointListReader(CONFIG)
    started_us = read.start_times.started_us
    assert started_us("s", 0) == 0
    now_ms = time.time_ns() // 1_000_000
    assert abs(started_us("a", now_ms - 5000) - (time.monotonic_ns() // 1000 - 5_000_000)) < 100_000
    assert started_us("b", now_ms) == started_us("b", now_ms)
    assert started_us("c", 1) < 0  # before this machine's clock began, but not 'long ago'


def test_entry_with_infinite_start_time_is_left_out() -> None:
    odd = entry("s1", AT) | {"startedAtMs": float("inf")}
    news = EndpointListReader(CONFIG).read(
        {"generation": 3, "reset": True, "instances": [odd, entry("s2", AT)]}
    )
    assert [server.name for server in news.event.endpoints] == ["s2"]


async def test_known_list_serves_while_discovery_is_silent() -> None:
    known = {"generation": 3, "reset": True, "instances": [entry("s1", AT)]}
    gateway = GatewayServer(
        replace(CONFIG, known_endpoint_list=known, discovery=await Watch(script()).start())
    )
    received: list[Event] = []
    gateway.core.handle = lambda now, event: received.append(event) or []
    await gateway.start()
    assert [event.kind for event in received if isinstance(event, EndpointList)] == [EndpointListKind.SAVED]
    assert gateway.discovery.version == 3 and list(gateway.backends.pools) == ["s1"]
    gateway.close()


async def test_peer_messages_arrive_and_strangers_are_dropped() -> None:
    loop, received = asyncio.get_running_loop(), asyncio.Queue()
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    ports = [refusing_address(), refusing_address()]
    me, friend = (Peers(tuple(ports), number, received.put_nowait) for number in (0, 1))
    for peers, at in zip((me, friend), ports, strict=True):
        await loop.create_datagram_endpoint(lambda peers=peers: peers, local_addr=at)
    arguments = tuple(GossipMessage(n, 0, 0, 2, demand=1.0) for n in range(30))
    with stranger:
        stranger.sendto(pack_message(arguments[:1])[0], ports[0])
    friend.transport.sendto(b"x" * 7, ports[0])
    friend.transport.sendto(pack_message(arguments)[0] * 2, ports[0])  # longer than the wire allows
    friend.send(SendGossip(0, arguments))
    got: tuple[GossipMessage, ...] = ()
    while len(got) < len(arguments):
        message = await received.get()
        assert message.sender == 1
        got += message.messages
    assert got == arguments and received.empty()


def first_tries(gateway_count: int, monkeypatch: pytest.MonkeyPatch) -> list[list[float]]:
    """When each gateway of a tier comes back to a discovery that refuses, on a clock of the test's own."""

    async def tries(seed: int) -> list[float]:
        found = EndpointWatcher(
            AT, EndpointListReader(CONFIG), 1, lambda news: None, seed, gateway_count, is_agent=False
        )
        waits: list[float] = []

        async def refused() -> None:
            raise OSError("refused")

        async def pass_by(wait_s: float) -> None:
            waits.append(wait_s)
            if len(waits) == 6:
                raise asyncio.CancelledError

        monkeypatch.setattr(found, "watch", refused)
        monkeypatch.setattr(found, "pause", pass_by)
        with pytest.raises(asyncio.CancelledError):
            await found.run()
        return [sum(waits[:n]) for n in range(1, 7)]

    return [asyncio.run(tries(seed)) for seed in range(gateway_count)]


def test_tier_returns_no_faster_than_discovery_serves(monkeypatch: pytest.MonkeyPatch) -> None:
    """It serves some 7 calls a second then; what came back at once kept it from serving anybody."""
    times = sorted(time_s for gateway in first_tries(40, monkeypatch) for time_s in gateway)
    at_most = max(sum(start <= time_s < start + 4 for time_s in times) for start in range(30))
    assert at_most <= 4 / 0.13
    small = first_tries(watch_backoff.SMALL_TIER_GATEWAYS, monkeypatch)
    waits = [after - before for gateway in small for before, after in itertools.pairwise([0.0, *gateway])]
    assert (
        max(waits) <= watch_backoff.SMALL_TIER_MAX_BACKOFF_S
    )  # its news is owed within 6 s, and it overbooks nobody
    few = first_tries(3, monkeypatch)
    assert max(gateway[0] for gateway in few) <= 0.6
    assert max(gateway[5] - gateway[4] for gateway in few) <= 2 * 4 * 0.3


def test_unterminated_string_is_matched_once() -> None:
    """Guards against a search from each quote to the end of the line, which takes time by its square."""
    line = b'"' + b'\\"' * 1000
    assert [match.span() for match in JSON_STRING.finditer(line)] == [(0, len(line))]


def test_unterminated_string_in_an_indented_list_is_rejected() -> None:
    reader = JsonLineReader(lambda value: None)
    reader.feed(b"{")
    with pytest.raises(ValueError):
        for line in (b'"instances": "a\\"', b"}"):
            reader.feed(line)
