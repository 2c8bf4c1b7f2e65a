"""A bound for maps that remember names: the least useful entries are forgotten. It decides nothing."""

from collections.abc import Container
from typing import TypeVar

Key = TypeVar("Key")


def forget_excess(entries: dict[Key, bool], limit: int, kept: Container[Key]) -> None:
    """Delete entries until `limit` are left, or only those in `kept`.

    First go the oldest whose value is false, then the oldest whose value is true.
    """
    excess = len(entries) - limit
    if excess <= 0:
        return
    spare = [key for key in entries if key not in kept]
    spare.sort(key=entries.__getitem__)
    for key in spare[:excess]:
        del entries[key]
