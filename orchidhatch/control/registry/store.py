"""The registry's store: the endpoint list, its generation and history, and the claims table.

A write is acknowledged once its transaction is durable. Readers see a copy in memory, which changes only
after the commit: `plan` computes the result of a batch of writes, `commit` makes it durable, and `publish`
makes it visible to readers.
"""

import sqlite3
from collections.abc import Iterator, Sequence
from pathlib import Path

from orchidhatch.control.errors import StoreError
from orchidhatch.control.ownership.claims import ClaimsTransaction
from orchidhatch.control.ownership.claims_table import ClaimsTable
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry.batch import Batch, BatchPlan, Outcome, Write
from orchidhatch.control.registry.checksums import DIGEST_MODULUS, text_digest
from orchidhatch.control.registry.endpoints import (
    Endpoint,
    decode_endpoint,
)
from orchidhatch.control.registry.open_errors import typed_open_errors
from orchidhatch.control.registry.store_file import LAST_CHANGE_KEY, ListHeader, StoreFile

MAX_HISTORY = 10_000  # changes; a watch that is further behind is sent the whole list


class Store:
    """An open store.

    A new store is created only with `create`: a missing or empty file is not taken for an empty list. The
    generations of a new store start at `first`. It must be above the generations of all earlier stores,
    otherwise a watch could resume with the changes of another list.
    """

    def __init__(
        self,
        path: Path,
        create: bool = False,
        first: int = 0,
        max_history: int = MAX_HISTORY,
        term: int = 1,
    ) -> None:
        """Open and check the store. Raises StoreError, or CorruptStoreError if the file is damaged."""
        self.path = path
        self.entries: dict[str, Endpoint] = {}
        self.history: dict[int, Endpoint] = {}  # by generation; a removal is a DELETED endpoint
        self.endpoints_sum = 0
        self.claims_table = ClaimsTable()
        self._max_history = max_history
        if not create and not (path.is_file() and path.stat().st_size):
            raise StoreError(f"there is no store at {path.name}; create a new one, or rebuild it")
        self._open(create, first, term)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    @property
    def db(self) -> sqlite3.Connection:
        """The database, for tables of other modules; must not be used while the store writes."""
        return self._file.db

    @property
    def identity(self) -> str:
        """A random identifier, generated when the file is created."""
        return self._header.identity

    @property
    def term(self) -> int:
        """The term, which increases with each promotion."""
        return self._header.term

    @term.setter
    def term(self, term: int) -> None:
        """Set the term in memory only, for tests."""
        self._header = self._header._replace(term=term)

    @property
    def first(self) -> int:
        """The generation that this store started with in this term."""
        return self._header.first

    @property
    def generation(self) -> int:
        """The generation, which increases with each change of the endpoint list."""
        return self._header.generation

    # --- opening ---

    def _open(self, create: bool, first: int, term: int) -> None:
        with typed_open_errors(self.path.name):
            self._file = StoreFile(self.path)
        try:
            with self._file.loading(create, lambda identity: ListHeader(identity, term, first, first)):
                self._load_list()
                self._load_history()
                self.load_claims()
        except BaseException:
            self._file.close()
            raise

    def _load_list(self) -> None:
        self._header, checksum = self._file.read_header()
        for id_, text in self._file.read_endpoints():
            endpoint = decode_endpoint(text)
            if endpoint.id != id_:
                raise ValueError(f"the row of endpoint {id_!r:.80} contains endpoint {endpoint.id!r:.80}")
            self.entries[id_] = endpoint
            self.endpoints_sum = (self.endpoints_sum + text_digest(text)) % DIGEST_MODULUS
        if self._header.checksum(self.endpoints_sum) != checksum:
            raise ValueError("the endpoints do not match their digest")

    def _load_history(self) -> None:
        expected = None
        for generation, text in self._file.read_history():
            if expected not in (None, generation):
                raise ValueError(f"change {generation} of the history is out of sequence")
            self.history[generation] = decode_endpoint(text)
            expected = generation + 1
        is_unchanged = self.generation == self.first
        if expected not in (None, self.generation + 1) or (expected is None) != is_unchanged:
            raise ValueError("the history does not end at the store's generation")

    def load_claims(self) -> None:
        """Load the claims table; files of the first version have none."""
        for kind, name, text in self._file.read_objects():
            if kind == LAST_CHANGE_KEY:
                self.claims_table.last_change = int(text)
            else:
                self.claims_table.load(kind, name, text)

    # --- reads ---

    def changes_after(self, after: int) -> list[Endpoint] | None:
        """Return the latest change of each endpoint that changed after a generation.

        None if the history does not reach back to that generation.
        """
        oldest = self.generation - len(self.history)
        if not oldest <= after <= self.generation:
            return None
        latest = {self.history[number].id: number for number in range(after + 1, self.generation + 1)}
        return [self.history[number] for number in sorted(latest.values())]

    # --- writes ---

    def apply(self, writes: Sequence[Write]) -> list[Outcome]:
        """Carry out writes in order, in one transaction, and return the outcome of each.

        Raises StoreError if the file cannot be written; none of the writes takes effect then.
        """
        batch = self.plan(writes)
        self.commit(batch)
        self.publish(batch)
        return batch.outcomes

    def plan(self, writes: Sequence[Write]) -> Batch:
        """Compute the result of a batch without changing anything.

        The next batch may be planned only after this one has been published.
        """
        transaction = ClaimsTransaction(self.claims_table, self.term)
        return BatchPlan(self.generation, self.endpoints_sum, self.entries, transaction).plan(writes)

    def commit(self, batch: Batch) -> None:
        """Make a batch durable. Blocks; may be called in another thread. Raises StoreError."""
        if not batch.changed and not batch.claims.changed:
            return
        header = self._header._replace(generation=batch.generation)
        with self._file.transaction():
            self._file.write_endpoints(batch.changed, batch.generation - self._max_history)
            self._file.write_header(header, batch.endpoints_sum)
            self._file.write_objects(batch.claims.changed, batch.claims.last_change)

    def publish(self, batch: Batch) -> None:
        """Make a durable batch visible to readers."""
        self._header = self._header._replace(generation=batch.generation)
        self.endpoints_sum = batch.endpoints_sum
        self.claims_table.apply(batch.claims.changed, batch.claims.last_change)
        for endpoint in batch.changed:
            self.history[endpoint.version] = endpoint
            if endpoint.is_deleted:
                del self.entries[endpoint.id]
            else:
                self.entries[endpoint.id] = endpoint
        for generation in list(_oldest_generations(self.history, self.generation - self._max_history)):
            del self.history[generation]

    def rewrite(self) -> None:
        """Rewrite the whole endpoint list, durably; watches still resume from the history in memory.

        For a file that lacks published changes. Blocks. Raises StoreError.
        """
        header = self._header._replace(first=self.generation)
        with self._file.transaction():
            self._file.clear_history()
            self._file.replace_endpoints(list(self.entries.values()))
            self._file.write_header(header, self.endpoints_sum)
        self._header = header

    def skip_generations(self, first: int) -> None:
        """Advance the generation in memory to `first` or higher; watches cannot resume from earlier ones.

        For published changes that are not durable: a later process that continues from the file must not
        assign their generations to other changes.
        """
        generation = max(self.generation + 1, first)
        self._header = self._header._replace(first=generation, generation=generation)
        self.history.clear()

    def begin_term(self, term: int, first: int) -> None:
        """Begin a later term, durably, with the generation at `first` or higher.

        Watches cannot resume from an earlier term. Raises StoreError if the term is not above the store's, or
        if the file cannot be written.
        """
        if term <= self.term:
            raise StoreError(f"term {term} is not above the store's term {self.term}")
        generation = max(self.generation + 1, first)
        header = ListHeader(self.identity, term, generation, generation)
        with self._file.transaction():
            self._file.clear_history()
            self._file.write_header(header, self.endpoints_sum)
        self._header = header
        self.history.clear()


def check_fence(store: Store, fence: Fence | None) -> None:
    """Raise ConflictError unless the fence is current. For operations that are not writes to the store."""
    ClaimsTransaction(store.claims_table, store.term).check_fence(fence)


def _oldest_generations(history: dict[int, Endpoint], last: int) -> Iterator[int]:
    """Yield the generations up to `last`; the history is in ascending order."""
    for generation in history:
        if generation > last:
            return
        yield generation
