"""Carries a script out: each fault at its time, its undoing after it, and the operators' acts between."""

import asyncio
import itertools
import json
import shutil
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from orchidhatch.control.controller import task_records
from orchidhatch.control.http_client import CallResult, NoResponse, call
from orchidhatch.control.policy import change_record, policy_records
from orchidhatch.control.policy import document as form
from orchidhatch.faults.fleet import Fleet
from orchidhatch.faults.links import TcpRelay, Way
from orchidhatch.faults.plan import SHIM_KINDS, WAY_KINDS, Customers, Fault, matching
from orchidhatch.faults.processes import Process, TrialError
from orchidhatch.faults.system_calls import SHARE_SLOTS, Slot

ASK_S = 0.25  # between two tries of an operator's act
LEAST_FILE = 4096  # bytes that files may have on a full disk where a plan names none
POLL_S = 0.1
OLD_CLOSES_S = 1.5  # after a new configuration, as on the operators' page
RELOAD_EVERY_S = 0.3  # between configurations in a row
SLOT_OF_KIND = {
    "accept": Slot.ACCEPT,
    "socket": Slot.SOCKET,
    "connect": Slot.CONNECT,
    "short": Slot.SHORT_IO,
    "disk": Slot.DISK,
    "wall": Slot.WALL_STEP_MS,
}
TASKS_S = 30.0  # for the stewards to end what they were asked for, once all is whole again
LEAVE_EVERY = 3  # writes of entries to each that leaves
SETTLE_S = 2.0  # after the last fault is undone, before the lists are read
STORE = {"registry": "list.db", "agent": "cache.db"}


NONE: dict[str, Any] = {"now": {"term": 0}}  # what no list service at all tells of the doors


