"""Decodes the JSON bodies of requests and converts them to typed messages.

Duplicate fields, NaN and Infinity are errors here, although msgspec's own decoder accepts them; msgspec
checks the fields and their bounds.
"""

import json
from collections.abc import Mapping
from typing import Any, NoReturn, TypeVar

import msgspec

from orchidhatch.control.errors import InvalidRequestError

MAX_BODY_BYTES = 8192  # an endpoint needs about 300, a policy document up to 5,000
MAX_ERROR_CHARACTERS = 250

Message = TypeVar("Message")


def reject_constant(name: str) -> NoReturn:
    """Raise InvalidRequestError for NaN and Infinity; the `parse_constant` of json.loads."""
    raise InvalidRequestError(f"{name} is not a valid number")


def reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the object; the `object_pairs_hook` of json.loads.

    Raises InvalidRequestError if a field occurs twice.
    """
    values = dict(pairs)
    if len(values) != len(pairs):
        raise InvalidRequestError("a field is given twice")
    return values


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object of limited size. Raises InvalidRequestError if the body is too long or invalid."""
    if len(body) > MAX_BODY_BYTES:
        raise InvalidRequestError(f"the body is longer than {MAX_BODY_BYTES} bytes")
    try:
        values = json.loads(body, parse_constant=reject_constant, object_pairs_hook=reject_duplicates)
    except (
        ValueError,
        RecursionError,
    ) as error:  # ValueError includes invalid UTF-8 and integers that are too long
        raise InvalidRequestError(f"the body is not JSON: {' '.join(str(error).split()):.120}") from error
    if not isinstance(values, dict):
        raise InvalidRequestError("the body is not a JSON object")
    return values


def convert_message(values: Mapping[str, Any], message_type: type[Message]) -> Message:
    """Return the message with these fields. Raises InvalidRequestError, with its name, if one is invalid."""
    try:
        return msgspec.convert(values, message_type, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidRequestError(_one_line(str(error))) from error


def _one_line(text: str) -> str:
    """Return a text, which may contain names from a request, as one printable line of limited length."""
    line = " ".join(text.split())[:MAX_ERROR_CHARACTERS]
    return "".join(character if character.isprintable() else "?" for character in line)


def decode_message(body: bytes, message_type: type[Message]) -> Message:
    """Return the message in a body. Raises InvalidRequestError if the body is invalid."""
    return convert_message(decode_object(body), message_type)
