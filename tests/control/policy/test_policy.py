"""Policies: documents, doors and their leases at a list service, a change that one write decides."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from orchidhatch.control.controller.service import Controller
from orchidhatch.control.ownership.claims import Fence, Keep
from orchidhatch.control.policy import document as form
from orchidhatch.control.policy.change import Gate, ask, judged, out_of_service
from orchidhatch.control.policy.records import (
    ACTIVATED_RECORD,
    CHANGE_TASK_RECORD,
    DECISION_RECORD,
    DOCUMENT_RECORD_PREFIX,
)
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, LEASE_S
from orchidhatch.control.registry.service import Registry
from tests.control.agent.test_service import until
from tests.control.registry.test_service import address_of, call, serving
from tests.sockets import run

PLAN = {"name": "stor", "units-per-s": 10.0, "burst": 20.0}
LOWER, HIGHER = ({"plans": [{**PLAN, "burst": burst}]} for burst in (20.0, 40.0))


def text_of(document: dict[str, Any]) -> str:
    return form.parse_document(json.dumps(document), "x.json").text()


A, B = map(text_of, (LOWER, HIGHER))
DA, DB = map(form.document_digest, (A, B))


# --- documents ---


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"plans": []}, "plans"),
        ({"plans": [PLAN, PLAN]}, "given twice"),
        ({"colour": 1}, "colour"),
        ({"plans": [{**PLAN, "units-per-s": -1}]}, "units-per-s"),
        ({"plans": [{**PLAN, "burst": 0.5}]}, "burst"),
        ({"plans": [{**PLAN, "rate": 1}]}, "rate"),
        ({"plans": [{**PLAN, "units-per-s": "10"}]}, "units-per-s"),
        ({"plans": [{**PLAN, "never-over-rate": 5, "hard-burst": 5}]}, "cannot carry"),
        ({"plans": [{**PLAN, "never-over-rate": 50}]}, "hard-burst"),
        ({"banned": ["b4d6"]}, "banned"),
        ({"plans": [{**PLAN, "units-per-s": 0}]}, "is needed where"),
        ({"banned": ["0" * 16] * 151}, "banned"),
        ({"classes": [{"name": "read", "on-time-ms": 9, "deadline-ms": 5}]}, "is before"),
        ({"plans": [{**PLAN, "name": "x" * 41}]}, "name"),
        ({"plans": {"stor": PLAN}}, "plans"),
    ],
)
def test_a_document_that_makes_no_sense_is_refused_by_key_and_reason(change: Any, said: str) -> None:  # noqa: ANN401
    with pytest.raises(form.InvalidPolicyError, match=said) as told:
        form.parse_document(json.dumps({**LOWER, **change}), "p.json")
    assert "\n" not in str(told.value) and str(told.value).startswith("p.json: ")


@pytest.mark.parametrize(
    "text",
    [
        '{"plans": [{"name": "a", "units-per-s": NaN, "burst": 1}]}',
        '{"plans": 1, "plans": 2}',
        "[" * 100_000,
        '{"plans": [{"name": "a", "units-per-s": 1e999, "burst": 1}]}',
        "x" * 9000,
        "\x00",
    ],
)
def test_text_that_is_no_document_is_refused(text: str) -> None:
    for source in ("p.json", "p.toml"):
        with pytest.raises(form.InvalidPolicyError, match=source):
            form.parse_document(text, source)


def test_a_policy_is_named_by_what_it_says_and_laid_over_what_a_door_has() -> None:
    toml = '[[plans]]\nburst = 20\nname = "stor"\n"units-per-s" = 10\n'
    assert form.parse_document(toml, "p.toml").digest() == DA == form.document_digest(A) != DB
    policy = form.parse_document(
        json.dumps(
            {
                "plans": [{**PLAN, "name": "new"}, PLAN],
                "retired": ["old"],
                "banned": ["0" * 16],
                "classes": [{"name": "read", "on-time-ms": 5, "deadline-ms": 9}],
            }
        ),
        "p.json",
    )
    base = {
        "me": 3,
        "plans": [
            {"name": "old", "burst": 1},
            {"name": "stor", "burst": 9, "overrun-cost": 0.8},
            {"name": "kept", "burst": 2},
        ],
        "categories": [{"name": "read", "points": 2.0, "on-time-us": 1, "deadline-us": 1}],
    }
    made = form.apply_policy(base, policy)
    assert [plan["name"] for plan in made["plans"]] == ["stor", "kept", "new"] and made["me"] == 3
    assert made["plans"][0]["burst"] == 20 and made["plans"][0]["overrun-cost"] == 0.8
    assert base["plans"][1]["burst"] == 9
    assert made["categories"] == [{"name": "read", "points": 2.0, "on-time-us": 5000, "deadline-us": 9000}]
    assert made["banned"] == ["0" * 16]
    with pytest.raises(form.InvalidPolicyError, match="no such class"):
        form.apply_policy({**base, "categories": []}, policy)
    before, after = (form.parse_document(text, "p.json") for text in (A, A.replace("stor", "other")))
    with pytest.raises(form.InvalidPolicyError, match="stor: its customers"):
        form.check_after(after, before, "p.json")
    lines = list(form.differences(json.loads(A), json.loads(B)))
    assert lines == ["plans.stor.burst: 20.0 -> 40.0"]


# --- doors at a list service ---


class Time:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@asynccontextmanager
async def keeping(path: Path, time: Time, **more: Any) -> AsyncIterator[Registry]:  # noqa: ANN401
    """A list service on that clock, which never looks by itself."""
    async with serving(path, **more) as registry:
        registry.clock = time
        registry.doors.begin()
        yield registry


async def renew(registry: Registry, door: str, **told: Any) -> tuple[int, Any]:  # noqa: ANN401
    report = {
        "life": f"{door}-1",
        "has": "",
        "number": 0,
        "digest": "",
        "ready": [],
        "flaw": "",
        "counts": [0, 0, 0],
        "serves": True,
    } | told
    content = json.dumps(report).encode()
    status, answer = await call(address_of(registry), f"POST /doors/{door}/renew", content)
    if status == 404:
        written = json.dumps({"name": door, "life": report["life"], "zone": door[0]}).encode()
        assert (await call(address_of(registry), "POST /doors", written))[0] == 200
        return await renew(registry, door, **told)
    return status, answer


async def decide(registry: Registry, digest: str, before: str, number: int, **more: Any) -> None:  # noqa: ANN401
    now = {
        "number": number,
        "digest": digest,
        "before": before,
        "moveMs": 13_000,
        "term": registry.store.term,
        "change": "c",
        "who": "w",
        "why": "y",
        "absent": [],
    }
    registry.queue(Keep(DECISION_RECORD, json.dumps(now | more)), None)
    await until(lambda: registry.doors.now().get("number") == number)


async def settled(registry: Registry, time: Time) -> None:
    """Past the time in which a door that is not known may serve, and what is to be written written."""
    time.now += ABSENT_AFTER_S
    registry.doors.look()
    await until(registry.doors.sure)
    registry.doors.look()
    await until(lambda: ACTIVATED_RECORD in registry.store.book.records)


def test_a_new_list_service_says_nothing_until_no_door_can_serve_by_another(tmp_path: Path) -> None:
    async def job() -> None:
        time = Time()
        async with keeping(tmp_path / "1.db", time) as registry:
            status, answer = await renew(registry, "a", number=7 << 32, digest=DA, ready=[DA], has=DA)
            assert (status, answer) == (200, {"sure": False, "prepare": "", "want": DA})
            time.now += ABSENT_AFTER_S / 2
            registry.doors.look()
            assert not registry.doors.sure() and not registry.doors.writing
            time.now += ABSENT_AFTER_S
            await renew(registry, "a", number=7 << 32, digest=DA, ready=[DA], has=DA, text=A)
            await until(lambda: DOCUMENT_RECORD_PREFIX + DA in registry.store.book.records)
            registry.doors.look()
            await until(registry.doors.sure)
            now = registry.doors.now()  # the highest that any door knew, and no door has to change over it
            assert now["number"] == (7 << 32) + 1 and now["digest"] == now["before"] == DA

    run(job())


def test_a_moment_outlives_the_list_service_in_those_that_heard_it(tmp_path: Path) -> None:
    async def job() -> None:
        time, path = Time(), tmp_path / "1.db"
        async with keeping(path, time) as registry:
            await settled(registry, time)
            first = registry.doors.now()["number"]
            for door in ("a", "b"):
                assert (await renew(registry, door))[1]["leftMs"] <= 0
            await decide(registry, DA, "", first + 1)
            assert (await renew(registry, "a"))[1] == {
                "sure": True,
                "number": first + 1,
                "digest": DA,
                "before": "",
                "prepare": "",
                "want": "",
                "leftMs": 13_000,
            }
        async with keeping(path, time, create=False) as registry:
            time.now += 1  # it was down meanwhile, and does not know for how long
            assert (await renew(registry, "b"))[1]["sure"] is False
            _, answer = await renew(registry, "a", number=first + 1, digest=DA, leftMs=11_500)
            assert answer["sure"] and answer["leftMs"] == 11_500
            assert (await renew(registry, "b"))[1]["leftMs"] == 11_500
        async with keeping(path, time, create=False) as registry:  # nobody heard it: another one begins
            await renew(registry, "a")
            assert registry.doors.left_s() is None
            assert (await renew(registry, "b"))[1]["leftMs"] == round(ABSENT_AFTER_S * 1000)
            time.now += ABSENT_AFTER_S
            registry.doors.look()
            await until(lambda: registry.store.book.records[ACTIVATED_RECORD].text == str(first + 1))
        async with keeping(path, time, create=False) as registry:  # it is over, and that is known
            assert (await renew(registry, "a"))[1]["leftMs"] < 0

    run(job())


def test_a_promoted_follower_waits_for_what_it_may_have_missed(tmp_path: Path) -> None:
    async def job() -> None:
        time = Time()
        async with keeping(tmp_path / "1.db", time) as first:
            await settled(first, time)
            for door in ("a", "b"):
                await renew(first, door)
            at = [address_of(first)]
            async with serving(tmp_path / "2.db", follow=tuple(at)) as second:
                second.clock = time
                await until(
                    lambda: len(second.store.book.doors) == 2
                    and ACTIVATED_RECORD in second.store.book.records
                )
                assert (await renew(second, "a"))[0] == 409
                number = first.doors.now()["number"]
                first.store.apply([Keep(DOCUMENT_RECORD_PREFIX + DB, B)])
                await decide(first, DB, "", number + 1)  # of which the follower hears nothing
                for task in second.role.tasks:
                    task.cancel()
                await first.close()
                second.doors.copied_s = time.now
                second.following.connected = False
                second.peer_terms.last_term_query_answered_s = -1e9
                assert second.promotion.promote(force=True, upstream_may_run=False).term == second.store.term
                # The copy holds for as long as what was missed cannot have had its moment.
                _, answer = await renew(second, "a")
                assert (answer["number"], answer["digest"], answer["sure"]) == (number, "", True)
                time.now += ABSENT_AFTER_S - LEASE_S
                assert (await renew(second, "a"))[1]["sure"] is False
                _, answer = await renew(second, "b", number=number + 1, digest=DB, ready=[DB], has=DB)
                assert answer == {"sure": False, "prepare": "", "want": DB}
                await renew(second, "b", number=number + 1, digest=DB, ready=[DB], has=DB, text=B)
                await until(lambda: DOCUMENT_RECORD_PREFIX + DB in second.store.book.records)
                await renew(second, "a")
                await until(second.doors.sure)
                assert (await renew(second, "a"))[1]["digest"] == DB
                assert second.doors.now()["number"] > number + 1 and second.doors.now()["before"] == DB
            async with keeping(tmp_path / "3.db", time, term=3) as third:  # all go by another one still
                await third.writes.write_aside([Keep(DOCUMENT_RECORD_PREFIX + DB, B)])
                await renew(third, "a", number=9 << 32, digest=DB)
                time.now += ABSENT_AFTER_S
                await renew(third, "a", number=9 << 32, digest=DB)
                await until(third.doors.sure)
                now = third.doors.now()
                assert (now["digest"], now["before"], now["moveMs"]) == (DB, "", round(ABSENT_AFTER_S * 1000))

    run(job())


def test_calls_about_doors_that_make_no_sense_change_nothing(tmp_path: Path) -> None:
    async def job() -> None:
        time = Time()
        async with keeping(tmp_path / "1.db", time) as registry:
            at = address_of(registry)
            await settled(registry, time)
            await renew(registry, "a")
            good = {
                "life": "a-1",
                "has": "",
                "number": 0,
                "digest": "",
                "ready": [],
                "flaw": "",
                "counts": [0, 0, 0],
                "serves": True,
            }
            for bad in (
                {"has": "x"},
                {"number": -1},
                {"number": 1 << 60},
                {"ready": ["x"]},
                {"ready": [DA] * 9},
                {"counts": [1, 2]},
                {"counts": [1, 2, "3"]},
                {"leftMs": 1.5},
                {"leftMs": 1 << 40},
                {"flaw": "a\nb"},
                {"serves": 1},
                {"more": 1},
                {"text": "x" * 6001},
            ):
                content = json.dumps(good | bad).encode()
                assert (await call(at, "POST /doors/a/renew", content))[0] == 400, bad
            assert (await call(at, "POST /doors", b'{"name":"-","life":"1","zone":"z"}'))[0] == 400
            assert (await call(at, "POST /doors", b'{"name":"a","life":"2","zone":"z"}'))[0] == 409
            assert (await call(at, "DELETE /doors/a"))[0] == 409  # it may serve
            assert (await call(at, "DELETE /doors/b"))[0] == 404
            time.now += LEASE_S + 1
            assert (await call(at, "POST /doors", b'{"name":"a","life":"2","zone":"z"}'))[0] == 200
            assert (await renew(registry, "a"))[0] == 409  # the life before it
            time.now += ABSENT_AFTER_S
            assert (await call(at, "DELETE /doors/a"))[0] == 200 and not registry.store.book.doors

    run(job())


# --- a change ---


class Fleet:
    """GatewayPolicyLeases that renew as their agents would, and one owner of the work."""

    def __init__(self, registry: Registry, time: Time, *doors: str) -> None:
        self.registry, self.time, self.doors = registry, time, doors
        self.steward = Controller("steward-1", [address_of(registry)], lease_ms=600_000, clock=time)
        self.told: dict[str, dict[str, Any]] = {door: {} for door in doors}

    async def begin(self) -> None:
        await settled(self.registry, self.time)
        await self.beat()
        await self.steward.open()
        await self.steward.share()

    async def beat(self) -> None:
        for door in self.doors:
            await renew(self.registry, door, **self.told[door])

    def all(self, **told: Any) -> None:  # noqa: ANN401
        for door in self.doors:
            self.told[door] |= told

    async def put(self, name: str, text: str) -> None:
        self.registry.queue(Keep(name, text), None)
        await until(lambda: getattr(self.registry.store.book.records.get(name), "text", "") == text)

    async def ask(self, digest: str, **more: Any) -> None:  # noqa: ANN401
        await self.put(CHANGE_TASK_RECORD, json.dumps(ask(digest, "me", "why", **more)))

    def change(self) -> dict[str, Any]:
        return json.loads(self.registry.store.book.records[CHANGE_TASK_RECORD].text)

    async def work(self, until_state: str = "") -> dict[str, Any]:
        """Steps until the change is so far, or over."""
        for _ in range(40):
            await self.beat()
            await self.steward.work()
            if self.change()["state"] == until_state or self.change()["done"]:
                break
        return self.change()


def test_a_change_is_decided_once_all_who_may_serve_are_ready_and_names_who_is_absent(tmp_path: Path) -> None:
    async def job() -> None:
        time = Time()
        async with keeping(tmp_path / "1.db", time) as registry:
            fleet = Fleet(registry, time, "a", "b", "c", "d", "e")
            await fleet.begin()
            await fleet.put(DOCUMENT_RECORD_PREFIX + DA, A)
            fleet.doors = ("a", "b", "c", "d")  # e is down from here on
            await fleet.ask(DA)
            time.now += LEASE_S + 1
            await fleet.work("preparing")
            assert (await renew(registry, "a"))[1]["prepare"] == DA
            fleet.all(ready=[DA])
            await fleet.work("deciding")
            assert fleet.change()["state"] == "preparing"  # e is silent, and may serve still
            time.now += ABSENT_AFTER_S
            await fleet.work("decided")
            now = registry.doors.now()
            assert now["absent"] == ["e"] and now["digest"] == DA and now["before"] == ""
            assert registry.doors.left_s() == pytest.approx(ABSENT_AFTER_S)
            fleet.all(has=DA)
            fleet.told["d"]["has"] = ""  # one that says yes and goes on by the old
            time.now += ABSENT_AFTER_S
            assert (await fleet.work())["state"] == "decided"
            time.now += 6
            done = await fleet.work()
            assert done["state"] == "in force" and done["told"].endswith(": d")

    run(job())


@pytest.mark.parametrize(
    ("told", "later_s", "why"),
    [
        ({"flaw": f"{DA} no such class"}, 0, "a: "),
        ({}, 70, "not ready in time: b"),
        (None, 0, "dropped"),
    ],
)
def test_before_the_decision_whatever_fails_means_nowhere(
    told: dict[str, Any] | None, later_s: float, why: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def job() -> None:
        time = Time()
        monkeypatch.setattr("orchidhatch.control.controller.tasks.time.monotonic", time)
        async with keeping(tmp_path / "1.db", time) as registry:
            fleet = Fleet(registry, time, "a", "b")
            await fleet.begin()
            before = registry.doors.now()
            await fleet.ask(DA)
            assert (await fleet.work())["told"] == "there is no such document"
            await fleet.put(DOCUMENT_RECORD_PREFIX + DA, A)
            await fleet.ask(DA)
            await fleet.work("preparing")
            fleet.told["a"] = {"ready": [DA], **(told or {})}
            if told is None:
                await fleet.put(CHANGE_TASK_RECORD, json.dumps({**fleet.change(), "dropped": True}))
            for _ in range(round(later_s / 2)):
                time.now += 2
                fleet.steward.good_until_s = time.now + 60
                await fleet.work("preparing")
            done = await fleet.work()
            assert done["state"] == "nowhere" and why in done["told"]
            assert registry.doors.now() == before and (await renew(registry, "b"))[1]["prepare"] == ""

    run(job())


def test_the_next_owner_goes_on_and_the_late_one_decides_nothing(tmp_path: Path) -> None:
    async def job() -> None:
        time = Time()
        async with keeping(tmp_path / "1.db", time) as registry:
            fleet = Fleet(registry, time, "a")
            await fleet.begin()
            await fleet.put(DOCUMENT_RECORD_PREFIX + DA, A)
            await fleet.put(DOCUMENT_RECORD_PREFIX + DB, B)
            await fleet.ask(DA)
            fleet.all(ready=[DA, DB])
            await fleet.work("deciding")
            number = registry.doors.now()["number"]
            late, (shard, held) = (
                fleet.steward,
                next((shard, held) for shard, held in fleet.steward.held.items()),
            )
            await late.links.call("DELETE", f"/sessions/{late.id}", {"life": late.life})
            fleet.steward = Controller("steward-2", [address_of(registry)], lease_ms=600_000, clock=time)
            await fleet.steward.open()
            await fleet.steward.share()
            await late.work()  # it wakes up with all that it held
            assert late.refused == 1 and registry.doors.now()["number"] == number
            await fleet.work("decided")
            assert registry.doors.now()["number"] == number + 1
            fence = Fence(shard, held.epoch)
            [refused] = registry.store.apply([Keep(DECISION_RECORD, "{}", fence=fence)])
            assert "epoch" in str(refused)

    run(job())


def test_a_gate_that_fails_has_what_held_before_decided_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def job() -> None:
        time = Time()
        monkeypatch.setattr("orchidhatch.control.controller.tasks.time.monotonic", time)
        async with keeping(tmp_path / "1.db", time) as registry:
            fleet = Fleet(registry, time, "a")
            await fleet.begin()
            for digest, text in ((DA, A), (DB, B)):
                await fleet.put(DOCUMENT_RECORD_PREFIX + digest, text)
            fleet.all(ready=[DA, DB], counts=[1000, 10, 0])
            for digest, gate, ended in ((DA, None, "in force"), (DB, Gate(for_ms=4000), "undone")):
                await fleet.ask(digest, gate=gate)
                await fleet.work("preparing")
                fleet.all(counts=[2000, 20, 0])
                await fleet.work("decided")
                fleet.all(has=digest)
                time.now += ABSENT_AFTER_S
                await fleet.work("watched")
                fleet.all(counts=[2500, 20, 400])
                time.now += 3
                await fleet.work("deciding")
                fleet.all(has=registry.doors.now()["digest"])
                await fleet.work("decided")
                fleet.all(has=registry.doors.now()["digest"])
                time.now += ABSENT_AFTER_S
                done = await fleet.work()
                assert done["state"] == ended, done["told"]
                assert registry.doors.now()["digest"] == DA
                fleet.all(counts=[1000, 10, 0])
            assert "requests errored" in done["told"]
            logged = [name for name in registry.store.book.records if name.startswith("policy.log-")]
            assert len(logged) == 3

    run(job())


def test_a_gate_that_cannot_be_judged_says_so_and_too_many_doors_out_are_refused() -> None:
    gate = Gate(for_ms=1000)
    assert judged((0, 0, 0), (500, 0, 0), (600, 0, 0), gate) is None  # too few since
    assert judged((0, 0, 0), (500, 0, 0), (100, 0, 0), gate) is None  # a door began anew
    assert judged((0, 0, 0), (500, 0, 5), (1000, 0, 10), gate) == ""
    assert "deferred" in judged((0, 0, 0), (500, 0, 0), (600, 400, 0), gate)

    def doors(*states: str) -> list[dict[str, str]]:
        return [{"state": "absent" if state == "x" else "present", "zone": state[-1]} for state in states]

    assert out_of_service([{"state": "present", "zone": "a"}] * 8) == ""
    tier = [{"state": "absent" if n % 10 < 3 else "present", "zone": "abc"[n % 3]} for n in range(30)]
    assert "9 of 30 doors" in out_of_service(tier)
    zone = [{"state": "absent" if n % 9 in (0, 3) else "present", "zone": "abc"[n % 3]} for n in range(27)]
    assert "6 of 9 doors of zone a" in out_of_service(zone)
