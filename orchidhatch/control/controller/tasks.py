"""What stewards do on behalf of the fleet: each task a record, read before each step and put down after it.

A step is one act at most, and the state that calls for it is put down before it. All acts here are safe to
do twice, and are done until their outcome is put down. Times are what is left, not moments: no machine's
clock is trusted.
"""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from orchidhatch.control.controller.summary import MetricsSample, parse_gateway_metrics, summarize_fleet

TASK_RECORD_PREFIX = "task."  # how the records of tasks begin
# How often what is left of a task's time is put down, of one that is short and of one that is long.
NOTE_EVERY_S, NOTE_SELDOM_S = 2.0, 30.0


class FencedError(Exception):
    """The claim is another's by now: whatever was to be done is not ours to do."""


class GoneError(Exception):
    """Nobody answered, or it changed meanwhile: to be tried again from what is there then."""


class TaskError(Exception):
    """A task that makes no sense."""


class Acts(Protocol):
    """What a task may do, in the name of the claim that its shard is held by."""

    async def write(self, method: str, path: str, **values: object) -> tuple[int, Any]: ...
    async def read(self, path: str) -> tuple[int, Any]: ...
    def term(self) -> int: ...
    async def note(self, task: "Task") -> None: ...
    async def tell_doors(self, task: "Task", call_: str) -> list[str]: ...
    async def ask_doors(self, call_: str) -> dict[str, str]: ...
    def last_readings(self, task: "Task") -> dict[str, MetricsSample]: ...


@dataclass
class Task:
    """A task as its record has it; `state` is how far it is."""

    name: str
    version: int
    given: dict[str, Any]
    state: str = "asked"
    done: bool = False
    told: str = ""

    def value(self) -> dict[str, Any]:
        return {**self.given, "state": self.state, "done": self.done, "told": self.told}

    async def step(self, acts: Acts) -> None:
        raise NotImplementedError

    def count_down(self, every_s: float) -> bool:
        """Take what passed off `leftMs`, by this process's clock, and say whether that can wait to be put
        down: for `every_s` at most, which is what a next owner may lose."""
        now, left_ms = time.monotonic(), self.given["leftMs"]
        gone_s = now - self.given.get("since", now)
        if not 0 <= gone_s < 2 * every_s:  # another machine's clock, or we stood still
            gone_s = 0.0
        left_ms = round(left_ms - gone_s * 1000)
        if left_ms > 0 and 0 < gone_s < every_s:
            return True
        self.given |= {"leftMs": left_ms, "since": round(now, 3)}
        return False


class Drain(Task):
    """A backend is left out at the list and at every door, and after its time removed or taken back.

    Given: `id`, `leftMs` until the end, `then` "remove" or "back". The acts come in one order: marked, left
    out at the doors, ended.
    """

    async def step(self, acts: Acts) -> None:
        match self.state:
            case "asked":
                await self.mark(acts, "DRAINING", "marked", done=False)
            case "marked":
                await self.leave_out(acts)
            case "out":
                await self.wait(acts)
            case "ending":
                await self.end(acts)

    async def mark(self, acts: Acts, lifecycle: str, state: str, done: bool) -> None:
        path = f"/entries/{self.given['id']}/lifecycle"
        status, told = await acts.write("POST", path, lifecycle=lifecycle)
        if status not in (200, 404):
            raise TaskError(f"cannot mark {self.given['id']}: {told}")
        await self.move(acts, state if status == 200 else "gone", done or status == 404)

    async def leave_out(self, acts: Acts) -> None:
        """GatewayPolicyLeases that are down do not count: they learn it by the list."""
        missing = await acts.tell_doors(self, f"backends/{self.given['id']}/maint")
        self.given["since"] = round(time.monotonic(), 3)
        await self.move(acts, "out", told=f"not told: {', '.join(missing)}" if missing else "")

    async def wait(self, acts: Acts) -> None:
        if self.count_down(NOTE_EVERY_S):
            return
        if self.given["leftMs"] <= 0:
            await self.move(acts, "ending")
        else:
            await acts.note(self)

    async def end(self, acts: Acts) -> None:
        if self.given["then"] == "remove":
            status, told = await acts.write("DELETE", f"/entries/{self.given['id']}")
            if status not in (200, 404):
                raise TaskError(f"cannot remove {self.given['id']}: {told}")
            await self.move(acts, "removed", done=True)
            return
        missing = await acts.tell_doors(self, f"backends/{self.given['id']}/ready")
        if missing:
            raise GoneError(f"not yet taken back at {', '.join(missing)}")
        await self.mark(acts, "SERVING", "back", done=True)

    async def move(self, acts: Acts, state: str, done: bool = False, told: str = "") -> None:
        self.state, self.done, self.told = state, done, told
        await acts.note(self)


