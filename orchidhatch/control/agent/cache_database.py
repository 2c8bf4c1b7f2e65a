"""The agent's SQLite file: its copy of the endpoint list and other state that must survive a restart."""

import sqlite3
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

Row = tuple[Any, ...]
RunExclusively = Callable[[Callable[[], None]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Statement:
    """An SQL statement and the parameter rows that it is executed with, one row at a time."""

    sql: str
    rows: Sequence[Row] = ((),)


class CacheDatabase:
    """Blocking reads at startup, and transactions that run in a thread.

    `run_exclusively` runs one function at a time in a thread, because the endpoint list is written to the
    same file.
    """

    def __init__(self, connection: sqlite3.Connection, run_exclusively: RunExclusively) -> None:
        self._connection = connection
        self._run_exclusively = run_exclusively

    def create_table(self, definition: str) -> None:
        """Create a table, given as "name (columns)", unless it exists."""
        self._connection.execute(f"CREATE TABLE IF NOT EXISTS {definition} STRICT")

    def read(self, query: str) -> list[Row]:
        """Return all rows of a query. Blocks on the disk, so it is meant for startup only."""
        return self._connection.execute(query).fetchall()

    async def write(self, *statements: Statement) -> None:
        """Execute the statements in one transaction, durable on return.

        Raises sqlite3.Error if the transaction fails; it is rolled back then.
        """
        await self._run_exclusively(lambda: self._write(statements))

    def _write(self, statements: Sequence[Statement]) -> None:
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            for statement in statements:
                self._connection.executemany(statement.sql, statement.rows)
            self._connection.execute("COMMIT")
        except sqlite3.Error:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            raise
