"""Responses, and the status of each error."""

import json

import pytest

from orchidhatch.control import errors
from orchidhatch.control.http_response import ErrorBody, Response, error_response, has_status, term_of

STATUSES = {
    errors.InvalidRequestError: 400,
    errors.NotFoundError: 404,
    errors.RequestTimeoutError: 408,
    errors.ConflictError: 409,
    errors.RequestTooLargeError: 413,
    errors.UnavailableError: 503,
    errors.StoreError: 503,
    errors.CorruptStoreError: 503,
}


def test_each_error_of_the_tree_has_a_status() -> None:
    defined = {value for value in vars(errors).values() if isinstance(value, type)}
    assert defined - {errors.ControlError} == set(STATUSES)


@pytest.mark.parametrize(("error", "status"), STATUSES.items())
def test_error_response_has_status_and_text(error: type[Exception], status: int) -> None:
    assert error_response(error("the reason")) == Response(status, ErrorBody("the reason"))


def test_unknown_error_has_no_status() -> None:
    assert not has_status(RuntimeError("a fault of the program"))


def test_body_is_ascii_json_on_a_line() -> None:
    body = Response(200, ErrorBody("caf\u00e9 \ud800")).body()
    assert body == b'{"error": "caf\\u00e9 \\ud800"}\n' and json.loads(body)


@pytest.mark.parametrize(
    ("store_name", "term"),
    [("0011 3", 3), ("0011 12", 12), ("", 0), ("0011 -3", 0), ("0011 " + "9" * 17, 0)],
)
def test_term_of_a_store_name_without_one_is_0(store_name: str, term: int) -> None:
    assert term_of(store_name) == term
