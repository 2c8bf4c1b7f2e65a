"""The list of backends on disk: entries, generation and history, in one SQLite file.

A write is acknowledged once its transaction is durable. Readers see a copy in memory, which changes only
after the commit. At the start everything is checked, and a store that is not sound is not opened.
"""

import hashlib
import json
import secrets
import sqlite3
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from orchidhatch.control.ownership import claims
from orchidhatch.control.ownership.claims import (
    BookWrite,
    ClaimsTable,
    ClaimsTransaction,
    ConflictError,
    Fence,
    NotFoundError,
    Thing,
)

FORMAT = 1
MOST_HISTORY = 10_000  # changes that a watch may resume over; past it the whole list is told
MOST_ENTRIES = 100_000
MODULUS = 1 << 256  # digests of entries are added up by it
LAST = "last"  # the count of the book's changes, where kind and name of a thing would stand

LIFECYCLES = ("SERVING", "DRAINING")
DELETED = "DELETED"

SCHEMA = f"""
PRAGMA application_id = {0x6F726368};
PRAGMA user_version = {FORMAT};
CREATE TABLE meta (
  only INTEGER PRIMARY KEY CHECK (only = 1), identity TEXT NOT NULL, term INTEGER NOT NULL,
  first INTEGER NOT NULL, generation INTEGER NOT NULL, digest TEXT NOT NULL
) STRICT;
CREATE TABLE entries (id TEXT PRIMARY KEY, record TEXT NOT NULL) STRICT, WITHOUT ROWID;
CREATE TABLE history (generation INTEGER PRIMARY KEY, record TEXT NOT NULL, digest TEXT NOT NULL) STRICT;
"""


class StoreError(Exception):
    """The store cannot be opened or written; the text is one plain line."""


class CorruptStoreError(StoreError):
    """What is on disk is not what was written. The file is left as it is, for a person to look at."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A backend as listed: `version` is the generation of its last change, `life` of its registration."""

    id: str
    address: str
    zone: str
    kind: str
    cell: int
    lifecycle: str
    weight: float
    started_ms: int
    version: int = 0
    life: int = 0
    lease_ms: int = 0  # how long it is listed without a renewal; 0: until it is removed


@dataclass(frozen=True, slots=True)
class Register:
    """Enter a backend, or enter it anew after a restart: a new life begins."""

    entry: Entry
    if_version: int | None = None  # 0: only if it is not listed


@dataclass(frozen=True, slots=True)
class Change:
    """Change how a listed backend may be used."""

    id: str
    lifecycle: str
    if_version: int | None = None
    fence: Fence | None = None  # in whose name, if on behalf of the fleet


@dataclass(frozen=True, slots=True)
class Remove:
    """Take a backend off the list."""

    id: str
    if_version: int | None = None
    life: int | None = None  # only this life of it, as its lease has run out
    fence: Fence | None = None


@dataclass(frozen=True, slots=True)
class Put:
    """What another store says of a backend: it holds, whatever is known here. A life of 0 is not known."""

    entry: Entry


ListWrite = Register | Change | Remove | Put
Write = ListWrite | BookWrite
Outcome = Entry | Thing | ConflictError


def text_of(entry: Entry) -> str:
    return json.dumps(asdict(entry), sort_keys=True, allow_nan=False)


def digest_of(text: str) -> int:
    return int.from_bytes(hashlib.sha256(text.encode()).digest())


def part_of(entry: Entry | None) -> int:
    """What a listed entry adds to the sum of digests."""
    return digest_of(text_of(entry)) if entry else 0


def seal(identity: str, term: int, first: int, generation: int, entries: int) -> str:
    """The digest of all but the history: the entries come in as the sum of theirs."""
    return hashlib.sha256(f"{identity} {term} {first} {generation} {entries:064x}".encode()).hexdigest()


def read_entry(text: str) -> Entry:
    return Entry(**json.loads(text))


