"""HTTP requests to the project's own services, for event loops that must not block on them."""

import asyncio
import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, ClassVar

Address = tuple[str, int]

DEFAULT_TIMEOUT_S = 2.0
STORE_HEADER = "Orchidhatch-Store"
NO_HEADERS: Mapping[str, str] = {}


def format_address(address: Address) -> str:
    """The address as host:port."""
    return f"{address[0]}:{address[1]}"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response that was received whole.

    `value` is the decoded JSON body, the text of a body that is not JSON, or None for an empty body.
    `store_name` is the identity and term of the store that answered, "" where the service names none.
    """

    status: int
    value: Any
    store_name: str = ""

    @property
    def ok(self) -> bool:
        """Whether the request was carried out."""
        return self.status == HTTPStatus.OK


@dataclass(frozen=True, slots=True)
class NoResponse:
    """No response was received: the request may have been carried out or not. It has no status."""

    reason: str
    ok: ClassVar[bool] = False
    status: ClassVar[None] = None


CallResult = HttpResponse | NoResponse


def call_blocking(
    address: Address,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    headers: Mapping[str, str] = NO_HEADERS,
) -> HttpResponse:
    """Send a request, with `body` as JSON unless it is None, and wait for the response.

    `timeout_s` bounds each operation on the socket. Raises OSError or http.client.HTTPException where no
    response is received.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        encoded = None if body is None else json.dumps(body)
        connection.request(method, path, encoded, dict(headers))
        response = connection.getresponse()
        value = decode_body(response.read())
        return HttpResponse(response.status, value, response.headers.get(STORE_HEADER, ""))
    finally:
        connection.close()


def decode_body(content: bytes) -> Any:  # noqa: ANN401 - JSON
    """The JSON value of a body, its text where it is no JSON or too deeply nested, None where it is empty."""
    if not content:
        return None
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return content.decode(errors="replace")


async def call(
    address: Address,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    headers: Mapping[str, str] = NO_HEADERS,
) -> CallResult:
    """As `call_blocking`, in a thread; a NoResponse in place of an error where no response is received."""
    try:
        return await asyncio.to_thread(call_blocking, address, method, path, body, timeout_s, headers)
    except (OSError, http.client.HTTPException) as error:
        return NoResponse(str(error))
