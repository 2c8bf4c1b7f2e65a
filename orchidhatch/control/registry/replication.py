"""Replicates the endpoint list of an upstream service into the store of this one.

An agent replicates from registries for its gateway; a registry that was started with --follow replicates from
another one to be able to replace it. A replica only goes forward: a list of an earlier term, or of an earlier
generation of the same store, is not taken over.
"""

import asyncio
import logging
import random
import socket
import sqlite3
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import aclosing
from dataclasses import replace

import h11
import msgspec

from orchidhatch.control.errors import InvalidRequestError, StoreError
from orchidhatch.control.http_client import Address, format_address
from orchidhatch.control.http_response import term_of
from orchidhatch.control.http_server import EndpointListServer
from orchidhatch.control.registry.batch import Write
from orchidhatch.control.registry.endpoints import Endpoint, RemoveEndpoint, ReplicateEndpoint
from orchidhatch.control.registry.list_persistence import DurableList, ListPersistence
from orchidhatch.control.registry.upstream_position import UpstreamPosition, UpstreamPositionTable
from orchidhatch.control.registry.watch_client import (
    CONNECT_TIMEOUT_S,
    WatchEvent,
    connect_watch,
    decode_watch_event,
)
from orchidhatch.control.schemas import read_replicated_endpoint

log = logging.getLogger("orchidhatch.replication")

INITIAL_BACKOFF_S = 0.2  # of the mean wait between attempts; it doubles
MAX_BACKOFF_S = 8.0
POSITION_SAVE_INTERVAL_S = 10.0  # how often it is saved that the list still holds

WATCH_ERRORS = (OSError, TimeoutError, InvalidRequestError, StoreError, h11.ProtocolError)


class StaleUpstreamError(Exception):
    """An upstream offers an older list than one that was received before."""


