"""The agent on a front door's machine: watches one of several registries and serves the list on loopback.

    python -m orchidhatch.agent --listen 127.0.0.1:8501 --registry 127.0.0.1:8500 --cache agent.db

While no registry answers it serves the list that it last had, also after a restart, and says how old it is.
"""

import argparse
import asyncio
import logging
import os
import random
import shlex
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from orchidhatch.control.agent.gateway_calls import Door
from orchidhatch.control.agent.policy_lease import Keeper, Setup
from orchidhatch.control.http_client import Address
from orchidhatch.control.http_server import Connection, EndpointListServer, Response
from orchidhatch.control.registry.replication import Replicator, current_time_ms
from orchidhatch.control.registry.service import read_listen
from orchidhatch.control.registry.store import CorruptStoreError, Store, StoreError, put_aside
from orchidhatch.control.schemas import read_act

log = logging.getLogger("orchidhatch.agent")


class Agent(EndpointListServer):
    """The list as the registries have told it, in a store of its own whose generations only rise."""

    def __init__(
        self,
        store: Store,
        registries: Sequence[Address],
        seed: int | None = None,
        wall_clock_ms: Callable[[], int] = current_time_ms,
        door: Address | None = None,
        setup: Setup | None = None,
    ) -> None:
        super().__init__(store, seed)
        self.replicator = Replicator(self, registries, wall_clock_ms=wall_clock_ms)
        self.door = Door(self, self.replicator, door) if door else None
        self.keeper = Keeper(self, registries, door, setup) if door and setup else None

    def store_name(self) -> str:
        return f"{self.store.identity} {self.replicator.highest_term()}"

    async def start(self, host: str, port: int) -> None:
        await super().start(host, port)
        jobs = [self.replicator.run()]
        if self.keeper:
            jobs += [self.keeper.keep_renewing(), self.keeper.keep_preparing(), self.keeper.keep_steering()]
        self.tasks += [asyncio.create_task(job) for job in jobs]

    def other(self, connection: Connection, method: str, path: tuple[str, ...], body: bytes) -> None:
        if self.door and method == "POST" and path[:1] == ("door",):
            self.begin(self.door.carry_out(connection, path[1:], *read_act(body)))
        elif self.door and method == "GET" and path[:1] == ("door",) and len(path) == 2:
            self.begin(self.door.ask(connection, path[1]))
        else:
            super().other(connection, method, path, body)

    def health(self) -> Response:
        value = {
            "health": "serves",
            "connected": self.replicator.connected,
            "listAgeSeconds": self.replicator.list_age_s(),
            "registry": self.replicator.upstream,
        }
        return Response(200 if self.replicator.has_list else 503, value)

    def figures(self) -> str:
        heard = self.replicator
        return self.lines(
            "agent",
            {
                "connected": int(heard.connected),
                "list_age_seconds": heard.list_age_s(),
                "registry_generation": heard.position.generation,
                "switches_total": heard.upstream_switches,
                "behind_total": heard.stale_lists,
                "malformed_total": heard.malformed_endpoints,
                **(self.door.figures() if self.door else {}),
                **(self.keeper.figures() if self.keeper else {}),
            },
        )


def open_cache(path: Path) -> Store:
    """The list as it was last had; a damaged one is put aside, as the registries have it all."""
    try:
        return Store(path, create=True, first=current_time_ms())
    except CorruptStoreError as error:
        log.error("%s; put aside as %s, begun anew", error, put_aside(path).name)
        return Store(path, create=True, first=current_time_ms())


def setup_of(options: argparse.Namespace) -> Setup | None:
    """What it takes to keep the door to a policy; all of it or nothing."""
    given = (options.name, options.zone, options.config, options.pid, options.check)
    return Setup(*given[:4], shlex.split(options.check)) if all(given) else None


async def serve(options: argparse.Namespace) -> None:
    seed = random.SystemRandom().getrandbits(32) ^ os.getpid()  # agents of many machines start together
    agent = Agent(
        open_cache(options.cache), options.registry, seed, door=options.door, setup=setup_of(options)
    )
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await agent.start(*options.listen)
    at = agent.listener.sockets[0].getsockname()
    log.info(
        "serves generation %d at %s:%d, a list %.0f s old",
        agent.store.generation,
        *at,
        agent.replicator.list_age_s(),
    )
    await stopped.wait()
    await agent.close()
    log.info("ends")


def main() -> int:
    parser = argparse.ArgumentParser(prog="orchidhatch.agent", description=__doc__.partition("\n")[0])
    parser.add_argument("--listen", type=read_listen, required=True, metavar="HOST:PORT")
    parser.add_argument(
        "--registry",
        type=read_listen,
        required=True,
        action="append",
        metavar="HOST:PORT",
        help="may be given several times",
    )
    parser.add_argument("--cache", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--door",
        type=read_listen,
        metavar="HOST:PORT",
        help="where the front door's management calls are taken; owners' acts go there",
    )
    keeping = parser.add_argument_group("policy", "to keep the door to the policy that holds: all of these")
    keeping.add_argument("--name", help="the door's, the same after a restart")
    keeping.add_argument("--zone")
    keeping.add_argument("--config", type=Path, metavar="FILE", help="the door's PROXY_CONFIG")
    keeping.add_argument("--pid", type=Path, metavar="FILE", help="where the door's process number stands")
    keeping.add_argument(
        "--check",
        metavar="COMMAND",
        help="checks the file that PROXY_CONFIG names, as "
        "'.venv/bin/python -m orchidhatch.proxy --check'; no shell sees it",
    )
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    options = parser.parse_args()
    policy = [options.name, options.zone, options.config, options.pid, options.check]
    if any(policy) and not (all(policy) and options.door):
        parser.error("--name, --zone, --config, --pid, --check and --door go together")
    try:
        asyncio.run(serve(options))
    except (StoreError, OSError) as error:
        print(f"orchidhatch.agent: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
