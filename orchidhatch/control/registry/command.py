"""Runs the registry as a process.

    python -m orchidhatch.registry --listen 127.0.0.1:8500 --store list.db [--create]

The exit status is 1 if the store cannot be opened, or if the process cannot listen on the address.
"""

import argparse
import asyncio
import logging
import os
import signal
import sys
import time
from pathlib import Path

from orchidhatch.control.addresses import parse_address
from orchidhatch.control.errors import StoreError
from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Store

log = logging.getLogger("orchidhatch.registry")

DESCRIPTION = "The registry: stores the endpoint list, which clients read and watch over HTTP."
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


async def serve(options: argparse.Namespace) -> None:
    """Run a registry until SIGTERM or SIGINT."""
    # A new store starts at the Unix time in ms, which is above all generations of an earlier store as long as
    # there were fewer than 1,000 writes a second.
    store = Store(options.store, options.create, first=time.time_ns() // 1_000_000)
    registry = Registry(
        store, seed=os.getpid(), peers=options.peer, follow=options.follow, backups=options.backups
    )
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    await registry.start(*options.listen)
    host, port = registry.listener.sockets[0].getsockname()
    log.info("serves generation %d of %s at %s:%d", store.generation, store.identity, host, port)
    await stop_requested.wait()
    await registry.close()
    log.info("registry ended")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="orchidhatch.registry", description=DESCRIPTION)
    parser.add_argument("--listen", type=parse_address, required=True, metavar="HOST:PORT")
    parser.add_argument("--store", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--peer",
        type=parse_address,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="another registry, which may have replaced this one; may be repeated",
    )
    parser.add_argument(
        "--follow",
        type=parse_address,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="replicate this registry: serve reads, accept no writes until promoted",
    )
    parser.add_argument("--backups", type=Path, metavar="FOLDER", help="folder for backups of the store")
    parser.add_argument("--create", action="store_true", help="create a new store if there is none")
    return parser


def main() -> int:
    """Run the command and return its exit status."""
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    try:
        asyncio.run(serve(build_parser().parse_args()))
    except (StoreError, OSError) as error:
        print(f"orchidhatch.registry: {error}", file=sys.stderr)
        return 1
    return 0
