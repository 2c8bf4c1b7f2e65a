"""The invariant checkers, on events made by hand: each finds its violation, and excuses faults."""

import json
from pathlib import Path

import msgspec
import pytest

from orchidhatch.faults import plan as plans
from orchidhatch.faults.events import gather
from orchidhatch.faults.invariants.check_trial import check_trial

MS = 1_000_000

Told = tuple[int, str, str, str, dict[str, object]]


def ask(at: int = 0, door: int = 0, id_: str = "r", plan: str = "wide") -> Told:
    told = {"door": door, "customer": "c", "plan": plan, "late_us": 100, "tries": 0}
    return at, "clients", "ask", id_, told


def end(at: int, how: str = "served", text: str = "b:r", id_: str = "r") -> Told:
    return at, "clients", "end", id_, {"how": how, "text": text}


def attempt(at: int, over: int, port: int = 9, id_: str = "r") -> list[Told]:
    return [
        (at - 1, "trial", "opened", "door-0>backend-0", {"port": port}),
        (at, "backend-0", "attempt", id_, {"backend": "b-0", "port": port, "customer": "c"}),
        (over, "backend-0", "over", id_, {"backend": "b-0", "port": port, "how": "served"}),
    ]


def fault(at: int, until: int, about: str, kind: str) -> list[Told]:
    return [(at, "trial", "fault", about, {"kind": kind}), (until, "trial", "undone", about, {"kind": kind})]


def news(at: int, generation: int = 1, **states: list[str]) -> Told:
    return at, "trial", "news", "door-0", {"generation": generation, "reset": False, "states": states}


def written(at: int, until: int, term: int, status: int = 200) -> list[Told]:
    return [
        (at, "trial", "write", "w-1 0", {"at": "registry-0", "id": "w-1", "method": "POST", "value": {}}),
        (
            until,
            "trial",
            "answer",
            "w-1 0",
            {"at": "registry-0", "id": "w-1", "status": status, "store": f"x {term}", "told": {}},
        ),
    ]


def listed(term: int, *ids: str) -> Told:
    told = {"store": f"x {term}", "listed": dict.fromkeys(ids, "SERVING")}
    return 9000, "trial", "list", "registry-0", told


def owned(epoch: int, life: str) -> list[Told]:
    return [(10, "trial", "claim", "x", {"holder": life, "life": life, "epoch": epoch, "held": False})]


def acted(epoch: int, number: int) -> list[Told]:
    return [
        (
            10,
            "trial",
            "effect",
            "door-0",
            {"claim": "x", "epoch": epoch, "act": "POST", "on": "b", "number": number},
        )
    ]


def kept(state: str, at: int) -> list[Told]:
    return [
        (
            at,
            "registry-0",
            "effect",
            "registry-0",
            {
                "claim": "x",
                "epoch": 1,
                "act": "putrecord",
                "on": "task.drain-b",
                "text": json.dumps({"state": state}),
            },
        )
    ]


LIVE = [(0, "trial", "serves", "b-0", {})]
PROMOTED = [(1000, "trial", "promote", "registry-1", {"status": 200, "told": {}})]
THRICE = [
    told
    for n, id_ in enumerate(("r0", "r1", "r2"))
    for told in [
        ask(n, 0, id_, "narrow"),
        end(900, "served", f"b:{id_}", id_),
        *attempt(100 + n, 900, 9 + n, id_),
    ]
]
PORT = {"port": 9}
DRAINED = [ask(800), end(900), news(100, DRAINING=["b-0"])]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([ask(), end(50), *attempt(10, 40)], ""),
        ([ask(), end(50, text="b:other")], "answers"),
        ([ask(), end(50), end(60)], "answers"),
        ([ask()], "answers"),
        ([ask(), *fault(10, 9500, "door-0", "stop")], ""),
        ([ask(), end(2700)], "answers"),
        ([ask(), end(2700), *fault(100, 2600, "door-0", "stop")], ""),
        ([ask(), end(50, "closed", "")], "answers"),
        ([ask(), end(50, "closed", ""), (49, "trial", "exit", "door-0", {"code": -9, "meant": True})], ""),
        ([ask(), end(50), (60, "clients", "surplus", "door-0", {"reply": "x"})], "answers"),
        ([ask(), end(900), *attempt(10, 400), *attempt(390, 800, 10)], ""),  # within what sockets are wider
        ([ask(), end(900), *attempt(10, 400), *attempt(300, 800, 10)], "attempts"),
        (
            [
                ask(),
                end(900),
                *attempt(10, 400),
                *attempt(300, 800, 10),
                (290, "trial", "left", "door-0>backend-0", PORT),
            ],
            "",
        ),  # the door had left the first by then
        ([ask(), end(900), *[told for n in range(4) for told in attempt(99 * n, 90 + 99 * n, n)]], ""),
        (
            [ask(), end(900), *[told for n in range(5) for told in attempt(99 * n, 90 + 99 * n, n)]],
            "attempts",
        ),
        ([*DRAINED, *attempt(390, 395)], ""),
        ([*DRAINED, *attempt(410, 450)], "drains"),
        ([*DRAINED, news(405, SERVING=["b-0"]), *attempt(410, 450)], ""),
        ([*DRAINED, news(405, DELETED=["b-0"]), *attempt(410, 450)], "drains"),
        ([*DRAINED, *attempt(410, 450), *fault(150, 400, "door-0", "stop")], ""),
        (THRICE, "caps"),
        ([told for told in THRICE if told[3] != "r2"], ""),
        ([news(10, 5), news(20, 5), news(30, 6)], ""),
        ([news(10, 5), news(20, 4)], "generations"),
        ([*written(10, 20, 1), listed(1, "w-1")], ""),
        ([*written(10, 20, 1), listed(1)], "writes"),
        ([*written(10, 20, 1, status=503), listed(1)], ""),
        ([*written(10, 20, 1), *PROMOTED, listed(2)], ""),  # the follower may not have heard it
        ([*written(10, 1500, 1), *PROMOTED, listed(2)], "writes"),
        ([*written(10, 1500, 2), *PROMOTED, listed(2)], "writes"),
        ([*owned(1, "a"), *owned(2, "b")], ""),
        ([*owned(2, "a"), *owned(1, "b")], "owners"),
        ([*owned(1, "a"), *owned(1, "b")], "owners"),
        ([*acted(1, 5), *acted(2, 6)], ""),
        ([*acted(2, 5), *acted(1, 6)], "effects"),
        ([*acted(1, 6), *acted(1, 5)], "effects"),
        ([*kept("out", 1), *kept("marked", 2)], "effects"),
        ([*kept("back", 1), *kept("asked", 2)], ""),  # it was over, and asked for again
        ([(10, "trial", "exit", "agent-0", {"code": 1, "meant": False})], "exits"),
        ([(10, "backend-0", "syntax", "b-0", {"words": "?"})], "forms"),
    ],
)
def test_check_finds_its_violation_and_excuses_faults(
    tmp_path: Path, events: list[Told], broken: str
) -> None:
    """Times are given in ms; the plan has a customer with an open cap of 2."""
    lines = [[at * MS, *rest] for at, *rest in [*LIVE, (9999, "trial", "ends", "trial", {}), *events]]
    (tmp_path / "x.events").write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))
    narrow = plans.Customers(plan="narrow", max_out=2)
    plan = plans.Plan(name="x", seconds=1.0, load=plans.Load(customers=[narrow]))
    verdict, _ = check_trial(gather(tmp_path, tmp_path / "x.db"), plan)
    assert {one.check for one in verdict.violations} == ({broken} if broken else set())
    assert not verdict.too_slow
