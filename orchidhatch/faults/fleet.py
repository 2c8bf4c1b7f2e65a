"""The processes of a plan and the ways between them: addresses, settings, and the order of their starts."""

import asyncio
import json
import os
import random
import socket
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import msgspec

from orchidhatch.control.http_client import Address, HttpResponse, call
from orchidhatch.faults import backend, load
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.links import Datagrams, TcpRelay, Way
from orchidhatch.faults.plan import KEYED_WINDOW_S, SHIM_KINDS, Plan, Script
from orchidhatch.faults.processes import LOOK_S, READY_S, ROOT, Process, Processes, TrialError
from orchidhatch.faults.seeded_defects import PLANTS
from orchidhatch.faults.system_calls import ShimControl, build_shim
from orchidhatch.faults.tap import seeing, tapping

ZONES = "abc"
AIM_US, DEADLINE_US = 750_000, 2_000_000  # of the class, as on the site's page
INTAKE_PER_S = 40.0  # of words, as there
SECOND = "second "  # before the name of a way, for its second relay
HEAD_START_S = 1.5  # for the clients to be ready


def free_port(host: str) -> int:
    """A port that nobody has at this address, which is this trial's own, so that nobody takes it."""
    with socket.socket() as one:
        one.bind((host, 0))
        return one.getsockname()[1]


