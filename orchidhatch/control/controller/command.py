"""The command that runs a fleet controller process.

python -m orchidhatch.controller --id controller-1 --registry 127.0.0.1:8500 [--registry ...] [--agent ... ]
"""

import argparse
import asyncio
import logging
import os
import signal

from orchidhatch.control.addresses import parse_address
from orchidhatch.control.cli_arguments import parse_lease_ms
from orchidhatch.control.controller.service import Controller
from orchidhatch.control.controller.session import SESSION_LEASE_MS

log = logging.getLogger("orchidhatch.controller")

DESCRIPTION = (
    "Carries out fleet-wide tasks, each by one owner at a time; any number may run, on any machines."
)
ALIAS_NOTE = "orchidhatch.steward is an alias of this command, its former name."


async def serve(options: argparse.Namespace) -> None:
    """Run a controller until SIGTERM or SIGINT, then release all its claims."""
    controller = Controller(options.id, options.registry, options.agent, options.lease_ms)
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    work = asyncio.create_task(controller.run())
    stop = asyncio.create_task(stop_requested.wait())
    log.info("controller started: id=%s pid=%d", options.id, os.getpid())
    await asyncio.wait([work, stop], return_when=asyncio.FIRST_COMPLETED)
    work.cancel()
    stop.cancel()
    [work_error, _] = await asyncio.gather(work, stop, return_exceptions=True)
    if not isinstance(work_error, asyncio.CancelledError):
        log.error("controller failed: id=%s", options.id, exc_info=work_error)
    await controller.leave()
    log.info("controller stopped: id=%s", options.id)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="orchidhatch.controller", description=DESCRIPTION, epilog=ALIAS_NOTE
    )
    parser.add_argument(
        "--id", required=True, help="the name of this controller; only one process at a time may use it"
    )
    parser.add_argument(
        "--registry",
        type=parse_address,
        required=True,
        action="append",
        metavar="HOST:PORT",
        help="a registry; may be repeated",
    )
    parser.add_argument(
        "--agent",
        type=parse_address,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="the agent of a gateway; may be repeated",
    )
    parser.add_argument("--lease-ms", type=parse_lease_ms, default=SESSION_LEASE_MS)
    return parser


def main() -> int:
    """Run the command and return the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    asyncio.run(serve(build_parser().parse_args()))
    return 0
