"""Distinguishes a damaged store file from a disk failure while the file is opened.

The two are handled differently: a damaged file is renamed or rebuilt, whereas a file that cannot be read now
is left unchanged and opened again later.
"""

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager

from orchidhatch.control.errors import CorruptStoreError, StoreError

MAX_CAUSE_LENGTH = 200
PRIMARY_CODE_MASK = 0xFF  # the other bits of an extended result code tell which operation failed
# Result codes for the disk, the memory or another process, which do not depend on the file's content.
ENVIRONMENT_CODES = frozenset(
    {
        sqlite3.SQLITE_AUTH,
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_INTERRUPT,
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_LOCKED,
        sqlite3.SQLITE_NOLFS,
        sqlite3.SQLITE_NOMEM,
        sqlite3.SQLITE_PERM,
        sqlite3.SQLITE_PROTOCOL,
        sqlite3.SQLITE_READONLY,
    }
)


@contextmanager
def typed_open_errors(file_name: str) -> Iterator[None]:
    """Convert errors: to StoreError if the file cannot be read now, to CorruptStoreError if it is damaged.

    An sqlite3.OperationalError alone does not distinguish them: it is raised for a failing disk, for a
    damaged schema ("no such column") and, without a result code, for text that is not UTF-8. SQLite also
    includes the schema's text in its messages, which Python decodes first: a schema that is not UTF-8 raises
    UnicodeDecodeError, a ValueError.
    """
    try:
        yield
    except sqlite3.Error as error:
        if is_environment_error(error):
            raise StoreError(f"cannot open {file_name}: {one_line(error)}") from error
        raise CorruptStoreError(f"{file_name} is damaged: {one_line(error)}") from error
    except (TypeError, ValueError, KeyError) as error:
        raise CorruptStoreError(f"{file_name} is damaged: {one_line(error)}") from error


def is_environment_error(error: sqlite3.Error) -> bool:
    """Return whether the disk, the memory or another process is the cause.

    An error without a result code is attributed to the file.
    """
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & PRIMARY_CODE_MASK in ENVIRONMENT_CODES


def one_line(error: Exception) -> str:
    """Return the error's text on a single line of at most MAX_CAUSE_LENGTH characters."""
    return " ".join(str(error).split())[:MAX_CAUSE_LENGTH]
