"""Start of a gateway, its signals and its exit code."""

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from orchidhatch.proxy.config import Config, ConfigError, describe, load, reload
from orchidhatch.proxy.log_writer import LogWriter
from orchidhatch.proxy.server import GatewayServer

log = logging.getLogger("orchidhatch.proxy")


def hang_up(gateway: GatewayServer) -> None:
    """Read the configuration again; one that is not usable changes nothing."""
    try:
        gateway.reload(reload(os.environ))
    except ConfigError as error:
        log.error("kept the old configuration: %s", error)


async def serve(config: Config, writer: LogWriter) -> None:
    """Serve until SIGTERM or SIGINT, then drain."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    gateway = GatewayServer(config, writer)
    loop.add_signal_handler(signal.SIGHUP, hang_up, gateway)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that came meanwhile is answered now
    await gateway.start()
    # What lives as long as the process need not be looked through by every collection.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    log.info("told: %s", describe(config))
    waits = [asyncio.ensure_future(event.wait()) for event in (stopped, gateway.process.finished)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    log.info("%s drains", config.name)
    await gateway.drain()
    log.info("%s ends", config.name)


def run(config: Config) -> None:
    writer = LogWriter()
    logging.basicConfig(
        handlers=[writer], level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, writer))
    finally:
        writer.close()


def main() -> int:
    try:
        config = load(os.environ)
        if sys.argv[1:] == ["--check"]:
            print(f"orchidhatch: {describe(config)}")
            return 0
        if sys.argv[1:]:
            raise ConfigError(f"'{sys.argv[1]}' is no option; there is --check")
        run(config)
    except ConfigError as error:
        print(f"orchidhatch: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"orchidhatch: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
