"""Does the fleet's work, one owner at a time: any number of these may run, on any machines.

    python -m orchidhatch.steward --id steward-1 --registry 127.0.0.1:8500 [--registry ...] [--agent ... ]

Tasks lie in shards, each with one owner by a claim at the list service. What an owner does is put down there
before and after each act, in the claim's name, so that the next owner goes on from it; whoever has lost its
claim without knowing is refused wherever it acts.
"""

import argparse
import asyncio
import hashlib
import json
import logging
import math
import os
import secrets
import signal
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from orchidhatch.control.controller.shard_assignment import assign_shards
from orchidhatch.control.controller.summary import MetricsSample
from orchidhatch.control.controller.tasks import (
    KINDS,
    TASK_RECORD_PREFIX,
    FencedError,
    GoneError,
    Task,
    TaskError,
    read_task,
)
from orchidhatch.control.http_client import (
    Address,
    CallResult,
    HttpResponse,
    NoResponse,
    call,
    format_address,
)
from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.policy.change import Change
from orchidhatch.control.registry.service import read_listen
from orchidhatch.control.registry_client import REGISTRY_TIMEOUT_S, RegistryClient

log = logging.getLogger("orchidhatch.steward")

SHARDS = tuple(f"shard-{number:02}" for number in range(32))
LEASE_MS = 3000
RENEWALS = 4  # in the time of a lease
# It acts no more once so much of its lease has passed since it sent the last renewal that was answered: the
# rest is for clocks that differ, and for an act that is under way. Nothing relies on that.
OWN_SHARE = 0.7
STEP_S = 0.25  # between two looks at what is to be done
MOST_FAILURES = 5  # of one shard in a row, then it is given up


def shard_of(task: str) -> str:
    return SHARDS[int.from_bytes(hashlib.blake2b(task.encode(), digest_size=4).digest()) % len(SHARDS)]


class LostError(Exception):
    """The session is not ours any more; all that was held with it is to be forgotten."""


@dataclass
class Held:
    """A shard that is ours."""

    epoch: int
    failures: int = 0


