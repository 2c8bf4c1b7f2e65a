"""JSON texts of the registry's records, to and from typed values."""

import json
from typing import TypeVar

import msgspec

ValueT = TypeVar("ValueT")


def decode_stored(text: str, value_type: type[ValueT]) -> ValueT:
    """The value in a record's text; raises ValueError where it is of another type or nested too deeply.

    Not by msgspec's own parser: records may hold lone surrogates, which come from command lines that are not
    UTF-8, and which it rejects.
    """
    try:
        return msgspec.convert(json.loads(text), value_type)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def encode_stored(value: msgspec.Struct) -> str:
    """The text of a record, in the form that earlier versions write."""
    return json.dumps(msgspec.to_builtins(value))
