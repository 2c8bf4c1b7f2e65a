"""The SQLite file of a store: its tables, and the statements that read and write them.

One process at a time uses the file; its lock is released when the process ends. The whole file is checked
when it is opened, and a damaged file is not used. The table names are older than the terms used in the code.
"""

import secrets
import sqlite3
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from orchidhatch.control.errors import CorruptStoreError, StoreError
from orchidhatch.control.ownership.claims_table import ObjectChanges
from orchidhatch.control.ownership.objects import encode_object
from orchidhatch.control.registry.checksums import list_checksum, record_checksum
from orchidhatch.control.registry.endpoints import Endpoint, encode_endpoint
from orchidhatch.control.registry.open_errors import typed_open_errors

APPLICATION_ID = 0x6F726368
FORMAT_VERSION = 1
LAST_CHANGE_KEY = "last"  # kind and name of the row that has the number of the last change
SQLITE_SUFFIXES = ("", "-wal", "-shm")

SCHEMA = f"""
PRAGMA application_id = {APPLICATION_ID};
PRAGMA user_version = {FORMAT_VERSION};
CREATE TABLE meta (
  only INTEGER PRIMARY KEY CHECK (only = 1), identity TEXT NOT NULL, term INTEGER NOT NULL,
  first INTEGER NOT NULL, generation INTEGER NOT NULL, digest TEXT NOT NULL
) STRICT;
CREATE TABLE entries (id TEXT PRIMARY KEY, record TEXT NOT NULL) STRICT, WITHOUT ROWID;
CREATE TABLE history (generation INTEGER PRIMARY KEY, record TEXT NOT NULL, digest TEXT NOT NULL) STRICT;
"""
# Files of the first version lack this table.
CLAIMS_SCHEMA = (
    "CREATE TABLE IF NOT EXISTS book (kind TEXT NOT NULL, name TEXT NOT NULL, "
    "record TEXT NOT NULL, digest TEXT NOT NULL, PRIMARY KEY (kind, name)) "
    "STRICT, WITHOUT ROWID"
)


class ListHeader(NamedTuple):
    """The properties of the whole endpoint list. `first` is the generation that its term started with."""

    identity: str
    term: int
    first: int
    generation: int

    def checksum(self, endpoints_sum: int) -> str:
        """Return the checksum of this header and the sum of the endpoints' digests."""
        return list_checksum(*self, endpoints_sum)