class Timeline:
    """What is done to a fleet, and when."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.recorder = fleet, fleet.recorder
        self.tasks: list[asyncio.Task[None]] = []
        self.writer = 0  # the list service that took the last write
        self.numbers, self.written = itertools.count(), set[str]()
        self.asked: set[str] = set()  # of the stewards

    def now_s(self) -> float:
        return (time.monotonic_ns() - self.fleet.start_ns) / 1e9

    async def play(self) -> None:
        """Until the load is over and all faults are undone."""
        plan = self.fleet.plan
        jobs = [self.one(fault) for fault in self.fleet.script.faults]
        jobs += [self.write_on()] if plan.writes.per_s else []
        polling = asyncio.ensure_future(self.poll_claims()) if plan.stewards else None
        await asyncio.gather(*jobs)
        await asyncio.sleep(max(0.0, plan.seconds - self.now_s()))
        for process in self.fleet.processes.all.values():
            process.bound_files(None)
        for name in ("clients", "odd-clients"):
            if name in self.fleet.processes.all:
                await self.fleet.processes[name].ended.wait()
        await asyncio.sleep(SETTLE_S)
        await self.wait_tasks()
        if plan.policy:
            await self.read_doors()
        await self.read_lists()
        if polling:
            polling.cancel()

    async def one(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at - self.now_s()))
        if fault.kind in WAY_KINDS:
            await self.on_way(fault)
        else:
            acts: dict[str, Callable[[Fault, Process], Awaitable[None]]] = {
                "kill": self.end,
                "term": self.end,
                "stop": self.stop,
                "full": self.fill,
                "old": self.go_back,
                "clock": self.step,
                "promote": self.promote,
                "drain": self.drain,
                "replace": self.replace,
                "policy": self.propose,
                "undo": self.undo,
                "reload": self.reload,
                "spoil": self.spoil,
                **dict.fromkeys(SHIM_KINDS, self.inject),
            }
            names = matching(fault.who, list(self.fleet.processes.all))
            await asyncio.gather(*[self.on_process(fault, name, acts[fault.kind]) for name in names])

    async def on_process(
        self, fault: Fault, name: str, act: Callable[[Fault, Process], Awaitable[None]]
    ) -> None:
        self.begin(fault, name)
        await act(fault, self.fleet.processes[name])
        self.over(fault, name)

    def begin(self, fault: Fault, name: str) -> None:
        self.recorder.note("fault", name, kind=fault.kind, lasts=fault.lasts, way=fault.way)

    def over(self, fault: Fault, name: str) -> None:
        self.recorder.note("undone", name, kind=fault.kind, way=fault.way)

    # --- processes ---

    async def end(self, fault: Fault, process: Process) -> None:
        if not process.runs():
            return
        await process.end(signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM)
        if fault.lasts:
            await asyncio.sleep(fault.lasts)
            await self.start(process)

    async def start(self, process: Process) -> None:
        """Unless another fault has started it; that one ends it meanwhile is that fault's matter."""
        if process.runs():
            return
        process.start()
        try:
            await process.wait_ready()
        except TrialError as error:
            if process.due:
                self.recorder.note("unready", process.name, why=str(error)[-300:])

    async def stop(self, fault: Fault, process: Process) -> None:
        process.send(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        process.send(signal.SIGCONT)

    async def fill(self, fault: Fault, process: Process) -> None:
        process.bound_files(int(fault.size) or LEAST_FILE)
        await asyncio.sleep(fault.lasts)
        process.bound_files(None)

    async def step(self, fault: Fault, process: Process) -> None:
        file = self.fleet.folder / f"{process.name}.clock"
        file.write_text(str(round(fault.size * 1000)))
        if fault.lasts:
            await asyncio.sleep(fault.lasts)
            file.write_text("0")

    async def inject(self, fault: Fault, process: Process) -> None:
        """System calls of the process fail for a while; its wall clock stays stepped for as long."""
        control = self.fleet.controls.get(process.name)
        if control is None:  # there is no C compiler here, which the trial's events say
            return
        slot = SLOT_OF_KIND[fault.kind]
        control.set(slot, round(fault.size * 1000))
        await asyncio.sleep(fault.lasts)
        control.set(slot, 0)
        if slot in SHARE_SLOTS:
            self.recorder.note("injected", process.name, kind=fault.kind, count=control.injected(slot))

    async def reload(self, fault: Fault, process: Process) -> None:
        """New configurations in a row, each with another address of discovery; the old one closes."""
        for _ in range(max(1, round(fault.size))):
            if not process.runs():
                return
            old, new = self.fleet.discovery_relays(process.name)
            new.listen_again()
            await asyncio.sleep(ASK_S / 10)  # until it listens
            self.fleet.move_discovery(process.name)
            process.send(signal.SIGHUP)
            old.refuse()
            self.tasks.append(asyncio.ensure_future(self.close_old(process.name, old)))
            await asyncio.sleep(RELOAD_EVERY_S)

    async def close_old(self, gateway: str, old: TcpRelay) -> None:
        """An address that was moved away from closes its connections, unless it is the one again by then."""
        await asyncio.sleep(OLD_CLOSES_S)
        if self.fleet.discovery_relays(gateway)[0] is not old:
            old.break_links()

    async def spoil(self, fault: Fault, process: Process) -> None:
        """Some of a backend's answers make no sense, come twice, never end, or break off."""
        file = self.fleet.folder / f"{process.name}.spoil"
        file.write_text(str(fault.size))
        await asyncio.sleep(fault.lasts)
        file.write_text("0")

    async def go_back(self, fault: Fault, process: Process) -> None:
        """Started, after a while, from a copy of its store that is that much older."""
        kind = process.name.partition("-")[0]
        store, aside = process.folder / STORE[kind], process.folder / "old"
        await process.end()
        copy_store(store, aside)
        await self.start(process)
        await asyncio.sleep(fault.lasts)
        await process.end()
        copy_store(aside / store.name, store.parent)
        await self.start(process)

    # --- ways ---

    async def on_way(self, fault: Fault) -> None:
        ways = [self.fleet.ways[name] for name in matching(fault.who, self.fleet.plan.ways())]
        for way in ways:
            self.begin(fault, way.name)
            self.put(fault, way, on=True)
        if fault.kind == "reset":  # it breaks what is there, once
            return
        if fault.lasts:
            await asyncio.sleep(fault.lasts)
            for way in ways:
                self.put(fault, way, on=False)
                way.opened()
                if way.name in self.fleet.datagrams:
                    self.fleet.datagrams[way.name].go_on()
                self.over(fault, way.name)

    def put(self, fault: Fault, way: Way, on: bool) -> None:
        size = fault.size if on else 0.0
        for direction in way.directions(fault.way):
            match fault.kind:
                case "delay":
                    direction.delay_s, direction.spread_s = size, fault.spread if on else 0.0
                case "slow":
                    direction.bytes_per_s = size
                case "loss" | "double" | "turn":
                    setattr(direction, fault.kind, size)
                case "cut" | "hold":
                    direction.closed = on
        match fault.kind:
            case "cut":
                way.cut = on
            case "mute":
                way.mute = on
            case "reset":
                way.break_next = True

    # --- operators ---

    async def promote(self, fault: Fault, process: Process) -> None:
        """Asked again until it is done; never forced."""
        name, until = process.name, self.now_s() + (fault.lasts or 30.0)
        while self.now_s() < until:
            result = await call(self.fleet.at[name], "POST", "/promote", {})
            self.recorder.note("promote", name, status=status_of(result), told=told_of(result))
            if result.ok:
                return
            await asyncio.sleep(ASK_S)

    async def drain(self, fault: Fault, process: Process) -> None:
        """For that long; it may have left the list meanwhile."""
        id_ = self.fleet.ids[process.name]
        if fault.size:
            await self.ask_drain(id_, fault.size)
            return
        await self.set_lifecycle(id_, "DRAINING")
        await asyncio.sleep(fault.lasts)
        await self.set_lifecycle(id_, "SERVING")

    async def ask_drain(self, id_: str, after_s: float) -> None:
        """Of the stewards, unless they are at it; again until it is taken, as a registry may be down."""
        name = f"{task_records.TASK_RECORD_PREFIX}drain-{id_}"
        text = task_records.encode_task_record(
            task_records.new_drain(id_, round(after_s * 1000), task_records.DrainEnd.RESTORE)
        )
        for at in itertools.cycle(range(self.fleet.plan.registries)):
            result = await call(self.fleet.at[f"registry-{at}"], "GET", f"/records/{name}")
            if result.ok and not json.loads(result.value["text"])["done"]:
                return
            if result.status in (200, 404) and await self.write(
                name,
                "POST",
                f"/records/{name}",
                {"text": text, "ifVersion": result.value["version"] if result.ok else 0},
            ):
                self.asked.add(name)
                return
            await asyncio.sleep(ASK_S)

    # --- policies ---

    async def propose(self, fault: Fault, process: Process) -> None:
        """Other quotas for customers whose open caps and ceilings the checks do not reckon by."""
        plans = tuple(
            form.Plan(
                name=one.plan,
                units_per_s=one.rate * (1 if limited(one) else fault.size),
                burst=one.burst * (1 if limited(one) else fault.size),
                max_out=one.max_out,
                never_over_rate=one.ceiling_rate,
                hard_burst=one.ceiling_burst,
            )
            for one in self.fleet.plan.load.customers
        )
        policy = form.Policy(plans=plans)
        await self.ask_policy(policy.digest(), policy.text())

    async def undo(self, fault: Fault, process: Process) -> None:
        for number in range(self.fleet.plan.registries):
            result = await call(self.fleet.at[f"registry-{number}"], "GET", "/doors")
            if result.ok and result.value["sure"] and result.value["now"]["before"]:
                await self.ask_policy(result.value["now"]["before"], "")

    async def ask_policy(self, digest: str, text: str) -> None:
        """As an operator would, within a bound: not while another change is open."""
        until = self.now_s() + TASKS_S
        for at in itertools.cycle(range(self.fleet.plan.registries)):
            if self.now_s() > until:
                return
            result = await call(self.fleet.at[f"registry-{at}"], "GET", "/records")
            if result.ok:
                found, version = change_record.find_change(result.value["records"])
                if found and not found.done:
                    self.recorder.note("refused", digest, why=f"{found.digest} is {found.state}")
                    return
                if text and not await self.write(
                    digest,
                    "POST",
                    f"/records/{policy_records.DOCUMENT_RECORD_PREFIX}{digest}",
                    {"text": text},
                ):
                    continue
                task = change_record.new_change(digest, "trial", "a trial")
                if await self.write(
                    digest,
                    "POST",
                    f"/records/{policy_records.CHANGE_TASK_RECORD}",
                    {"text": task_records.encode_task_record(task), "ifVersion": version},
                ):
                    self.recorder.note("asked", digest, id=task.change_id)
                    self.asked.add(policy_records.CHANGE_TASK_RECORD)
                    return
            await asyncio.sleep(ASK_S)

    async def read_doors(self) -> None:
        """How each door is in the end, once all had their time, by the list service of the highest term."""
        until, found = time.monotonic() + TASKS_S, dict[str, Any]()
        while time.monotonic() < until:
            found = {}
            for number in range(self.fleet.plan.registries):
                result = await call(self.fleet.at[f"registry-{number}"], "GET", "/doors")
                highest_term = (found or NONE)["now"]["term"]
                if result.ok and result.value["sure"] and result.value["now"]["term"] > highest_term:
                    found = result.value
            if found and all(self.goes_by(door, found) for door in found["doors"]):
                break
            await asyncio.sleep(ASK_S)
        for door in found.get("doors", ()):
            self.recorder.note(
                "door", door["name"], alike=self.goes_by(door, found), told=door, now=found["now"]
            )

    @staticmethod
    def goes_by(door: dict[str, Any], found: dict[str, Any]) -> bool:
        by_it = door.get("has") == found["now"]["digest"]
        return by_it and bool(door.get("serves")) and door["state"] == "present"

    async def poll_claims(self) -> None:
        """Who holds what, as the list service of the highest term tells it."""
        known: dict[str, object] = {}
        while True:
            await asyncio.sleep(POLL_S)
            found = await asyncio.gather(
                *[
                    call(self.fleet.at[f"registry-{n}"], "GET", "/claims", timeout_s=POLL_S)
                    for n in range(self.fleet.plan.registries)
                ]
            )
            told = [
                (
                    int(result.store_name.rpartition(" ")[2]),
                    len(result.value["claims"]),
                    result.value["claims"],
                )
                for result in found
                if result.ok
            ]
            for claim in max(told, key=lambda one: one[:2])[2] if told else ():
                if known.get(claim["name"]) != claim:
                    known[claim["name"]] = claim
                    self.recorder.note(
                        "claim",
                        claim["name"],
                        holder=claim["holder"],
                        life=claim["life"],
                        epoch=claim["epoch"],
                        held=claim["held"],
                    )

    async def wait_tasks(self) -> None:
        """For what the stewards were asked for, within a bound; then what became of it is noted."""
        until = time.monotonic() + TASKS_S
        while self.asked:
            told: list[dict[str, str]] = []
            for number in range(self.fleet.plan.registries):
                result = await call(self.fleet.at[f"registry-{number}"], "GET", "/records")
                told += result.value["records"] if result.ok else []
            done = {
                one["name"] for one in told if one["name"] in self.asked and json.loads(one["text"])["done"]
            }
            if done >= self.asked or time.monotonic() > until:
                for name in sorted(self.asked):
                    self.recorder.note("task", name, done=name in done)
                return
            await asyncio.sleep(ASK_S)

    async def set_lifecycle(self, id_: str, lifecycle: str) -> None:
        await self.write(id_, "POST", f"/entries/{id_}/lifecycle", {"lifecycle": lifecycle})

    async def replace(self, fault: Fault, process: Process) -> None:
        """A new machine in its place, under another id and address; the old one leaves at once."""
        id_ = self.fleet.ids[process.name]
        await self.write(id_, "DELETE", f"/entries/{id_}", None)
        await process.end()
        await self.fleet.add_backend(int(process.name.partition("-")[2]))
        await self.start(self.fleet.processes[process.name])

    async def write_on(self) -> None:
        """Entries that no door uses, by open loop; one in three leaves again."""
        plan = self.fleet.plan
        for number in range(int(plan.writes.per_s * plan.seconds)):
            await asyncio.sleep(max(0.0, number / plan.writes.per_s - self.now_s()))
            id_, gone = f"w-{number}", f"w-{number - 2 * LEAVE_EVERY}"
            entry = {
                "instanceId": id_,
                "hostPort": "127.0.0.1:9",
                "zone": "a",
                "machineType": "m2",
                "lifecycle": "DRAINING",
            }
            self.tasks.append(asyncio.ensure_future(self.write(id_, "POST", "/entries", entry)))
            if number % LEAVE_EVERY == 0 and gone in self.written:
                self.tasks.append(asyncio.ensure_future(self.write(gone, "DELETE", f"/entries/{gone}", None)))
        await asyncio.gather(*self.tasks)

    async def write(self, id_: str, method: str, path: str, value: object) -> bool:
        """By the list service that took the last one, else by the next; each try is a write of its own, as
        one without an answer may have been carried out."""
        count = self.fleet.plan.registries
        for at in [(self.writer + n) % count for n in range(count)]:
            about = f"{id_} {next(self.numbers)}"
            self.recorder.note("write", about, at=f"registry-{at}", id=id_, method=method, value=value)
            result = await call(self.fleet.over[f"writer>registry-{at}"], method, path, value, timeout_s=20.0)
            self.recorder.note(
                "answer",
                about,
                at=f"registry-{at}",
                id=id_,
                status=status_of(result),
                store=store_of(result),
                told=told_of(result),
            )
            if result.ok:
                self.writer = at
                self.written.add(id_)
                return True
        return False

    async def read_lists(self) -> None:
        """What each list service and agent says in the end."""
        for name in self.fleet.processes.all:
            if name.startswith(("registry-", "agent-")):
                health = await call(self.fleet.at[name], "GET", "/healthcheck")
                members = await call(self.fleet.at[name], "GET", "/catalog/members")
                instances = members.value["instances"] if members.ok else []
                listed = {entry["instanceId"]: entry["lifecycle"] for entry in instances}
                self.recorder.note(
                    "list",
                    name,
                    status=status_of(members),
                    health=told_of(health),
                    store=store_of(health),
                    listed=listed,
                    generation=members.value["generation"] if members.ok else 0,
                )


def status_of(result: CallResult) -> int:
    """The status that an event records; 0 where no response was received."""
    return result.status or 0


def told_of(result: CallResult) -> Any:  # noqa: ANN401 - JSON
    """The body that an event records; the reason where no response was received."""
    return result.reason if isinstance(result, NoResponse) else result.value


def store_of(result: CallResult) -> str:
    return "" if isinstance(result, NoResponse) else result.store_name


def limited(customers: Customers) -> bool:
    return bool(customers.max_out or customers.ceiling_rate)


def copy_store(store: Path, into: Path) -> None:
    """A store at rest: the file and its log, in place of what is there."""
    into.mkdir(exist_ok=True)
    for end in ("", "-wal", "-shm"):
        source, target = Path(f"{store}{end}"), into / f"{store.name}{end}"
        target.unlink(missing_ok=True)
        if source.exists():
            shutil.copy(source, target)
