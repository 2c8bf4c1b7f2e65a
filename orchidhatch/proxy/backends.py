"""The connections to all backends: one pool per backend, and the limit on their total number."""

import asyncio
import errno
import logging
from collections import Counter
from collections.abc import Callable, Coroutine

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.endpoints import EndpointState
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.backend_connection import READ_BUFFER_BYTES
from orchidhatch.proxy.backend_pool import BackendPool
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.config import Address
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.guards import Guard
from orchidhatch.proxy.idle_limit import HALVING_INTERVAL_S, IdleLimit
from orchidhatch.proxy.local_errors import error_name
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.send_backlog import SendBacklog
from orchidhatch.proxy.wait_queues import WaitHistogram

log = logging.getLogger(__name__)

IDLE_TIME_SHARE = 0.5
"""The idle limit as a share of the backends' idle timeout.

A request sent while the backend closes the connection would end with a reset.
"""
MAX_STALL_US = 150_000
"""How long a process may be suspended between reading the clock and writing."""
TIMER_SLACK_S = 0.001
"""How early a timer may fire."""
MAX_DEFERRALS = 4
"""How many event loop turns an attempt may wait for unread endpoint list events."""
MAX_SWEEP_INTERVAL_S = 1.0


class Backends:
    """The connection pools by backend name, and the state that they share."""

    def __init__(
        self,
        idle_us: int,
        connect_timeout_us: int,
        max_connections: int,
        account: CpuAccounting | None = None,
        guard: Guard | None = None,
        loop_watch: LoopWatch | None = None,
        backlog: SendBacklog | None = None,
    ) -> None:
        self.account = account or CpuAccounting()
        self.backlog = backlog or SendBacklog()
        self.guard = guard or Guard()
        self.loop_watch = loop_watch or LoopWatch()
        self.idle_limit = IdleLimit(round(idle_us * IDLE_TIME_SHARE))
        self.idle_counts_halved_us = now_us()
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.max_connections = max_connections
        """The limit on the connections of all pools."""
        self.connection_count = 0
        """The number of connections of all pools."""
        self.handover_peer_connections = 0
        """Connections of the other process of this gateway, during a handover."""
        self.pools: dict[str, BackendPool] = {}
        self.idle_pools: dict[BackendPool, None] = {}
        """Pools that have idle connections."""
        self.retired_pools: list[BackendPool] = []
        """Pools of backends that moved or were removed, while attempts are still in flight."""
        self.ejected: set[str] = set()
        """Backends ejected by an operator; the decision core limits their number."""
        self.list_events_are_unread: Callable[[], bool] = lambda: False
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.sweep_is_scheduled = False
        self.connect_waits = WaitHistogram()
        self.reply_waits = WaitHistogram()
        self.tally: Counter[str] = Counter()
        """Connection events by name, since the last log line."""
        # Totals since the start: dials that failed for a local reason, by error, and those of them that
        # failed for lack of descriptors; attempts without a free socket; attempts that timed out; attempts
        # fully written.
        self.local_failures: Counter[str] = Counter()
        self.out_of_descriptors = 0
        self.attempts_without_socket = 0
        self.attempts_timed_out = 0
        self.attempts_written = 0

    # --- the endpoint list, and the operators ---

    def update(self, states: dict[str, EndpointState], addresses: dict[str, Address], is_full: bool) -> None:
        """Apply an endpoint list: either the full list, or the endpoints whose state or address changed."""
        if is_full:
            for name in [name for name in self.pools if name not in states]:
                self.retire(name)
        for name, state in states.items():
            self._update_backend(name, state, addresses.get(name))

    def _update_backend(self, name: str, state: EndpointState, address: Address | None) -> None:
        pool = self.pools.get(name)
        has_moved = pool is not None and address is not None and pool.address != address
        if state is EndpointState.GONE or has_moved:
            self.retire(name)
        if state is not EndpointState.GONE and address and name not in self.pools:
            self.pools[name] = BackendPool(self, name, address)
        pool = self.pools.get(name)
        if pool:
            pool.is_up = state is EndpointState.UP
            if not pool.accepts_new_attempts():
                pool.drain()

    def set_ejected(self, name: str, is_ejected: bool) -> None:
        """Eject a backend at an operator's request, or readmit it; endpoint lists do not override this."""
        if not is_ejected:
            self.ejected.discard(name)
            return
        self.ejected.add(name)
        pool = self.pools.get(name)
        if pool:
            pool.drain()

    def retire(self, name: str) -> None:
        """Stop new attempts to a backend that moved or was removed; attempts in flight continue."""
        pool = self.pools.pop(name, None)
        if pool:
            pool.is_up = False
            pool.drain()
            self.retired_pools.append(pool)
            self.schedule_sweep()

    # --- attempts ---

    def send(self, attempt: Attempt, timeout_us: int, start_within_us: int = 0) -> None:
        """Start an attempt that ends after `timeout_us` at the latest.

        If `start_within_us` is not 0, the attempt must also be sent within that time, less the time for which
        the process may be suspended before it writes.
        """
        loop = asyncio.get_running_loop()
        attempt.deadline_us = attempt.deadline_us or now_us() + timeout_us
        attempt.timer = loop.call_later(timeout_us / 1e6, attempt.time_out)
        if start_within_us > 0:
            window_us = max(1, start_within_us - MAX_STALL_US)
            attempt.start_by_us = now_us() + window_us
            loop.call_later(window_us / 1e6 + TIMER_SLACK_S, attempt.expire_start_window)
        self.begin(attempt)

    def begin(self, attempt: Attempt) -> None:
        """Pass an attempt to its backend's pool, or end it if the backend no longer accepts attempts."""
        if attempt.has_ended:
            return
        if self.must_read_list_events_first(attempt):
            asyncio.get_running_loop().call_soon(self.begin, attempt)
            return
        pool = self.pools.get(attempt.server)
        if pool is None or not pool.accepts_new_attempts():
            attempt.finish(AttemptResult.LOCAL_FAILURE)
        else:
            pool.start(attempt)

    def must_read_list_events_first(self, attempt: Attempt) -> bool:
        """Return whether the attempt must wait one event loop turn for unread endpoint list events.

        After a stall, a drain of the backend may be received but unread, as the loop handles timers and other
        sockets before the watch. It waits for MAX_DEFERRALS turns at most.
        """
        if not self.loop_watch.touch():
            return False
        if attempt.deferrals >= MAX_DEFERRALS or not self.list_events_are_unread():
            return False
        attempt.deferrals += 1
        self.tally["deferred for news"] += 1
        return True

    def connecting_attempts(self) -> list[Attempt]:
        """Return the attempts that wait for a connection."""
        return [attempt for pool in self._all_pools() for attempt in pool.waiting_attempts]

    def unanswered_attempts(self) -> list[Attempt]:
        """Return the attempts that were fully written and have no reply."""
        attempts = [connection.attempt for pool in self._all_pools() for connection in pool.connections]
        return [attempt for attempt in attempts if attempt and attempt.was_written]

    def _all_pools(self) -> tuple[BackendPool, ...]:
        return (*self.pools.values(), *self.retired_pools)

    # --- the connection limit ---

    def may_open(self) -> bool:
        """Return whether one more connection may be opened, closing the longest idle one if necessary."""
        if self.connection_count + self.handover_peer_connections < self.max_connections:
            return True
        if not self.idle_pools:
            return False
        pool = min(self.idle_pools, key=lambda pool: pool.idle_connections[0].idle_since_us)
        pool.idle_connections[0].abort()
        return True

    def note_local_failure(self, error: OSError, server: str) -> None:
        """Count a dial that failed for a local reason; log each error once per log interval."""
        name = error_name(error)
        self.local_failures[name] += 1
        if not self.tally[name]:
            log.error("dial failed locally: error=%s server=%s: %s", name, server, error)
        self.tally[name] += 1
        if error.errno in (errno.EMFILE, errno.ENFILE):
            self.out_of_descriptors += 1
            if not self.tally["no descriptor"]:
                log.error("dial failed, out of descriptors: %s", error)
            self.tally["no descriptor"] += 1

    # --- idle connections ---

    def close_idle(self, name: str) -> None:
        """Close the idle connections to the backend `name`."""
        pool = self.pools.get(name)
        if pool:
            pool.close_idle()

    def sweep(self) -> None:
        """Close connections that are idle for too long; schedule another sweep if any connection is left."""
        self.sweep_is_scheduled = False
        now = now_us()
        while now - self.idle_counts_halved_us >= HALVING_INTERVAL_S * 1e6:
            self.idle_counts_halved_us += round(HALVING_INTERVAL_S * 1e6)
            self.idle_limit.halve_counts()
        before_us = now - self.idle_limit.limit_us
        for pool in list(self.idle_pools):
            pool.close_idle(before_us)
        self.retired_pools = [pool for pool in self.retired_pools if pool.connections]
        if self.connection_count:
            self.schedule_sweep()

    def schedule_sweep(self) -> None:
        """Schedule a sweep, unless one is scheduled."""
        if self.sweep_is_scheduled:
            return
        self.sweep_is_scheduled = True
        delay_s = min(MAX_SWEEP_INTERVAL_S, self.idle_limit.configured_us / 4e6)
        asyncio.get_running_loop().call_later(delay_s, self.account.run, CostCategory.BACKENDS, self.sweep)

    # --- tasks and shutdown ---

    def spawn(self, job: Coroutine[None, None, None], category: CostCategory = CostCategory.BACKENDS) -> None:
        """Run a coroutine as a task until `close` at the latest; charge its CPU time to `category`."""
        task = asyncio.get_running_loop().create_task(self.account.wrap_coroutine(category, job))
        self.tasks.add(task)  # the event loop keeps only weak references to tasks
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: job.close())  # if it was cancelled before its first step

    def close(self) -> None:
        """Abort all connections and cancel all tasks."""
        for pool in self._all_pools():
            for connection in list(pool.connections):
                connection.abort()
        for task in self.tasks:
            task.cancel()
