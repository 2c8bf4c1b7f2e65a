"""Watches of the endpoint list: the first line of each, the events that follow, and heartbeats.

A line is encoded once for all watches that know the same generation, as thousands of them resume together
after a restart.
"""

from typing import NamedTuple

from orchidhatch.control.http_connection import Connection, encode_chunk
from orchidhatch.control.registry.store import Store
from orchidhatch.control.responses import encode_watch_event
from orchidhatch.control.supervision import repeat

HEARTBEAT_INTERVAL_S = 2.0  # between empty lines to each watch, by the protocol
HEARTBEAT_CHUNK = encode_chunk(b"\n")
MAX_CACHED_LINES = 64  # each of them the whole list at most
WHOLE_LIST = -1  # in place of a generation, where none is known


class LineKey(NamedTuple):
    """What distinguishes one line from another of the same generation of the list."""

    after: int
    include_leases: bool


class ListVersion(NamedTuple):
    """The state of the list that lines were encoded from."""

    identity: str
    term: int
    generation: int


class Watch:
    """What one watch was sent: the list as of `generation`."""

    def __init__(self, generation: int, include_leases: bool) -> None:
        self.generation = generation
        self.include_leases = include_leases


class WatchBroadcaster:
    """All watches of one store's list. `is_suspended`: no watches are accepted; `aborted` counts those that
    read too slowly.
    """

    def __init__(self, store: Store) -> None:
        self.watches: dict[Connection, Watch] = {}
        self.aborted = 0
        self.is_suspended = False
        self._store = store
        self._cached_version: ListVersion | None = None
        self._cached_lines: dict[LineKey, bytes] = {}

    def add(self, connection: Connection, after: int, include_leases: bool) -> None:
        """Begin a watch with what changed after a generation, or else with the whole list.

        Generation 0 says that the client knows none.
        """
        self.watches[connection] = Watch(self._store.generation, include_leases)
        connection.begin_watch(self.line(after or WHOLE_LIST, include_leases))

    def remove(self, connection: Connection) -> None:
        """Forget a watch that has ended, if it is one."""
        self.watches.pop(connection, None)

    def line(self, after: int, include_leases: bool = False) -> bytes:
        """What changed after a generation, or the whole list where the history does not tell."""
        version = ListVersion(self._store.identity, self._store.term, self._store.generation)
        if self._cached_version != version:
            self._cached_version = version
            self._cached_lines.clear()
        changes = None if after == WHOLE_LIST else self._store.changes_after(after)
        key = LineKey(WHOLE_LIST if changes is None else after, include_leases)
        if key not in self._cached_lines:
            if len(self._cached_lines) >= MAX_CACHED_LINES:
                self._cached_lines.clear()
            endpoints = self._store.entries.values() if changes is None else changes
            is_whole = changes is None
            self._cached_lines[key] = encode_watch_event(
                self._store.generation, is_whole, endpoints, include_leases
            )
        return self._cached_lines[key]

    def broadcast(self, whole_list: bool = False) -> None:
        """Send all watches what they have not been sent yet, or the whole list.

        Most of thousands of watches know the same generation, so each chunk is made once.
        """
        generation = self._store.generation
        chunks: dict[LineKey, bytes] = {}
        for connection, watch in list(self.watches.items()):
            key = LineKey(WHOLE_LIST if whole_list else watch.generation, watch.include_leases)
            chunk = chunks.get(key)
            if chunk is None:
                chunk = encode_chunk(self.line(key.after, key.include_leases))
                chunks[key] = chunk
            watch.generation = generation
            self.send(connection, chunk)

    def send(self, connection: Connection, chunk: bytes) -> None:
        """Send one watch a chunk."""
        if not connection.send_chunk(chunk):
            self.aborted += 1

    def suspend(self) -> None:
        """End all watches and accept none until `resume`."""
        self.is_suspended = True
        self.close_all()

    def resume(self) -> None:
        """Accept watches again."""
        self.is_suspended = False

    def close_all(self) -> None:
        """End all watches once what they were sent has been read."""
        for connection in list(self.watches):
            connection.transport.close()

    async def send_heartbeats(self) -> None:
        """Send empty lines until cancelled."""
        await repeat("heartbeats", HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        for connection in list(self.watches):
            self.send(connection, HEARTBEAT_CHUNK)