def shown(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def door_command() -> list[str]:
    """As the deploy file says; where its build has not been made, the same program by this interpreter."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    if (ROOT / ".venv/bin/python").exists():
        return ["/bin/sh", "-c", run]
    return ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)]


class Fleet:
    """All that a trial runs, over its whole time."""

    def __init__(self, script: Script, folder: Path, recorder: Recorder, plant: str = "") -> None:
        self.script, self.plan, self.folder, self.recorder = script, script.plan, folder, recorder
        self.plant, self.net = plant, f"127.{100 + os.getpid() % 100}"
        self.processes, self.ways = Processes(), dict[str, Way]()
        self.relays: dict[str, TcpRelay] = {}
        self.moved_over: dict[str, Address] = {}  # the second address of discovery, by gateway
        self.datagrams: dict[str, Datagrams] = {}
        self.at: dict[str, Address] = {}  # where each process listens
        self.over: dict[str, Address] = {}  # where each way begins
        self.ids: dict[str, str] = {}  # of each backend, in the list
        self.machines = 0  # backends so far, replaced ones too
        self.clocked = {
            name
            for fault in script.faults
            if fault.kind == "clock"
            for name in self.plan.processes()
            if fnmatchcase(name, fault.who)
        }
        self.start_ns = 0
        self.shim: Path | None = None
        self.controls: dict[str, ShimControl] = {}
        self.watched_at: dict[str, int] = {}  # by gateway, which of its discovery addresses is configured

    # --- system calls ---

    def build_shim(self) -> None:
        """Compile the library of failing system calls if a fault needs it; say so where that cannot be."""
        if not any(fault.kind in SHIM_KINDS for fault in self.script.faults):
            return
        self.shim = build_shim(self.folder)
        self.recorder.note("shim", "trial", built=self.shim is not None)

    def shim_environment(self, name: str) -> dict[str, str]:
        """The environment of a process whose system calls are made to fail."""
        is_named = any(
            fault.kind in SHIM_KINDS and fnmatchcase(name, fault.who) for fault in self.script.faults
        )
        if self.shim is None or not is_named:
            return {}
        if name not in self.controls:
            seed = random.Random(f"{self.script.seed} {name} system calls").getrandbits(31)
            self.controls[name] = ShimControl(self.folder / f"{name}.shim", seed)
        return self.controls[name].environment(self.shim)

    # --- addresses ---

    def lay_out(self) -> None:
        for name in self.plan.processes():
            kind, _, number = name.partition("-")
            third = {"registry": 10, "agent": 20, "door": 30}.get(kind)
            if third:
                host = f"{self.net}.{third}.{int(number) + 1}"
                self.at[name] = host, free_port(host)
            if kind == "door":
                self.at[f"{name} management"] = host, free_port(host)
                self.at[f"{name} peers"] = host, free_port(host)

    def way(self, name: str) -> Way:
        chance = random.Random(f"{self.script.seed} {name}")
        return self.ways.setdefault(name, Way(name, self.recorder, chance))

    async def lay_way(
        self,
        name: str,
        to: Address,
        host: str = "",
        port: int = 0,
        **more: Any,  # noqa: ANN401
    ) -> None:
        relay = TcpRelay(self.way(name), to, **more)
        self.over[name] = await relay.start(host or f"{self.net}.50.1", port)
        self.relays[name] = relay

    async def lay_ways(self) -> None:
        """All but those to backends, which come with them."""
        for name in self.plan.ways():
            beginner, _, to = name.partition(">")
            if to.startswith("backend-"):
                continue
            if beginner.startswith("door-") and to.startswith("door-"):
                await self.lay_words(name)
            elif beginner.startswith("agent-") and to.startswith("door-"):
                await self.lay_way(name, self.at[f"{to} management"], alter_there=seeing(self.recorder, to))
            elif beginner.startswith("door-"):
                await self.lay_discovery(beginner, name, to)
            else:
                await self.lay_way(name, self.at[to])
        for name, here in self.datagrams.items():
            beginner, _, to = name.partition(">")
            here.opposite, here.to = self.datagrams[f"{to}>{beginner}"], self.at[f"{to} peers"]

    async def lay_discovery(self, gateway: str, name: str, agent: str) -> None:
        """Two addresses of the agent for its gateway, so that a new configuration can move from one to the
        other."""
        alter = tapping(self.recorder, gateway, f"{self.net}.100.", f"{self.net}.{self.view(gateway)}.")
        await self.lay_way(name, self.at[agent], alter=alter)
        second = TcpRelay(self.way(name), self.at[agent], alter)
        self.moved_over[gateway] = await second.start(f"{self.net}.50.1")
        self.relays[f"{SECOND}{name}"] = second

    def discovery_of(self, gateway: str) -> Address:
        """The address that the gateway's configuration names now."""
        if self.watched_at.get(gateway):
            return self.moved_over[gateway]
        return self.over[f"{gateway}>agent-{gateway.partition('-')[2]}"]

    def discovery_relays(self, gateway: str) -> tuple[TcpRelay, TcpRelay]:
        """The relay at the address that the configuration names, and the one at the other address."""
        way = f"{gateway}>agent-{gateway.partition('-')[2]}"
        both = self.relays[way], self.relays[f"{SECOND}{way}"]
        return (both[1], both[0]) if self.watched_at.get(gateway) else both

    def move_discovery(self, gateway: str) -> None:
        """Name the other address in the configuration, as an operator replaces the file."""
        self.watched_at[gateway] = 1 - self.watched_at.get(gateway, 0)
        path = self.folder / gateway / "config.json"
        values = json.loads(path.read_text()) | {"discovery": shown(self.discovery_of(gateway))}
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(values))
        fresh.replace(path)

    async def lay_words(self, name: str) -> None:
        transport, here = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Datagrams(self.way(name)), local_addr=(f"{self.net}.50.1", 0)
        )
        self.over[name], self.datagrams[name] = transport.get_extra_info("sockname"), here

    def view(self, door: str) -> int:
        """The third number of the addresses by which this door sees the backends; 100 in the list itself."""
        return 101 + int(door.partition("-")[2])

    # --- processes ---

    def add(self, name: str, module: str, *arguments: object, **more: Any) -> None:  # noqa: ANN401
        """A module of the program, by the launcher if its clock is to step or a defect is planted in it."""
        command = [sys.executable, "-m", *self.launched(name), module, *map(str, arguments)]
        self.add_command(name, command, **more)

    def launched(self, name: str) -> list[str]:
        more = ["--clock", str(self.folder / f"{name}.clock")] if name in self.clocked else []
        if self.plant and fnmatchcase(name, PLANTS[self.plant].who):
            more += ["--plant", self.plant]
        if (self.plan.stewards or self.plan.policy) and name.startswith("registry-"):
            more += ["--record", str(self.folder), "--name", name]
        return ["orchidhatch.faults.stepped", *more] if more else []

    def add_command(
        self,
        name: str,
        command: list[str],
        ready: Callable[[], Awaitable[bool]],
        env: dict[str, str] | None = None,
        **more: Any,  # noqa: ANN401
    ) -> None:
        env = {**(env or {}), **self.shim_environment(name)}
        self.processes.add(
            Process(
                name,
                command,
                self.folder / name,
                self.recorder,
                ready,
                reached=lambda listens: self.reach(name, listens),
                env=env,
                **more,
            )
        )

    def reach(self, name: str, listens: bool) -> None:
        """A process that has ended refuses connections, and so do the ways to it."""
        for way, relay in self.relays.items():
            if way.endswith(f">{name}"):
                relay.listen_again() if listens else relay.refuse()

    async def answers(self, name: str, good: int = 0) -> bool:
        """Whether it answers its health call; with this status, if one is given."""
        result = await call(self.at[name], "GET", "/healthcheck", timeout_s=0.5)
        return result.status == good if good else isinstance(result, HttpResponse)

    async def listens(self, name: str) -> bool:
        try:
            _, writer = await asyncio.open_connection(*self.at[name])
        except OSError:
            return False
        writer.close()
        return True

    def add_registry(self, number: int) -> None:
        name = f"registry-{number}"
        others = [f"{name}>registry-{n}" for n in range(self.plan.registries) if n != number]
        follow = ["--follow", shown(self.over[f"{name}>registry-0"])] if number else []
        peers = [word for way in others for word in ("--peer", shown(self.over[way]))]
        self.add(
            name,
            "orchidhatch.registry",
            "--listen",
            shown(self.at[name]),
            "--create",
            "--store",
            self.folder / name / "list.db",
            *follow,
            *peers,
            ready=lambda: self.answers(name),
        )

    def add_agent(self, number: int) -> None:
        name = f"agent-{number}"
        registries = [
            word
            for n in range(self.plan.registries)
            for word in ("--registry", shown(self.over[f"{name}>registry-{n}"]))
        ]
        self.add(
            name,
            "orchidhatch.agent",
            "--listen",
            shown(self.at[name]),
            *registries,
            "--cache",
            self.folder / name / "cache.db",
            *(["--door", shown(self.over[f"{name}>door-{number}"])] if self.plan.doors else []),
            *(self.keeping(number) if self.plan.policy else []),
            ready=lambda: self.answers(name),
        )

    def keeping(self, number: int) -> list[object]:
        """How an agent is told of the door that it keeps to the policy."""
        folder = self.folder / f"door-{number}"
        return [
            "--name",
            f"door-{number}",
            "--zone",
            ZONES[number % 3],
            "--config",
            folder / "config.json",
            "--pid",
            folder / "pid",
            "--check",
            f"{sys.executable} -m orchidhatch.proxy --check",
        ]

    def add_steward(self, number: int) -> None:
        name = f"steward-{number}"
        registries = [
            word
            for n in range(self.plan.registries)
            for word in ("--registry", shown(self.over[f"{name}>registry-{n}"]))
        ]
        agents = [
            word
            for n in range(self.plan.doors)
            for word in ("--agent", shown(self.over[f"{name}>agent-{n}"]))
        ]

        async def ready() -> bool:
            return b"serves" in (self.folder / name / "log").read_bytes()

        self.add(name, "orchidhatch.controller", "--id", name, *registries, *agents, ready=ready)

    async def add_backend(self, number: int) -> str:
        """A machine in this slot, the first or one in place of another; its id in the list."""
        name, model = f"backend-{number}", self.plan.backends
        last = 100 + self.machines
        self.machines += 1
        host = f"{self.net}.100.{last}"
        port = free_port(host)
        self.at[name] = host, port
        id_ = self.ids[name] = f"b-{number}-{last}"
        for door in range(self.plan.doors):
            way = f"door-{door}>{name}"
            if way in self.relays:
                self.relays[way].refuse()  # the machine before it is gone
            await self.lay_way(way, self.at[name], f"{self.net}.{101 + door}.{last}", port)
        settings = backend.Settings(
            name,
            id_,
            self.at[name],
            self.registries_of(name),
            ZONES[number % 3],
            model,
            self.script.seed,
            str(self.folder),
        )
        file = self.folder / f"{name}.json"

        async def ready() -> bool:
            return await self.listens(name)

        file.write_bytes(msgspec.json.encode(settings))
        self.add(name, "orchidhatch.faults.backend", file, ready=ready)
        return id_

    def registries_of(self, name: str) -> list[Address]:
        ways = [f"{name}>registry-{n}" for n in range(self.plan.registries)]
        return [self.over[way] for way in ways]

    def add_door(self, number: int) -> None:
        name = f"door-{number}"
        env = {
            "PROXY_NAME": name,
            "PROXY_LISTEN": shown(self.at[name]),
            "PROXY_CONFIG": str(self.folder / name / "config.json"),
            "PROXY_MANAGEMENT": shown(self.at[f"{name} management"]),
            "TMPDIR": str(self.folder / name / "tmp"),
        }
        command = door_command()
        if words := self.launched(name):
            command = [sys.executable, "-m", *words, "orchidhatch.proxy.main"]

        async def ready() -> bool:
            # One that is under a policy says yes only once its agent lets it, which faults may keep it from.
            return await (self.listens(name) if self.plan.policy else self.answers(f"{name} management", 200))

        self.add_command(name, command, ready=ready, env=env, prepare=lambda: self.write_config(number))

    def write_config(self, number: int) -> None:
        """As DEPLOY's page has it; anew at each start, with a seed of its own, unless an agent keeps it."""
        name, folder = f"door-{number}", self.folder / f"door-{number}"
        if self.plan.policy and (folder / "config.json").exists():
            return
        (folder / "tmp").mkdir(exist_ok=True)
        for left in (folder / "tmp").iterdir():
            left.unlink()
        peers = [
            shown(self.over.get(f"{name}>door-{n}", self.at[f"door-{n} peers"]))
            for n in range(self.plan.doors)
        ]
        seed = random.Random(f"{self.script.seed} {name} {time.monotonic_ns()}").getrandbits(64)
        values = {
            "name": name,
            "listen": shown(self.at[name]),
            "discovery": shown(self.discovery_of(name)),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": shown(self.at[f"{name} peers"]),
            "peers": peers,
            "known": None,
            "settings": settings_of(self.plan, number),
            "trace_policy": self.plan.policy,
        }
        (folder / "config.json").write_text(json.dumps(values))

    def add_clients(self) -> None:
        doors = [self.over[f"clients>door-{n}"] for n in range(self.plan.doors)]
        settings = load.Settings(
            doors, self.plan.load, self.plan.seconds, self.script.seed, self.start_ns, str(self.folder)
        )
        file = self.folder / "clients.json"
        file.write_bytes(msgspec.json.encode(settings))

        async def ready() -> bool:
            return True

        self.add("clients", "orchidhatch.faults.load", file, ready=ready, ends=True)
        if self.plan.load.odd_per_s:
            self.add("odd-clients", "orchidhatch.faults.odd_clients", file, ready=ready, ends=True)

    # --- start and end ---

    async def start(self) -> None:
        """List services, backends that enter them, agents, doors, and last the clients."""
        plan = self.plan
        self.build_shim()
        self.lay_out()
        await self.lay_ways()
        registries = [f"registry-{n}" for n in range(plan.registries)]
        for number in range(plan.registries):
            self.add_registry(number)
        await self.processes.start(registries[0])
        await self.processes.start(*registries[1:])
        for number in range(plan.backends.count):
            await self.add_backend(number)
        await self.processes.start(*(f"backend-{n}" for n in range(plan.backends.count)))
        agents = [f"agent-{n}" for n in range(max(1, plan.doors))]
        for number in range(len(agents)):
            self.add_agent(number)
        await self.processes.start(*agents)
        for at in [*registries, *agents]:
            await self.wait_listed(at)
        for number in range(plan.doors):
            self.add_door(number)
        await self.processes.start(*(f"door-{n}" for n in range(plan.doors)))
        for number in range(plan.stewards):
            self.add_steward(number)
        await self.processes.start(*(f"steward-{n}" for n in range(plan.stewards)))
        if plan.policy:
            await self.wait_kept()
        self.start_ns = time.monotonic_ns() + round(HEAD_START_S * 1e9)
        if plan.doors and plan.load.customers:
            self.add_clients()
            names = [name for name in ("clients", "odd-clients") if name in self.processes.all]
            await self.processes.start(*names)
        self.recorder.note("begins", "trial", start_ns=self.start_ns)

    async def wait_kept(self) -> None:
        """Until all doors are kept by their agents, and serve."""
        try:
            async with asyncio.timeout(READY_S):
                while True:
                    result = await call(self.at["registry-0"], "GET", "/doors")
                    sure = result.ok and result.value["sure"]
                    kept = (
                        [
                            door
                            for door in result.value["doors"]
                            if door.get("serves") and door["number"] == result.value["now"]["number"]
                        ]
                        if sure
                        else ()
                    )
                    if len(kept) == self.plan.doors:
                        return
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise TrialError(f"the doors are not kept to a policy within {READY_S:g} s") from None

    async def wait_listed(self, name: str) -> None:
        """Until all backends are in the list there."""
        try:
            async with asyncio.timeout(READY_S):
                while True:
                    result = await call(self.at[name], "GET", "/catalog/members")
                    if result.ok and len(result.value["instances"]) >= self.plan.backends.count:
                        return
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise TrialError(f"the backends are not in the list of {name} within {READY_S:g} s") from None

    async def close(self) -> None:
        await self.processes.close()
        for relay in self.relays.values():
            relay.close()
        for one in self.datagrams.values():
            one.transport.close()


