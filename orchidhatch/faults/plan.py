"""Schemas of a trial: its plan, a TOML file, and the script of faults that a seed draws from the plan.

Times are seconds from the start of the load. The same plan and seed give exactly the same script.
"""

import fnmatch
import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

MAX_PROCESSES = 40
MAX_FAULTS = 200
KEYED_WINDOW_S = 1.0
"""For how long a backend remembers the idempotency key of a request."""

Name = Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
Seconds = Annotated[float, Meta(ge=0, le=600)]
Share = Annotated[float, Meta(ge=0, le=1)]
ProcessCount = Annotated[int, Meta(ge=0, le=MAX_PROCESSES)]
SHIM_KINDS = ("accept", "socket", "connect", "short", "disk", "wall")
"""Faults of system calls in one process: `size` is the share of the calls, of "wall" the step's seconds."""
LINK_KINDS = ("delay", "loss", "double", "turn", "slow", "cut", "hold", "reset", "mute")
Kind = Literal[
    "kill",
    "term",
    "shutdown",
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
    """The plan or script is invalid; the message is a single line."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The base of the schemas: immutable, and without fields that the schema does not name."""


class Fault(StrictStruct, kw_only=True):
    """A fault or an operator's action: from `at` for `lasts` seconds (0: until the end of the trial).

    A process that is ended with `lasts` 0 is not started again. `who` is the pattern of a process (door-0)
    or of a link (door-0>backend-3), `way` the direction on a link. `size` is in the kind's unit: seconds of
    delay or of a clock step; a share of datagrams, replies or system calls; bytes per second; the maximum
    bytes of a file; the number of successive reloads; the further signals in a shutdown; the seconds until
    the fleet controllers' deadline of a drain; by how much a policy change raises the quotas of customers
    without an open cap or a rate ceiling.
    """

    at: Seconds
    kind: Kind
    who: Annotated[str, Meta(pattern=r"^[][a-z0-9>*?-]{1,80}$")]
    lasts: Seconds = 0.0
    size: Annotated[float, Meta(ge=-86_400, le=1e9)] = 0.0
    spread: Annotated[float, Meta(ge=0, le=60)] = 0.0
    way: Literal["both", "there", "back"] = "both"


class Draw(StrictStruct, kw_only=True):
    """A kind of fault to draw from: `share` is its weight, `who` the pattern of its candidate targets."""

    kind: Kind
    who: Annotated[str, Meta(pattern=r"^[][a-z0-9>*?-]{1,80}$")]
    share: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    lasts: tuple[Seconds, Seconds] = (1.0, 3.0)
    size: tuple[float, float] = (0.0, 0.0)
    ways: tuple[Literal["both", "there", "back"], ...] = ("both",)


class Chance(StrictStruct, kw_only=True):
    """The random faults of a plan: how many, between which times, and of which kinds."""

    count: Annotated[int, Meta(ge=0, le=MAX_FAULTS)] = 0
    between: tuple[Seconds, Seconds] = (0.0, 0.0)
    draw: list[Draw] = []


class Customers(StrictStruct, kw_only=True):
    """A quota plan and its customers. Rates are units per second over all gateways."""

    plan: Name
    count: Annotated[int, Meta(ge=1, le=10_000)] = 10
    rate: Annotated[float, Meta(gt=0, le=1e6)] = 20.0
    burst: Annotated[float, Meta(gt=0, le=1e6)] = 20.0
    asks: Annotated[float, Meta(gt=0, le=1e5)] = 1.0  # requests per second and customer, on average
    max_out: ProcessCount = 0
    ceiling_rate: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    ceiling_burst: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    spread: Annotated[int, Meta(ge=0, le=MAX_PROCESSES)] = 0  # gateways in the customer's set; 0: all


class Load(StrictStruct, kw_only=True):
    """The load of the clients."""

    customers: list[Customers] = []
    patience_ms: Annotated[int, Meta(ge=100, le=10_000)] = 2000
    retries: Annotated[int, Meta(ge=0, le=4)] = 1
    unsafe: Share = 0.0  # share of the requests that are of a non-idempotent class
    keyed: Share = 0.0  # share that has an idempotency key, valid for KEYED_WINDOW_S
    leaving: Share = 0.0  # share whose clients disconnect before the reply
    odd_per_s: Annotated[float, Meta(ge=0, le=1000)] = 0.0  # connections of misbehaving clients
    crowd: Annotated[int, Meta(ge=0, le=2000)] = 0  # idle connections that are kept open to each gateway
    crowd_share: Share = 1.0  # share of the seeds that have a crowd
    burst_every_s: Seconds = 0.0  # a fifth of this interval has `burst_x` times the rate
    burst_x: Annotated[float, Meta(ge=1, le=50)] = 1.0


class Backends(StrictStruct, kw_only=True):
    """The model of a stand-in backend, by the names of the protocol's and the bench's pages."""

    count: ProcessCount = 3
    cores: Annotated[int, Meta(ge=1, le=64)] = 2
    work_ms: Annotated[float, Meta(gt=0, le=10_000)] = 10.0
    queue: Annotated[int, Meta(ge=0, le=10_000)] = 40
    thrash_at: Annotated[float, Meta(gt=0, le=1000)] = 6.0  # requests per core
    thrash: Share = 0.1  # share of its speed that is lost per request per core beyond that
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.3
    cold_s: Seconds = 5.0
    handshake_ms: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 500
    reports: bool = True
    lease_ms: Annotated[int, Meta(ge=1000, le=600_000)] = 10_000
    rests_s: Seconds = 0.0  # idle connections are closed within this time; 0: never


class Writes(StrictStruct, kw_only=True):
    """Registry writes beside the backends' own, of entries that no gateway uses."""

    per_s: Annotated[float, Meta(ge=0, le=1000)] = 0.0


class Holds(StrictStruct, kw_only=True):
    """Bounds that a trial must keep, besides the invariants that always hold."""

    served: Share = 0.0  # minimum share of the requests that are served
    beyond_cap: Share = 0.05  # maximum share of open-cap customers' attempts beyond the cap
    tasks_done: bool = False  # all tasks of the fleet controllers are done by the end
    doors_alike: bool = False  # all gateways serve under the last decided policy by the end
    switch_s: Seconds = 0.5  # for how long two policies may be in effect at once


class Plan(StrictStruct, kw_only=True):
    """A trial's plan: its processes, its load, its faults and its bounds."""

    name: Name
    what: str = ""
    seconds: Annotated[float, Meta(gt=0, le=600)]
    doors: ProcessCount = 0
    sockets: Annotated[int, Meta(ge=64, le=1024)] = 1024  # descriptors of a gateway
    stewards: ProcessCount = 0
    policy: bool = False  # whether agents hold the gateways to the policy in effect
    registries: Annotated[int, Meta(ge=1, le=5)] = 1
    backends: Backends = Backends()
    load: Load = Load()
    writes: Writes = Writes()
    faults: list[Fault] = []
    chance: Chance = Chance()
    holds: Holds = Holds()

    def processes(self) -> list[str]:
        """The names of the processes. Each gateway has an agent; without gateways there is a single agent."""
        return [
            *(f"registry-{n}" for n in range(self.registries)),
            *(f"agent-{n}" for n in range(max(1, self.doors))),
            *(f"backend-{n}" for n in range(self.backends.count)),
            *(f"door-{n}" for n in range(self.doors)),
            *(f"steward-{n}" for n in range(self.stewards)),
            *(["clients"] if self.doors and self.load.customers else []),
            *(["odd-clients"] if self.doors and (self.load.odd_per_s or self.load.crowd) else []),
        ]

    def links(self) -> list[str]:
        """The links between processes, each of which has a relay."""
        registries = [f"registry-{n}" for n in range(self.registries)]
        gateways = range(self.doors)
        agents = range(max(1, self.doors))
        backends = [f"backend-{n}" for n in range(self.backends.count)]
        return [
            *(f"{source}>{target}" for source in registries for target in registries if source != target),
            *(f"agent-{n}>{registry}" for n in agents for registry in registries),
            *(f"{backend}>{registry}" for backend in backends for registry in registries),
            *(f"writer>{registry}" for registry in registries),
            *(f"steward-{n}>{registry}" for n in range(self.stewards) for registry in registries),
            *(f"steward-{n}>agent-{m}" for n in range(self.stewards) for m in gateways),
            *(f"agent-{n}>door-{n}" for n in gateways),
            *(f"door-{n}>agent-{n}" for n in gateways),
            *(f"door-{n}>{backend}" for n in gateways for backend in backends),
            *(f"door-{n}>door-{m}" for n in gateways for m in gateways if n != m),
            *(f"clients>door-{n}" for n in gateways),
        ]


class Script(StrictStruct, kw_only=True):
    """A plan, its seed and all faults, including those drawn; it is recorded, replayed and shrunk."""

    plan: Plan
    seed: int
    faults: list[Fault]


def matching(pattern: str, names: list[str]) -> list[str]:
    """The names that match the pattern."""
    return [name for name in names if fnmatch.fnmatchcase(name, pattern)]


def targets(kind: Kind, plan: Plan) -> list[str]:
    """The names of the plan's links or processes, whichever the kind of fault affects."""
    return plan.links() if kind in LINK_KINDS else plan.processes()


def validate(plan: Plan) -> None:
    """Check what the schema cannot: the number of processes, the customers' sets and the faults' targets."""
    count = len(plan.processes())
    if count > MAX_PROCESSES:
        raise PlanError(f"{plan.name}: {count} processes are more than the {MAX_PROCESSES} that fit here")
    if any(customers.spread > plan.doors for customers in plan.load.customers):
        raise PlanError(f"{plan.name}: a set of customers is larger than the {plan.doors} doors")
    for fault in [*plan.faults, *plan.chance.draw]:
        if not matching(fault.who, targets(fault.kind, plan)):
            raise PlanError(f"{plan.name}: {fault.kind} names {fault.who}, and there is none")
    if plan.chance.count and not plan.chance.draw:
        raise PlanError(f"{plan.name}: faults are to be drawn, and no kind is given")


def read_plan(path: Path) -> Plan:
    """Read and validate a plan."""
    try:
        plan = msgspec.toml.decode(path.read_bytes(), type=Plan)
    except (OSError, ValueError) as error:  # msgspec's errors are ValueErrors
        raise PlanError(f"{path.name}: {' '.join(str(error).split())}") from error
    validate(plan)
    return plan


def read_script(path: Path) -> Script:
    """Read a recorded script and validate its plan."""
    try:
        script = msgspec.json.decode(path.read_bytes(), type=Script)
    except (OSError, ValueError) as error:
        raise PlanError(f"{path.name}: {' '.join(str(error).split())}") from error
    validate(script.plan)
    return script


def draw(plan: Plan, seed: int) -> Script:
    """Draw the script of a seed.

    Each fault has a random stream of its own, so that a change to how one is drawn does not alter the others.
    """
    faults = list(plan.faults)
    chance = plan.chance
    candidates = {drawn: matching(drawn.who, targets(drawn.kind, plan)) for drawn in chance.draw}
    weights = [drawn.share for drawn in chance.draw]
    for number in range(chance.count):
        stream = random.Random(f"{seed} {number}")
        drawn = stream.choices(chance.draw, weights)[0]
        faults.append(
            Fault(
                at=round(stream.uniform(*chance.between), 3),
                kind=drawn.kind,
                who=stream.choice(candidates[drawn]),
                lasts=round(stream.uniform(*drawn.lasts), 3),
                size=round(stream.uniform(*drawn.size), 4),
                way=stream.choice(drawn.ways),
            )
        )
    return Script(plan=plan, seed=seed, faults=sorted(faults, key=lambda fault: fault.at))
