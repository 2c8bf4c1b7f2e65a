"""Watches of the endpoint list: their first line, the later events, and heartbeats.

A line is encoded once for all watches at the same generation, because thousands of watches resume at the same
time after a restart.
"""

from typing import NamedTuple

from orchidhatch.control.http_connection import Connection, encode_chunk
from orchidhatch.control.registry.store import Store
from orchidhatch.control.responses import encode_watch_event
from orchidhatch.control.supervision import repeat

HEARTBEAT_INTERVAL_S = 2.0  # between empty lines on each watch, as the protocol requires
HEARTBEAT_CHUNK = encode_chunk(b"\n")
MAX_CACHED_LINES = 64  # each as long as the whole list at most
WHOLE_LIST = -1  # used instead of a generation if none is known


class LineKey(NamedTuple):
    """The key of a cached line within one version of the list."""

    after: int
    include_leases: bool


class ListVersion(NamedTuple):
    """The version of the list from which the cached lines were encoded."""

    identity: str
    term: int
    generation: int


class Watch:
    """The state of one watch, which was sent the list as of `generation`."""

    def __init__(self, generation: int, include_leases: bool) -> None:
        self.generation = generation
        self.include_leases = include_leases


class WatchBroadcaster:
    """All watches of one store's list.

    No watches are accepted while `is_suspended`. `aborted` counts the watches that were too slow to read.
    """

    def __init__(self, store: Store) -> None:
        self.watches: dict[Connection, Watch] = {}
        self.aborted = 0
        self.is_suspended = False
        self._store = store
        self._cached_version: ListVersion | None = None
        self._cached_lines: dict[LineKey, bytes] = {}

    def add(self, connection: Connection, after: int, include_leases: bool) -> None:
        """Begin a watch with the changes after a generation, or with the whole list if they are not known.

        Generation 0 means that the client has no list.
        """
        self.watches[connection] = Watch(self._store.generation, include_leases)
        connection.begin_watch(self.line(after or WHOLE_LIST, include_leases))

    def remove(self, connection: Connection) -> None:
        """Remove a watch that has ended; other connections are ignored."""
        self.watches.pop(connection, None)

    def line(self, after: int, include_leases: bool = False) -> bytes:
        """Return the line with the changes after a generation, or the whole list if history lacks them."""
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
        """Send all watches the changes since their generations, or the whole list.

        Most of thousands of watches are at the same generation, so each chunk is encoded only once.
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
        """Send a chunk to one watch; a watch that reads too slowly is aborted."""
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
        """Close all watches after the data that was sent to them has been written."""
        for connection in list(self.watches):
            connection.transport.close()

    async def send_heartbeats(self) -> None:
        """Send an empty line to all watches at intervals, until cancelled."""
        await repeat("heartbeats", HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        for connection in list(self.watches):
            self.send(connection, HEARTBEAT_CHUNK)
