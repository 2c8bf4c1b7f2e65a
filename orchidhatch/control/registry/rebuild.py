"""Rebuilds a store that is lost or damaged, from a service that still has the endpoint list or from a backup.

    python -m orchidhatch.rebuild --store list.db --from 127.0.0.1:8501
    python -m orchidhatch.rebuild --store list.db --backup copy.db

A damaged store is set aside, a sound one is not replaced. The new store is of a higher term than its source.
"""

import argparse
import http.client
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from orchidhatch.control.errors import CorruptStoreError, InvalidRequestError, StoreError
from orchidhatch.control.http_response import STORE_HEADER, term_of
from orchidhatch.control.operator_client import RESPONSE_TIMEOUT_S, CallError, open_watch
from orchidhatch.control.registry.backups import delete_database
from orchidhatch.control.registry.endpoints import Endpoint, ReplicateEndpoint
from orchidhatch.control.registry.store import Store
from orchidhatch.control.registry.store_file import put_aside
from orchidhatch.control.registry.watch_client import decode_watch_event
from orchidhatch.control.schemas import read_replicated_endpoint

ENDPOINTS_PER_WRITE = 500


@dataclass(frozen=True, slots=True)
class RebuildSource:
    """An endpoint list to begin from, its generation, and the term of the store that it is of."""

    endpoints: list[Endpoint]
    generation: int
    term: int


def read_from_service(at: str) -> RebuildSource:
    """The whole list of the service at host:port, which a watch begins with. Raises CallError."""
    try:
        with open_watch(at, 0, RESPONSE_TIMEOUT_S) as response:
            event = decode_watch_event(response.readline())
            term = term_of(response.headers.get(STORE_HEADER, ""))
        endpoints = [read_replicated_endpoint(value) for value in event.instances]
    except InvalidRequestError as error:
        raise CallError(f"{at} gives a malformed endpoint list: {error}") from error
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"no list from {at}: {error or type(error).__name__}") from error
    listed = [endpoint for endpoint in endpoints if not endpoint.is_deleted]
    return RebuildSource(listed, event.generation, term)


def read_from_backup(path: Path) -> RebuildSource:
    """The list in a backup's file. Raises StoreError."""
    store = Store(path)
    try:
        return RebuildSource(list(store.entries.values()), store.generation, store.term)
    finally:
        store.close()


def set_aside_damaged(path: Path) -> None:
    """Rename a damaged store; nothing where there is none.

    Raises StoreError where the store is sound or in use: it is not replaced.
    """
    if not path.exists():
        return
    try:
        Store(path).close()
    except CorruptStoreError as error:
        print(f"{error}; put aside as {put_aside(path).name}")
    else:
        raise StoreError(f"{path.name} is sound; it is not replaced")


def write_store(path: Path, source: RebuildSource) -> Store:
    """Write a new store under another name, rename it once it is complete, and open it. Raises StoreError."""
    incomplete = path.with_name(f"{path.name}.new")
    delete_database(incomplete)  # of a rebuild that was interrupted
    first_generation = max(source.generation + 1, time.time_ns() // 1_000_000)
    store = Store(incomplete, create=True, first=first_generation, term=source.term + 1)
    for start in range(0, len(source.endpoints), ENDPOINTS_PER_WRITE):
        endpoints = source.endpoints[start : start + ENDPOINTS_PER_WRITE]
        store.apply([ReplicateEndpoint(endpoint) for endpoint in endpoints])
    store.close()  # which writes the log back, so that the file is all of it
    incomplete.replace(path)
    return Store(path)


def rebuild(path: Path, source: RebuildSource) -> None:
    """Put a new store in place of a damaged or missing one, and print what it holds. Raises StoreError."""
    set_aside_damaged(path)
    store = write_store(path, source)
    print(f"{path.name}: {len(store.entries)} entries, generation {store.generation}, term {store.term}")
    store.close()


def parse_arguments() -> argparse.Namespace:
    """The command's options."""
    parser = argparse.ArgumentParser(prog="orchidhatch.rebuild", description=__doc__.partition("\n")[0])
    parser.add_argument("--store", type=Path, required=True, metavar="FILE")
    sources = parser.add_mutually_exclusive_group(required=True)
    sources.add_argument("--from", dest="service", metavar="HOST:PORT", help="a registry or an agent")
    sources.add_argument("--backup", type=Path, metavar="FILE", help="a backup of the store")
    return parser.parse_args()


def read_source(options: argparse.Namespace) -> RebuildSource:
    """The source that the options name. Raises CallError or StoreError; nothing was changed on disk then."""
    if options.service:
        return read_from_service(options.service)
    return read_from_backup(options.backup)


def main() -> int:
    """Run the command; the exit status is 0 where the store was rebuilt, else 1."""
    options = parse_arguments()
    try:
        rebuild(options.store, read_source(options))
    except (CallError, StoreError, OSError) as error:
        print(f"orchidhatch.rebuild: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