def category(name: str, idempotency: str) -> dict[str, Any]:
    """A request class of the settings, by its name and its effect."""
    return {
        "name": name,
        "on-time-us": AIM_US,
        "deadline-us": DEADLINE_US,
        "points": 1.0,
        "idempotency": idempotency,
    }


def settings_of(plan: Plan, number: int) -> dict[str, Any]:
    """A door's settings, in the names of the simulator's first message."""
    plans = [
        {
            "name": one.plan,
            "units-per-s": one.rate,
            "burst": one.burst,
            "max-out": one.max_out,
            "never-over-rate": one.ceiling_rate,
            "hard-burst": one.ceiling_burst,
            "hard-slack": max(1.0, 0.1 * one.ceiling_burst),
            "over-cost": 0.5,
        }
        for one in plan.load.customers
    ]
    return {
        "me": number,
        "balancers": plan.doors,
        "zones": list(ZONES),
        "kinds": ["m2"],
        "zone": number % 3,
        "plans": plans or [{"name": "none", "units-per-s": 1.0, "burst": 1.0}],
        "categories": [
            category("read", "read_like"),
            category("settle", "non_idempotent"),
            category("book", "idempotency_key") | {"group": "all", "window-us": round(KEYED_WINDOW_S * 1e6)},
        ],
        "ceilings": {
            "max-attempts": 4,
            "conn-idle-us": 30_000_000,
            "retry-after": True,
            "max-retry-after-us": 2_000_000,
            "may-cancel": True,
            "peers": True,
        },
        "extra": {"mail-per-s": INTAKE_PER_S},
        "obligations": {
            "grace-to-answer-us": 8000,
            "cold-from": plan.backends.cold_from,
            "warm-within-us": round(plan.backends.cold_s * 1e6),
            "fall-multiple": 3.0,
            "fall-us": 1_500_000,
        },
        "stats": {
            "how": "inline" if plan.backends.reports else "none",
            "names": ["inflight", "queue", "util"],
        },
    }
