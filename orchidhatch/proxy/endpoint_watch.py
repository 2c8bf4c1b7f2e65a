"""The watch on discovery for changes of the endpoint list, kept open for as long as the process serves."""

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
"""A heartbeat comes every 2 s; a watch that is silent for longer than this is dead."""
CONNECT_TIMEOUT_S = 1.0
MOVE_GRACE_S = 4.0
"""After a change of discovery's address, what the new one has counts as known."""


class EndpointWatcher:
    """Keeps a watch open and hands on its updates.

    The watch before the one that is open is kept until that one is accepted: it may still bring what the
    other does not, as in a change of address, or be the one that is answered when an outage ends.
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
        """Whether discovery is an agent on this machine, which pushes lists."""
        self.backoff = WatchBackoff(seed, gateway_count, is_agent)
        self.has_update = asyncio.Event()
        self.has_accepted_watch = asyncio.Event()
        self.current: WatchConnection | None = None
        self.previous: WatchConnection | None = None
        self.address_changed = asyncio.Event()
        self.address_changed_s = -MOVE_GRACE_S
        self.last_received_s = time.monotonic()
        """When a watch before these two last received anything; the start, if none has."""

    def move(self, address: Address) -> None:
        """Watch at another address from now on; what came from the old one still holds."""
        if address != self.address:
            self.address = address
            self.address_changed_s = time.monotonic()
            self.backoff.shorten()
            self.address_changed.set()

    def last_sign_of_life_s(self) -> float:
        """When an accepted watch last received anything, by the monotonic clock."""
        watches = (self.current, self.previous)
        received_s = [watch.last_received_s for watch in watches if watch and watch.was_accepted]
        self.last_received_s = max([self.last_received_s, *received_s])
        return self.last_received_s

    def has_unread(self) -> bool:
        """Whether a watch has bytes that were not read yet, which may say that a backend is draining."""
        watches = (self.current, self.previous)
        return any(watch is not None and watch.has_unread() for watch in watches)

    # --- what a watch brings ---

    def _on_value(self, value: Any) -> None:  # noqa: ANN401 - any JSON
        """Apply a whole value. Where that fails, the version stays, and the next watch brings it again."""
        update = self.reader.read(value)
        self.version = update.event.version
        self.backoff.reset()
        self.on_update(update)
        self.has_update.set()

    def _on_accepted(self, watch: WatchConnection) -> None:
        """A watch is accepted: from now on it brings everything, and the one before it is not needed."""
        self.has_accepted_watch.set()
        if self.previous and watch is not self.previous:
            self.last_sign_of_life_s()
            self.previous.close()
            self.previous = None

    # --- one watch after the other ---

    async def run(self) -> None:
        """Keep a watch open until the task is cancelled."""
        try:
            while True:
                wait_s = self._bounded_wait(await self._watch_once())
                self.backoff.double()
                await self.pause(wait_s)
        finally:
            for watch in (self.previous, self.current):
                if watch:
                    watch.close()

    async def _watch_once(self) -> float:
        """Hold one watch, or fail to open it; how long the next one has to wait."""
        wait_s = self.backoff.draw()
        try:
            return await self.watch()
        except (OSError, TimeoutError) as error:
            log.warning("no watch on discovery: %s", error or "it does not answer")
            if is_local(error):
                return self.backoff.at_most(wait_s, MAX_SHORT_BACKOFF_S)
        except Exception:
            log.exception("the watch on discovery failed")  # else the list would grow old unseen
        return wait_s

    def _bounded_wait(self, wait_s: float) -> float:
        """The wait, as long as it may be for this tier, and soon after a change of address."""
        wait_s = self.backoff.bounded(wait_s)
        moved_lately = time.monotonic() - self.address_changed_s < MOVE_GRACE_S
        if wait_s > IMMEDIATE_RETRY_S and moved_lately:
            limit_s = 2 * MIN_BACKOFF_S if self.is_agent else MAX_SHORT_BACKOFF_S
            return self.backoff.at_most(wait_s, limit_s)
        return wait_s

    async def pause(self, wait_s: float) -> None:
        """Wait for so long, or until another address holds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.address_changed.wait(), wait_s)

    async def watch(self) -> float:
        """Hold one watch until it ends, is silent for too long or another address holds.

        How long the next one has to wait, in seconds. Raises OSError or TimeoutError where it cannot connect.
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
            self._keep_beside_next(watch)

    async def _wait_for_end(self, watch: WatchConnection) -> float:
        """Wait for what ends the watch; how long the next one has to wait."""
        address_changed = asyncio.ensure_future(self.address_changed.wait())
        try:
            while not watch.has_ended() and not self.address_changed.is_set():
                left_s = watch.last_received_s + SILENCE_LIMIT_S - time.monotonic()
                if left_s <= 0:
                    log.warning("the watch on discovery is silent")
                    break
                await asyncio.wait(
                    [watch.ended, address_changed], timeout=left_s, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            address_changed.cancel()
        if self.address_changed.is_set():
            return 0.0
        return self.backoff.after_watch(
            lasted_s=time.monotonic() - watch.opened_s,
            is_silent=not watch.has_ended(),
            was_accepted=watch.was_accepted,
            was_malformed=watch.was_malformed,
        )

    def _keep_beside_next(self, watch: WatchConnection) -> None:
        """Keep one of two watches beside the next: the one that may still bring something, else the newer."""
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
