"""A routing table that maps a method and a path pattern to a handler."""

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote, urlsplit

from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response

PARAMETER = "{}"  # a segment of a pattern that matches any one segment
REST = "{*}"  # at the end of a pattern: matches zero or more segments


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request. `path` is split at the slashes and unquoted."""

    method: str
    path: tuple[str, ...]
    query: str
    body: bytes
    connection: Connection


# One segment, or for REST the tuple of all remaining segments.
PathParameter = str | tuple[str, ...]
# Called with the request and the path's parameters. A returned response is sent at once; a handler that
# returns None has arranged for the connection to be answered later.
Handler = Callable[..., Response | None]


def match_segments(pattern: tuple[str, ...], path: tuple[str, ...]) -> list[PathParameter] | None:
    """Return the path's segments at the pattern's parameters, None if the path does not match."""
    if len(path) != len(pattern):
        return None
    pairs = list(zip(pattern, path, strict=True))
    if any(expected not in (PARAMETER, segment) for expected, segment in pairs):
        return None
    return [segment for expected, segment in pairs if expected == PARAMETER]


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    pattern: tuple[str, ...]
    handler: Handler

    def match(self, method: str, path: tuple[str, ...]) -> list[PathParameter] | None:
        """Return the parameters of a matching path, else None."""
        if method != self.method:
            return None
        if self.pattern[-1] == REST:
            length = len(self.pattern) - 1
            first_parameters = match_segments(self.pattern[:length], path[:length])
            return None if first_parameters is None else [*first_parameters, path[length:]]
        return match_segments(self.pattern, path)


class Router:
    """Routes in the order in which they were added; the first match is used."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route, such as `add("POST", "/claims/{}/take", handler)`; `"/door/{*}"` has all subpaths."""
        self._routes.append(_Route(method, tuple(pattern.split("/")[1:]), handler))

    def dispatch(self, request: Request) -> bool:
        """Handle a request. Return whether a route matched. Errors of the handler propagate."""
        for route in self._routes:
            parameters = route.match(request.method, request.path)
            if parameters is not None:
                response = route.handler(request, *parameters)
                if response is not None:
                    request.connection.answer(response)
                return True
        return False


def parse_request(connection: Connection) -> Request:
    """Return the request that a connection received. Raises ValueError if its target is not a valid URL."""
    target = urlsplit(connection.request.target.decode(errors="replace"))
    return Request(
        method=connection.request.method.decode(),
        path=tuple(map(unquote, target.path.split("/")[1:])),
        query=target.query,
        body=bytes(connection.body),
        connection=connection,
    )
