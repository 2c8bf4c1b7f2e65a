"""The agent on a front door's machine: watches one of several registries and serves the list on loopback.

    python -m orchidhatch.agent --listen 127.0.0.1:8501 --registry 127.0.0.1:8500 --cache agent.db

While no registry answers it serves the list that it last had, also after a restart, and says how old it is.
"""

import argparse
import asyncio
import logging
import os
import random
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from orchidhatch.door import Door
from orchidhatch.following import Address, Following, now_ms
from orchidhatch.forms import read_act
from orchidhatch.registry import read_listen
from orchidhatch.server import Answer, Connection, ListServer
from orchidhatch.store import DamagedError, Store, StoreError, put_aside

log = logging.getLogger("orchidhatch.agent")


class Agent(ListServer):
    """The list as the registries have told it, in a store of its own whose generations only rise."""

    def __init__(
        self, store: Store, registries: Sequence[Address], seed: int | None = None,
        wall_ms: Callable[[], int] = now_ms, door: Address | None = None,
    ) -> None:
        super().__init__(store, seed)
        self.following = Following(self, registries, wall_ms=wall_ms)
        self.door = Door(self, self.following, door) if door else None

    def store_name(self) -> str:
        return f"{self.store.identity} {self.following.term()}"

    async def start(self, host: str, port: int) -> None:
        await super().start(host, port)
        self.tasks.append(asyncio.create_task(self.following.follow()))

    def other(self, connection: Connection, method: str, path: tuple[str, ...], body: bytes) -> None:
        if self.door and method == "POST" and path[:1] == ("door",):
            self.begin(self.door.carry_out(connection, path[1:], *read_act(body)))
        else:
            super().other(connection, method, path, body)

    def health(self) -> Answer:
        value = {"health": "serves", "connected": self.following.connected,
                 "listAgeSeconds": self.following.age_s(), "registry": self.following.registry()}
        return Answer(200 if self.following.heard_ms else 503, value)

    def figures(self) -> str:
        heard = self.following
        return self.lines("agent", {
            "connected": int(heard.connected), "list_age_seconds": heard.age_s(),
            "registry_generation": heard.known, "switches_total": heard.switches,
            "behind_total": heard.passed_over, "malformed_total": heard.malformed,
            **(self.door.figures() if self.door else {}),
        })


def open_cache(path: Path) -> Store:
    """The list as it was last had; a damaged one is put aside, as the registries have it all."""
    try:
        return Store(path, create=True, first=now_ms())
    except DamagedError as error:
        log.error("%s; put aside as %s, begun anew", error, put_aside(path).name)
        return Store(path, create=True, first=now_ms())


async def serve(options: argparse.Namespace) -> None:
    seed = random.SystemRandom().getrandbits(32) ^ os.getpid()  # agents of many machines start together
    agent = Agent(open_cache(options.cache), options.registry, seed, door=options.door)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await agent.start(*options.listen)
    at = agent.listener.sockets[0].getsockname()
    log.info("serves generation %d at %s:%d, a list %.0f s old", agent.store.generation, *at,
             agent.following.age_s())
    await stopped.wait()
    await agent.close()
    log.info("ends")


def main() -> int:
    parser = argparse.ArgumentParser(prog="orchidhatch.agent", description=__doc__.partition("\n")[0])
    parser.add_argument("--listen", type=read_listen, required=True, metavar="HOST:PORT")
    parser.add_argument("--registry", type=read_listen, required=True, action="append", metavar="HOST:PORT",
                        help="may be given several times")
    parser.add_argument("--cache", type=Path, required=True, metavar="FILE")
    parser.add_argument("--door", type=read_listen, metavar="HOST:PORT",
                        help="where the front door's management calls are taken; owners' acts go there")
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        asyncio.run(serve(parser.parse_args()))
    except (StoreError, OSError) as error:
        print(f"orchidhatch.agent: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
