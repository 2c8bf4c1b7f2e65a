"""Backups of a registry's store: taken while it serves, verified, and limited in number and age.

A backup is taken between two batches of writes, so it has the endpoint list of a single generation. It is
verified by opening a store from it, which compares everything with its checksums. Until then the file has a
temporary name and is not regarded as a backup.
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
MAX_BACKUP_AGE_S = 7 * 24 * 3600.0  # the newest backup is always kept
UNVERIFIED_NAME = "list.db.new"
BACKUP_NAME = re.compile(r"list-(?P<term>\d{1,16})-(?P<generation>\d{1,20})\.db")
SQLITE_SUFFIXES = ("", "-wal", "-shm")  # the database, its write-ahead log and the log's index


class BackupSummary(msgspec.Struct, frozen=True):
    """The file name and the contents of a backup; the field names are on the wire."""

    file: str
    term: int
    generation: int
    entries: int
    claims: int
    records: int


class Backups:
    """The backups in one folder.

    `wall_clock_s` returns the wall-clock time in seconds, as ages must survive a restart. `completed` and
    `failed` count backups since the start.
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
        """Create and verify a backup, then delete backups that are too old or exceed the maximum number.

        Blocks on the disk; the store must not be written to meanwhile. Raises StoreError.
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
        """Return the backup files in order of term and generation, oldest first."""
        matches = [BACKUP_NAME.fullmatch(path.name) for path in self.folder.glob("list-*.db")]
        versions = [(int(match["term"]), int(match["generation"]), match[0]) for match in matches if match]
        return [self.folder / name for _, _, name in sorted(versions)]

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
    """Delete the files of a SQLite database, including its log, if they exist."""
    for suffix in SQLITE_SUFFIXES:
        Path(f"{path}{suffix}").unlink(missing_ok=True)


def copy_store(store: Store, target: Path) -> None:
    """Copy an open store's database to a file, replacing an interrupted copy. Raises sqlite3.Error."""
    delete_database(target)
    database = sqlite3.connect(target)
    try:
        store.db.backup(database)
    finally:
        database.close()


def verify_backup(path: Path) -> BackupSummary:
    """Verify a backup by opening a store from it, and return its summary with its final file name.

    The store is closed again, so that its write-ahead log is checkpointed. Raises StoreError.
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
