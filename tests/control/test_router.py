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


def test_router_when_a_route_fits_then_hands_over_the_parameters() -> None:
    router = Router()
    router.add("POST", "/claims/{}/take", lambda request, claim: Response(200, claim))
    asked = request("POST", "claims", "x", "take")
    assert router.dispatch(asked)
    assert asked.connection.responses == [Response(200, "x")]


@pytest.mark.parametrize(
    "asked",
    [
        request("GET", "claims", "x", "take"),
        request("POST", "claims", "x"),
        request("POST", "claims", "x", "give"),
        request("POST", "claims", "x", "take", ""),
    ],
)
def test_router_when_no_route_fits_then_says_so(asked: Request) -> None:
    router = Router()
    router.add("POST", "/claims/{}/take", lambda request, claim: Response(200, claim))
    assert not router.dispatch(asked)
    assert asked.connection.responses == []


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


def test_router_when_a_handler_answers_later_then_sends_nothing() -> None:
    router = Router()
    router.add("GET", "/claims", lambda request: None)
    asked = request("GET", "claims")
    assert router.dispatch(asked)
    assert asked.connection.responses == []


def test_router_when_a_handler_fails_then_raises_its_error() -> None:
    def fail(request: Request) -> Response:
        raise NotFoundError("no such claim")

    router = Router()
    router.add("GET", "/claims", fail)
    with pytest.raises(NotFoundError, match="no such claim"):
        router.dispatch(request("GET", "claims"))
