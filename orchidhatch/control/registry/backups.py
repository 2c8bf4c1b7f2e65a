"""Copies of a list service's store: taken while it serves, tried before they count, kept by count and age.

A copy is made between two batches of writes, so it is the list as of one generation. It counts only once a
store has been opened from it, with everything in it held against its digests; until then it has another name.
"""

import re
import sqlite3
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from orchidhatch.control.registry.store import Store, StoreError

KEPT, KEPT_S = 24, 7 * 24 * 3600.0  # copies, and seconds that they are kept; the newest stays in any case
NAME = re.compile(r"list-(\d{1,16})-(\d{1,20})\.db")


class Backups:
    """The copies in one folder. `wall_s` is the wall clock, as ages must go on over a restart."""

    def __init__(
        self, folder: Path, kept: int = KEPT, kept_s: float = KEPT_S, wall_s: Callable[[], float] = time.time
    ) -> None:
        self.folder, self.kept, self.kept_s, self.wall_s = folder, kept, kept_s, wall_s
        self.made = self.failed = 0

    def make(self, store: Store) -> dict[str, Any]:
        """Copy, try, keep, and drop what is too old or too many; what the copy holds. A StoreError where that
        fails. This waits for the disk; nobody else may write to the store meanwhile."""
        draft = self.folder / "list.db.new"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            copy(store, draft)
            found = tried(draft)
            path = self.folder / f"list-{found['term']}-{found['generation']}.db"
            draft.replace(path)
            self.drop()
        except (OSError, sqlite3.Error) as error:
            self.failed += 1
            raise StoreError(f"cannot back up {store.path.name}: {error}") from error
        except StoreError:
            self.failed += 1
            raise
        self.made += 1
        return {"file": path.name, **found}

    def copies(self) -> list[Path]:
        """The oldest first, by term and generation."""
        found = [
            (tuple(map(int, match.groups())), path)
            for path in self.folder.glob("list-*.db")
            if (match := NAME.fullmatch(path.name))
        ]
        return [path for _, path in sorted(found)]

    def drop(self) -> None:
        *older, _ = self.copies()
        for number, path in enumerate(reversed(older), start=2):
            if number > self.kept or self.wall_s() - path.stat().st_mtime > self.kept_s:
                path.unlink()


def copy(store: Store, into: Path) -> None:
    for end in ("", "-wal", "-shm"):  # of a copy that was cut short
        Path(f"{into}{end}").unlink(missing_ok=True)
    target = sqlite3.connect(into)
    try:
        store.db.backup(target)
    finally:
        target.close()


def tried(path: Path) -> dict[str, Any]:
    """What a store opened from the copy holds; it is closed again, and its log written back."""
    store = Store(path)
    try:
        return {
            "term": store.term,
            "generation": store.generation,
            "entries": len(store.entries),
            "claims": len(store.book.claims),
            "records": len(store.book.records),
        }
    finally:
        store.close()
