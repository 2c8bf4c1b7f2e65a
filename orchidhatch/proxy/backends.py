"""Connections to the backends: a pool for each, and exactly one outcome for every attempt.

A connection carries one command at a time. Whether an attempt may have run is decided here, and only
by whether its last byte was handed to the kernel: before that it never ran, after that it may have.
"""

import asyncio
import errno
import logging
from collections import Counter, deque
from collections.abc import Callable, Coroutine

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.endpoints import EndpointState
from orchidhatch.proxy import socket_inspection as looks
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.backend_replies import read_reply
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.config import Address
from orchidhatch.proxy.cpu_accounting import Account, Place
from orchidhatch.proxy.guards import Guard, Refusal
from orchidhatch.proxy.idle_limit import FORGET_S, IdleLimit
from orchidhatch.proxy.local_errors import error_name, retry_local
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.resp import ProtocolError, ReplyReader
from orchidhatch.proxy.wait_queues import Waits

log = logging.getLogger(__name__)

INCOMPLETE = object()
IDLE_SHARE = 0.5  # of the backend's idle time: a request that crosses its close would end as a reset
# A spoilt answer may be followed by another some milliseconds late: on a connection in use again it would
# pass for the next request's. So a connection rests after an answer, and is looked at before it is used.
REST_US = 50_000
MOST_VALUE = 1 << 16  # bytes: the largest of the protocol
MOST_REPLY = 2 * MOST_VALUE  # with the figures and the load report, and room to spare
MOST_LONG_VALUE = 4 << 20  # bytes: what is above MOST_VALUE is passed on as it comes
MOST_READ = 32 * 1024  # bytes read at once: as much of each long value may wait for its client
# A command tells how long its client will wait, counted from its last byte: it must not be written later than
# this after the time was reckoned.
MOST_WRITE_S = 0.1
# A process may be held up for this long between reading the clock and writing.
HOLD_UP_US = 150_000
# How many turns of the event loop an attempt waits for unread endpoint list events.
MOST_DEFERRALS = 4


