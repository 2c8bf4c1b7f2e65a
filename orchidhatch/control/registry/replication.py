"""Replicates the endpoint list of an upstream service into the store of this one.

An agent replicates from the registries on behalf of its gateway. A registry that was started with --follow
replicates from another one so that it can replace it. A replica never goes back: it rejects a list of an
earlier term, or of an earlier generation of the same store.
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

INITIAL_BACKOFF_S = 0.2  # mean wait before the first retry; doubles with each one
MAX_BACKOFF_S = 8.0
POSITION_SAVE_INTERVAL_S = 10.0  # while the list is unchanged; each change is saved at once

WATCH_ERRORS = (OSError, TimeoutError, InvalidRequestError, StoreError, h11.ProtocolError)


class StaleUpstreamError(Exception):
    """An upstream sent an older list than one received before."""


def current_time_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Replicator:
    """Keeps a server's store in line with one of several upstream services, switching to the next on failure.

    `persistence` decides what must be on disk before the list is published; by default, all of it.
    `include_leases` requests incarnations and leases too, which the basic form of the protocol lacks. The
    server's metrics and health read the public attributes; only the replicator writes them.
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
        """The service that is watched now, or will be watched next."""
        return self.upstreams[self._upstream_index]

    @property
    def upstream(self) -> str:
        """The upstream's address as host:port."""
        return format_address(self.upstream_address)

    @property
    def has_list(self) -> bool:
        """Whether a list has ever been received."""
        return self.position.confirmed_at_ms > 0

    def silence_s(self) -> float:
        """Return the seconds since the last line, or since the start, by the monotonic clock."""
        return time.monotonic() - self._last_line_received_s

    def list_age_s(self) -> float:
        """Return the seconds since the list was last confirmed as current, by the wall clock; -1 if never."""
        if not self.has_list:
            return -1.0
        return max(0, self.wall_clock_ms() - self.position.confirmed_at_ms) / 1000

    def highest_term(self) -> int:
        """Return the highest known term; a store created from this list needs a higher one."""
        return max(self._server.store.term, term_of(self.position.store_name))

    def was_promoted(self) -> bool:
        """Return whether the store has begun a term of its own since it last received a list."""
        upstream_store = self.position.store_name
        return bool(upstream_store) and self._server.store.term > term_of(upstream_store)

    def upstream_may_run(self) -> bool:
        """Return whether the upstream's process may still run: False only if it refuses a connection.

        Blocks for up to CONNECT_TIMEOUT_S, so it should be called in another thread.
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
        """Watch one upstream after another, with a jittered exponential backoff, until cancelled."""
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
        """Process the events of one watch until it fails."""
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
                f"the list is of term {term_of(store_name)}, below the known term {self.highest_term()}"
            )

    async def _handle_line(self, store_name: str, line: bytes) -> None:
        """Handle a watch event or an empty line; both confirm that the received list is current."""
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
        """Apply a watch event to the list here, with the durability that `persistence` provides.

        Raises InvalidRequestError, StaleUpstreamError or StoreError; the list is unchanged then.
        """
        event = decode_watch_event(line)
        is_new_store = store_name != self.position.store_name
        self._check_event(event, is_new_store)
        store = self._server.store
        generation_before = store.generation
        endpoints = list(self._decode_endpoints(event.instances))
        writes = self._writes_to_match(endpoints, event.reset)
        batch = store.plan(writes)
        has_skipped_generations = not await self._persistence.commit(batch)
        if has_skipped_generations:
            batch = store.plan(writes)
        self.position = UpstreamPosition(store_name, event.generation, self.wall_clock_ms())
        store.publish(batch)
        self.connected = True
        self._backoff_s = INITIAL_BACKOFF_S
        if is_new_store or store.generation != generation_before:
            self._server.broadcaster.broadcast(whole_list=is_new_store or has_skipped_generations)
        await self._server.store_executor.run(self._save_position)

    def _check_event(self, event: WatchEvent, is_new_store: bool) -> None:
        """Check that an event continues the list.

        Raises StaleUpstreamError if the event is older than the list here, InvalidRequestError if it has only
        the changes of a store whose list was not received.
        """
        if not is_new_store and event.generation < self.position.generation:
            self.stale_lists += 1
            raise StaleUpstreamError(
                f"the list is at generation {event.generation}, "
                f"below the received generation {self.position.generation}"
            )
        if is_new_store and not event.reset:
            raise InvalidRequestError("the upstream sent only changes where the whole list is required")

    def _decode_endpoints(self, instances: Iterable[object]) -> Iterator[Endpoint]:
        """Yield the endpoints of an event; malformed ones are logged and skipped."""
        for value in instances:
            try:
                yield read_replicated_endpoint(value, include_leases=self._include_leases)
            except InvalidRequestError as error:
                self.malformed_endpoints += 1
                log.error("endpoint skipped: upstream=%s reason=%s", self.upstream, error)

    def _writes_to_match(self, endpoints: Sequence[Endpoint], reset: bool) -> list[Write]:
        """Return the writes that turn the list here into the received one."""
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
        """Save the position; after a failure the older one only causes more changes to be sent again."""
        self._saved_at_s = time.monotonic()
        if self._persistence.is_behind:
            return
        try:
            self._position_table.save(self.position)
        except sqlite3.Error as error:
            log.error("position not saved: generation=%d error=%s", self.position.generation, error)


def is_same_endpoint(known: Endpoint, received: Endpoint) -> bool:
    """Return whether a listed endpoint equals a received one in all received fields.

    The version is ignored, as it is a generation of this store. Incarnation and lease are ignored if the
    upstream did not send them.
    """
    expected = msgspec.structs.replace(received, version=known.version)
    if not received.incarnation:
        expected = msgspec.structs.replace(expected, incarnation=known.incarnation, lease_ms=known.lease_ms)
    return known == expected
