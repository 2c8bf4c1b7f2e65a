"""Blocking requests of the command-line tools, whose errors are one line for the operator."""

import http.client
import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import msgspec

from orchidhatch.control.http_client import Address, call_blocking

RESPONSE_TIMEOUT_S = 10.0  # the service closes a request after 5 s
WATCH_TIMEOUT_S = 6.0  # without a line; a watch gets an empty line every 2 s
WATCH_PATH = "/catalog/members?watch=1&after="

ResponseType = TypeVar("ResponseType")


class CallError(Exception):
    """A request that was refused or got no valid response; the text is one line for the operator."""


def parse_address(text: str) -> Address:
    """Return the host and port of host:port. Raises CallError if it is malformed."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise CallError(f"'{text}' is not host:port")
    return host, int(port)


def describe_refusal(status: int, value: object) -> str:
    """Return the status of a refusal with the service's reason, if it gives one."""
    if isinstance(value, dict) and "error" in value:
        return f"no ({status}): {value['error']}"
    return f"no ({status})"


def call(at: str, method: str, path: str, body: dict[str, Any] | None = None) -> Any:  # noqa: ANN401 - JSON
    """Return the JSON response of the service at host:port. Raises CallError if the request fails."""
    address = parse_address(at)
    try:
        response = call_blocking(address, method, path, body, RESPONSE_TIMEOUT_S)
    except (OSError, http.client.HTTPException, ValueError) as error:  # ValueError: invalid path
        raise CallError(f"no answer from {at}: {error or type(error).__name__}") from error
    if not response.ok:
        raise CallError(describe_refusal(response.status, response.value))
    if not isinstance(response.value, dict):
        raise CallError(f"no answer from {at}: the response is not a JSON object")
    return response.value


def call_for(
    response_type: type[ResponseType],
    at: str,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
) -> ResponseType:
    """Call the service like `call` and convert the response to this type, ignoring unknown fields."""
    value = call(at, method, path, body)
    try:
        return msgspec.convert(value, response_type)
    except msgspec.ValidationError as error:
        raise CallError(f"unexpected response from {at}: {error}") from error


@contextmanager
def open_watch(at: str, after: int, timeout_s: float) -> Iterator[http.client.HTTPResponse]:
    """Open a watch at the service at host:port and yield its response, to be read line by line.

    Raises CallError if the watch is refused, and OSError or http.client.HTTPException if the connection fails
    or nothing is received for `timeout_s`.
    """
    connection = http.client.HTTPConnection(*parse_address(at), timeout=timeout_s)
    try:
        connection.request("GET", f"{WATCH_PATH}{after}")
        response = connection.getresponse()
        if response.status != 200:
            raise CallError(describe_refusal(response.status, decode_error(response.read())))
        yield response
    finally:
        connection.close()


def decode_error(content: bytes) -> object:
    """Return the JSON value of an error response's body, None if it is not JSON."""
    try:
        return json.loads(content)
    except ValueError:
        return None


def watch_events(at: str, after: int) -> Iterator[dict[str, Any]]:
    """Yield the events of a watch as JSON objects. Raises CallError when the watch fails or ends."""
    try:
        with open_watch(at, after, WATCH_TIMEOUT_S) as response:
            while line := response.readline():
                if line.strip():
                    yield json.loads(line)
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise CallError(f"the watch on {at} failed: {error or type(error).__name__}") from error
    raise CallError(f"{at} ended the watch")
