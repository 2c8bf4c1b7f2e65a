"""The encoding of handover messages as JSON-compatible values: each record is a list of its fields.

The lists must be complete. A field that is added later therefore has a default, and is encoded by name beside
the list of its record, where the previous version does not look for it. Only top-level records can have such
fields.
"""

import math
from collections.abc import Mapping
from dataclasses import MISSING, Field, fields, is_dataclass, replace
from functools import cache
from typing import Any, TypeGuard, get_args, get_origin, get_type_hints

from orchidhatch.gateway.snapshots import (
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverEjection,
    HandoverMessage,
    HandoverSpend,
)

MAX_TEXT_LENGTH = 256
"""Maximum characters of one text."""
MAX_LIST_LENGTH = 100_000
"""Maximum items of one list."""
INTEGER_BOUND = 1 << 63
"""Exclusive bound of the absolute value of an integer."""

MESSAGE_TYPES: dict[str, type[HandoverMessage]] = {
    "TwinSpend": HandoverSpend,
    "TwinSend": HandoverAttempt,
    "TwinEnd": HandoverAttemptEnd,
    "TwinMaint": HandoverEjection,
}
"""The messages between the two processes by wire name; the names are those of an earlier version."""

MESSAGE_NAMES = {record_type: name for name, record_type in MESSAGE_TYPES.items()}


def to_plain(value: object) -> object:
    """Return a record as a list of its fields without default, recursively; other values unchanged."""
    if is_dataclass(value):
        return [to_plain(getattr(value, field.name)) for field in fields(value) if not is_optional(field)]
    return [to_plain(item) for item in value] if isinstance(value, tuple) else value


def from_plain(expected_type: Any, value: object) -> Any:  # noqa: ANN401 - returns whatever type is requested
    """Reverse `to_plain`. Raises ValueError if a value is not of its field's type."""
    if expected_type is float and is_number(value) and math.isfinite(value):
        return float(value)
    if expected_type is int and type(value) is int and abs(value) < INTEGER_BOUND:
        return value
    if expected_type is bool and isinstance(value, bool):
        return value
    if expected_type is str and isinstance(value, str) and len(value) <= MAX_TEXT_LENGTH:
        return value
    if isinstance(value, list) and get_origin(expected_type) is tuple and len(value) <= MAX_LIST_LENGTH:
        item_type = get_args(expected_type)[0]
        return tuple([from_plain(item_type, item) for item in value])
    if (
        isinstance(value, list)
        and expected_type not in (float, int, bool, str)
        and get_origin(expected_type) is None
    ):
        types = required_field_types(expected_type)
        if len(types) == len(value):
            return expected_type(*map(from_plain, types, value))
    raise ValueError(f"{value!r:.40} is not of type {expected_type}")


def optional_to_plain(record: Any) -> dict[str, object]:  # noqa: ANN401 - any record
    """Return the fields whose value differs from their default, by name."""
    optional = [field for field in fields(record) if is_optional(field)]
    values = [(field, getattr(record, field.name)) for field in optional]
    return {field.name: to_plain(value) for field, value in values if value != field.default}


def from_plain_with_optional(record_type: Any, value: object, optional: Mapping[str, object]) -> Any:  # noqa: ANN401
    """Reverse `to_plain` and `optional_to_plain`; unknown names are ignored."""
    record = from_plain(record_type, value)
    types = optional_field_types(record_type)
    return replace(
        record, **{name: from_plain(types[name], optional[name]) for name in types if name in optional}
    )


def is_optional(field: "Field[Any]") -> bool:
    """Return whether a field was added to its record later, and so has a default."""
    return field.default is not MISSING


def is_number(value: object) -> TypeGuard[int | float]:
    """Return whether a value is a number; a bool is not."""
    return type(value) in (int, float)


@cache
def required_field_types(record_type: type) -> tuple[Any, ...]:
    """Return the types of a record's fields, in order; of a dataclass only those without default."""
    hints = get_type_hints(record_type)
    optional = optional_field_types(record_type) if is_dataclass(record_type) else {}
    return tuple([hint for name, hint in hints.items() if name not in optional])


@cache
def optional_field_types(record_type: type) -> dict[str, Any]:
    """Return the types of the fields with a default, by name."""
    hints = get_type_hints(record_type)
    return {field.name: hints[field.name] for field in fields(record_type) if is_optional(field)}
