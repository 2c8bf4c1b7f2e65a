"""What two processes of a handover send each other, as JSON can hold it: records as lists of their fields.

Lists have to be complete, so that a field that is added later has a default and goes beside the list of its
record, by its name. The version before does not look for it. Only records that are not within others can
have such fields.
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
    """A record as a list of its fields without default, and so on within; other values as they are."""
    if is_dataclass(value):
        return [to_plain(getattr(value, field.name)) for field in fields(value) if not is_optional(field)]
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


def optional_to_plain(record: Any) -> dict[str, object]:  # noqa: ANN401 - any record
    """The fields that have another value than their default, by name."""
    optional = [field for field in fields(record) if is_optional(field)]
    values = [(field, getattr(record, field.name)) for field in optional]
    return {field.name: to_plain(value) for field, value in values if value != field.default}


def from_plain_with_optional(kind: Any, value: object, optional: Mapping[str, object]) -> Any:  # noqa: ANN401
    """The reverse of `to_plain` and `optional_to_plain`; names that are not known here are ignored."""
    record = from_plain(kind, value)
    kinds = optional_kinds(kind)
    return replace(
        record, **{name: from_plain(kinds[name], optional[name]) for name in kinds if name in optional}
    )


def is_optional(field: "Field[Any]") -> bool:
    """Whether a field is later than its record, and so has a default."""
    return field.default is not MISSING


def is_number(value: object) -> TypeGuard[int | float]:
    """Whether a value is a number; a bool is none."""
    return type(value) in (int, float)


@cache
def field_kinds(kind: type) -> tuple[Any, ...]:
    """The types of a record's fields, in order; of a dataclass those without default."""
    hints = get_type_hints(kind)
    optional = optional_kinds(kind) if is_dataclass(kind) else {}
    return tuple([hint for name, hint in hints.items() if name not in optional])


@cache
def optional_kinds(kind: type) -> dict[str, Any]:
    """The types of the fields with a default, by name."""
    hints = get_type_hints(kind)
    return {field.name: hints[field.name] for field in fields(kind) if is_optional(field)}