class Connection(asyncio.BufferedProtocol):
    """A connection to a backend with at most one command on it."""

    def __init__(self, pool: "Pool") -> None:
        self.pool, self.idle_since = pool, 0
        self.attempt: Attempt | None = None
        self.given_up: tuple[Attempt, AttemptResult] | None = None  # what was on it when it was aborted
        self.transport: asyncio.Transport | None = None
        self.reader = ReplyReader(MOST_VALUE, MOST_LONG_VALUE)
        self.paused, self.received = False, 0
        self.failed_locally = False  # whether the last dial failed for a reason on this machine
        self.pieces: Callable[[bytes], None] | None = None  # who takes the pieces of a long value
        self.value_left = 0
        self.uses, self.idle_us = 0, 0  # and how long it was idle before the last of them

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        # With no room for buffering, `pause_writing` tells that bytes are left, and its end that none are.
        transport.set_write_buffer_limits(0)

    def send(self, attempt: Attempt) -> None:
        """Write the attempt's command; only `Pool.dispatch` calls this."""
        assert self.transport is not None
        self.attempt, attempt.connection, self.received = attempt, self, 0
        self.uses += 1
        now = now_us()
        self.idle_us = now - self.idle_since
        self.transport.write(attempt.payload(now))
        if self.paused:
            asyncio.get_running_loop().call_later(MOST_WRITE_S, attempt.write_stalled)
        else:
            self.written(attempt)

    def written(self, attempt: Attempt) -> None:
        """Its last byte is on its way."""
        attempt.written, attempt.written_us = True, now_us()
        self.pool.owner.sends += 1

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        if self.attempt and not self.attempt.written and not self.transport.is_closing():
            self.written(self.attempt)

    def get_buffer(self, size_hint: int) -> memoryview:
        """One for all connections: what is read is taken over before another one reads."""
        return self.pool.owner.read_buffer

    def buffer_updated(self, size: int) -> None:
        account = self.pool.owner.account
        was = account.enter(Place.BACKENDS)
        try:
            self.data_received(bytes(self.pool.owner.read_buffer[:size]))
        finally:
            account.leave(was)

    def data_received(self, data: bytes) -> None:
        self.pool.heard_us = now_us()
        if self.value_left:
            data = self.pass_on(data)
        self.received += len(data)
        attempt = self.attempt
        if attempt is None or self.received > MOST_REPLY:
            self.abort()  # nothing was asked, or nobody needs so much
            return
        self.reader.feed(data)
        if self.pieces is None and (long := self.reader.begin_long()):
            self.value_left, self.pieces = long[0], attempt.begin(long[0])
            if self.pieces is None:
                attempt.cancel()  # nobody waits for it any more
                return
            self.pass_on(long[1])
        if self.value_left or attempt.over:
            return
        try:
            reply = self.reader.gets(INCOMPLETE)
        except ProtocolError as error:
            log.error("malformed answer from %s: %s", self.pool.name, error)
            self.abort()
            return
        if reply is INCOMPLETE:
            return
        self.attempt = attempt.connection = self.pieces = None
        self.note_use(reset=False)
        if self.reader.has_data() or not attempt.written:
            self.abort()
        else:
            self.pool.release(self)
        attempt.finish(*read_reply(reply))

    def pass_on(self, data: bytes) -> bytes:
        """Hand on what belongs to a long value; the rest of the data."""
        piece, rest = data[: self.value_left], data[self.value_left :]
        self.value_left -= len(piece)
        if not self.value_left:
            self.received = 0
            self.reader.end_long()
        self.pieces(piece)
        return rest

    def eof_received(self) -> None:
        """No answer can come any more. Without the abort the loop would wait until all is written."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.forget(self)
        attempt, self.attempt = self.attempt, None
        if attempt:
            attempt.connection = None
            self.pool.owner.tally["reset on reuse" if self.uses > 1 else "reset on first use"] += 1
            self.note_use(reset=not self.received)
            self.pool.doubt(now_us())
            attempt.finish(AttemptResult.RESET if attempt.written else AttemptResult.CONNECT_FAILED)
        if self.given_up:
            attempt, result = self.given_up
            attempt.finish(result)

    def note_use(self, reset: bool) -> None:
        if self.uses > 1:
            self.pool.owner.idle_limit.note(self.idle_us, reset)

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; `close` would first send what is still buffered, and so let the attempt run."""
        self.pool.forget(self)
        if self.transport:
            self.transport.abort()


