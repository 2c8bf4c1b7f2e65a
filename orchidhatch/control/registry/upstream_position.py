"""A replica's position in its upstream's list, kept on disk so that a restart does not lose it."""

import sqlite3
from dataclasses import dataclass

from orchidhatch.control.http_response import term_of

TABLE_NAME = "heard"
"""A name older than the terms of the code. The table is created when a store first follows an upstream."""


@dataclass(frozen=True, slots=True)
class UpstreamPosition:
    """The state and origin of the endpoint list that was received last.

    `store_name` is the identity and term of the upstream's store, "" before the first list. `confirmed_at_ms`
    is when the list was last confirmed as current, in Unix milliseconds; 0 means never. It is wall-clock time
    so that it stays meaningful after a restart, and it is only displayed: no decision depends on it.
    """

    store_name: str = ""
    generation: int = 0
    confirmed_at_ms: int = 0


def is_unpromoted_replica(database: sqlite3.Connection, term: int) -> bool:
    """Return whether the store in this file has followed an upstream and begun no term of its own since.

    `term` is the store's term. This includes a replica that has never received a list.
    """
    query = f"SELECT count(*) FROM sqlite_master WHERE type = 'table' AND name = '{TABLE_NAME}'"
    if not database.execute(query).fetchone()[0]:
        return False
    store_name = UpstreamPositionTable(database).load().store_name
    return not store_name or term <= term_of(store_name)


class UpstreamPositionTable:
    """The table of the position, in the SQLite file of the replica's store."""

    def __init__(self, database: sqlite3.Connection) -> None:
        self._database = database
        database.execute(
            f"CREATE TABLE IF NOT EXISTS {TABLE_NAME} (only INTEGER PRIMARY KEY CHECK (only = 1), "
            "source TEXT NOT NULL, generation INTEGER NOT NULL, at_ms INTEGER NOT NULL) STRICT"
        )

    def load(self) -> UpstreamPosition:
        """Return the saved position, or the initial one if there is none."""
        row = self._database.execute(f"SELECT source, generation, at_ms FROM {TABLE_NAME}").fetchone()
        return UpstreamPosition(*row) if row else UpstreamPosition()

    def save(self, position: UpstreamPosition) -> None:
        """Save the position; blocks on the disk. Raises sqlite3.Error."""
        self._database.execute(
            f"INSERT OR REPLACE INTO {TABLE_NAME} VALUES (1, ?, ?, ?)",
            (position.store_name, position.generation, position.confirmed_at_ms),
        )
