"""The list of backends: a watch on discovery that is kept open, read line by line."""

import asyncio
import contextlib
import json
import logging
import random
import re
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import h11

from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList
from orchidhatch.proxy import socket_inspection
from orchidhatch.proxy.config import Address, Config, ConfigError, read_backend
from orchidhatch.proxy.cpu_accounting import Account, Place
from orchidhatch.proxy.local_errors import is_local
from orchidhatch.proxy.start_times import KnownStart, StartTimes

log = logging.getLogger(__name__)

STATES = {
    "SERVING": EndpointState.UP,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
SILENT_S = 5.0  # an empty line comes every 2 s; a watch that is silent for longer is dead
CONNECT_S = 1.0
# All front doors lose an overbooked discovery together. It then works long on each call (0.13 s was seen),
# refuses those that waited for 2 s, and goes on with those that nobody waits for any more: if all front doors
# come back within less time than it needs for them, none is ever served.
CALL_S = 0.2  # in which one front door of the tier may come back, on average
BACKOFF_S, MOST_BACKOFF_S, MOST_DOUBLED = 0.1, 1.0, 4  # of the mean wait between tries
# A tier this small cannot overbook it, and news counts as told 6 s after discovery could be reached.
SMALL_TIER = 15
MOST_TOLD_WAIT_S = 4.0
# Where lists are pushed, whoever answers is on this machine and answers at once, and what it has counts as
# told whether a watch is open or not. So a watch that ends is no sign of too many calls if it had spoken, or
# had waited for longer than an overbooked discovery lets anybody wait; nor is one that is silent.
LASTED_S = 3.0
AT_ONCE_S = 0.1  # the least time between two tries at once, and the longest such wait
AFTER_SILENCE_S = 0.5  # the longest wait where each call for a list is work for a service that all share
MOVED_S = 4.0  # after the signal what the new address tells counts as told
MOST_LINE = 1 << 22  # bytes, also of a value that stands on several lines
# What a value that makes no sense may raise; one that is nested deeply a RecursionError.
MALFORMED = (
    h11.ProtocolError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')  # JSON's texts: none goes on over the end of a line


@dataclass(frozen=True, slots=True)
class News:
    """News of the list for the module, and the addresses that go with it."""

    event: EndpointList
    addresses: dict[str, Address]


class Catalog:
    """Reads discovery's lists, with names turned to the settings' numbers and times to our clock."""

    def __init__(self, config: Config) -> None:
        self.zones, self.kinds = config.zone_numbers, config.kind_numbers
        self.start_times = StartTimes()
        self.entries: dict[str, Mapping[str, Any]] = {}  # the list as discovery has told it by now
        self.version = 0

    def server(self, entry: Mapping[str, Any]) -> Endpoint:
        return Endpoint(
            name=str(entry["instanceId"]),
            zone=self.zones.get(entry.get("zone"), -1),
            kind=self.kinds.get(entry.get("machineType"), -1),
            cell=int(entry.get("cell") or 0),
            # In a state that we do not know it is not said to serve: nothing new goes there.
            state=STATES.get(entry.get("lifecycle"), EndpointState.DRAINING),
            relative_capacity=float(entry.get("weight") or 1.0),
            started_us=self.start_times.started_us(
                str(entry["instanceId"]), float(entry.get("startedAtMs") or 0)
            ),
        )

    def news(self, value: Mapping[str, Any], kind: EndpointListKind | None = None) -> News:
        """A list or changes to it; an entry that makes no sense is passed over."""
        kind = kind or (EndpointListKind.FULL if value.get("reset") else EndpointListKind.CHANGES)
        servers, addresses = [], {}
        version = int(value["generation"])
        kept: dict[str, Mapping[str, Any]] = {}
        for entry in value["instances"]:
            try:
                server = self.server(entry)
                # One that is gone needs no address, and must be heard of in any case.
                if server.state is not EndpointState.GONE:
                    addresses[server.name] = read_backend(entry["hostPort"])
            except (KeyError, TypeError, ValueError, ArithmeticError, AttributeError, ConfigError) as error:
                log.error("passed over an entry of the list: %.200r: %s", entry, error)
                continue
            servers.append(server)
            kept[server.name] = entry
        self._keep(kept, kind)
        self.version = version
        if kind is not EndpointListKind.SAVED:
            self.start_times.confirm()
        return News(EndpointList(kind, version, tuple(servers)), addresses)

    def _keep(self, told: Mapping[str, Mapping[str, Any]], kind: EndpointListKind) -> None:
        if kind is not EndpointListKind.CHANGES:
            self.entries = {}
        for name, entry in told.items():
            if entry.get("lifecycle") == "DELETED":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry

    def adopt_starts(self, known: Mapping[str, Any], started_us: Mapping[str, int]) -> None:
        """Go on from the starts that a predecessor process reckoned for the entries of its list."""
        self.start_times.adopt(
            (name, KnownStart(float(entry.get("startedAtMs") or 0), started_us[name]))
            for entry in known["instances"]
            if (name := entry["instanceId"]) in started_us
        )

    def known(self) -> dict[str, Any]:
        """The whole list in discovery's form."""
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}


class Values:
    """Puts JSON values together of the lines of a watch. Each stands on one, or indented on several."""

    def __init__(self, take: Callable[[Any], None]) -> None:
        self.take, self.lines, self.depth, self.size = take, list[bytes](), 0, 0

    def feed(self, line: bytes) -> None:
        """A line that is not empty; a ValueError where it makes no sense."""
        if not self.lines:
            try:
                value = json.loads(line)
            except json.JSONDecodeError as error:
                if error.pos < len(error.doc.rstrip()):
                    raise  # else it makes sense as far as it goes, and goes on in the next line
            else:
                self.take(value)
                return
        bare = TEXT.sub(b"", line)
        self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        self.lines.append(line)
        self.size += len(line)
        if self.size > MOST_LINE:
            raise ValueError("a value without an end")
        if self.depth <= 0:
            text, self.lines, self.size = b"\n".join(self.lines), [], 0
            self.take(json.loads(text))


class WatchConnection(asyncio.Protocol):
    """One watch, from its request to the end of its connection."""

    def __init__(
        self,
        target: str,
        host: str,
        value: Callable[[Any], None],
        spoke: Callable[["WatchConnection"], None],
        account: Account,
        confirmed: Callable[[], None] = lambda: None,
    ) -> None:
        self.account, self.confirmed = account, confirmed
        self.target, self.host, self.values, self.spoke = target, host, Values(value), spoke
        self.http = h11.Connection(h11.CLIENT)
        self.buffer = bytearray()
        self.opened = self.heard = time.monotonic()  # when it was, and when anything came last
        self.spoken = self.spoiled = False  # whether it was taken, and whether it brought what makes no sense
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        self.heard = time.monotonic()
        was = self.account.enter(Place.DISCOVERY)
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
        except MALFORMED as error:
            log.error("the watch brings what makes no sense: %s", error)
            self.spoiled = True
            self.close()
        finally:
            self.account.leave(was)

    def eof_received(self) -> None:
        """The other side has ended the connection, which an answer that states no length ends with.

        A reset is no such end: what is left then of a value is dropped.
        """
        with contextlib.suppress(h11.ProtocolError):  # cut off amid a chunk: nothing was whole
            self.http.receive_data(b"")
            if isinstance(self.http.next_event(), h11.EndOfMessage):
                self.take_last_line()

    def take_last_line(self) -> None:
        try:
            if self.buffer.strip():
                self.values.feed(bytes(self.buffer))
        except MALFORMED as error:
            log.error("the watch ends with what makes no sense: %s", error)
            self.spoiled = True

    def take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            if event.status_code != 200:
                raise ValueError(f"status {event.status_code}")
            self.spoken = True
            self.spoke(self)
        if isinstance(event, h11.Data):
            self.buffer += event.data
            *lines, rest = self.buffer.split(b"\n")
            self.buffer = rest
            for line in lines:
                if line.strip():
                    self.values.feed(bytes(line))
                else:
                    self.confirmed()
            if len(rest) > MOST_LINE:
                raise ValueError("a line without an end")
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def has_unread(self) -> bool:
        """Whether bytes have come that were not read yet."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and socket_inspection.unread(transport)

    def close(self) -> None:
        if self.transport:
            self.transport.abort()


class Discovery:
    """Keeps a watch open and hands on its news as soon as it has been written.

    The watch before the one that is open is kept until that one speaks: it may still bring what the other
    does not, as in a move to another address, or be the one that is answered when an outage ends.
    """

    def __init__(
        self,
        address: Address,
        catalog: Catalog,
        version: int,
        heard: Callable[[News], None],
        seed: int = 0,
        doors: int = 1,
        account: Account | None = None,
        pushed: bool = True,
    ) -> None:
        self.account = account or Account()
        self.address, self.catalog, self.version, self.heard = address, catalog, version, heard
        self.random, self.pushed = random.Random(seed), pushed
        self.first, self.spoke = asyncio.Event(), asyncio.Event()  # a list came; a watch was taken
        self.least_s = max(BACKOFF_S, CALL_S * doors / 2)
        self.is_small_tier = doors <= SMALL_TIER
        self.backoff_s = self.least_s
        self.connection: WatchConnection | None = None
        self.before: WatchConnection | None = None
        self.moved, self.moved_s = asyncio.Event(), -MOVED_S
        self.last_s = time.monotonic()  # when anything came of a watch before these; our start, if nothing

    def move(self, address: Address) -> None:
        """Watch at another address from now on; what the old one has told still holds."""
        if address != self.address:
            self.address, self.moved_s = address, time.monotonic()
            self.backoff_s = min(self.least_s, MOST_BACKOFF_S)
            self.moved.set()

    def heard_s(self) -> float:
        """When discovery last gave a sign of life."""
        spoken = [one.heard for one in (self.connection, self.before) if one and one.spoken]
        self.last_s = max([self.last_s, *spoken])
        return self.last_s

    def has_unread(self) -> bool:
        """Whether a watch has bytes that were not read yet, which may say that a server leaves."""
        watches = (self.connection, self.before)
        return any(watch is not None and watch.has_unread() for watch in watches)

    def told(self, value: Any) -> None:  # noqa: ANN401 - whatever discovery sends
        """A whole value. Where it fails, the version stays, and the next watch brings it again."""
        news = self.catalog.news(value)
        self.version, self.backoff_s = news.event.version, self.least_s
        self.heard(news)
        self.first.set()

    def taken(self, connection: WatchConnection) -> None:
        """It speaks: from now on it brings all that there is."""
        self.spoke.set()
        if self.before and connection is not self.before:
            self.heard_s()
            self.before.close()
            self.before = None

    def keep(self, connection: WatchConnection) -> None:
        """Keep one of the two beside the next: the one that may still bring something, else the newer."""
        self.heard_s()
        before, ended = self.before, connection.ended.done()
        lives = before and not before.ended.done()
        if lives and (ended or (before.spoken and before.heard > connection.opened)):
            connection.close()
            return
        if before:
            before.close()
        self.before = None if ended else connection

    async def run(self) -> None:
        try:
            while True:
                wait_s = 2 * self.backoff_s * self.random.random()
                try:
                    wait_s = await self.watch()
                except (OSError, TimeoutError) as error:
                    log.warning("no watch on discovery: %s", error or "it does not answer")
                    if is_local(error):
                        wait_s = min(wait_s, MOST_BACKOFF_S * self.random.random())
                except Exception:
                    log.exception("the watch on discovery failed")  # else the list would grow old unseen
                # An agent on this machine that fails, refuses or rejects a watch is overbooked by nobody, and
                # what it hears meanwhile counts as told.
                if self.pushed:
                    wait_s = min(wait_s, MOST_BACKOFF_S * self.random.random())
                elif self.is_small_tier:
                    wait_s = min(wait_s, MOST_TOLD_WAIT_S * self.random.random())
                if wait_s > AT_ONCE_S and time.monotonic() - self.moved_s < MOVED_S:
                    least_s = 2 * BACKOFF_S if self.pushed else MOST_BACKOFF_S
                    wait_s = min(wait_s, least_s * self.random.random())
                self.backoff_s = min(max(MOST_BACKOFF_S, MOST_DOUBLED * self.least_s), self.backoff_s * 2)
                await self.pause(wait_s)
        finally:
            for connection in (self.before, self.connection):
                if connection:
                    connection.close()

    async def pause(self, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.moved.wait(), wait_s)

    async def watch(self) -> float:
        """One watch, until it ends, is silent for too long or another address holds; how long to wait."""
        self.moved.clear()
        host, port = self.address
        target, name = f"/catalog/members?watch=1&after={self.version}", f"{host}:{port}"
        async with asyncio.timeout(CONNECT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: WatchConnection(
                    target, name, self.told, self.taken, self.account, self.catalog.start_times.confirm
                ),
                host,
                port,
            )
        self.connection = connection
        try:
            return await self.next_in(connection)
        finally:
            self.connection = None
            self.keep(connection)

    async def next_in(self, connection: WatchConnection) -> float:
        """Wait for what ends the watch; how long the next one has to."""
        moved = asyncio.ensure_future(self.moved.wait())
        try:
            while not connection.ended.done() and not self.moved.is_set():
                left = connection.heard + SILENT_S - time.monotonic()
                if left <= 0:
                    log.warning("the watch on discovery is silent")
                    break
                await asyncio.wait(
                    [connection.ended, moved], timeout=left, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            moved.cancel()
        if self.moved.is_set():
            return 0.0
        lasted_s, by_chance = time.monotonic() - connection.opened, self.random.random()
        silent = not connection.ended.done()
        if self.pushed and not connection.spoiled and (silent or connection.spoken or lasted_s >= LASTED_S):
            return max(AT_ONCE_S - lasted_s, AT_ONCE_S * by_chance)
        if silent and connection.spoken:
            return AFTER_SILENCE_S * by_chance
        return 2 * self.backoff_s * by_chance
