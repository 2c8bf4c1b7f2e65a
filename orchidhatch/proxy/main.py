"""The command that runs a gateway: start, signals and exit code."""

import asyncio
import gc
import logging
import os
import signal
import sys
import time

import uvloop

from orchidhatch.proxy.config import Config, ConfigError, describe
from orchidhatch.proxy.config_reader import load, reload
from orchidhatch.proxy.log_writer import LogWriter
from orchidhatch.proxy.reload_signal import ReloadSignal
from orchidhatch.proxy.server import GatewayServer

log = logging.getLogger("orchidhatch.proxy")

START_ATTEMPTS = 5
START_RETRY_S = 0.2


def load_with_retries() -> Config:
    """Read the configuration, with retries on transient system errors.

    Raises ConfigError if it is unusable.
    """
    for _ in range(START_ATTEMPTS - 1):
        try:
            return load(os.environ)
        except ConfigError as error:
            if not isinstance(error.__cause__, OSError) or isinstance(error.__cause__, FileNotFoundError):
                raise
        time.sleep(START_RETRY_S)
    return load(os.environ)


async def serve(config: Config, writer: LogWriter) -> None:
    """Serve until SIGTERM or SIGINT, then drain."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    gateway = GatewayServer(config, writer)

    def terminate() -> None:
        gateway.process.note_termination()
        stopped.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminate)
    reload_signal = ReloadSignal(lambda: reload(os.environ), gateway.reload)
    loop.add_signal_handler(signal.SIGHUP, reload_signal.handle)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # delivers a SIGHUP received meanwhile
    await gateway.start()
    # Exempts objects that live as long as the process from garbage collection.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    log.info("told: %s", describe(config))
    waits = [asyncio.ensure_future(event.wait()) for event in (stopped, gateway.process.finished)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    log.info("%s drains", config.name)
    await gateway.drain()
    reload_signal.close()
    log.info("%s ends", config.name)


def run(config: Config) -> None:
    """Serve until the process is terminated; a separate thread writes the log."""
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
    """Run a gateway, or only check its configuration with --check; return the exit code."""
    try:
        config = load_with_retries()
        if sys.argv[1:] == ["--check"]:
            print(f"orchidhatch: {describe(config)}")
            return 0
        if sys.argv[1:]:
            raise ConfigError(f"unknown option '{sys.argv[1]}'; the only option is --check")
        run(config)
    except ConfigError as error:
        print(f"orchidhatch: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"orchidhatch: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
