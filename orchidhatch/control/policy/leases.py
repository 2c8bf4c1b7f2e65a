"""Front doors as a list service knows them for a change of policy: who they are, when each agent renewed last
and what it told, and which policy it is told in return.

What holds is the decision record. Until it is of this store's own term, it is not known whether a decision is
missing here: nobody's lease is renewed then, until all doors that may still serve have told what they know.
"""

import asyncio
import json
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from orchidhatch.control.http_client import Address, call
from orchidhatch.control.http_server import Connection, Response, error_body, term_of, unavailable
from orchidhatch.control.ownership.claims import (
    EPOCH_COUNT_BITS,
    BookWrite,
    ConflictError,
    Door,
    Enter,
    Keep,
    Leave,
    Record,
    Thing,
)
from orchidhatch.control.policy.document import document_digest
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.policy.records import (
    ACTIVATED_RECORD,
    CHANGE_TASK_RECORD,
    DECISION_RECORD,
    DOCUMENT_RECORD_PREFIX,
)
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, LEASE_S
from orchidhatch.control.registry.store import StoreError
from orchidhatch.control.schemas import name, read_door, read_report

log = logging.getLogger("orchidhatch.policy")

COPIED = ("policy.", CHANGE_TASK_RECORD)  # how the records begin that a follower keeps a copy of
COPY_S = 1.0  # between two looks of a follower
OPEN = ("asked", "preparing", "deciding")  # states of a change that doors are to be ready for


@dataclass(frozen=True, slots=True)
class Report:
    """What a door's agent told last, and when by our clock."""

    at_s: float
    told: dict[str, Any]


def state_of(age_s: float) -> str:
    """Whether a door that last renewed so long ago serves for sure, may, or cannot any more."""
    return "present" if age_s <= LEASE_S else "silent" if age_s <= ABSENT_AFTER_S else "absent"