def current_time_ms() -> int:
    """Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Replicator:
    """Keeps a server's store as one of several upstream services tells it, and switches where one fails.

    `persistence` says what has to be on disk before the list is shown; all of it, if not given.
    `include_leases` asks for incarnations and leases too, which the protocol's form has not. The server's
    metrics and health read the public attributes; only the replicator writes them.
    """

    def __init__(
        self,
        server: EndpointListServer,
        upstreams: Sequence[Address],
        include_leases: bool = False,
        wall_clock_ms: Callable[[], int] = current_time_ms,
        persistence: ListPersistence | None = None,
    ) -> None:
        self._server = server
        self._include_leases = include_leases
        self._random: random.Random = server.random
        self._position_table = UpstreamPositionTable(server.store.db)
        self.wall_clock_ms = wall_clock_ms
        self.upstreams = list(upstreams)
        self._upstream_index = 0
        self.position = self._position_table.load()
        self._saved_at_s = time.monotonic()
        self._persistence = persistence or DurableList(server)
        self._last_line_received_s = time.monotonic()
        self._backoff_s = INITIAL_BACKOFF_S
        self.connected = False
        self.upstream_switches = 0
        self.stale_lists = 0
        self.malformed_endpoints = 0

    # --- state for the server ---

    @property
    def upstream_address(self) -> Address:
        """The service that is watched, or is the next to be watched."""
        return self.upstreams[self._upstream_index]

    @property
    def upstream(self) -> str:
        """The same as host:port."""
        return format_address(self.upstream_address)

    @property
    def has_list(self) -> bool:
        """Whether a list was ever received."""
        return self.position.confirmed_at_ms > 0

    def silence_s(self) -> float:
        """Time since the last line, or since the start, by the monotonic clock."""
        return time.monotonic() - self._last_line_received_s

    def list_age_s(self) -> float:
        """Time since the list was last known to hold, by the wall clock; -1 if it never was."""
        if not self.has_list:
            return -1.0
        return max(0, self.wall_clock_ms() - self.position.confirmed_at_ms) / 1000

    def highest_term(self) -> int:
        """The highest term known: a store that is made from this list must be of a later one."""
        return max(self._server.store.term, term_of(self.position.store_name))

    def was_promoted(self) -> bool:
        """Whether the store has begun a term of its own since it last received a list."""
        upstream_store = self.position.store_name
        return bool(upstream_store) and self._server.store.term > term_of(upstream_store)

    def upstream_may_run(self) -> bool:
        """Whether a process may still be there: only a connection that is refused says that none is.

        This blocks for up to CONNECT_TIMEOUT_S and is meant for another thread.
        """
        try:
            socket.create_connection(self.upstream_address, CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True

    # --- the watch ---

    async def run(self) -> None:
        """Watch one upstream after the other, with a jittered exponential backoff, until cancelled."""
        while True:
            upstream = self.upstream
            try:
                await self._watch(self.upstream_address)
            except (*WATCH_ERRORS, StaleUpstreamError) as error:
                reason = str(error) or type(error).__name__
                log.warning("watch failed: upstream=%s reason=%s", upstream, reason)
            except Exception:
                log.exception("watch failed unexpectedly: upstream=%s", upstream)
            self.connected = False
            self._upstream_index = (self._upstream_index + 1) % len(self.upstreams)
            self.upstream_switches += 1
            await asyncio.sleep(2 * self._backoff_s * self._random.random())
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    async def _watch(self, address: Address) -> None:
        """Follow one watch until it fails."""
        target = f"/catalog/members?watch=1&after={self.position.generation}"
        if self._include_leases:
            target += "&leases=1"
        async with connect_watch(address) as connection:
            store_name = await connection.open_watch(address, target, self.position.store_name)
            self._check_term(store_name)
            async with aclosing(connection.lines()) as lines:
                async for line in lines:
                    await self._handle_line(store_name, line)

    def _check_term(self, store_name: str) -> None:
        if term_of(store_name) < self.highest_term():
            self.stale_lists += 1
            raise StaleUpstreamError(
                f"its list is of term {term_of(store_name)}, term {self.highest_term()} is known here"
            )

    async def _handle_line(self, store_name: str, line: bytes) -> None:
        """A watch event, or an empty line: either says that the list as received holds by now."""
        self._last_line_received_s = time.monotonic()
        if line.strip():
            await self.apply_event(store_name, line)
        if not self.connected:
            return
        self.position = replace(self.position, confirmed_at_ms=self.wall_clock_ms())
        await self._persistence.catch_up()
        if time.monotonic() - self._saved_at_s >= POSITION_SAVE_INTERVAL_S:
            await self._server.store_executor.run(self._save_position)

    async def apply_event(self, store_name: str, line: bytes) -> None:
        """Make the list here what a watch event tells, as durable as the persistence promises.

        Raises InvalidRequestError, StaleUpstreamError or StoreError; the list is then as it was.
        """
        event = decode_watch_event(line)
        is_new_store = store_name != self.position.store_name
        self._check_event(event, is_new_store)
        store = self._server.store
        generation_before = store.generation
        endpoints = list(self._decode_endpoints(event.instances))
        writes = self._writes_to_match(endpoints, event.reset)
        batch = store.plan(writes)
        is_skipped = not await self._persistence.commit(batch)
        if is_skipped:
            batch = store.plan(writes)
        self.position = UpstreamPosition(store_name, event.generation, self.wall_clock_ms())
        store.publish(batch)
        self.connected = True
        self._backoff_s = INITIAL_BACKOFF_S
        if is_new_store or store.generation != generation_before:
            self._server.broadcaster.broadcast(whole_list=is_new_store or is_skipped)
        await self._server.store_executor.run(self._save_position)

    def _check_event(self, event: WatchEvent, is_new_store: bool) -> None:
        """Raise an error where the event would take the list back, or is no base to go on from."""
        if not is_new_store and event.generation < self.position.generation:
            self.stale_lists += 1
            raise StaleUpstreamError(
                f"its list is at generation {event.generation}, "
                f"{self.position.generation} was received before"
            )
        if is_new_store and not event.reset:
            raise InvalidRequestError("changes were sent where the whole list was needed")

    def _decode_endpoints(self, instances: Iterable[object]) -> Iterator[Endpoint]:
        """The endpoints; a malformed one is skipped, and the others hold."""
        for value in instances:
            try:
                yield read_replicated_endpoint(value, include_leases=self._include_leases)
            except InvalidRequestError as error:
                self.malformed_endpoints += 1
                log.error("endpoint skipped: upstream=%s reason=%s", self.upstream, error)

    def _writes_to_match(self, endpoints: Sequence[Endpoint], reset: bool) -> list[Write]:
        """The writes that make the list here the one that was received."""
        writes: list[Write] = []
        listed = self._server.store.entries
        if reset:
            received_ids = {endpoint.id for endpoint in endpoints}
            writes += [RemoveEndpoint(id_) for id_ in listed if id_ not in received_ids]
        for endpoint in endpoints:
            known = listed.get(endpoint.id)
            if endpoint.is_deleted:
                writes += [RemoveEndpoint(endpoint.id)] if known else []
            elif known is None or not is_same_endpoint(known, endpoint):
                writes.append(ReplicateEndpoint(endpoint))
        return writes

    def _save_position(self) -> None:
        """Save how far the list goes; an older position only has more of the list sent again."""
        self._saved_at_s = time.monotonic()
        if self._persistence.is_behind:
            return
        try:
            self._position_table.save(self.position)
        except sqlite3.Error as error:
            log.error("position not saved: generation=%d error=%s", self.position.generation, error)


def is_same_endpoint(known: Endpoint, received: Endpoint) -> bool:
    """Whether they differ in nothing that was received.

    The version counts this store's generations. An endpoint in the protocol's form tells no incarnation.
    """
    expected = msgspec.structs.replace(received, version=known.version)
    if not received.incarnation:
        expected = msgspec.structs.replace(expected, incarnation=known.incarnation, lease_ms=known.lease_ms)
    return known == expected
