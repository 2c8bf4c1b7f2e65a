"""What a trial is: its plan as a TOML file, and the script of faults that a seed draws from it.

Times are seconds from the start of the load. The same plan and seed give the same script to the letter.
"""

import fnmatch
import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

MOST_PROCESSES = 40
MOST_FAULTS = 200
KEYED_WINDOW_S = 1.0
"""For how long a backend knows the key of a request that it has run."""

Name = Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
Seconds = Annotated[float, Meta(ge=0, le=600)]
Share = Annotated[float, Meta(ge=0, le=1)]
Few = Annotated[int, Meta(ge=0, le=MOST_PROCESSES)]
SHIM_KINDS = ("accept", "socket", "connect", "short", "disk", "wall")
"""Faults of system calls in one process: `size` is the share of the calls, of "wall" the step's seconds."""
LINK_KINDS = ("delay", "loss", "double", "turn", "slow", "cut", "hold", "reset", "mute")
Kind = Literal[
    "kill",
    "term",
    "stop",
    "full",
    "old",
    "clock",
    "delay",
    "loss",
    "double",
    "turn",
    "slow",
    "cut",
    "hold",
    "reset",
    "mute",
    "promote",
    "drain",
    "replace",
    "policy",
    "undo",
    "reload",
    "spoil",
    "accept",
    "socket",
    "connect",
    "short",
    "disk",
    "wall",
]


class PlanError(Exception):
    """A plan or script that cannot be used; the text is one plain line."""


