"""A client for HTTP requests to the project's services, with a blocking and an asynchronous call."""

import asyncio
import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, ClassVar

Address = tuple[str, int]

DEFAULT_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 64 << 20  # an endpoint list with the maximum number of endpoints, each of maximum length
STORE_HEADER = "Orchidhatch-Store"
NO_HEADERS: Mapping[str, str] = {}


def format_address(address: Address) -> str:
    """Return the address as host:port."""
    return f"{address[0]}:{address[1]}"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response that was received completely.

    `value` is the decoded JSON body, the text of a body that is not JSON, or None for an empty body.
    `store_name` is the identity and term of the store that answered, "" if the service names none.
    """

    status: int
    value: Any
    store_name: str = ""

    @property
    def ok(self) -> bool:
        """Whether the request succeeded."""
        return self.status == HTTPStatus.OK


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The result if no response was received: the request may have been executed or not."""

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

    `timeout_s` limits each operation on the socket. Raises OSError or http.client.HTTPException if no
    response is received.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        encoded = None if body is None else json.dumps(body)
        connection.request(method, path, encoded, dict(headers))
        response = connection.getresponse()
        value = decode_body(read_body(response))
        return HttpResponse(response.status, value, response.headers.get(STORE_HEADER, ""))
    finally:
        connection.close()


def read_body(response: http.client.HTTPResponse) -> bytes:
    """Return the body of a response. Raises http.client.HTTPException if it is too long."""
    content = response.read(MAX_LIST_BYTES + 1)
    if len(content) > MAX_LIST_BYTES:
        raise http.client.HTTPException(f"the response is longer than {MAX_LIST_BYTES} bytes")
    return content


def decode_body(content: bytes) -> Any:  # noqa: ANN401 - JSON
    """Return a body's JSON value, its text if it is not JSON or nested too deeply, None if it is empty."""
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
    """Run `call_blocking` in a thread. Return a NoResponse if no response is received."""
    try:
        return await asyncio.to_thread(call_blocking, address, method, path, body, timeout_s, headers)
    except (OSError, http.client.HTTPException) as error:
        return NoResponse(str(error))
