"""The watch on discovery for changes of the endpoint list, kept open while the process runs."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable
from typing import Any

from orchidhatch.proxy.config import Address
from orchidhatch.proxy.cpu_accounting import CpuAccounting
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader, EndpointUpdate
from orchidhatch.proxy.local_errors import is_local
from orchidhatch.proxy.watch_backoff import (
    IMMEDIATE_RETRY_S,
    MAX_SHORT_BACKOFF_S,
    MIN_BACKOFF_S,
    WatchBackoff,
)
from orchidhatch.proxy.watch_connection import WatchConnection

log = logging.getLogger(__name__)

SILENCE_LIMIT_S = 5.0
"""Heartbeats come every 2 s; a watch without any data for longer than this is considered dead."""
CONNECT_TIMEOUT_S = 1.0
MOVE_GRACE_S = 4.0
"""How long retries are fast after a change of address; by then the new address's list must be known."""


class EndpointWatcher:
    """Keeps a watch open and passes on its updates.

    The previous watch is kept until the current one is accepted: after a change of address it may still bring
    updates that the new one does not, and after an outage it may be the one that is answered.
    """

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        version: int,
        on_update: Callable[[EndpointUpdate], None],
        seed: int = 0,
        gateway_count: int = 1,
        account: CpuAccounting | None = None,
        is_agent: bool = True,
    ) -> None:
        self.address = address
        self.reader = reader
        self.version = version
        self.on_update = on_update
        self.account = account or CpuAccounting()
        self.is_agent = is_agent
        """Whether discovery is an agent on this machine, to which endpoint lists are pushed."""
        self.backoff = WatchBackoff(seed, gateway_count, is_agent)
        self.has_update = asyncio.Event()
        self.has_accepted_watch = asyncio.Event()
        self.current: WatchConnection | None = None
        self.previous: WatchConnection | None = None
        self.address_changed = asyncio.Event()
        self.address_changed_s = -MOVE_GRACE_S
        self.last_received_s = time.monotonic()
        """When a watch before the current and the previous one last received data; initially the start."""

    def move(self, address: Address) -> None:
        """Watch at another address from now on; the list that came from the old one stays valid."""
        if address != self.address:
            self.address = address
            self.address_changed_s = time.monotonic()
            self.backoff.shorten()
            self.address_changed.set()

    def last_sign_of_life_s(self) -> float:
        """Return when an accepted watch last received data, on the monotonic clock."""
        watches = (self.current, self.previous)
        received_s = [watch.last_received_s for watch in watches if watch and watch.was_accepted]
        self.last_received_s = max([self.last_received_s, *received_s])
        return self.last_received_s

    def has_unread(self) -> bool:
        """Return whether a watch has unread bytes, which may announce that a backend is draining."""
        watches = (self.current, self.previous)
        return any(watch is not None and watch.has_unread() for watch in watches)

    # --- callbacks of a watch ---

    def _on_value(self, value: Any) -> None:  # noqa: ANN401 - any JSON
        """Apply an update. If that fails, the version stays, and the next watch brings the update again."""
        update = self.reader.read(value)
        self.version = update.event.version
        self.backoff.reset()
        self.on_update(update)
        self.has_update.set()

    def _on_accepted(self, watch: WatchConnection) -> None:
        """Close the previous watch, which the accepted one replaces."""
        self.has_accepted_watch.set()
        if self.previous and watch is not self.previous:
            self.last_sign_of_life_s()
            self.previous.close()
            self.previous = None

    # --- successive watches ---

    async def run(self) -> None:
        """Keep a watch open until the task is cancelled."""
        try:
            while True:
                wait_s = self._limit_wait(await self._watch_once())
                self.backoff.double()
                await self.pause(wait_s)
        finally:
            for watch in (self.previous, self.current):
                if watch:
                    watch.close()

    async def _watch_once(self) -> float:
        """Run one watch, or fail to open it; return the wait before the next one, in seconds."""
        wait_s = self.backoff.draw_wait()
        try:
            return await self.watch()
        except (OSError, TimeoutError) as error:
            log.warning("endpoint watch not opened: %s", error or "connect timed out")
            if is_local(error):
                return self.backoff.limit_wait(wait_s, MAX_SHORT_BACKOFF_S)
        except Exception:
            log.exception(
                "endpoint watch failed"
            )  # caught, as the list would become outdated without a watch
        return wait_s

    def _limit_wait(self, wait_s: float) -> float:
        """Limit a wait for this tier, and further after a recent change of address."""
        wait_s = self.backoff.limit_for_tier(wait_s)
        has_moved_recently = time.monotonic() - self.address_changed_s < MOVE_GRACE_S
        if wait_s > IMMEDIATE_RETRY_S and has_moved_recently:
            limit_s = 2 * MIN_BACKOFF_S if self.is_agent else MAX_SHORT_BACKOFF_S
            return self.backoff.limit_wait(wait_s, limit_s)
        return wait_s

    async def pause(self, wait_s: float) -> None:
        """Wait for `wait_s` seconds, or until the address changes."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.address_changed.wait(), wait_s)

    async def watch(self) -> float:
        """Run one watch until it ends, is silent for too long or the address changes.

        Returns the wait before the next one, in seconds. Raises OSError or TimeoutError if it cannot connect.
        """
        self.address_changed.clear()
        host, port = self.address
        target = f"/catalog/members?watch=1&after={self.version}"
        heartbeat = self.reader.start_times.confirm
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, watch = await asyncio.get_running_loop().create_connection(
                lambda: WatchConnection(
                    target, f"{host}:{port}", self._on_value, self._on_accepted, self.account, heartbeat
                ),
                host,
                port,
            )
        self.current = watch
        try:
            return await self._wait_for_end(watch)
        finally:
            self.current = None
            self._retain_previous(watch)

    async def _wait_for_end(self, watch: WatchConnection) -> float:
        """Wait until the watch must be replaced; return the wait before the next one, in seconds."""
        address_changed = asyncio.ensure_future(self.address_changed.wait())
        try:
            while not watch.has_ended() and not self.address_changed.is_set():
                remaining_s = watch.last_received_s + SILENCE_LIMIT_S - time.monotonic()
                if remaining_s <= 0:
                    log.warning("endpoint watch silent; replacing it")
                    break
                await asyncio.wait(
                    [watch.ended, address_changed], timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            address_changed.cancel()
        if self.address_changed.is_set():
            return 0.0
        return self.backoff.draw_after_watch(
            lasted_s=time.monotonic() - watch.opened_s,
            is_silent=not watch.has_ended(),
            was_accepted=watch.was_accepted,
            was_malformed=watch.was_malformed,
        )

    def _retain_previous(self, watch: WatchConnection) -> None:
        """Keep the last watch as `previous`, unless it has ended or the older one still receives data."""
        self.last_sign_of_life_s()
        previous = self.previous
        if previous and not previous.has_ended():
            is_alive = previous.was_accepted and previous.last_received_s > watch.opened_s
            if watch.has_ended() or is_alive:
                watch.close()
                return
        if previous:
            previous.close()
        self.previous = None if watch.has_ended() else watch
