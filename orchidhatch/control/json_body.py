"""The JSON bodies of requests: decoded once, and converted to a typed message.

Duplicate fields and numbers that are none (NaN, Infinity) are errors, which msgspec's own decoder would let
pass; fields and their bounds are checked by msgspec.
"""

import json
from collections.abc import Mapping
from typing import Any, NoReturn, TypeVar

import msgspec

from orchidhatch.control.errors import InvalidRequestError

MAX_BODY_BYTES = 8192  # an endpoint takes some 300, a policy document up to 5,000
MAX_ERROR_CHARACTERS = 250

Message = TypeVar("Message")


def reject_constant(name: str) -> NoReturn:
    """For a JSON parser: raise InvalidRequestError for NaN and Infinity."""
    raise InvalidRequestError(f"{name} is no number")


def reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """For a JSON parser: the object, or InvalidRequestError where a field is given twice."""
    values = dict(pairs)
    if len(values) != len(pairs):
        raise InvalidRequestError("a field is given twice")
    return values


def decode_object(body: bytes) -> dict[str, Any]:
    """A JSON object of bounded size. Raises InvalidRequestError."""
    if len(body) > MAX_BODY_BYTES:
        raise InvalidRequestError(f"the body is longer than {MAX_BODY_BYTES} bytes")
    try:
        values = json.loads(body, parse_constant=reject_constant, object_pairs_hook=reject_duplicates)
    except (ValueError, RecursionError) as error:  # not UTF-8 is a ValueError too, and so is a huge integer
        raise InvalidRequestError(f"the body is not JSON: {' '.join(str(error).split()):.120}") from error
    if not isinstance(values, dict):
        raise InvalidRequestError("the body is not a JSON object")
    return values


def convert_message(values: Mapping[str, Any], message_type: type[Message]) -> Message:
    """The message with these fields. Raises InvalidRequestError, which names the field."""
    try:
        return msgspec.convert(values, message_type, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidRequestError(_one_line(str(error))) from error


def _one_line(text: str) -> str:
    """A text that may hold names from a request, as one plain line of bounded length."""
    line = " ".join(text.split())[:MAX_ERROR_CHARACTERS]
    return "".join(character if character.isprintable() else "?" for character in line)


def decode_message(body: bytes, message_type: type[Message]) -> Message:
    """The message in a body. Raises InvalidRequestError."""
    return convert_message(decode_object(body), message_type)
