"""A server of an endpoint list: reads and watches, as the protocol's page gives them, health and metrics.

The registry and the agent are such servers; each adds routes of its own.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from urllib.parse import parse_qs

from orchidhatch.control.errors import NotFoundError, UnavailableError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import (
    METRICS_CONTENT_TYPE,
    STORE_HEADER,
    Response,
)
from orchidhatch.control.registry.store import Store
from orchidhatch.control.responses import HealthResponse
from orchidhatch.control.router import Request, Router, parse_request
from orchidhatch.control.schemas import read_after
from orchidhatch.control.supervision import log_end
from orchidhatch.control.watch_broadcaster import WHOLE_LIST, WatchBroadcaster

MAX_WATCHES = 10_000
LISTEN_BACKLOG = 1024
FLAG_SET = "1"  # the value of a query's field that is a flag


class EndpointListServer:
    """A list and those who watch it.

    Subclasses override `health`, `metrics_text` and `store_name`, and add routes or override `other`. It has
    more than 15 public methods as it is the base that both services share.
    """

    def __init__(self, store: Store, seed: int | None = None) -> None:
        self.store = store
        self.random = random.Random(seed)
        self.broadcaster = WatchBroadcaster(store)
        self.router = Router()
        self.request_connections: set[Connection] = set()
        self.statuses: dict[int, int] = {}
        self.rejected_requests = 0  # over a limit
        self.turn = asyncio.Lock()  # held by whoever uses the store's file
        self.listener: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self._store_work: asyncio.Future[None] | None = None
        self.router.add("GET", "/catalog/members", self._get_list)
        self.router.add("GET", "/healthcheck", lambda request: self.health())
        self.router.add("GET", "/metrics", self._get_metrics)

    # --- start and end ---

    async def start(self, host: str, port: int) -> None:
        """Listen; port 0 takes any that is free. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.start_loops([self.broadcaster.send_heartbeats()])
        self.listener = await loop.create_server(lambda: Connection(self), host, port, backlog=LISTEN_BACKLOG)
        if not self.listener.sockets:  # the event loop passes over a socket() that fails
            raise OSError(f"cannot listen at {host}:{port}: no socket could be opened")

    async def close(self) -> None:
        """Cancel all tasks, wait for the store's file to be left alone, and close everything."""
        if self.listener:
            self.listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, *self._pending_store_work(), return_exceptions=True)
        for connection in [*self.request_connections, *self.broadcaster.watches]:
            connection.transport.abort()
        self.store.close()

    def start_loops(self, loops: Iterable[Coroutine[None, None, None]]) -> None:
        """Run coroutines until the server closes; one that fails is logged, and not unseen."""
        for loop in loops:
            task = asyncio.get_running_loop().create_task(loop, name=loop.__qualname__)
            task.add_done_callback(log_end)
            self.tasks.append(task)

    def start_task(self, job: Coroutine[None, None, None]) -> None:
        """Run a coroutine for a request that takes a while; it is cancelled when the server closes."""
        task = asyncio.ensure_future(job)
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)

    async def run_in_turn(self, work: Callable[[], None]) -> None:
        """Work with the store's file, in a thread, one after another; a thread cannot be cancelled."""
        async with self.turn:
            self._store_work = asyncio.ensure_future(asyncio.to_thread(work))
            await asyncio.shield(self._store_work)

    def _pending_store_work(self) -> Sequence[asyncio.Future[None]]:
        return [self._store_work] if self._store_work else []

    # --- for connections ---

    def handle(self, connection: Connection) -> None:
        """Answer a whole request, make its connection a watch, or begin what answers it later."""
        request = parse_request(connection)
        if not self.router.dispatch(request):
            self.other(connection, request.method, request.path, request.body)

    def count(self, status: int) -> None:
        """Count a response by its status."""
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def connection_ended(self, connection: Connection) -> None:
        """Forget a connection of either kind."""
        self.request_connections.discard(connection)
        self.broadcaster.remove(connection)

    # --- what subclasses override ---

    def store_name(self) -> str:
        """The store whose generations these are: its identity and term."""
        return f"{self.store.identity} {self.store.term}"

    def other(self, connection: Connection, method: str, path: tuple[str, ...], body: bytes) -> None:
        """Handle a request that no route fits."""
        raise NotFoundError("no such call")

    def health(self) -> Response:
        """Whether the service can do its work."""
        return Response(200, HealthResponse("serves"))

    def metrics_text(self) -> str:
        """The metrics in Prometheus's text form, made by `format_metrics`."""
        raise NotImplementedError

    def when_ready(self, begin: Callable[[], None]) -> None:
        """Begin a watch; later, where the list may be older than what another process has told."""
        begin()

    # --- watches ---

    @property
    def watches(self) -> Mapping[Connection, object]:
        """The connections that are watches."""
        return self.broadcaster.watches

    @property
    def watches_suspended(self) -> bool:
        """Whether watches are rejected."""
        return self.broadcaster.is_suspended

    @watches_suspended.setter
    def watches_suspended(self, value: bool) -> None:
        self.broadcaster.is_suspended = value

    def close_watches(self) -> None:
        """End all watches and reject new ones until `watches_suspended` is unset."""
        self.broadcaster.is_suspended = True
        self.broadcaster.close_all()

    def broadcast(self, whole: bool = False) -> None:
        """Send all watches what changed, or the whole list."""
        self.broadcaster.broadcast(whole)

    def _get_list(self, request: Request) -> Response | None:
        query = parse_qs(request.query, keep_blank_values=True)
        if query.get("watch") != [FLAG_SET]:
            return Response(200, self.broadcaster.line(WHOLE_LIST))
        if self.broadcaster.is_suspended:
            raise UnavailableError("it takes no watches for now")
        if len(self.broadcaster.watches) >= MAX_WATCHES:
            self.rejected_requests += 1
            raise UnavailableError("too many watches")
        after = read_after(query.get("after", ["0"])[-1])
        if self._is_other_store(request.connection):
            after = 0
        self.request_connections.discard(request.connection)
        include_leases = query.get("leases") == [FLAG_SET]
        self.when_ready(lambda: self._begin_watch(request.connection, after, include_leases))
        return None

    def _begin_watch(self, connection: Connection, after: int, include_leases: bool) -> None:
        if not connection.is_closing:
            self.broadcaster.add(connection, after, include_leases)

    def _is_other_store(self, connection: Connection) -> bool:
        """Whether a watch resumes by the generation of another store, which says nothing here."""
        store_name = dict(connection.request.headers).get(STORE_HEADER.lower().encode())
        return store_name is not None and store_name.decode(errors="replace") != self.store_name()

    # --- metrics ---

    def _get_metrics(self, request: Request) -> Response:
        return Response(200, self.metrics_text().encode(), METRICS_CONTENT_TYPE)

    def format_metrics(self, prefix: str, values: dict[str, float]) -> str:
        """Metrics in Prometheus's text form, with those that all list servers have."""
        values = {
            "generation": self.store.generation,
            "term": self.store.term,
            "entries": len(self.store.entries),
            "watches": len(self.broadcaster.watches),
            "calls": len(self.request_connections),
            "watches_cut_total": self.broadcaster.aborted,
            "shed_total": self.rejected_requests,
            **values,
        }
        lines = [f"{prefix}_{name} {value}" for name, value in values.items()]
        lines += [
            f'{prefix}_answers_total{{status="{status}"}} {count}'
            for status, count in sorted(self.statuses.items())
        ]
        return "\n".join(lines) + "\n"
