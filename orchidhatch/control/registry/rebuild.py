"""Rebuilds a lost or damaged store from a service that still has the endpoint list, or from a backup.

    python -m orchidhatch.rebuild --store list.db --from 127.0.0.1:8501
    python -m orchidhatch.rebuild --store list.db --backup copy.db

A damaged store is renamed; an intact one is not replaced. The new store has a higher term than its source.
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
    """An endpoint list to start from, its generation, and the term of its store."""

    endpoints: list[Endpoint]
    generation: int
    term: int


def read_from_service(address: str) -> RebuildSource:
    """Read the whole list, the first event of a watch, from the service at host:port. Raises CallError."""
    try:
        with open_watch(address, 0, RESPONSE_TIMEOUT_S) as response:
            event = decode_watch_event(response.readline())
            term = term_of(response.headers.get(STORE_HEADER, ""))
        endpoints = [read_replicated_endpoint(value) for value in event.instances]
    except InvalidRequestError as error:
        raise CallError(f"{address} sent a malformed endpoint list: {error}") from error
    except (OSError, http.client.HTTPException) as error:
        raise CallError(
            f"cannot read the endpoint list from {address}: {error or type(error).__name__}"
        ) from error
    listed = [endpoint for endpoint in endpoints if not endpoint.is_deleted]
    return RebuildSource(listed, event.generation, term)


def read_from_backup(path: Path) -> RebuildSource:
    """Read the list from a backup file. Raises StoreError."""
    store = Store(path)
    try:
        return RebuildSource(list(store.entries.values()), store.generation, store.term)
    finally:
        store.close()


def rename_damaged_store(path: Path) -> None:
    """Rename a damaged store; do nothing if there is none.

    Raises StoreError if the store is intact or in use: it is not replaced then.
    """
    if not path.exists():
        return
    try:
        Store(path).close()
    except CorruptStoreError as error:
        print(f"{error}; renamed to {put_aside(path).name}")
    else:
        raise StoreError(f"{path.name} is sound; it is not replaced")


def write_store(path: Path, source: RebuildSource) -> Store:
    """Write a new store under a temporary name, rename it once complete, and open it. Raises StoreError."""
    incomplete = path.with_name(f"{path.name}.new")
    delete_database(incomplete)  # left by an interrupted rebuild
    first_generation = max(source.generation + 1, time.time_ns() // 1_000_000)
    store = Store(incomplete, create=True, first=first_generation, term=source.term + 1)
    for start in range(0, len(source.endpoints), ENDPOINTS_PER_WRITE):
        endpoints = source.endpoints[start : start + ENDPOINTS_PER_WRITE]
        store.apply([ReplicateEndpoint(endpoint) for endpoint in endpoints])
    store.close()  # checkpoints the write-ahead log, so that the file is complete without it
    incomplete.replace(path)
    return Store(path)


def rebuild(path: Path, source: RebuildSource) -> None:
    """Replace a damaged or missing store, and print a summary of the new one. Raises StoreError."""
    rename_damaged_store(path)
    store = write_store(path, source)
    print(f"{path.name}: {len(store.entries)} entries, generation {store.generation}, term {store.term}")
    store.close()


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="orchidhatch.rebuild", description=__doc__.partition("\n")[0])
    parser.add_argument("--store", type=Path, required=True, metavar="FILE")
    sources = parser.add_mutually_exclusive_group(required=True)
    sources.add_argument("--from", dest="service", metavar="HOST:PORT", help="a registry or an agent")
    sources.add_argument("--backup", type=Path, metavar="FILE", help="a backup of the store")
    return parser.parse_args()


def read_source(options: argparse.Namespace) -> RebuildSource:
    """Read the source given in the options. Raises CallError or StoreError; changes nothing on disk."""
    if options.service:
        return read_from_service(options.service)
    return read_from_backup(options.backup)


def main() -> int:
    """Run the command and return its exit status: 0 if the store was rebuilt, else 1."""
    options = parse_arguments()
    try:
        rebuild(options.store, read_source(options))
    except (CallError, StoreError, OSError) as error:
        print(f"orchidhatch.rebuild: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