class Backup(Task):
    """A copy of the list service's store, over and over: `everyMs` from one to the next, `leftMs` until it.

    Taken twice it does no harm, so nothing is put down before it; one that fails is told, and tried again
    after its time.
    """

    async def step(self, acts: Acts) -> None:
        if self.count_down(NOTE_SELDOM_S):
            return
        if self.given["leftMs"] <= 0:
            status, told = await acts.write("POST", "/backup")
            self.told = f"{told['file']}" if status == 200 else f"failed: {told.get('error', told)}"
            self.given["leftMs"] = self.given["everyMs"]
        await acts.note(self)


class EndLeases(Task):
    """Those whose leases have run out leave the list, at every look. It is never done, and nothing is put
    down: the list service knows who is overdue, and a look twice does nothing twice."""

    async def step(self, acts: Acts) -> None:
        status, told = await acts.write("POST", "/leases/end")
        if status != 200:
            raise TaskError(f"cannot end leases: {told}")


class Summary(Task):
    """The fleet in a few lines, over and over: `everyMs` from one to the next, `leftMs` until it.

    What passed is told since the last reading of this owner, which is not kept over a change of owner.
    """

    async def step(self, acts: Acts) -> None:
        if self.count_down(NOTE_SELDOM_S):
            return
        if self.given["leftMs"] <= 0:
            self.given["leftMs"] = self.given["everyMs"]
            told = await acts.ask_doors("stats")
            now = {door: parse_gateway_metrics(text) for door, text in told.items()}
            before = acts.last_readings(self)
            self.given["fleet"] = summarize_fleet(before, now)
            before.clear()
            before.update({door: reading for door, reading in now.items() if reading})
        await acts.note(self)


KINDS: dict[str, type[Task]] = {"drain": Drain, "backup": Backup, "leases": EndLeases, "summary": Summary}


def read_task(record: dict[str, Any], kinds: Mapping[str, type[Task]] = KINDS) -> Task:
    """The task of a record; a TaskError where it is none."""
    try:
        value = json.loads(record["text"])
        state, done, told = value.pop("state", "asked"), value.pop("done", False), value.pop("told", "")
        kind = kinds[value["kind"]]
        return kind(record["name"], record["version"], value, str(state), bool(done), str(told))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TaskError(f"{record.get('name')!r:.80} is no task: {error!r:.100}") from error


def repeated(kind: str, every_ms: int) -> dict[str, Any]:
    """What is put down to ask for copies ("backup") or summaries ("summary"); the first at once."""
    return {"kind": kind, "everyMs": every_ms, "leftMs": 0, "state": "asked", "done": False}


LEASES: Mapping[str, Any] = {"kind": "leases", "state": "asked", "done": False}  # to have owners end them


def drain(id_: str, left_ms: int, then: str) -> dict[str, Any]:
    """What is put down to ask for one."""
    return {"kind": "drain", "id": id_, "leftMs": left_ms, "then": then, "state": "asked", "done": False}
