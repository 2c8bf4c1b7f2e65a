"""The agent's command line.

    python -m orchidhatch.agent --listen 127.0.0.1:8501 --registry 127.0.0.1:8500 --cache agent.db

The exit status is 0 after SIGTERM or SIGINT, 1 if the agent cannot serve, and 2 if the options are invalid.
"""

import argparse
import asyncio
import logging
import os
import random
import shlex
import signal
import sys
from pathlib import Path

from orchidhatch.control.addresses import parse_address
from orchidhatch.control.agent.gateway_setup import GatewaySetup
from orchidhatch.control.agent.service import Agent, open_cache
from orchidhatch.control.errors import StoreError

log = logging.getLogger("orchidhatch.agent")

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the options. Deployments use `--door`, an older name for the gateway."""
    parser = argparse.ArgumentParser(
        prog="orchidhatch.agent",
        description="Replicates the endpoint list for a gateway on the same machine.",
    )
    parser.add_argument("--listen", type=parse_address, required=True, metavar="HOST:PORT")
    parser.add_argument(
        "--registry",
        type=parse_address,
        required=True,
        action="append",
        metavar="HOST:PORT",
        help="may be given several times",
    )
    parser.add_argument("--cache", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--door",
        type=parse_address,
        metavar="HOST:PORT",
        help="the gateway's management address, to which controllers' calls are forwarded",
    )
    add_policy_options(parser)
    return parser


def add_policy_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that are needed to hold the gateway's policy lease."""
    group = parser.add_argument_group("policy", "hold the gateway's policy lease; all of these are required")
    group.add_argument("--name", help="the gateway's name, the same after a restart")
    group.add_argument("--zone")
    group.add_argument("--config", type=Path, metavar="FILE", help="the gateway's PROXY_CONFIG")
    group.add_argument("--pid", type=Path, metavar="FILE", help="holds the gateway's process ID")
    group.add_argument(
        "--check",
        metavar="COMMAND",
        help="checks the file that PROXY_CONFIG names, for example "
        "'.venv/bin/python -m orchidhatch.proxy --check'; no shell is used",
    )


def parse_options() -> argparse.Namespace:
    """Parse the command's options, or exit with status 2 if they are invalid."""
    parser = build_parser()
    options = parser.parse_args()
    policy_options = [options.name, options.zone, options.config, options.pid, options.check]
    is_complete = all(policy_options) and options.door
    if any(policy_options) and not is_complete:
        parser.error("--name, --zone, --config, --pid, --check and --door must be given together")
    return options


def gateway_setup(options: argparse.Namespace) -> GatewaySetup | None:
    """Return the setup of the gateway whose policy lease to hold, None if no lease is held."""
    if not options.check:
        return None
    return GatewaySetup(options.name, options.zone, options.config, options.pid, shlex.split(options.check))


async def serve(options: argparse.Namespace) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    # Agents that start at the same time on many machines must not draw the same random numbers.
    seed = random.SystemRandom().getrandbits(32) ^ os.getpid()
    agent = Agent(
        open_cache(options.cache),
        options.registry,
        seed,
        gateway=options.door,
        setup=gateway_setup(options),
    )
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    await agent.start(*options.listen)
    host, port = agent.listener.sockets[0].getsockname()
    log.info(
        "agent started: generation=%d listen=%s:%d list_age_s=%.0f",
        agent.store.generation,
        host,
        port,
        agent.replicator.list_age_s(),
    )
    await stopped.wait()
    await agent.close()
    log.info("agent ended")


def main() -> int:
    """Run the command and return its exit status, which the module docstring lists."""
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    options = parse_options()
    try:
        asyncio.run(serve(options))
    except (StoreError, OSError) as error:
        print(f"orchidhatch.agent: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