def put_aside(path: Path) -> Path:
    """Keep a file that is damaged, with its log, under a name that is free."""
    number = 0
    while (aside := path.with_name(f"{path.name}.damaged{number or ''}")).exists():
        number += 1
    for end in ("", "-wal", "-shm"):
        part = Path(f"{path}{end}")
        if part.exists():
            part.replace(f"{aside}{end}")
    return aside


class Batch:
    """Writes that were held against the list, and what they come to."""

    def __init__(self, outcomes: list[Outcome], generation: int, total: int, book: ClaimsTransaction) -> None:
        self.outcomes, self.generation, self.total, self.book = outcomes, generation, total, book
        self.changed = [outcome for outcome in outcomes if isinstance(outcome, Entry)]


class Store:
    """An open store. One process at a time has it, by a lock that ends with the process.

    A new one is made only where that is asked for: a file that is gone or empty is no empty list. Its
    generations go on from `first`, which is to be above all that any store before it has given, as a watch
    would else resume over another list's changes.
    """

    def __init__(
        self,
        path: Path,
        create: bool = False,
        first: int = 0,
        most_history: int = MOST_HISTORY,
        term: int = 1,
    ) -> None:
        self.path, self.first, self.term, self.most_history = path, first, term, most_history
        self.entries: dict[str, Entry] = {}
        self.history: dict[int, Entry] = {}  # by generation; one removed is DELETED there
        self.sum = 0
        self.book = ClaimsTable()
        if not create and not (path.is_file() and path.stat().st_size):
            raise StoreError(f"there is no store at {path.name}; make a new one, or rebuild it")
        try:
            # One thread at a time uses it, but not always the same.
            self.db = sqlite3.connect(path, isolation_level=None, timeout=0.0, check_same_thread=False)
            try:
                self.open(create)
            except BaseException:
                self.db.close()
                raise
        except sqlite3.OperationalError as error:
            raise StoreError(f"cannot open {path.name}: {error}") from error
        except sqlite3.DatabaseError as error:
            raise CorruptStoreError(f"{path.name} is damaged: {error}") from error

    def open(self, create: bool) -> None:
        self.db.execute("PRAGMA locking_mode = EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")
        self.db.execute("BEGIN IMMEDIATE")
        try:
            if create and not self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                self.create()
            self.load()
        finally:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")

    def create(self) -> None:
        """All of it or nothing: one that was cut short is begun anew."""
        self.identity, self.generation = secrets.token_hex(8), self.first
        for statement in filter(None, map(str.strip, SCHEMA.split(";"))):
            self.db.execute(statement)
        self.db.execute(
            "INSERT INTO meta VALUES (1, ?, ?, ?, ?, ?)",
            (self.identity, self.term, self.first, self.generation, self.seal()),
        )
        self.db.execute("COMMIT")
        self.db.execute("BEGIN IMMEDIATE")

    def seal(self) -> str:
        return seal(self.identity, self.term, self.first, self.generation, self.sum)

    def load(self) -> None:
        """Read everything, and hold it against its digests."""
        form = self.db.execute("PRAGMA user_version").fetchone()[0]
        if form != FORMAT:
            raise CorruptStoreError(f"{self.path.name} is of form {form}, not {FORMAT}")
        [(found,), *more] = self.db.execute("PRAGMA integrity_check(1)").fetchall()
        if found != "ok" or more:
            raise CorruptStoreError(f"{self.path.name} is damaged: {' '.join(str(found).split())}")
        try:
            self.read()
        except (TypeError, ValueError, KeyError) as error:
            raise CorruptStoreError(
                f"{self.path.name} is damaged: {' '.join(str(error).split()):.200}"
            ) from error

    def read(self) -> None:
        [(self.identity, self.term, self.first, self.generation, digest)] = self.db.execute(
            "SELECT identity, term, first, generation, digest FROM meta"
        ).fetchall()
        for name, text in self.db.execute("SELECT id, record FROM entries"):
            entry = self.entries[name] = read_entry(text)
            if entry.id != name:
                raise ValueError(f"entry {name!r:.80} calls itself {entry.id!r:.80}")
            self.sum = (self.sum + digest_of(text)) % MODULUS
        if self.seal() != digest:
            raise ValueError("the entries do not fit their digest")
        expected = None
        for generation, text, digest in self.db.execute("SELECT * FROM history ORDER BY generation"):
            if digest != f"{digest_of(f'{generation} {text}'):064x}" or expected not in (None, generation):
                raise ValueError(f"change {generation} of the history does not fit its digest or its place")
            self.history[generation], expected = read_entry(text), generation + 1
        none = self.generation == self.first  # no change yet, so none to be there
        if expected not in (None, self.generation + 1) or (expected is None) != none:
            raise ValueError("the history does not end at the generation")

        self.read_book()

    def read_book(self) -> None:
        """Sessions, claims and records; a store of the version before has none, and no place for them."""
        self.db.execute(
            "CREATE TABLE IF NOT EXISTS book (kind TEXT NOT NULL, name TEXT NOT NULL, "
            "record TEXT NOT NULL, digest TEXT NOT NULL, PRIMARY KEY (kind, name)) "
            "STRICT, WITHOUT ROWID"
        )
        for kind, name, text, digest in self.db.execute("SELECT * FROM book"):
            if digest != f"{digest_of(f'{kind} {name} {text}'):064x}":
                raise ValueError(f"{kind} {name!r:.80} does not fit its digest")
            if kind == LAST:
                self.book.last = int(text)
            else:
                self.book.read(kind, name, text)
        if self.db.in_transaction:
            self.db.execute("COMMIT")

    # --- reads ---

    def changes(self, after: int) -> list[Entry] | None:
        """What changed after a generation, each entry once, as it is now; None if only the list can tell."""
        oldest = self.generation - len(self.history)
        if not oldest <= after <= self.generation:
            return None
        last = {self.history[at].id: at for at in range(after + 1, self.generation + 1)}
        return [self.history[at] for at in sorted(last.values())]

    # --- writes ---

    def apply(self, writes: Sequence[Write]) -> list[Outcome]:
        """Carry out a batch in order, in one transaction; each gives its entry, or why it was refused.

        A StoreError means that none of them holds: the disk is full or cannot be written.
        """
        batch = self.plan(writes)
        self.commit(batch)
        self.take(batch)
        return batch.outcomes

    def plan(self, writes: Sequence[Write]) -> "Batch":
        """What a batch comes to; nothing is changed yet. The next is planned once this one has been taken."""
        generation, total, count = self.generation, self.sum, len(self.entries)
        pending: dict[str, Entry] = {}  # as the batch leaves them; one that it removes is DELETED there
        outcomes: list[Outcome] = []
        book = self.book.draft(self.term)
        for write in writes:
            if isinstance(write, BookWrite):
                try:
                    outcomes.append(book.write(write))
                except ConflictError as refusal:
                    outcomes.append(refusal)
                continue
            name = write.entry.id if isinstance(write, Register | Put) else write.id
            known = pending.get(name) or self.entries.get(name)
            known = None if known and known.lifecycle == DELETED else known
            try:
                book.check(getattr(write, "fence", None))
                entry = fit(write, known, generation + 1, full=count >= MOST_ENTRIES)
            except ConflictError as refusal:
                outcomes.append(refusal)
                continue
            generation += 1
            listed = entry.lifecycle != DELETED
            total += part_of(entry if listed else None) - part_of(known)
            count += listed - (known is not None)
            pending[name] = entry
            outcomes.append(entry)
        return Batch(outcomes, generation, total % MODULUS, book)

    def commit(self, batch: "Batch") -> None:
        """Make it durable. This waits for the disk, and may be called from another thread."""
        if not batch.changed and not batch.book.changed:
            return
        try:
            self.db.execute("BEGIN IMMEDIATE")
            for entry in batch.changed:
                text = text_of(entry)
                if entry.lifecycle == DELETED:
                    self.db.execute("DELETE FROM entries WHERE id = ?", (entry.id,))
                else:
                    self.db.execute("INSERT OR REPLACE INTO entries VALUES (?, ?)", (entry.id, text))
                self.db.execute(
                    "INSERT INTO history VALUES (?, ?, ?)",
                    (entry.version, text, f"{digest_of(f'{entry.version} {text}'):064x}"),
                )
            last = batch.generation - self.most_history
            self.db.execute("DELETE FROM history WHERE generation <= ?", (last,))
            self.db.execute(
                "UPDATE meta SET generation = ?, digest = ?",
                (batch.generation, seal(self.identity, self.term, self.first, batch.generation, batch.total)),
            )
            self.write_book(batch.book)
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreError(f"cannot write {self.path.name}: {error}") from error

    def write_book(self, draft: ClaimsTransaction) -> None:
        rows = [
            (kind, name, claims.text_of(thing) if thing else "")
            for (kind, name), thing in draft.changed.items()
        ]
        for kind, name, text in [*rows, (LAST, LAST, str(draft.last))] if rows else ():
            if text:
                self.db.execute(
                    "INSERT OR REPLACE INTO book VALUES (?, ?, ?, ?)",
                    (kind, name, text, f"{digest_of(f'{kind} {name} {text}'):064x}"),
                )
            else:
                self.db.execute("DELETE FROM book WHERE kind = ? AND name = ?", (kind, name))

    def begin_term(self, term: int, first: int) -> None:
        """A later term, durable on return: generations go on from `first` at least, and no watch resumes."""
        if term <= self.term:
            raise StoreError(f"term {term} is not above {self.term}")
        generation = max(self.generation + 1, first)
        try:
            self.db.execute("BEGIN IMMEDIATE")
            self.db.execute("DELETE FROM history")
            self.db.execute(
                "UPDATE meta SET term = ?, first = ?, generation = ?, digest = ?",
                (term, generation, generation, seal(self.identity, term, generation, generation, self.sum)),
            )
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreError(f"cannot write {self.path.name}: {error}") from error
        self.term, self.first, self.generation = term, generation, generation
        self.history.clear()

    def take(self, batch: "Batch") -> None:
        """Show readers a batch that is durable."""
        self.generation, self.sum = batch.generation, batch.total
        self.book.take(batch.book)
        for entry in batch.changed:
            self.history[entry.version] = entry
            if entry.lifecycle == DELETED:
                del self.entries[entry.id]
            else:
                self.entries[entry.id] = entry
        for generation in list(forgotten(self.history, self.generation - self.most_history)):
            del self.history[generation]

    def close(self) -> None:
        self.db.close()


