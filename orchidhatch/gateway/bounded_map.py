"""A size limit for maps of known names: the least useful entries are deleted. Has no decision logic."""

from collections.abc import Container
from typing import TypeVar

Key = TypeVar("Key")


def forget_excess(entries: dict[Key, bool], limit: int, protected: Container[Key]) -> None:
    """Delete entries until `limit` are left, or only those in `protected`.

    Entries whose value is false are deleted before those whose value is true, and older before newer ones.
    """
    excess = len(entries) - limit
    if excess <= 0:
        return
    removable = [key for key in entries if key not in protected]
    removable.sort(key=entries.__getitem__)
    for key in removable[:excess]:
        del entries[key]
