"""Handlers of the requests that read or watch an endpoint list."""

from collections.abc import Callable
from urllib.parse import parse_qs

from orchidhatch.control.errors import UnavailableError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import STORE_HEADER, Response
from orchidhatch.control.request_statistics import RequestStatistics
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import read_after
from orchidhatch.control.watch_broadcaster import WHOLE_LIST, WatchBroadcaster

MAX_WATCHES = 10_000
FLAG_SET = "1"  # the value of a query parameter that is a flag


class ListHandlers:
    """The handlers of one endpoint list.

    `when_ready` is called with a function that begins a watch, and calls it once the list may be served.
    `store_name` returns the name of the store whose generations the watches receive.
    """

    def __init__(
        self,
        broadcaster: WatchBroadcaster,
        requests: RequestStatistics,
        store_name: Callable[[], str],
        when_ready: Callable[[Callable[[], None]], None],
    ) -> None:
        self._broadcaster = broadcaster
        self._requests = requests
        self._store_name = store_name
        self._when_ready = when_ready

    def add_routes(self, router: Router) -> None:
        """Add all routes of this module."""
        router.add("GET", "/catalog/members", self._get_list)

    def _get_list(self, request: Request) -> Response | None:
        query = parse_qs(request.query, keep_blank_values=True)
        if query.get("watch") != [FLAG_SET]:
            return Response(200, self._broadcaster.line(WHOLE_LIST))
        self._check_accepts_watch()
        after = read_after(query.get("after", ["0"])[-1])
        if self._is_other_store(request.connection):
            after = 0
        self._requests.open.discard(request.connection)
        include_leases = query.get("leases") == [FLAG_SET]
        self._when_ready(lambda: self._begin_watch(request.connection, after, include_leases))
        return None

    def _check_accepts_watch(self) -> None:
        """Raise UnavailableError if no more watches are accepted."""
        if self._broadcaster.is_suspended:
            raise UnavailableError("watches are suspended; retry later")
        if len(self._broadcaster.watches) >= MAX_WATCHES:
            self._requests.rejected += 1
            raise UnavailableError("too many watches")

    def _begin_watch(self, connection: Connection, after: int, include_leases: bool) -> None:
        if not connection.is_closing:
            self._broadcaster.add(connection, after, include_leases)

    def _is_other_store(self, connection: Connection) -> bool:
        """Return whether a watch resumes after a generation of another store, which has no meaning here."""
        store_name = dict(connection.request.headers).get(STORE_HEADER.lower().encode())
        return store_name is not None and store_name.decode(errors="replace") != self._store_name()