@dataclass
class Controller:
    """One process: its session, the shards it holds, and the work in them."""

    id: str
    registries: Sequence[Address]
    agents: Sequence[Address] = ()
    lease_ms: int = LEASE_MS
    clock: Callable[[], float] = time.monotonic
    life: str = ""
    held: dict[str, Held] = field(default_factory=dict)
    good_until_s: float = -math.inf
    others: list[str] = field(default_factory=list)
    claims: dict[str, dict[str, Any]] = field(default_factory=dict)
    acts: int = 0
    refused: int = 0
    readings: dict[str, dict[str, MetricsSample]] = field(default_factory=dict)  # by task: each door's last

    def __post_init__(self) -> None:
        self.links = RegistryClient(list(self.registries))

    def may_act(self) -> bool:
        """By our own clock: whether the lease cannot have ended yet."""
        return self.clock() < self.good_until_s

    # --- the session ---

    async def open(self) -> None:
        """A new life, unless another process of this id has a session; then later."""
        self.life, sent_s = secrets.token_hex(8), self.clock()
        result = await self.links.call(
            "POST", "/sessions", {"holder": self.id, "life": self.life, "leaseMs": self.lease_ms}
        )
        if not result.ok:
            log.warning("no session: %s", described(result))
            raise LostError
        self.extend(sent_s)
        log.info("%s begins life %s", self.id, self.life)

    def extend(self, sent_s: float) -> None:
        self.good_until_s = sent_s + OWN_SHARE * self.lease_ms / 1000

    async def renew(self) -> None:
        """One message for all that is held. What is not ours any more is forgotten at once."""
        sent_s = self.clock()
        result = await self.links.call("POST", f"/sessions/{self.id}/renew", {"life": self.life})
        if result.status in (404, 409):
            log.warning("%s lost its session: %s", self.id, result.value)
            raise LostError
        if result.ok:
            self.extend(sent_s)
            ours = result.value["claims"]
            for shard in [shard for shard, held in self.held.items() if ours.get(shard) != held.epoch]:
                log.warning("%s is not ours any more", shard)
                del self.held[shard]

    def forget(self) -> None:
        """As a new process would begin."""
        self.held.clear()
        self.readings.clear()
        self.good_until_s = -math.inf

    async def keep(self) -> None:
        """A session, renewed in time; anew whenever it is lost."""
        while True:
            try:
                await self.open()
                while True:
                    await asyncio.sleep(self.lease_ms / 1000 / RENEWALS)
                    await self.renew()
            except LostError:
                self.forget()
                await asyncio.sleep(self.lease_ms / 1000 / RENEWALS)

    # --- shards ---

    async def look(self) -> None:
        """Who there is, and who holds what."""
        result = await self.links.call("GET", "/claims")
        if result.ok:
            self.others = [one["holder"] for one in result.value["sessions"]]
            self.claims = {one["name"]: one for one in result.value["claims"]}

    async def share(self) -> None:
        """Give up what is another's by now, then take what is ours and free. Who is to have it takes it only
        once it was given up."""
        await self.look()
        if self.id not in self.others or not self.may_act():
            return
        barred = {name: claim["but"] for name, claim in self.claims.items() if claim["but"]}
        owners = assign_shards(SHARDS, self.others, barred)
        handed = {name: claim["to"] for name, claim in self.claims.items() if claim["to"] in self.others}
        for shard in SHARDS:
            claim = self.claims.get(shard, {})
            owner = handed.get(shard, owners[shard])
            if claim.get("held"):
                continue
            # Ours by the book, whether or not we still go by it: giving it up may have got no answer.
            ours = bool(claim.get("holder")) and claim["life"] == self.life
            if ours and owner != self.id:
                await self.give(shard, claim["epoch"])
            elif owner == self.id and shard not in self.held and (ours or not claim.get("holder")):
                await self.take(shard)

    async def take(self, shard: str) -> None:
        result = await self.links.call(
            "POST", f"/claims/{shard}/take", {"holder": self.id, "life": self.life, "what": "tasks"}
        )
        if result.ok and result.value["life"] == self.life:
            self.held[shard] = Held(result.value["epoch"])

    async def give(self, shard: str, epoch: int, why: str = "") -> None:
        self.held.pop(shard, None)  # first: nothing more is done in its name, whatever the answer
        await self.links.call(
            "POST",
            f"/claims/{shard}/give",
            {"holder": self.id, "life": self.life, "epoch": epoch, "why": why},
        )

    # --- work ---

    async def work(self) -> None:
        """One step of each task in the shards that are ours."""
        result = await self.links.call("GET", "/records")
        if not result.ok:
            return
        for record in result.value["records"]:
            shard = shard_of(record["name"])
            if record["name"].startswith(TASK_RECORD_PREFIX) and shard in self.held and self.may_act():
                try:
                    task = read_task(record, {**KINDS, "policy": Change})
                except TaskError as error:  # it keeps nobody from the others in its shard
                    log.error("%s", error)
                    continue
                if not task.done:
                    await self.step(shard, task)

    async def step(self, shard: str, task: Task) -> None:
        held = self.held[shard]
        try:
            await task.step(ShardOwner(self, shard, held.epoch))
            held.failures = 0
        except FencedError as error:
            self.refused += 1
            log.warning("%s at epoch %d is refused: %s", shard, held.epoch, error)
            self.held.pop(shard, None)
        except GoneError as error:  # nobody answers: that is not the task's fault
            log.warning("%s: %s", task.name, error)
        except Exception as error:
            held.failures += 1
            log.exception("%s failed", task.name)
            if held.failures >= MOST_FAILURES and shard in self.held:
                await self.give(shard, held.epoch, f"{task.name}: {error!r:.100}")

    async def run(self) -> None:
        keeping = asyncio.create_task(self.keep())
        try:
            while True:
                await asyncio.sleep(STEP_S)
                if self.may_act():
                    await self.share()
                    await self.work()
        finally:
            keeping.cancel()

    async def leave(self) -> None:
        """Give up all that is held, so that nobody has to wait for the lease."""
        if self.life:
            await self.links.call("DELETE", f"/sessions/{self.id}", {"life": self.life})
        self.forget()


