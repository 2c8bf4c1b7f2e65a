"""Make a store anew where it is lost or damaged, from a service that still gives the list, or from a copy.

    python -m orchidhatch.rebuild --store list.db --from 127.0.0.1:8501
    python -m orchidhatch.rebuild --store list.db --backup copy.db

A damaged store is put aside, a sound one is not replaced. The new one is of a higher term than its source.
"""

import argparse
import http.client
import json
import sys
import time
from pathlib import Path
from typing import NamedTuple

from orchidhatch.control.cli import CallError, connect, reason
from orchidhatch.control.http_server import STORE_HEADER, term_of
from orchidhatch.control.registry.store import (
    DELETED,
    CorruptStoreError,
    Entry,
    Put,
    Store,
    StoreError,
    put_aside,
)
from orchidhatch.control.schemas import InvalidRequestError, read_instance

TIMEOUT_S = 10.0
BATCH = 500  # entries written together


class Source(NamedTuple):
    """A list to begin from."""

    entries: list[Entry]
    generation: int
    term: int


def from_service(at: str) -> Source:
    """The whole list that a watch begins with, as its head names the term."""
    connection = connect(at, TIMEOUT_S)
    try:
        connection.request("GET", "/catalog/members?watch=1&after=0")
        answer = connection.getresponse()
        if answer.status != 200:
            raise CallError(reason(answer.status, answer.read()))
        news = json.loads(answer.readline())
        entries = [read_instance(value) for value in news["instances"]]
        return Source(
            [entry for entry in entries if entry.lifecycle != DELETED],
            int(news["generation"]),
            term_of(answer.headers.get(STORE_HEADER, "")),
        )
    except InvalidRequestError as error:
        raise CallError(f"{at} gives an entry that is not in form: {error}") from error
    except (OSError, http.client.HTTPException, ValueError, KeyError, TypeError, OverflowError) as error:
        raise CallError(f"no list from {at}: {error or type(error).__name__}") from error
    finally:
        connection.close()


def from_copy(path: Path) -> Source:
    store = Store(path)
    try:
        return Source(list(store.entries.values()), store.generation, store.term)
    finally:
        store.close()


def make_room(path: Path) -> None:
    """Put a damaged store aside; one that is sound, or in use, stays and is an error."""
    if not path.exists():
        return
    try:
        Store(path).close()
    except CorruptStoreError as error:
        print(f"{error}; put aside as {put_aside(path).name}")
    else:
        raise StoreError(f"{path.name} is sound; it is not replaced")


def write(path: Path, source: Source) -> Store:
    """All of it under another name, which is the store's once it is whole."""
    draft = path.with_name(f"{path.name}.new")
    for end in ("", "-wal", "-shm"):
        Path(f"{draft}{end}").unlink(missing_ok=True)  # of a rebuilding that was cut short
    first = max(source.generation + 1, time.time_ns() // 1_000_000)
    store = Store(draft, create=True, first=first, term=source.term + 1)
    for start in range(0, len(source.entries), BATCH):
        store.apply([Put(entry) for entry in source.entries[start : start + BATCH]])
    store.close()  # the last one out writes the log back, so that the file is all of it
    draft.replace(path)
    return Store(path)


def rebuild(path: Path, source: Source) -> None:
    make_room(path)
    store = write(path, source)
    print(f"{path.name}: {len(store.entries)} entries, generation {store.generation}, term {store.term}")
    store.close()


def main() -> int:
    parser = argparse.ArgumentParser(prog="orchidhatch.rebuild", description=__doc__.partition("\n")[0])
    parser.add_argument("--store", type=Path, required=True, metavar="FILE")
    sources = parser.add_mutually_exclusive_group(required=True)
    sources.add_argument("--from", dest="at", metavar="HOST:PORT", help="a list service or an agent")
    sources.add_argument("--backup", type=Path, metavar="FILE", help="a copy of the store")
    options = parser.parse_args()
    try:
        # The source first: nothing is touched where there is none.
        rebuild(options.store, from_service(options.at) if options.at else from_copy(options.backup))
    except (CallError, StoreError, OSError) as error:
        print(f"orchidhatch.rebuild: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
