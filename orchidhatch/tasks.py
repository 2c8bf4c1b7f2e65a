"""What stewards do on behalf of the fleet: each task a record, read before each step and put down after it.

A step is one act at most, and the state that calls for it is put down before it. All acts here are safe to
do twice, and are done until their outcome is put down. Times are what is left, not moments: no machine's
clock is trusted.
"""

import json
import time
from dataclasses import dataclass
from typing import Any, Protocol

TASK = "task."  # how the records of tasks begin
NOTE_EVERY_S = 2.0  # how often what is left of a task's time is put down: as much may be lost to a next owner


class FencedError(Exception):
    """The claim is another's by now: whatever was to be done is not ours to do."""


class GoneError(Exception):
    """Nobody answered, or it changed meanwhile: to be tried again from what is there then."""


class TaskError(Exception):
    """A task that makes no sense."""


class Acts(Protocol):
    """What a task may do, in the name of the claim that its shard is held by."""

    async def write(self, method: str, path: str, **values: object) -> tuple[int, Any]: ...
    async def note(self, task: "Task") -> None: ...
    async def tell_doors(self, task: "Task", call_: str) -> list[str]: ...


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
        """Doors that are down do not count: they learn it by the list."""
        missing = await acts.tell_doors(self, f"backends/{self.given['id']}/maint")
        self.given["since"] = round(time.monotonic(), 3)
        await self.move(acts, "out", told=f"not told: {', '.join(missing)}" if missing else "")

    async def wait(self, acts: Acts) -> None:
        """What is left is counted by this process's clock, from when it first saw the task."""
        now, left_ms = time.monotonic(), self.given["leftMs"]
        since = self.given.get("since", now)
        gone_s = now - since if 0 <= now - since < 2 * NOTE_EVERY_S else 0.0  # else another machine's clock
        if left_ms - gone_s * 1000 <= 0:
            await self.move(acts, "ending")
        elif gone_s >= NOTE_EVERY_S or gone_s == 0.0:
            self.given |= {"leftMs": round(left_ms - gone_s * 1000), "since": round(now, 3)}
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


KINDS: dict[str, type[Task]] = {"drain": Drain}


def read_task(record: dict[str, Any]) -> Task:
    """The task of a record; a TaskError where it is none."""
    try:
        value = json.loads(record["text"])
        state, done, told = value.pop("state", "asked"), value.pop("done", False), value.pop("told", "")
        kind = KINDS[value["kind"]]
        return kind(record["name"], record["version"], value, str(state), bool(done), str(told))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TaskError(f"{record.get('name')!r:.80} is no task: {error!r:.100}") from error


def drain(id_: str, left_ms: int, then: str) -> dict[str, Any]:
    """What is put down to ask for one."""
    return {"kind": "drain", "id": id_, "leftMs": left_ms, "then": then, "state": "asked", "done": False}