@dataclass
class ShardOwner:
    """What a task may do, in the name of its shard's claim."""

    steward: Controller
    shard: str
    epoch: int

    def fence(self) -> dict[str, Any]:
        return {"claim": self.shard, "epoch": self.epoch}

    def check(self) -> None:
        """Before each act: by what we know the claim is still ours."""
        held = self.steward.held.get(self.shard)
        if held is None or held.epoch != self.epoch or not self.steward.may_act():
            raise GoneError(f"{self.shard} may not be ours any more")

    async def write(self, method: str, path: str, **values: object) -> tuple[int, Any]:
        """A write at the list service. A FencedError where the claim is another's."""
        self.check()
        result = await self.steward.links.call(method, path, {**values, **self.fence()})
        if isinstance(result, NoResponse) or result.status == 503:
            raise GoneError("no list service takes writes")
        if result.status == 409 and "claim " in str(result.value):
            raise FencedError(str(result.value["error"]))
        self.steward.acts += result.ok
        return result.status, result.value

    async def read(self, path: str) -> tuple[int, Any]:
        """What the list service that takes writes answers; GoneError where none does."""
        result = await self.steward.links.call("GET", path)
        if isinstance(result, NoResponse) or result.status == 503:
            raise GoneError("no list service answers")
        return result.status, result.value

    def term(self) -> int:
        """Of the store that our claim is kept in."""
        return self.epoch >> EPOCH_COUNT_BITS

    async def note(self, task: Task) -> None:
        """Put down how far it is; conditional on its being as it was read."""
        status, told = await self.write(
            "POST", f"/records/{task.name}", text=json.dumps(task.value()), ifVersion=task.version
        )
        if status != 200:
            raise GoneError(f"{task.name} was written meanwhile: {told}")
        task.version = told["version"]

    async def tell_doors(self, task: Task, call_: str) -> list[str]:
        """A management call at each front door, through its machine's agent; those that did not take it."""
        act = {
            **self.fence(),
            "act": self.term() << EPOCH_COUNT_BITS | task.version,
        }  # by the store that counted

        async def one(agent: Address) -> str:
            self.check()
            result = await call(agent, "POST", f"/door/{call_}", act, REGISTRY_TIMEOUT_S)
            if result.status == 409 and "claim " in str(result.value):
                raise FencedError(f"{format_address(agent)}: {result.value['error']}")
            return "" if result.ok else format_address(agent)

        found = await asyncio.gather(*map(one, self.steward.agents))
        self.steward.acts += len(found)
        return [agent for agent in found if agent]

    async def ask_doors(self, call_: str) -> dict[str, str]:
        """What each front door answers to a question, through its machine's agent; "" where nobody does."""

        async def one(agent: Address) -> str:
            result = await call(agent, "GET", f"/door/{call_}", timeout_s=REGISTRY_TIMEOUT_S)
            return str(result.value["door"]) if result.ok else ""

        agents = self.steward.agents
        found = await asyncio.gather(*map(one, agents))
        return {format_address(agent): text for agent, text in zip(agents, found, strict=True)}

    def last_readings(self, task: Task) -> dict[str, MetricsSample]:
        return self.steward.readings.setdefault(task.name, {})


def described(result: CallResult) -> object:
    """What a call came to, for a log line."""
    return result.value if isinstance(result, HttpResponse) else "no registry answers"


async def serve(options: argparse.Namespace) -> None:
    steward = Controller(options.id, options.registry, options.agent, options.lease_ms)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    work = asyncio.create_task(steward.run())
    log.info("%s serves, process %d", options.id, os.getpid())
    await asyncio.wait([work, asyncio.create_task(stopped.wait())], return_when=asyncio.FIRST_COMPLETED)
    work.cancel()
    await asyncio.gather(work, return_exceptions=True)
    await steward.leave()
    log.info("%s ends", options.id)


def main() -> int:
    parser = argparse.ArgumentParser(prog="orchidhatch.steward", description=__doc__.partition("\n")[0])
    parser.add_argument("--id", required=True, help="its name; one process at a time has it")
    parser.add_argument(
        "--registry",
        type=read_listen,
        required=True,
        action="append",
        metavar="HOST:PORT",
        help="a list service; may be given several times",
    )
    parser.add_argument(
        "--agent",
        type=read_listen,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="the agent of a front door's machine; may be given several times",
    )
    parser.add_argument("--lease-ms", type=int, default=LEASE_MS)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    asyncio.run(serve(parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
