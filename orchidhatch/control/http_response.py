"""Responses of the control plane's HTTP servers, and the HTTP status of each error."""

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

STORE_HEADER = "Orchidhatch-Store"  # the identity and term of the store that generations belong to
MAX_TERM_DIGITS = 16
JSON_CONTENT_TYPE = "application/json"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"

# The first class in the error's method resolution order determines its status.
STATUS_OF_ERROR: Mapping[type[Exception], HTTPStatus] = {
    InvalidRequestError: HTTPStatus.BAD_REQUEST,
    RequestTimeoutError: HTTPStatus.REQUEST_TIMEOUT,
    RequestTooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    NotFoundError: HTTPStatus.NOT_FOUND,
    ConflictError: HTTPStatus.CONFLICT,
    UnavailableError: HTTPStatus.SERVICE_UNAVAILABLE,
    ValueError: HTTPStatus.BAD_REQUEST,  # raised by the standard library for an invalid URL
}


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every error response."""

    error: str


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response. `value` is encoded as JSON, except for bytes, which are sent unchanged."""

    status: int
    value: object
    kind: str = JSON_CONTENT_TYPE

    def body(self) -> bytes:
        """Return the encoded body."""
        if isinstance(self.value, bytes):
            return self.value
        # Not msgspec.json.encode: it rejects lone surrogates, which records of older versions may contain.
        return json.dumps(msgspec.to_builtins(self.value)).encode() + b"\n"


def has_status(error: Exception) -> bool:
    """Return whether the error is reported to the client, rather than a fault of the program."""
    return isinstance(error, tuple(STATUS_OF_ERROR))


def error_response(error: Exception) -> Response:
    """Return the response to a request that failed with an error of `STATUS_OF_ERROR`."""
    status = next(STATUS_OF_ERROR[class_] for class_ in type(error).__mro__ if class_ in STATUS_OF_ERROR)
    return Response(status, ErrorBody(str(error)))


def term_of(store_name: str) -> int:
    """Return the term in a store's name, 0 if there is none."""
    term = store_name.rpartition(" ")[2]
    is_number = term.isascii() and term.isdigit() and len(term) <= MAX_TERM_DIGITS
    return int(term) if is_number else 0
