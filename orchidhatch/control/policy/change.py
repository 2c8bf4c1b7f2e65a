"""A change of policy as a task of the fleet's owners: prepared at every door, decided by one write.

The states: asked, preparing, deciding (put down before the decision is written), decided, watched (its gate
is open), and done: "in force", "nowhere" or "undone". Only the decision record says what holds; this task may
be lost at any line, and whoever owns it next goes on from what is written.
"""

import json
import math
import secrets
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from orchidhatch.control.controller.tasks import NOTE_EVERY_S, Acts, GoneError, Task, TaskError
from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.policy.records import (
    CHANGE_TASK_RECORD,
    DECISION_RECORD,
    DOCUMENT_RECORD_PREFIX,
    HISTORY_RECORD_PREFIX,
)
from orchidhatch.control.policy.timing import ABSENT_AFTER_S

MOST_LOGGED = 50
MOST_OUT, MOST_OUT_ZONE = 0.25, 0.5  # of all doors, or of a zone's, that a change may leave out unforced
MOST_NAMED = 60
PREPARE_S = 60.0
SEEN_S = 5.0  # after the moment, for those present to show that they have it

Counts = tuple[int, ...]


class Gate(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the fleet's figures may do in `for_ms` after the switch, beside those before it."""

    for_ms: Annotated[int, Meta(ge=1000, le=3_600_000)]
    errored: Annotated[float, Meta(ge=0, le=1)] = 0.02  # of what ended, more than before
    deferred: Annotated[float, Meta(ge=0, le=1)] = 0.2
    least: Annotated[int, Meta(ge=1)] = 200  # that must have ended for it to be judged


def ask(digest: str, who: str, why: str, gate: Gate | None = None, force: bool = False) -> dict[str, Any]:
    """What is put down to ask for one."""
    return {
        "kind": "policy",
        "id": secrets.token_hex(6),
        "digest": digest,
        "who": who,
        "why": why,
        "force": force,
        "leftMs": round(PREPARE_S * 1000),
        "state": "asked",
        "done": False,
        **({"gate": msgspec.to_builtins(gate)} if gate else {}),
    }


def totals(doors: Iterable[dict[str, Any]]) -> Counts:
    """How requests ended at all doors that say it."""
    told = [door["counts"] for door in doors if door["state"] == "present" and "counts" in door]
    return tuple(map(sum, zip(*told, strict=True))) if told else (0, 0, 0)


def out_of_service(doors: Iterable[dict[str, Any]], state: str = "absent") -> str:
    """Why a change that leaves these doors out would take too much; "" if it would not."""
    zones: Counter[str] = Counter()
    out: Counter[str] = Counter()
    for door in doors:
        zones[door["zone"]] += 1
        out[door["zone"]] += door["state"] == state
    if sum(out.values()) > MOST_OUT * max(1, sum(zones.values())):
        return f"{sum(out.values())} of {sum(zones.values())} doors would be out"
    worst = max(out, key=lambda zone: out[zone] / zones[zone], default="")
    if worst and out[worst] > max(1.0, MOST_OUT_ZONE * zones[worst]):
        return f"{out[worst]} of {zones[worst]} doors of zone {worst} would be out"
    return ""


def judged(before: Counts, at: Counts, after: Counts, gate: Gate) -> str | None:
    """Why the gate is failed, "" if it is passed; None where too little ended to say."""
    was, now = [
        [new - old for old, new in zip(one, two, strict=True)] for one, two in ((before, at), (at, after))
    ]
    if min(*was, *now) < 0 or min(sum(was), sum(now)) < gate.least:  # some door began its counts anew
        return None
    for what, most, part in (("errored", gate.errored, 2), ("deferred", gate.deferred, 1)):
        share, share_before = now[part] / sum(now), was[part] / sum(was)
        if share > share_before + most:
            return f"{share:.3f} of the requests {what}, {share_before:.3f} before"
    return ""


@dataclass
class Change(Task):
    """See the module."""

    async def step(self, acts: Acts) -> None:
        fleet = await self.look(acts)
        if fleet["sure"]:
            await getattr(self, self.state)(acts, fleet)

    async def look(self, acts: Acts) -> dict[str, Any]:
        status, fleet = await acts.read("/doors")
        if status != 200:
            raise GoneError("the list service does not tell the doors")
        return fleet

    async def move(self, acts: Acts, state: str, done: bool = False, told: str = "") -> None:
        self.state, self.done, self.told = state, done, told
        await acts.note(self)

    def is_decided(self, now: dict[str, Any]) -> bool:
        """Whether the decision that holds is ours; one that was decided once more in a new term is, too."""
        base = self.given.get("base", math.inf)
        return now["change"] == self.given["id"] or (
            now["number"] > base and not now["change"] and now["digest"] == self.given["digest"]
        )

    # --- before the decision ---

    async def asked(self, acts: Acts, fleet: dict[str, Any]) -> None:
        if (await acts.read(f"/records/{DOCUMENT_RECORD_PREFIX}{self.given['digest']}"))[0] != 200:
            return await self.move(acts, "nowhere", done=True, told="there is no such document")
        now, most = fleet["now"], out_of_service(fleet["doors"])
        if now["digest"] == self.given["digest"]:
            return await self.move(acts, "nowhere", done=True, told="it holds already")
        if most and not self.given["force"]:
            return await self.move(acts, "nowhere", done=True, told=f"{most}; force it if that is meant")
        self.given |= {"base": now["number"], "before": now["digest"], "counts": totals(fleet["doors"])}
        await self.move(acts, "preparing")

    def lacking(self, fleet: dict[str, Any]) -> list[str]:
        """GatewayPolicyLeases that may serve and are not ready for it."""
        return [
            door["name"]
            for door in fleet["doors"]
            if door["state"] != "absent" and self.given["digest"] not in door.get("ready", ())
        ]

    async def preparing(self, acts: Acts, fleet: dict[str, Any]) -> None:
        if fleet["now"]["number"] != self.given["base"]:
            if self.is_decided(fleet["now"]):
                return await self.move(acts, "decided")
            self.given["base"] = fleet["now"]["number"]  # the same policy, decided once more in a new term
        flaws = [
            f"{door['name']}: {door['flaw']}"
            for door in fleet["doors"]
            if door.get("flaw", "").startswith(self.given["digest"])
        ]
        if self.given.get("dropped") or flaws:
            return await self.move(acts, "nowhere", done=True, told=flaws[0] if flaws else "dropped")
        if fleet["now"]["digest"] != self.given["before"]:
            return await self.move(acts, "nowhere", done=True, told="another policy holds since")
        if (most := out_of_service(fleet["doors"])) and not self.given["force"]:
            return await self.move(acts, "nowhere", done=True, told=most)
        if not self.lacking(fleet):
            return await self.move(acts, "deciding")
        if self.count_down(NOTE_EVERY_S):
            return None
        if self.given["leftMs"] <= 0:
            named = ", ".join(self.lacking(fleet)[:MOST_NAMED])
            return await self.move(acts, "nowhere", done=True, told=f"not ready in time: {named}")
        return await acts.note(self)

    async def deciding(self, acts: Acts, fleet: dict[str, Any]) -> None:
        """The one write that makes it true, on condition that nothing else was decided since."""
        if self.is_decided(fleet["now"]):
            return await self.move(acts, "decided")
        if fleet["now"]["number"] != self.given["base"] or self.lacking(fleet):
            return await self.move(acts, "preparing")  # doors came, or a term: by what holds now
        status, known = await acts.read(f"/records/{DECISION_RECORD}")
        if status != 200 or json.loads(known["text"])["number"] != self.given["base"]:
            raise GoneError("another decision came between")
        absent = [door["name"] for door in fleet["doors"] if door["state"] == "absent"]
        term = acts.term()
        decision = {
            "number": max(self.given["base"] + 1, term << EPOCH_COUNT_BITS | 1),
            "digest": self.given["digest"],
            "before": self.given["before"],
            "term": term,
            "moveMs": round(ABSENT_AFTER_S * 1000),
            "change": self.given["id"],
            "who": self.given["who"],
            "why": self.given["why"],
            "absent": absent[:MOST_NAMED],
            "absentCount": len(absent),
        }
        status, told = await acts.write(
            "POST", f"/records/{DECISION_RECORD}", text=json.dumps(decision), ifVersion=known["version"]
        )
        if status == 409:
            raise GoneError(f"another decision came between: {told}")
        if status != 200:
            raise TaskError(f"cannot decide: {told}")
        self.given["at"] = totals(fleet["doors"])
        return await self.move(acts, "decided")

    # --- after it ---

    async def decided(self, acts: Acts, fleet: dict[str, Any]) -> None:
        """Until its moment, and until all who are there show that they have it."""
        now, left_ms = fleet["now"], fleet["leftMs"]
        if not self.is_decided(now):
            return await self.move(acts, "undone", done=True, told="another policy was decided since")
        await self.write_down(acts, now)
        behind = [
            door["name"]
            for door in fleet["doors"]
            if door["state"] == "present" and door.get("has") != now["digest"]
        ]
        if left_ms is None or left_ms > (-SEEN_S * 1000 if behind else 0):
            return None
        told = f"held out, as they do not go by it: {', '.join(behind[:MOST_NAMED])}" if behind else ""
        if self.given.get("gate"):
            self.given |= {"leftMs": self.given["gate"]["for_ms"], "at": totals(fleet["doors"])}
            self.given.pop("since", None)
            return await self.move(acts, "watched", told=told)
        return await self.move(
            acts,
            "undone" if self.given.get("undoes") else "in force",
            done=True,
            told=told or self.given.get("undoes", ""),
        )

    async def watched(self, acts: Acts, fleet: dict[str, Any]) -> None:
        if self.count_down(NOTE_EVERY_S):
            return None
        gate = msgspec.convert(self.given["gate"], Gate)
        failed = judged(self.given["counts"], self.given["at"], totals(fleet["doors"]), gate)
        if failed:  # back to what held before: all doors have it still
            self.given |= {
                "id": secrets.token_hex(6),
                "digest": self.given["before"],
                "undoes": failed,
                "why": f"its gate failed: {failed}",
                "leftMs": round(PREPARE_S * 1000),
                "before": fleet["now"]["digest"],
                "base": fleet["now"]["number"],
            }
            self.given.pop("gate")
            return await self.move(acts, "preparing", told=failed)
        if self.given["leftMs"] > 0:
            return await acts.note(self)
        told = "" if failed == "" else "its gate could not be judged: too few requests, or doors began anew"
        return await self.move(acts, "in force", done=True, told=told)

    async def write_down(self, acts: Acts, now: dict[str, Any]) -> None:
        """The history: each decision once. The oldest go, with documents as old that no other names;
        a younger one may be about to be proposed."""
        name = f"{HISTORY_RECORD_PREFIX}{now['number']:016x}"
        if (await acts.read(f"/records/{name}"))[0] == 200:
            return
        await acts.write("POST", f"/records/{name}", text=json.dumps(now), ifVersion=0)
        status, told = await acts.read("/records")
        if status != 200:
            return
        logged = sorted(
            (one for one in told["records"] if one["name"].startswith(HISTORY_RECORD_PREFIX)),
            key=lambda one: one["name"],
        )
        old, kept = logged[:-MOST_LOGGED], logged[-MOST_LOGGED:]
        named = {
            DOCUMENT_RECORD_PREFIX + json.loads(one["text"])[key]
            for one in kept
            for key in ("digest", "before")
        }
        if old:
            old += [
                one
                for one in told["records"]
                if one["name"].startswith(DOCUMENT_RECORD_PREFIX)
                and one["name"] not in named
                and one["version"] < old[-1]["version"]
            ]
        for one in old:
            await acts.write("POST", f"/records/{one['name']}", text="")


def change_of(records: Iterable[dict[str, Any]]) -> tuple[dict[str, Any], int]:
    """The task of the last change and its version; {} and 0 where there was none."""
    for record in records:
        if record["name"] == CHANGE_TASK_RECORD:
            return json.loads(record["text"]), record["version"]
    return {}, 0