class Pool:
    """The connections to one backend."""

    def __init__(self, owner: "Backends", name: str, address: Address) -> None:
        self.owner, self.name, self.address = owner, name, address
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []  # the one used last at the end, so that spare ones grow old
        self.waiting: deque[Attempt] = deque()
        self.connecting, self.heard_us, self.up = 0, 0, True  # up by the list

    def wanted(self) -> bool:
        """Whether anything new may go there."""
        return self.up and self.name not in self.owner.banned

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on a connection that has rested, or dial one for it."""
        attempt.pool = self
        if connection := self.rested():
            self.dispatch(connection, attempt)
            return
        if not self.owner.may_open():
            self.owner.no_room += 1
            attempt.finish(AttemptResult.LOCAL_FAILURE)
            return
        self.waiting.append(attempt)
        self.connecting += 1
        self.owner.tally["opened"] += 1
        connection = Connection(self)
        self.connections.add(connection)  # at once, as the bound counts those that are still connecting
        self.owner.held += 1
        self.owner.spawn(self.connect(connection))

    def dispatch(self, connection: Connection, attempt: Attempt) -> None:
        """Send an attempt now, if that breaks no rule; the only place from which one is sent."""
        if attempt.over:
            self.keep(connection)
        elif not self.wanted():
            self.owner.guard.refuse(Refusal.SERVER_LEAVING, attempt.request_id, f"server={self.name}")
            attempt.finish(AttemptResult.LOCAL_FAILURE)
            connection.close()
        elif attempt.is_sendable():
            connection.send(attempt)
        else:
            self.keep(connection)

    def rested(self) -> Connection | None:
        """The connection used last of those that may be used: nothing can come on it that is another's."""
        now = now_us()
        self.close_idle(now - self.owner.idle_limit.us)
        for connection in reversed(self.idle):
            if not connection.uses or connection.idle_since <= now - REST_US:
                self.idle.remove(connection)
                self.note_idle()
                if connection.usable() and not looks.spoken(connection.transport):
                    return connection
                connection.abort()  # closed by the other side, or with words on it that nobody asked for
        return None

    async def connect(self, connection: Connection) -> None:
        """Open a connection for whoever waits longest; bounded, as a machine that is cut off says nothing."""
        result = AttemptResult.CONNECT_FAILED

        def failed_locally(error: OSError) -> None:
            connection.failed_locally = True
            self.owner.note_local_failure(error, self.name)

        try:
            async with asyncio.timeout(self.owner.connect_s):
                await retry_local(lambda: self.dial(connection), asyncio.sleep, failed_locally)
        except (OSError, TimeoutError):
            if connection.failed_locally:
                result = AttemptResult.LOCAL_FAILURE
        except Exception:
            log.exception("cannot connect to %s", self.name)
            result = AttemptResult.LOCAL_FAILURE
        else:
            self.connecting -= 1
            self.release(connection)
            return
        self.forget(connection)
        self.connecting -= 1
        self.connect_failed(result)

    async def dial(self, connection: Connection) -> None:
        """Connect once. Raises OSError."""
        connection.failed_locally = False
        await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)

    def fails_locally(self) -> bool:
        """Whether dials fail now for a reason on this machine, which says nothing of the server."""
        return any(connection.failed_locally for connection in self.connections)

    def empty(self) -> None:
        """Nothing new goes there: neither on what is idle nor when what still connects comes up."""
        self.close_idle()
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            attempt.finish(AttemptResult.LOCAL_FAILURE)

    def connect_failed(self, result: AttemptResult = AttemptResult.CONNECT_FAILED) -> None:
        """One connection fewer comes up than attempts wait for: one goes on a rested one, or ends so."""
        self.drop_over()
        if len(self.waiting) <= self.connecting:
            return
        if self.owner.must_read_news_first(self.waiting[0]):
            asyncio.get_running_loop().call_soon(self.connect_failed, result)
            return
        attempt = self.waiting.popleft()
        if connection := self.rested():
            self.dispatch(connection, attempt)
        else:
            attempt.finish(result)

    def drop_over(self) -> None:
        while self.waiting and (self.waiting[0].over or self.waiting[0].lapsed()):
            self.waiting.popleft().finish(AttemptResult.CONNECT_FAILED)

    def release(self, connection: Connection) -> None:
        """A connection has nothing to do: a new one is for who waits longest, others are kept for a while."""
        if not connection.usable():
            self.connect_failed()  # a backend that is full takes a connection and ends it at once
            return
        self.drop_over()
        if not self.waiting or connection.uses:
            self.keep(connection)
        elif self.owner.must_read_news_first(self.waiting[0]):
            asyncio.get_running_loop().call_soon(self.release, connection)
        else:
            attempt = self.waiting.popleft()
            self.owner.connect_waits.note(now_us() - attempt.sent_us)
            self.dispatch(connection, attempt)

    def keep(self, connection: Connection) -> None:
        """Keep a connection with nothing on it for a while, if anything new may go there."""
        if self.wanted():
            connection.idle_since = now_us()
            self.idle.append(connection)
            self.owner.idle_pools[self] = None
            self.owner.sweep_later()
        else:
            connection.close()

    def forget(self, connection: Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.held -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self.note_idle()

    def note_idle(self) -> None:
        """Forget among the pools with idle connections that this one has none left."""
        if not self.idle:
            self.owner.idle_pools.pop(self, None)

    def doubt(self, since_us: int) -> None:
        """Close what is idle where nothing was heard since: the machine may have vanished.

        Connections to it stay open and silent, and are reset when it is back; the next request on one
        would end as a reset, which an unsafe class cannot repeat.
        """
        if self.heard_us < since_us:
            self.owner.tally["doubted"] += len(self.idle)
            self.close_idle()

    def close_idle(self, before_us: int | None = None) -> None:
        while self.idle and (before_us is None or self.idle[0].idle_since < before_us):
            self.idle.pop(0).close()
        self.note_idle()


class Backends:
    """The pools by the backends' names, and the bound on all their connections."""

    def __init__(
        self,
        idle_us: int,
        connect_timeout_us: int,
        most: int,
        account: Account | None = None,
        guard: Guard | None = None,
        loop_watch: LoopWatch | None = None,
    ) -> None:
        self.account = account or Account()
        self.guard = guard or Guard()
        self.loop_watch = loop_watch or LoopWatch()
        self.idle_limit = IdleLimit(round(idle_us * IDLE_SHARE))
        self.connect_s, self.most, self.aged_us = connect_timeout_us / 1e6, most, now_us()
        self.pools: dict[str, Pool] = {}
        self.idle_pools: dict[Pool, None] = {}  # those with idle connections
        self.news_is_unread: Callable[[], bool] = lambda: False  # whether endpoint list events are
        self.old: list[Pool] = []  # of backends that moved or went, while attempts are out on them
        self.tasks: set[asyncio.Task[None]] = set()
        self.tally: Counter[str] = Counter()  # how connections fared, for the log
        self.read_buffer = memoryview(bytearray(MOST_READ))
        self.held = 0  # connections of all pools
        self.out_of_descriptors = 0  # connections that could not be opened for it, since the start
        self.local_failures: Counter[str] = Counter()  # dials that failed here, by error, since the start
        self.sweeping = False  # a sweep is due
        self.connect_waits, self.answer_waits = Waits(), Waits()
        self.no_room = self.timed_out = 0  # attempts, since the start
        self.others = 0  # sockets held by another process that is this front door too
        self.sends = 0  # attempts written whole, since the start
        self.banned: set[str] = set()  # left out by hand; the module bounds them

    def update(self, states: dict[str, EndpointState], addresses: dict[str, Address], whole: bool) -> None:
        """Take over news of the list: the whole of it, or those whose state or address changed."""
        for name in [name for name in self.pools if whole and name not in states]:
            self.retire(name)
        for name, state in states.items():
            pool, address = self.pools.get(name), addresses.get(name)
            if state is EndpointState.GONE or (pool and address and pool.address != address):
                self.retire(name)
            if state is not EndpointState.GONE and address and name not in self.pools:
                self.pools[name] = Pool(self, name, address)
            if pool := self.pools.get(name):
                pool.up = state is EndpointState.UP
                if not pool.wanted():
                    pool.empty()

    def ban(self, name: str, out: bool) -> None:
        """Nothing new goes to this backend, by hand; or it may again. Discovery's news do not change that."""
        if not out:
            self.banned.discard(name)
        else:
            self.banned.add(name)
            if pool := self.pools.get(name):
                pool.empty()

    def retire(self, name: str) -> None:
        if pool := self.pools.pop(name, None):
            pool.up = False
            pool.empty()
            self.old.append(pool)
            self.sweep_later()

    def send(self, attempt: Attempt, timeout_us: int, start_within_us: int = 0) -> None:
        """Start an attempt that ends after `timeout_us` at the latest and, where that is not 0, is not begun
        after `start_within_us`, less the time for which the process may be held up before it writes."""
        loop = asyncio.get_running_loop()
        attempt.deadline_us = attempt.deadline_us or now_us() + timeout_us
        attempt.timer = loop.call_later(timeout_us / 1e6, attempt.time_out)
        if start_within_us > 0:
            begin_within_us = max(1, start_within_us - HOLD_UP_US)
            attempt.begin_by_us = now_us() + begin_within_us
            loop.call_later(begin_within_us / 1e6 + 0.001, attempt.lapse)  # timers may be early by as much
        self.begin(attempt)

    def begin(self, attempt: Attempt) -> None:
        """Hand an attempt to its backend's pool, unless news say by now that nothing new goes there."""
        if attempt.over:
            return
        if self.must_read_news_first(attempt):
            asyncio.get_running_loop().call_soon(self.begin, attempt)
            return
        pool = self.pools.get(attempt.server)
        if pool is None or not pool.wanted():  # decided before the news that it leaves, which came meanwhile
            attempt.finish(AttemptResult.LOCAL_FAILURE)
        else:
            pool.start(attempt)

    def must_read_news_first(self, attempt: Attempt) -> bool:
        """Whether an attempt has to wait a turn of the event loop.

        A process that stood still may have an endpoint list event unread that says that the backend leaves,
        and timers and other sockets go ahead of it. The number of such turns is bounded.
        """
        if not self.loop_watch.touch():
            return False
        if attempt.deferrals >= MOST_DEFERRALS or not self.news_is_unread():
            return False
        attempt.deferrals += 1
        self.tally["deferred for news"] += 1
        return True

    def close_idle(self, name: str) -> None:
        if pool := self.pools.get(name):
            pool.close_idle()

    def waiting(self) -> list[Attempt]:
        """Those that wait for a connection."""
        return [attempt for pool in (*self.pools.values(), *self.old) for attempt in pool.waiting]

    def unanswered(self) -> list[Attempt]:
        """Those that are written and not answered."""
        return [
            connection.attempt
            for pool in (*self.pools.values(), *self.old)
            for connection in pool.connections
            if connection.attempt and connection.attempt.written
        ]

    def may_open(self) -> bool:
        """Whether a socket is free for one more, if need be that of the connection idle longest."""
        if self.held + self.others < self.most:
            return True
        if not self.idle_pools:
            return False
        pool = min(self.idle_pools, key=lambda pool: pool.idle[0].idle_since)
        pool.idle[0].abort()
        return True

    def note_local_failure(self, error: OSError, server: str) -> None:
        """Count a dial that failed here, and log each kind of error once in each interval of the log."""
        name = error_name(error)
        self.local_failures[name] += 1
        if not self.tally[name]:
            log.error("cannot connect here error=%s server=%s: %s", name, server, error)
        self.tally[name] += 1
        if error.errno in (errno.EMFILE, errno.ENFILE):
            self.out_of_descriptors += 1
            if not self.tally["no descriptor"]:
                log.error("out of descriptors: cannot connect to a backend: %s", error)
            self.tally["no descriptor"] += 1

    def sweep(self) -> None:
        """Close what has stood idle long, and again in a while if anything is left."""
        self.sweeping, now = False, now_us()
        while now - self.aged_us >= FORGET_S * 1e6:
            self.aged_us += round(FORGET_S * 1e6)
            self.idle_limit.age()
        before = now - self.idle_limit.us
        for pool in list(self.idle_pools):
            pool.close_idle(before)
        self.old = [pool for pool in self.old if pool.connections]
        if self.held:
            self.sweep_later()

    def sweep_later(self) -> None:
        if not self.sweeping:
            self.sweeping, wait_s = True, min(1.0, self.idle_limit.told_us / 4e6)
            asyncio.get_running_loop().call_later(wait_s, self.account.run, Place.BACKENDS, self.sweep)

    def spawn(self, job: Coroutine[None, None, None], place: Place = Place.BACKENDS) -> None:
        task = asyncio.get_running_loop().create_task(self.account.steps(place, job))
        self.tasks.add(task)  # the loop itself holds tasks only weakly
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """End all connections and whatever else is under way."""
        for pool in (*self.pools.values(), *self.old):
            for connection in list(pool.connections):
                connection.abort()
        for task in self.tasks:
            task.cancel()