class Form(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    pass


class Fault(Form, kw_only=True):
    """One fault or act: from `at` for `lasts` seconds (0: until the end; a process stays down).

    `who` is a process (door-0) or a way from one to another (door-0>backend-3). `size` is in the kind's unit:
    seconds of delay or of a clock's step, a share of datagrams, of answers or of system calls, bytes a
    second, bytes that a file may have; of a reload, how many follow one another; of a drain, seconds after
    which the stewards are to end it; of a change of policy, by how much the quotas of customers without an
    open cap or a ceiling grow.
    """

    at: Seconds
    kind: Kind
    who: Annotated[str, Meta(pattern=r"^[][a-z0-9>*?-]{1,80}$")]
    lasts: Seconds = 0.0
    size: Annotated[float, Meta(ge=-86_400, le=1e9)] = 0.0
    spread: Annotated[float, Meta(ge=0, le=60)] = 0.0
    way: Literal["both", "there", "back"] = "both"


class Draw(Form, kw_only=True):
    """A kind that may be drawn, by its share of the weights, on one of those that `who` names."""

    kind: Kind
    who: Annotated[str, Meta(pattern=r"^[][a-z0-9>*?-]{1,80}$")]
    share: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    lasts: tuple[Seconds, Seconds] = (1.0, 3.0)
    size: tuple[float, float] = (0.0, 0.0)
    ways: tuple[Literal["both", "there", "back"], ...] = ("both",)


class Chance(Form, kw_only=True):
    count: Annotated[int, Meta(ge=0, le=MOST_FAULTS)] = 0
    between: tuple[Seconds, Seconds] = (0.0, 0.0)
    draw: list[Draw] = []


class Customers(Form, kw_only=True):
    """A plan of quotas and those who are on it. Rates are units a second over all doors."""

    plan: Name
    count: Annotated[int, Meta(ge=1, le=10_000)] = 10
    rate: Annotated[float, Meta(gt=0, le=1e6)] = 20.0
    burst: Annotated[float, Meta(gt=0, le=1e6)] = 20.0
    asks: Annotated[float, Meta(gt=0, le=1e5)] = 1.0  # requests a second by each customer, on average
    max_out: Few = 0
    ceiling_rate: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    ceiling_burst: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    spread: Annotated[int, Meta(ge=0, le=MOST_PROCESSES)] = 0  # doors of its set; 0: all


class Load(Form, kw_only=True):
    customers: list[Customers] = []
    patience_ms: Annotated[int, Meta(ge=100, le=10_000)] = 2000
    retries: Annotated[int, Meta(ge=0, le=4)] = 1
    unsafe: Share = 0.0  # of the requests are of a class that must not run twice
    keyed: Share = 0.0  # of the requests are of a class that may be repeated for KEYED_WINDOW_S
    leaving: Share = 0.0  # of the requests' clients close their connection while they wait
    odd_per_s: Annotated[float, Meta(ge=0, le=1000)] = 0.0  # connections of clients that misbehave
    burst_every_s: Seconds = 0.0  # a burst of `burst_x` times the rate for a fifth of that
    burst_x: Annotated[float, Meta(ge=1, le=50)] = 1.0


class Backends(Form, kw_only=True):
    """What a stand-in backend is like, by the names of the protocol's and the bench's pages."""

    count: Few = 3
    cores: Annotated[int, Meta(ge=1, le=64)] = 2
    work_ms: Annotated[float, Meta(gt=0, le=10_000)] = 10.0
    queue: Annotated[int, Meta(ge=0, le=10_000)] = 40
    thrash_at: Annotated[float, Meta(gt=0, le=1000)] = 6.0  # requests for each core
    thrash: Share = 0.1  # of its speed, lost for each core's worth of requests beyond
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.3
    cold_s: Seconds = 5.0
    handshake_ms: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 500
    reports: bool = True
    lease_ms: Annotated[int, Meta(ge=1000, le=600_000)] = 10_000
    rests_s: Seconds = 0.0  # idle connections are closed after up to that long; 0: never


class Writes(Form, kw_only=True):
    """Writes to the list beside the backends' own: entries that no door uses."""

    per_s: Annotated[float, Meta(ge=0, le=1000)] = 0.0


class Holds(Form, kw_only=True):
    """What must hold. Beyond the rules, which always do."""

    served: Share = 0.0  # of the requests, at least
    beyond_cap: Share = 0.05  # of the attempts of customers with an open cap, at most
    tasks_done: bool = False  # all that the stewards were asked for, by the end
    doors_alike: bool = False  # all doors serve by the last policy that was decided, by the end
    switch_s: Seconds = 0.5  # for which two policies may be gone by at once


class Plan(Form, kw_only=True):
    name: Name
    what: str = ""
    seconds: Annotated[float, Meta(gt=0, le=600)]
    doors: Few = 0
    stewards: Few = 0
    policy: bool = False  # whether agents keep the doors to the policy that holds
    registries: Annotated[int, Meta(ge=1, le=5)] = 1
    backends: Backends = Backends()
    load: Load = Load()
    writes: Writes = Writes()
    faults: list[Fault] = []
    chance: Chance = Chance()
    holds: Holds = Holds()

    def processes(self) -> list[str]:
        """Their names; an agent for each door, and one where there is none but a list to be watched."""
        return [
            *(f"registry-{n}" for n in range(self.registries)),
            *(f"agent-{n}" for n in range(max(1, self.doors))),
            *(f"backend-{n}" for n in range(self.backends.count)),
            *(f"door-{n}" for n in range(self.doors)),
            *(f"steward-{n}" for n in range(self.stewards)),
            *(["clients"] if self.doors and self.load.customers else []),
            *(["odd-clients"] if self.doors and self.load.odd_per_s else []),
        ]

    def links(self) -> list[str]:
        """Every way from one process to another, each with a relay on it."""
        registries = [f"registry-{n}" for n in range(self.registries)]
        doors, agents = range(self.doors), range(max(1, self.doors))
        backends = [f"backend-{n}" for n in range(self.backends.count)]
        return [
            *(f"{one}>{other}" for one in registries for other in registries if one != other),
            *(f"agent-{n}>{registry}" for n in agents for registry in registries),
            *(f"{backend}>{registry}" for backend in backends for registry in registries),
            *(f"writer>{registry}" for registry in registries),
            *(f"steward-{n}>{registry}" for n in range(self.stewards) for registry in registries),
            *(f"steward-{n}>agent-{m}" for n in range(self.stewards) for m in doors),
            *(f"agent-{n}>door-{n}" for n in doors),
            *(f"door-{n}>agent-{n}" for n in doors),
            *(f"door-{n}>{backend}" for n in doors for backend in backends),
            *(f"door-{n}>door-{m}" for n in doors for m in doors if n != m),
            *(f"clients>door-{n}" for n in doors),
        ]


class Script(Form, kw_only=True):
    """A plan with its seed and all its faults drawn: what is recorded, replayed and shrunk."""

    plan: Plan
    seed: int
    faults: list[Fault]


def matching(pattern: str, names: list[str]) -> list[str]:
    return [name for name in names if fnmatch.fnmatchcase(name, pattern)]


def check(plan: Plan) -> None:
    """What no form says: that those who are named exist, and that the machine is large enough."""
    count = len(plan.processes())
    if count > MOST_PROCESSES:
        raise PlanError(f"{plan.name}: {count} processes are more than the {MOST_PROCESSES} that fit here")
    if any(customers.spread > plan.doors for customers in plan.load.customers):
        raise PlanError(f"{plan.name}: a set of customers is larger than the {plan.doors} doors")
    for fault in [*plan.faults, *plan.chance.draw]:
        names = plan.links() if fault.kind in LINK_KINDS else plan.processes()
        if not matching(fault.who, names):
            raise PlanError(f"{plan.name}: {fault.kind} names {fault.who}, and there is none")
    if plan.chance.count and not plan.chance.draw:
        raise PlanError(f"{plan.name}: faults are to be drawn, and no kind is given")


def read_plan(path: Path) -> Plan:
    try:
        plan = msgspec.toml.decode(path.read_bytes(), type=Plan)
    except (OSError, ValueError) as error:  # msgspec's own errors are ValueErrors
        raise PlanError(f"{path.name}: {' '.join(str(error).split())}") from error
    check(plan)
    return plan


def read_script(path: Path) -> Script:
    try:
        script = msgspec.json.decode(path.read_bytes(), type=Script)
    except (OSError, ValueError) as error:
        raise PlanError(f"{path.name}: {' '.join(str(error).split())}") from error
    check(script.plan)
    return script


def draw(plan: Plan, seed: int) -> Script:
    """The script: each fault of a stream of its own, so that one more kind leaves the others as they were."""
    faults, chance = list(plan.faults), plan.chance
    names = {
        draw: matching(draw.who, plan.links() if draw.kind in LINK_KINDS else plan.processes())
        for draw in chance.draw
    }
    for number in range(chance.count):
        one = random.Random(f"{seed} {number}")
        kind = one.choices(chance.draw, [draw.share for draw in chance.draw])[0]
        faults.append(
            Fault(
                at=round(one.uniform(*chance.between), 3),
                kind=kind.kind,
                who=one.choice(names[kind]),
                lasts=round(one.uniform(*kind.lasts), 3),
                size=round(one.uniform(*kind.size), 4),
                way=one.choice(kind.ways),
            )
        )
    return Script(plan=plan, seed=seed, faults=sorted(faults, key=lambda fault: fault.at))
