"""A table of routes: method and path pattern to the handler of such a request."""

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote, urlsplit

from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response

PARAMETER = "{}"  # the segment of a pattern that stands for any segment of a path
REST = "{*}"  # at a pattern's end: any number of further segments, also none


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request. `path` is split at the slashes and unquoted."""

    method: str
    path: tuple[str, ...]
    query: str
    body: bytes
    connection: Connection


# A segment, or for REST all further segments.
PathParameter = str | tuple[str, ...]
# Called with the request and the path's parameters. The response is sent at once; a handler that returns
# None has seen to it that the connection is answered later.
Handler = Callable[..., Response | None]


def match_segments(pattern: tuple[str, ...], path: tuple[str, ...]) -> list[PathParameter] | None:
    """The segments of a path that stand at the pattern's parameters; None where it does not fit."""
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
        """The parameters of a path that fits, else None."""
        if method != self.method:
            return None
        if self.pattern[-1] == REST:
            length = len(self.pattern) - 1
            first_parameters = match_segments(self.pattern[:length], path[:length])
            return None if first_parameters is None else [*first_parameters, path[length:]]
        return match_segments(self.pattern, path)


class Router:
    """Routes in the order in which they were added; the first that fits is taken."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route, as `add("POST", "/claims/{}/take", handler)`, or `"/door/{*}"` for all paths below."""
        self._routes.append(_Route(method, tuple(pattern.split("/")[1:]), handler))

    def dispatch(self, request: Request) -> bool:
        """Have a request handled; False where no route fits. Raises what the handler raises."""
        for route in self._routes:
            parameters = route.match(request.method, request.path)
            if parameters is not None:
                response = route.handler(request, *parameters)
                if response is not None:
                    request.connection.answer(response)
                return True
        return False


def parse_request(connection: Connection) -> Request:
    """The request that a connection received. Raises ValueError for a target that is no URL."""
    target = urlsplit(connection.request.target.decode(errors="replace"))
    return Request(
        method=connection.request.method.decode(),
        path=tuple(map(unquote, target.path.split("/")[1:])),
        query=target.query,
        body=bytes(connection.body),
        connection=connection,
    )
