"""The HTTP server of an endpoint list, with reads and watches of the list, health and metrics.

The registry and the agent are such servers; each adds its own routes.
"""

import asyncio
import random
from collections.abc import Callable

from orchidhatch.control.background_tasks import BackgroundTasks
from orchidhatch.control.errors import NotFoundError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import METRICS_CONTENT_TYPE, Response
from orchidhatch.control.list_handlers import ListHandlers
from orchidhatch.control.registry.store import Store
from orchidhatch.control.request_statistics import RequestStatistics
from orchidhatch.control.responses import HealthResponse
from orchidhatch.control.router import Request, Router, parse_request
from orchidhatch.control.store_executor import StoreExecutor
from orchidhatch.control.watch_broadcaster import WatchBroadcaster

LISTEN_BACKLOG = 1024


class EndpointListServer:
    """The HTTP server of one store's list. Subclasses override the methods in the last section."""

    def __init__(self, store: Store, seed: int | None = None) -> None:
        self.store = store
        self.random = random.Random(seed)
        self.store_executor = StoreExecutor()
        self.broadcaster = WatchBroadcaster(store)
        self.requests = RequestStatistics()
        self.tasks = BackgroundTasks()
        self.router = Router()
        self.listener: asyncio.Server | None = None
        ListHandlers(
            self.broadcaster,
            self.requests,
            self.store_name,
            self.when_ready,
        ).add_routes(self.router)
        self.router.add("GET", "/healthcheck", lambda request: self.health())
        self.router.add("GET", "/metrics", self._get_metrics)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 selects a free port. Raises OSError if that fails."""
        loop = asyncio.get_running_loop()
        self.tasks.start_loops([self.broadcaster.send_heartbeats()])
        self.listener = await loop.create_server(lambda: Connection(self), host, port, backlog=LISTEN_BACKLOG)
        if not self.listener.sockets:  # the event loop ignores a socket() call that fails
            raise OSError(f"cannot listen on {host}:{port}: no socket could be opened")

    async def close(self) -> None:
        """Cancel all tasks, wait until the store's file is no longer in use, and close everything."""
        if self.listener:
            self.listener.close()
        cancelled = self.tasks.cancel()
        await asyncio.gather(*cancelled, *self.store_executor.pending_work(), return_exceptions=True)
        for connection in [*self.requests.open, *self.broadcaster.watches]:
            connection.transport.abort()
        self.store.close()

    def handle(self, connection: Connection) -> None:
        """Answer a complete request, begin a watch, or start a task that answers later."""
        if not self.router.dispatch(parse_request(connection)):
            raise NotFoundError("no such call")

    def connection_ended(self, connection: Connection) -> None:
        """Remove a request's connection or a watch that has ended."""
        self.requests.open.discard(connection)
        self.broadcaster.remove(connection)

    def _get_metrics(self, request: Request) -> Response:
        return Response(200, self.metrics_text().encode(), METRICS_CONTENT_TYPE)

    # --- what subclasses override ---

    def store_name(self) -> str:
        """Return the identity and term of the store, to which generations belong."""
        return f"{self.store.identity} {self.store.term}"

    def health(self) -> Response:
        """Return the response of the health check."""
        return Response(200, HealthResponse("serves"))

    def metrics_text(self) -> str:
        """Return the metrics in Prometheus's text format, as `format_metrics` encodes them."""
        raise NotImplementedError

    def when_ready(self, begin: Callable[[], None]) -> None:
        """Call `begin`, which begins a watch, at once or after the list is known to be recent enough."""
        begin()

    def format_metrics(self, prefix: str, values: dict[str, float]) -> str:
        """Return metrics in Prometheus's text format, together with those of all list servers."""
        values = {
            "generation": self.store.generation,
            "term": self.store.term,
            "entries": len(self.store.entries),
            "watches": len(self.broadcaster.watches),
            "calls": len(self.requests.open),
            "watches_cut_total": self.broadcaster.aborted,
            "shed_total": self.requests.rejected,
            **values,
        }
        lines = [f"{prefix}_{name} {value}" for name, value in values.items()]
        lines += [
            f'{prefix}_answers_total{{status="{status}"}} {count}'
            for status, count in sorted(self.requests.count_by_status.items())
        ]
        return "\n".join(lines) + "\n"