class GatewayPolicyLeases:
    """The doors of one list service."""

    def __init__(self, registry: LeaseHost) -> None:
        self.registry, self.book = registry, registry.store.book
        self.renewed = self.decisions = 0
        self.copied_s = -math.inf
        self.begin()

    def begin(self) -> None:
        """Anew with the process, or with a term: nobody has told anything here yet.
        `copied_s` stays: when a promoted follower last had what the one before it knew."""
        self.reports: dict[str, Report] = {}
        self.began_s = self.registry.clock()
        self.known = bool(self.book.doors)  # else there may be doors that have never come here
        self.moment: tuple[int, float] | None = None  # of which decision, and when by our clock
        self.read: tuple[int, dict[str, Any]] = (-1, {})  # DECISION_RECORD's version, and what it says
        self.writing = False

    # --- what holds ---

    def now(self) -> dict[str, Any]:
        """The decision that holds, or {} where there never was one."""
        record = self.book.records.get(DECISION_RECORD)
        if record is None:
            return {}
        if self.read[0] != record.version:
            self.read = record.version, json.loads(record.text)
        return self.read[1]

    def sure(self) -> bool:
        return self.now().get("term") == self.registry.store.term

    def left_s(self) -> float | None:
        """Until the moment of the decision that holds; None while that is not known."""
        now = self.now()
        if self.moment and self.moment[0] == now["number"]:
            return self.moment[1] - self.registry.clock()
        past = self.book.records.get(ACTIVATED_RECORD)  # it was over before we were started
        return -math.inf if past and past.text == str(now["number"]) else None

    def age_s(self, door: str) -> float:
        """Since it last renewed here; since we began, if it never did."""
        report = self.reports.get(door)
        return self.registry.clock() - (report.at_s if report else self.began_s)

    def all_told(self) -> bool:
        """Whether every door that may still serve has told what it knows."""
        if not self.known and self.registry.clock() - self.began_s < ABSENT_AFTER_S:
            return False
        return all(door in self.reports or state_of(self.age_s(door)) == "absent" for door in self.book.doors)

    # --- calls ---

    def call(self, connection: Connection, method: str, path: tuple[str, ...], body: bytes) -> bool:
        """Whether it is one of these calls; then it is answered, or waits for the disk."""
        match method, path:
            case "POST", ("doors",):
                self.enter(connection, body)
            case "POST", ("doors", door, "renew"):
                connection.answer(self.renew(door, read_report(body)))
            case "DELETE", ("doors", door):
                self.leave(connection, name("door", door))
            case "GET", ("doors",):
                connection.answer(Response(200, self.all()))
            case "GET", ("policy",):
                connection.answer(Response(200, self.copy()))
            case _:
                return False
        return True

    def enter(self, connection: Connection, body: bytes) -> None:
        """One life at a time, as two agents would steer one door."""
        write = read_door(body)
        known = self.book.doors.get(write.door.name)
        if known and known.life != write.door.life and self.age_s(known.name) <= LEASE_S:
            connection.answer(
                Response(409, error_body(f"{known.name} is kept by another life until its lease ends"))
            )
        else:
            self.registry.queue(write, connection)

    def leave(self, connection: Connection, door: str) -> None:
        """Only one that cannot serve any more: what it knows is not waited for afterwards."""
        if door in self.book.doors and state_of(self.age_s(door)) != "absent":
            connection.answer(
                Response(
                    409,
                    error_body(
                        f"{door} may still serve; it is absent {ABSENT_AFTER_S:.0f} s after its last renewal"
                    ),
                )
            )
        else:
            self.registry.queue(Leave(door), connection)

    def renew(self, door: str, report: dict[str, Any]) -> Response:
        if refusal := self.registry.no_writes():
            return refusal
        if not self.registry.sure():
            return unavailable("it did not run for a while, and asks its peers first")
        known = self.book.doors.get(door)
        if known is None or known.life != report["life"]:
            return Response(
                409 if known else 404,
                error_body(
                    f"{door:.80} is kept by another life" if known else f"{door:.80} is not listed as a door"
                ),
            )
        self.renewed += 1
        self.reports[door] = Report(self.registry.clock(), report)
        self.hear_moment(report)
        self.settle()
        return Response(200, self.answer(door))

    def answer(self, door: str) -> dict[str, Any]:
        change = self.change()
        prepare = change["digest"] if change.get("state") in OPEN else ""
        if not self.sure() and not self.copy_holds():
            return {"sure": False, "prepare": "", "want": self.wanted(door)}
        now, left_s = self.now(), self.left_s()
        return {
            "sure": left_s is not None,
            "number": now["number"],
            "digest": now["digest"],
            "before": now["before"],
            "prepare": prepare,
            "want": "",
            "leftMs": None if left_s is None else round(max(-ABSENT_AFTER_S, left_s) * 1000),
        }

    def copy_holds(self) -> bool:
        """Whether a decision that was missed in the copy cannot have had its moment yet by the end of a lease
        that begins now: after a promotion this keeps doors at work until all have told."""
        past = self.book.records.get(ACTIVATED_RECORD)
        settled = bool(self.now()) and past is not None and past.text == str(self.now()["number"])
        return (
            settled
            and self.best()[0] == self.now()["number"]
            and self.registry.clock() + LEASE_S < self.copied_s + ABSENT_AFTER_S
        )

    def copy(self) -> dict[str, Any]:
        """What a follower keeps a copy of."""
        return {
            "records": {
                record.name: record.text
                for record in self.book.records.values()
                if record.name.startswith(COPIED)
            },
            "doors": [msgspec.to_builtins(door) for door in self.book.doors.values()],
        }

    async def keep_copy(self, source: Callable[[], Address]) -> None:
        """While this service follows another one: its policies and doors, as they were a moment ago."""
        while True:
            asked_s = self.registry.clock()
            result = await call(source(), "GET", "/policy", timeout_s=COPY_S)
            if result.ok and term_of(result.store_name) >= self.registry.store.term:
                try:
                    await self.registry.write_aside(self.differences(result.value))
                    self.copied_s = asked_s
                except (StoreError, KeyError, TypeError) as error:
                    log.error("cannot keep a copy of the policies: %s", error)
            await asyncio.sleep(COPY_S)

    def differences(self, value: dict[str, Any]) -> list[BookWrite]:
        """What it takes to make the copy here what was told."""
        records, doors = (
            dict(value["records"]),
            [Door(door["name"], door["life"], door["zone"]) for door in value["doors"]],
        )
        mine = {name: record.text for name, record in self.book.records.items() if name.startswith(COPIED)}
        writes: list[BookWrite] = [Keep(name, "") for name in mine if name not in records]
        writes += [Keep(name, text) for name, text in records.items() if mine.get(name) != text]
        writes += [Leave(name) for name in self.book.doors if name not in {door.name for door in doors}]
        return writes + [Enter(door) for door in doors if self.book.doors.get(door.name) != door]

    def change(self) -> dict[str, Any]:
        record = self.book.records.get(CHANGE_TASK_RECORD)
        return json.loads(record.text) if record else {}

    def all(self) -> dict[str, Any]:
        """For the owner of a change and for operators."""
        left_s = self.left_s() if self.sure() else None
        return {
            "sure": self.sure(),
            "now": self.now(),
            "leftMs": None if left_s is None else round(max(-ABSENT_AFTER_S, left_s) * 1000),
            "doors": [self.shown(door) for door in self.book.doors.values()],
        }

    def shown(self, door: Door) -> dict[str, Any]:
        age_s, report = self.age_s(door.name), self.reports.get(door.name)
        value = {
            "name": door.name,
            "zone": door.zone,
            "ageMs": round(age_s * 1000),
            "state": state_of(age_s) if report else "silent" if age_s <= ABSENT_AFTER_S else "absent",
        }
        return (
            value | {key: report.told[key] for key in ("has", "number", "ready", "flaw", "counts", "serves")}
            if report
            else value
        )

    # --- where what holds is not known ---

    def hear_moment(self, report: dict[str, Any]) -> None:
        """We were started anew after a decision, and the agent had heard when its moment is."""
        if (
            self.sure()
            and self.left_s() is None
            and "leftMs" in report
            and report["number"] == self.now()["number"]
        ):
            self.moment = self.now()["number"], self.registry.clock() + report["leftMs"] / 1000

    def best(self) -> tuple[int, str]:
        """The highest decision that is known here or to any door, and its document."""
        now = self.now()
        known = [(report.told["number"], report.told["digest"]) for report in self.reports.values()]
        return max([(now.get("number", 0), now.get("digest", "")), *known])

    def wanted(self, door: str) -> str:
        """The document that has to be told before it can be decided on anew."""
        digest = self.best()[1]
        lacking = digest and DOCUMENT_RECORD_PREFIX + digest not in self.book.records
        return digest if lacking and digest in self.reports[door].told["ready"] else ""

    def gone_by(self, digest: str) -> str:
        """What the doors may go on by until they go by this document. If some do already, its moment has
        come, and nobody goes by another one any more, whether or not he had heard of it. If all go by another
        one, one of them may do so a while longer without hearing of us, and so they all do."""
        has = {self.reports[door].told["has"] for door in self.book.doors if door in self.reports}
        return has.pop() if len(has) == 1 else digest

    def settle(self) -> None:
        """Decide anew in this term what was decided before; and a moment that nobody knows."""
        if self.registry.no_writes() or not self.registry.sure():
            return
        if self.sure():
            if self.left_s() is None and self.all_told():
                self.moment = self.now()["number"], self.registry.clock() + ABSENT_AFTER_S
            return
        for report in self.reports.values():
            text = report.told.get("text", "")
            key = DOCUMENT_RECORD_PREFIX + document_digest(text)
            if text and document_digest(text) == self.best()[1] and key not in self.book.records:
                self.registry.queue(Keep(key, text, if_version=0), None)
                return
        number, digest = self.best()
        if (
            self.writing
            or not self.all_told()
            or (digest and DOCUMENT_RECORD_PREFIX + digest not in self.book.records)
        ):
            return
        self.writing = True
        term, before = self.registry.store.term, self.gone_by(digest)
        log.warning("decides once more in term %d: %s, number %d before", term, digest or "-", number)
        decision = {
            "number": max(number + 1, term << EPOCH_COUNT_BITS | 1),
            "digest": digest,
            "before": before,
            "term": term,
            "moveMs": round(ABSENT_AFTER_S * 1000) if before != digest else 0,
            "change": "",
            "who": "list service",
            "why": f"a new term, after number {number}",
            "absent": [],
        }
        self.registry.queue(Keep(DECISION_RECORD, json.dumps(decision)), None)

    def wrote(self, outcomes: Iterable[Thing | object]) -> None:
        """After a batch: a decision that is durable now has its moment from here on."""
        for outcome in outcomes:
            if isinstance(outcome, ConflictError):
                self.writing = False  # it may have been ours: nothing is lost by trying it again
            elif isinstance(outcome, Record) and outcome.name == DECISION_RECORD:
                now, self.writing = self.now(), False
                self.decisions += 1
                self.moment = now["number"], self.registry.clock() + now["moveMs"] / 1000
                log.info("decided: %s", outcome.text)
            elif isinstance(outcome, Door) and outcome.name not in self.book.doors:
                self.reports.pop(outcome.name, None)

    def look(self) -> None:
        """What time alone brings about."""
        self.settle()
        if self.sure() and not self.registry.no_writes():
            past, left_s = self.book.records.get(ACTIVATED_RECORD), self.left_s()
            if left_s is not None and left_s <= 0:
                number = str(self.now()["number"])
                if past is None or past.text != number:
                    self.registry.queue(Keep(ACTIVATED_RECORD, number), None)

    def not_written(self) -> None:
        """A batch did not come to the disk; what was in it is tried again."""
        self.writing = False

    def figures(self) -> dict[str, float]:
        states = [self.shown(door)["state"] for door in self.book.doors.values()]
        return {
            "doors": len(states),
            "doors_silent": states.count("silent"),
            "doors_absent": states.count("absent"),
            "policy_sure": int(self.sure()),
            "policy_number": self.now().get("number", 0) & ((1 << EPOCH_COUNT_BITS) - 1),
            "policy_decisions_total": self.decisions,
            "door_renewals_total": self.renewed,
        }
