"""What two processes of a handover send each other, as JSON can hold it: records as lists of their fields."""

import math
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, TypeGuard, get_args, get_origin, get_type_hints

from orchidhatch.gateway.snapshots import (
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverEjection,
    HandoverMessage,
    HandoverSpend,
)

TEXT_LIMIT = 256
"""Characters of one text."""
ROWS_LIMIT = 100_000
"""Items of one list."""
WHOLE_LIMIT = 1 << 63
"""Of a whole number, either way."""

MESSAGE_KINDS: dict[str, type[HandoverMessage]] = {
    "TwinSpend": HandoverSpend,
    "TwinSend": HandoverAttempt,
    "TwinEnd": HandoverAttemptEnd,
    "TwinMaint": HandoverEjection,
}
"""The messages between the two processes by their names on the wire, those of an earlier version."""

MESSAGE_NAMES = {kind: name for name, kind in MESSAGE_KINDS.items()}


def to_plain(value: object) -> object:
    """A record as a list of its fields in order, and so on within; other values as they are."""
    if is_dataclass(value):
        return [to_plain(getattr(value, field.name)) for field in fields(value)]
    return [to_plain(item) for item in value] if isinstance(value, tuple) else value


def from_plain(kind: Any, value: object) -> Any:  # noqa: ANN401 - it gives whatever kind is asked for
    """The reverse of `to_plain`; a ValueError where a value is not of its field's kind."""
    if kind is float and is_number(value) and math.isfinite(value):
        return float(value)
    if kind is int and type(value) is int and abs(value) < WHOLE_LIMIT:
        return value
    if kind is bool and isinstance(value, bool):
        return value
    if kind is str and isinstance(value, str) and len(value) <= TEXT_LIMIT:
        return value
    if isinstance(value, list) and get_origin(kind) is tuple and len(value) <= ROWS_LIMIT:
        item_kind = get_args(kind)[0]
        return tuple([from_plain(item_kind, item) for item in value])
    if isinstance(value, list) and kind not in (float, int, bool, str) and get_origin(kind) is None:
        kinds = field_kinds(kind)
        if len(kinds) == len(value):
            return kind(*map(from_plain, kinds, value))
    raise ValueError(f"{value!r:.40} is no {kind}")


def is_number(value: object) -> TypeGuard[int | float]:
    """Whether a value is a number; a bool is none."""
    return type(value) in (int, float)


@cache
def field_kinds(kind: type) -> tuple[Any, ...]:
    """The types of a record's fields, in order."""
    return tuple(get_type_hints(kind).values())