class StoreFile:
    """The open file. Only one thread at a time may use it, not necessarily always the same."""

    def __init__(self, path: Path) -> None:
        """Open the database; `loading` checks it."""
        self.path = path
        self.db = sqlite3.connect(path, isolation_level=None, timeout=0.0, check_same_thread=False)

    def close(self) -> None:
        """Close the database, which checkpoints its write-ahead log."""
        self.db.close()

    # --- opening ---

    @contextmanager
    def loading(self, create: bool, new_header: Callable[[str], ListHeader]) -> Iterator[None]:
        """Lock the file, create a new store if `create` is set and the file is empty, and check the file.

        The block reads within one transaction. Raises StoreError, or CorruptStoreError if the file is
        damaged, which includes a ValueError that the block raises.
        """
        try:
            with typed_open_errors(self.path.name):
                self._lock()
                if create and not self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                    self._create(new_header(secrets.token_hex(8)))
                self._check_integrity()
                yield
        finally:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")

    def _lock(self) -> None:
        """Lock the file until it is closed, and begin the transaction in which it is loaded."""
        self.db.execute("PRAGMA locking_mode = EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")
        self.db.execute("BEGIN IMMEDIATE")

    def _create(self, header: ListHeader) -> None:
        """Create the tables in one transaction, so that an interrupted creation leaves the file empty."""
        for statement in filter(None, map(str.strip, SCHEMA.split(";"))):
            self.db.execute(statement)
        self.db.execute("INSERT INTO meta VALUES (1, ?, ?, ?, ?, ?)", (*header, header.checksum(0)))
        self.db.execute("COMMIT")
        self.db.execute("BEGIN IMMEDIATE")

    def _check_integrity(self) -> None:
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        if version != FORMAT_VERSION:
            raise CorruptStoreError(f"{self.path.name} has format version {version}, not {FORMAT_VERSION}")
        [(message,), *more_messages] = self.db.execute("PRAGMA integrity_check(1)").fetchall()
        if message != "ok" or more_messages:
            raise CorruptStoreError(f"{self.path.name} is damaged: {' '.join(str(message).split())}")

    # --- reads while loading ---

    def read_header(self) -> tuple[ListHeader, str]:
        """Read the header and the checksum of the endpoint list."""
        query = "SELECT identity, term, first, generation, digest FROM meta"
        [(*header, checksum)] = self.db.execute(query).fetchall()
        return ListHeader(*header), checksum

    def read_endpoints(self) -> Iterable[tuple[str, str]]:
        """Yield the id and the stored form of each endpoint."""
        return self.db.execute("SELECT id, record FROM entries")

    def read_history(self) -> Iterator[tuple[int, str]]:
        """Yield the generation and stored form of each change, in order.

        Raises ValueError if a checksum does not match.
        """
        for generation, text, checksum in self.db.execute("SELECT * FROM history ORDER BY generation"):
            if checksum != record_checksum(generation, text):
                raise ValueError(f"change {generation} of the history does not match its digest")
            yield generation, text

    def read_objects(self) -> Iterator[tuple[str, str, str]]:
        """Yield kind, name and stored form of each row of the claims table, which is created if missing.

        The new table is committed after the last row. Raises ValueError if a checksum does not match.
        """
        self.db.execute(CLAIMS_SCHEMA)
        for kind, name, text, checksum in self.db.execute("SELECT * FROM book"):
            if checksum != record_checksum(kind, name, text):
                raise ValueError(f"{kind} {name!r:.80} does not match its digest")
            yield kind, name, text
        if self.db.in_transaction:
            self.db.execute("COMMIT")

    # --- writes ---

    @contextmanager
    def transaction(self) -> Iterator[None]:
        """Commit the block's writes durably, or none of them. Raises StoreError if SQLite fails."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            yield
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreError(f"cannot write {self.path.name}: {error}") from error

    def write_endpoints(self, changed: Sequence[Endpoint], last_dropped_generation: int) -> None:
        """Write changed endpoints and their history; delete the history up to and including a generation."""
        for endpoint in changed:
            text = encode_endpoint(endpoint)
            if endpoint.is_deleted:
                self.db.execute("DELETE FROM entries WHERE id = ?", (endpoint.id,))
            else:
                self.db.execute("INSERT OR REPLACE INTO entries VALUES (?, ?)", (endpoint.id, text))
            row = (endpoint.version, text, record_checksum(endpoint.version, text))
            self.db.execute("INSERT INTO history VALUES (?, ?, ?)", row)
        self.db.execute("DELETE FROM history WHERE generation <= ?", (last_dropped_generation,))

    def replace_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Replace all endpoints."""
        self.db.execute("DELETE FROM entries")
        rows = [(endpoint.id, encode_endpoint(endpoint)) for endpoint in endpoints]
        self.db.executemany("INSERT INTO entries VALUES (?, ?)", rows)

    def write_header(self, header: ListHeader, endpoints_sum: int) -> None:
        """Write the header of the endpoint list with its checksum."""
        self.db.execute(
            "UPDATE meta SET term = ?, first = ?, generation = ?, digest = ?",
            (header.term, header.first, header.generation, header.checksum(endpoints_sum)),
        )

    def clear_history(self) -> None:
        """Delete the whole history."""
        self.db.execute("DELETE FROM history")

    def write_objects(self, changes: ObjectChanges, last_change: int) -> None:
        """Write the changed rows of the claims table, and the number of the last change."""
        if not changes:
            return
        for (kind, name), owned in changes.items():
            if owned is None:
                self.db.execute("DELETE FROM book WHERE kind = ? AND name = ?", (kind, name))
            else:
                self._write_row(kind, name, encode_object(owned))
        self._write_row(LAST_CHANGE_KEY, LAST_CHANGE_KEY, str(last_change))

    def _write_row(self, kind: str, name: str, text: str) -> None:
        row = (kind, name, text, record_checksum(kind, name, text))
        self.db.execute("INSERT OR REPLACE INTO book VALUES (?, ?, ?, ?)", row)


def put_aside(path: Path) -> Path:
    """Rename a damaged file, with its write-ahead log, to an unused name, and return that name."""
    number = 0
    while (new_path := path.with_name(f"{path.name}.damaged{number or ''}")).exists():
        number += 1
    for suffix in SQLITE_SUFFIXES:
        file = Path(f"{path}{suffix}")
        if file.exists():
            file.replace(f"{new_path}{suffix}")
    return new_path
