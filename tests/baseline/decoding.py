"""Reads the recorded values of scripts/record-baseline into the classes of today."""

import enum
import json
from pathlib import Path
from typing import Any

from orchidhatch.gateway import interface

FOLDER = Path(__file__).parents[1] / "data" / "baseline"
# Classes whose name has changed since the recording: name then -> class now. Fields keep their order.
RENAMED: dict[str, type] = {}


def class_of(name: str) -> Any:  # noqa: ANN401 - a dataclass, a named tuple or an enum
    return RENAMED.get(name) or getattr(interface, name)


def decode(value: Any) -> Any:  # noqa: ANN401 - JSON in, a record of the interface out
    """The reverse of the script's `encode`."""
    if not isinstance(value, dict):
        return value
    if "type" in value:
        return class_of(value["type"])(*map(decode, value["fields"]))
    if "enum" in value:
        kind: type[enum.Enum] = class_of(value["enum"])
        return kind[value["name"]]
    if "tuple" in value:
        return tuple(map(decode, value["tuple"]))
    return frozenset(value["set"])


def read(name: str) -> Any:  # noqa: ANN401 - JSON
    return json.loads((FOLDER / name).read_text())
