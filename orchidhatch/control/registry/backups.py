"""Backups of a registry's store: made while it serves, verified before they count, kept by count and age.

A backup is made between two batches of writes, so it is the endpoint list as of one generation. It counts
only once a store was opened from it, with everything in it compared to its checksums; until then it has
another name.
"""

import re
import sqlite3
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from orchidhatch.control.errors import StoreError
from orchidhatch.control.registry.store import Store

MAX_BACKUPS = 24
MAX_BACKUP_AGE_S = 7 * 24 * 3600.0  # the newest is kept in any case
UNVERIFIED_NAME = "list.db.new"
BACKUP_NAME = re.compile(r"list-(?P<term>\d{1,16})-(?P<generation>\d{1,20})\.db")
SQLITE_SUFFIXES = ("", "-wal", "-shm")  # of a database, its log and the log's index


class BackupSummary(msgspec.Struct, frozen=True):
    """The name of a backup's file and what it holds; field names are on the wire."""

    file: str
    term: int
    generation: int
    entries: int
    claims: int
    records: int


class Backups:
    """The backups in one folder.

    `wall_clock_s` is the wall clock in seconds, as ages must go on over a restart. `completed` and `failed`
    count backups since the start.
    """

    def __init__(
        self,
        folder: Path,
        max_backups: int = MAX_BACKUPS,
        max_age_s: float = MAX_BACKUP_AGE_S,
        wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        self.folder = folder
        self.max_backups = max_backups
        self.max_age_s = max_age_s
        self.wall_clock_s = wall_clock_s
        self.completed = 0
        self.failed = 0

    def create(self, store: Store) -> BackupSummary:
        """Make and verify a backup, then delete those that are too old or too many.

        This waits for the disk; nobody else may write to the store meanwhile. Raises StoreError.
        """
        try:
            summary = self._create_verified(store)
            self._delete_expired()
        except (OSError, sqlite3.Error) as error:
            self.failed += 1
            raise StoreError(f"cannot back up {store.path.name}: {error}") from error
        except StoreError:
            self.failed += 1
            raise
        self.completed += 1
        return summary

    def list_files(self) -> list[Path]:
        """The backups, the oldest first by term and generation."""
        matches = [BACKUP_NAME.fullmatch(path.name) for path in self.folder.glob("list-*.db")]
        found = [(int(match["term"]), int(match["generation"]), match[0]) for match in matches if match]
        return [self.folder / name for _, _, name in sorted(found)]

    def _create_verified(self, store: Store) -> BackupSummary:
        self.folder.mkdir(parents=True, exist_ok=True)
        unverified = self.folder / UNVERIFIED_NAME
        copy_store(store, unverified)
        summary = verify_backup(unverified)
        unverified.replace(self.folder / summary.file)
        return summary

    def _delete_expired(self) -> None:
        *older, _newest = self.list_files()
        for position, path in enumerate(reversed(older), start=2):
            is_too_old = self.wall_clock_s() - path.stat().st_mtime > self.max_age_s
            if position > self.max_backups or is_too_old:
                path.unlink()


def delete_database(path: Path) -> None:
    """Delete a SQLite database with its log, as far as they exist."""
    for suffix in SQLITE_SUFFIXES:
        Path(f"{path}{suffix}").unlink(missing_ok=True)


def copy_store(store: Store, target: Path) -> None:
    """Copy an open store's database to a file, in place of an interrupted copy. Raises sqlite3.Error."""
    delete_database(target)
    database = sqlite3.connect(target)
    try:
        store.db.backup(database)
    finally:
        database.close()


def verify_backup(path: Path) -> BackupSummary:
    """Open a store from this file, which compares its checksums, and summarize it under its final name.

    The store is closed again, so that its log is written back to the file. Raises StoreError.
    """
    store = Store(path)
    try:
        return BackupSummary(
            file=f"list-{store.term}-{store.generation}.db",
            term=store.term,
            generation=store.generation,
            entries=len(store.entries),
            claims=len(store.claims_table.claims),
            records=len(store.claims_table.records),
        )
    finally:
        store.close()
