"""Encoding and decoding of the JSON texts in the registry's records."""

import json
from typing import TypeVar

import msgspec

ValueT = TypeVar("ValueT")


def decode_stored(text: str, value_type: type[ValueT]) -> ValueT:
    """Return the value in a record's text.

    Raises ValueError if it is malformed, of another type or nested too deeply. The text is not parsed by
    msgspec, which rejects lone surrogates: records may contain them, from command lines that are not UTF-8.
    """
    try:
        return msgspec.convert(json.loads(text), value_type)
    except RecursionError as error:
        raise ValueError("the JSON value is nested too deeply") from error


def encode_stored(value: msgspec.Struct) -> str:
    """Return the text of a record in the form that earlier versions write."""
    return json.dumps(msgspec.to_builtins(value))
