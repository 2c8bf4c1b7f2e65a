"""Responses of the control plane's HTTP servers, and the status that each error has."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from orchidhatch.control.errors import (
    ConflictError,
    InvalidRequestError,
    NotFoundError,
    RequestTimeoutError,
    RequestTooLargeError,
    UnavailableError,
)

STORE_HEADER = "Orchidhatch-Store"  # names the store that generations belong to: its identity and term
MAX_TERM_DIGITS = 16
JSON_CONTENT_TYPE = "application/json"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"

# The class that is nearest to the error's own counts.
STATUS_OF_ERROR: Mapping[type[Exception], HTTPStatus] = {
    InvalidRequestError: HTTPStatus.BAD_REQUEST,
    RequestTimeoutError: HTTPStatus.REQUEST_TIMEOUT,
    RequestTooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    NotFoundError: HTTPStatus.NOT_FOUND,
    ConflictError: HTTPStatus.CONFLICT,
    UnavailableError: HTTPStatus.SERVICE_UNAVAILABLE,
    ValueError: HTTPStatus.BAD_REQUEST,  # of the standard library, over a URL that makes no sense
}


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every response that is no success."""

    error: str


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response. `value` is encoded as JSON, bytes are sent as they are."""

    status: int
    value: object
    kind: str = JSON_CONTENT_TYPE

    def body(self) -> bytes:
        """The encoded body."""
        if isinstance(self.value, bytes):
            return self.value
        # Not msgspec.json.encode: records of older versions may hold lone surrogates, which it refuses.
        return json.dumps(msgspec.to_builtins(self.value)).encode() + b"\n"


def has_status(error: Exception) -> bool:
    """Whether the error is the client's to handle, rather than a fault of the program."""
    return isinstance(error, tuple(STATUS_OF_ERROR))


def error_response(error: Exception) -> Response:
    """The response to a request that failed with one of the errors of `STATUS_OF_ERROR`."""
    status = next(STATUS_OF_ERROR[kind] for kind in type(error).__mro__ if kind in STATUS_OF_ERROR)
    return Response(status, ErrorBody(str(error)))


def term_of(store_name: str) -> int:
    """The term in a store's name; 0 for a service that names none."""
    term = store_name.rpartition(" ")[2]
    is_number = term.isascii() and term.isdigit() and len(term) <= MAX_TERM_DIGITS
    return int(term) if is_number else 0