def forgotten(history: dict[int, Entry], last: int) -> Iterator[int]:
    """The oldest generations up to this one; they stand first."""
    for generation in history:
        if generation > last:
            return
        yield generation


def fit(write: ListWrite, known: Entry | None, generation: int, full: bool) -> Entry:
    """The entry as the write leaves it; a ConflictError where it does not fit what is listed, `known`."""
    if isinstance(write, Put):
        life = write.entry.life or (known.life if known else generation)
        return replace(write.entry, version=generation, life=life)
    name = write.entry.id if isinstance(write, Register) else write.id
    version = known.version if known else 0
    if write.if_version is not None and write.if_version != version:
        raise ConflictError(f"{name} is at version {version}, not {write.if_version}")
    if isinstance(write, Register):
        if write.entry.lifecycle not in LIFECYCLES:
            raise ConflictError(f"{name} cannot be entered as {write.entry.lifecycle}")
        if known is None and full:
            raise ConflictError(f"the list holds {MOST_ENTRIES} entries, and no more")
        if known and write.entry.started_ms < known.started_ms:
            raise ConflictError(f"{name} has started anew since")
        return replace(write.entry, version=generation, life=generation)
    if known is None:
        raise NotFoundError(f"{name} is not listed")
    if isinstance(write, Remove):
        if write.life not in (None, known.life):
            raise ConflictError(f"{name} is in another life since")
        return replace(known, lifecycle=DELETED, version=generation)
    if write.lifecycle not in LIFECYCLES:
        raise ConflictError(f"{write.lifecycle} is no lifecycle that can be set")
    return replace(known, lifecycle=write.lifecycle, version=generation)
