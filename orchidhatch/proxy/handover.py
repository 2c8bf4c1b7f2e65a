"""Taking over from a process that serves already, and giving over to the next: one front door meanwhile.

The one that serves listens at a Unix socket in the directory that both share. A new process asks there for
the state, goes on from it, serves, and says so; then the old one lets go of the addresses. As long as the
connection lives, each tells the other what the module spends, sends and hears of.
Lines of JSON; what is malformed, too long or of another version ends the connection, and the start is that
of a restart.
"""

import asyncio
import json
import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Protocol

from orchidhatch.gateway.codec import HANDOVER_MESSAGES, HANDOVER_NAMES, plain, read_plain
from orchidhatch.gateway.events import Event, HandoverPeerGone
from orchidhatch.gateway.snapshots import GatewaySnapshot, HandoverMessage

log = logging.getLogger(__name__)

VERSION = 1
MOST_LINE = 8 << 20  # bytes: some ten thousand customers
MOST_UNSENT = 8 << 20  # bytes; who does not read this much any more is taken for gone
ANSWER_S = 2.0  # for the state to come, and for the addresses to be let go
AGAIN_S, TRIES = 0.25, 20  # while the other is itself still taking over
COUNT_S = 0.2  # how often the old process tells how many sockets it still has

Heard = Callable[["Link", str, Mapping[str, Any]], None]


class Door(Protocol):
    """What of the front door is asked here."""

    def memory(self) -> dict[str, Any]: ...
    def resume(self, state: GatewaySnapshot, known: Mapping[str, Any]) -> None: ...
    def release(self) -> None: ...
    def twin_heard(self, event: Event) -> None: ...
    def sockets(self) -> tuple[int, int]: ...
    def others(self, clients: int, backends: int) -> None: ...


class Link(asyncio.Protocol):
    """A connection between the two processes."""

    def __init__(self, heard: Heard, lost: Callable[["Link"], None]) -> None:
        self.heard, self.lost, self.buffer = heard, lost, bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def say(self, word: str, **more: object) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(json.dumps({"version": VERSION, "say": word, **more}).encode() + b"\n")
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            log.error("the other process reads nothing any more")
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        try:
            if len(rest) > MOST_LINE:
                raise ValueError("too long a line")
            for line in lines:
                said = json.loads(line)
                if said["version"] != VERSION:
                    raise ValueError(f"version {said['version']!r} is not known here")
                self.heard(self, said["say"], said)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            log.error("no sound hand-over: %.200s", error)
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.lost(self)


class Twin:
    """The other process that is this front door too, before and after: at most one at a time."""

    def __init__(self, door: Door, path: Path) -> None:
        self.door, self.path = door, path
        self.link: Link | None = None
        self.resumed, self.released, self.ended = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self.refused = False
        self.server: asyncio.Server | None = None

    # --- the new process ---

    async def take_over(self) -> bool:
        """Go on from the state of the process that serves; False if there is none, or none that is sound."""
        for _ in range(TRIES):
            self.refused = False
            self.ended.clear()
            try:
                _, link = await asyncio.get_running_loop().create_unix_connection(
                    lambda: Link(self.heard, self.lost), str(self.path)
                )
            except (FileNotFoundError, ConnectionRefusedError):
                return False  # nobody serves
            except OSError as error:
                log.error("no hand-over: %s", error)
                return False
            self.link = link
            link.say("take over")
            if await self.first(self.resumed, self.ended):
                return True
            link.transport.abort()
            if not self.refused:
                log.error("the process that serves gives no sound state; starting without")
                return False
            await asyncio.sleep(AGAIN_S)
        return False

    async def serve(self) -> None:
        """Tell the other that clients are served here now, and wait until it has let go of the addresses."""
        if self.link:
            self.link.say("serving")
            if not await self.first(self.released, self.ended):
                log.error("the old process did not say that it let go of the addresses")

    async def first(self, wanted: asyncio.Event, ended: asyncio.Event) -> bool:
        """Whether the one came in time, and not the other."""
        waits = [asyncio.ensure_future(event.wait()) for event in (wanted, ended)]
        await asyncio.wait(waits, timeout=ANSWER_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return wanted.is_set()

    # --- the old process ---

    async def offer(self) -> None:
        """Listen for the next process; the path is replaced at once, as the old process may still hold it."""
        fresh = self.path.with_suffix(f".{os.getpid()}")
        try:
            fresh.unlink(missing_ok=True)
            self.server = await asyncio.get_running_loop().create_unix_server(
                lambda: Link(self.heard, self.lost), str(fresh)
            )
            fresh.chmod(0o600)
            fresh.replace(self.path)
        except OSError as error:
            log.error("cannot offer a hand-over: %s", error)

    def count(self) -> None:
        """Tell how many sockets are still held here: the limit is that of both processes together."""
        if self.link:
            self.link.say("sockets", count=self.door.sockets())
            asyncio.get_running_loop().call_later(COUNT_S, self.count)

    # --- both ---

    def heard(self, link: Link, word: str, said: Mapping[str, Any]) -> None:
        if word == "take over":
            if self.link:
                link.say("not now")
                return
            self.link = link
            link.say("state", **self.door.memory())
        elif link is not self.link:
            raise ValueError(f"'{word:.20}' comes before its time")
        elif word == "not now":
            self.refused = True
            self.ended.set()
        elif word == "state":
            state, known = read_plain(GatewaySnapshot, said["state"]), said["known"]
            self.sockets_heard(said)
            self.door.resume(state, known)
            self.resumed.set()
        elif word == "serving":
            self.door.release()
            link.say("released")
            self.count()
        elif word == "released":
            self.released.set()
        elif word == "sockets":
            self.sockets_heard(said)
        else:
            self.door.twin_heard(read_plain(HANDOVER_MESSAGES[word], said["record"]))

    def sockets_heard(self, said: Mapping[str, Any]) -> None:
        clients, backends = read_plain(tuple[int, ...], said["count"])
        self.door.others(max(0, clients), max(0, backends))

    def tell(self, action: HandoverMessage) -> None:
        if self.link:
            self.link.say(HANDOVER_NAMES[type(action)], record=plain(action))

    def lost(self, link: Link) -> None:
        if link is self.link:
            self.link = None
            self.ended.set()
            self.door.others(0, 0)
            self.door.twin_heard(HandoverPeerGone())

    def close(self) -> None:
        if self.server:
            self.server.close()
        if self.link:
            self.link.transport.close()
