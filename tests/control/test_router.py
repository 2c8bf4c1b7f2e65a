"""The table of routes."""

import pytest

from orchidhatch.control.errors import NotFoundError
from orchidhatch.control.http_response import Response
from orchidhatch.control.router import Request, Router


class RecordingConnection:
    """Keeps the responses that it is answered with."""

    def __init__(self) -> None:
        self.responses: list[Response] = []

    def answer(self, response: Response) -> None:
        self.responses.append(response)


def request(method: str, *path: str) -> Request:
    return Request(method, path, "", b"", RecordingConnection())


def test_router_hands_over_the_parameters() -> None:
    router = Router()
    router.add("POST", "/claims/{}/take", lambda request, claim: Response(200, claim))
    incoming = request("POST", "claims", "x", "take")
    assert router.dispatch(incoming)
    assert incoming.connection.responses == [Response(200, "x")]


@pytest.mark.parametrize(
    "incoming",
    [
        request("GET", "claims", "x", "take"),
        request("POST", "claims", "x"),
        request("POST", "claims", "x", "give"),
        request("POST", "claims", "x", "take", ""),
    ],
)
def test_router_dispatches_no_unknown_route(incoming: Request) -> None:
    router = Router()
    router.add("POST", "/claims/{}/take", lambda request, claim: Response(200, claim))
    assert not router.dispatch(incoming)
    assert incoming.connection.responses == []


@pytest.mark.parametrize(
    ("path", "rest"),
    [(("door",), ()), (("door", "stats"), ("stats",)), (("door", "backends", "x"), ("backends", "x"))],
)
def test_router_hands_over_the_rest_of_a_path(path: tuple[str, ...], rest: tuple[str, ...]) -> None:
    router = Router()
    router.add("POST", "/door/{*}", lambda request, further: Response(200, further))
    request_below = request("POST", *path)
    assert router.dispatch(request_below)
    assert request_below.connection.responses == [Response(200, rest)]
    assert not router.dispatch(request("POST", "doors", *path[1:]))
    assert not router.dispatch(request("GET", *path))


def test_router_sends_nothing_for_a_later_answer() -> None:
    router = Router()
    router.add("GET", "/claims", lambda request: None)
    incoming = request("GET", "claims")
    assert router.dispatch(incoming)
    assert incoming.connection.responses == []


def test_router_raises_the_error_of_a_handler() -> None:
    def fail(request: Request) -> Response:
        raise NotFoundError("no such claim")

    router = Router()
    router.add("GET", "/claims", fail)
    with pytest.raises(NotFoundError, match="no such claim"):
        router.dispatch(request("GET", "claims"))
