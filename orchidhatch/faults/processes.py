"""The processes of a trial: started, waited for, signalled, and never left behind."""

import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from orchidhatch.faults.events import Recorder

ROOT = Path(__file__).parents[2]
LAUNCH = [sys.executable, "-I", "-S", str(Path(__file__).with_name("launch.py"))]
READY_S, LOOK_S = 30.0, 0.02  # the longest wait for readiness; between two looks
LAST_LINES = 5


class TrialError(Exception):
    """The trial could not be carried out; the text is one plain line."""


@dataclass
class Process:
    """One process by its name in the plan, over all its starts.

    It is signalled through a descriptor of itself, as its number may be another's by then. `ready` says
    whether it serves by now. `due` is whether it is meant to run: an end that was not meant is a break.
    """

    name: str
    command: Sequence[str]
    folder: Path
    recorder: Recorder
    ready: Callable[[], Awaitable[bool]]
    env: Mapping[str, str] = field(default_factory=dict)
    prepare: Callable[[], None] = lambda: None  # before each start
    reached: Callable[[bool], None] = lambda _: None  # told whether connections to it are taken
    ends: bool = False  # whether it may end by itself, with 0
    due: bool = False
    child: subprocess.Popen[bytes] | None = None
    descriptor: int = -1
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self) -> None:
        """Start it; on return it runs, and need not be ready."""
        self.folder.mkdir(exist_ok=True)
        self.prepare()
        with (self.folder / "log").open("ab") as log:
            self.child = subprocess.Popen(
                [*LAUNCH, str(os.getpid()), *self.command],
                cwd=ROOT,
                env={**os.environ, **self.env},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.descriptor = os.pidfd_open(self.child.pid)  # not reaped before: the number is still its own
        (self.folder / "pid").write_text(str(self.child.pid))
        self.due = True
        self.ended.clear()
        asyncio.get_running_loop().add_reader(self.descriptor, self.has_ended)
        self.recorder.note("start", self.name, pid=self.child.pid)

    def runs(self) -> bool:
        return self.descriptor >= 0

    def has_ended(self) -> None:
        asyncio.get_running_loop().remove_reader(self.descriptor)
        os.close(self.descriptor)
        self.descriptor = -1
        code = self.child.wait()
        self.recorder.note("exit", self.name, code=code, meant=not self.due or (self.ends and not code))
        self.reached(False)
        self.ended.set()

    def send(self, number: int) -> None:
        """Nothing where it has ended."""
        if self.runs():
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.descriptor, number)
                self.recorder.note("signal", self.name, number=int(number))

    async def end(self, number: int = signal.SIGKILL) -> None:
        """End it and wait until it is gone. One that does not heed the signal within its time is killed."""
        if not self.runs():
            return
        self.due = False
        self.send(number)
        if number != signal.SIGKILL:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(READY_S):
                    await self.ended.wait()
                return
            self.recorder.note("unheeded", self.name, number=int(number))
            self.send(signal.SIGKILL)
        await self.ended.wait()

    def bound_files(self, size: int | None) -> None:
        """No file of it may grow past `size` bytes; None lifts that. As the child is not reaped yet, its
        number is its own."""
        if self.runs():
            hard = resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, (hard if size is None else size, hard))

    async def wait_ready(self) -> None:
        """Until it answers. One that ends before is told with its last lines."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                while self.runs():
                    if await self.ready():
                        self.reached(True)
                        self.recorder.note("ready", self.name)
                        return
                    await asyncio.sleep(LOOK_S)
        said = (self.folder / "log").read_text(errors="replace").splitlines()[-LAST_LINES:]
        raise TrialError(f"{self.name} {'is not ready' if self.runs() else 'ended'}: {' / '.join(said)}")


class Processes:
    """All of a trial's, by name."""

    def __init__(self) -> None:
        self.all: dict[str, Process] = {}

    def add(self, process: Process) -> Process:
        self.all[process.name] = process
        return process

    def __getitem__(self, name: str) -> Process:
        return self.all[name]

    async def start(self, *names: str) -> None:
        """Start them together, and wait until all are ready."""
        for name in names:
            self.all[name].start()
        await asyncio.gather(*[self.all[name].wait_ready() for name in names])

    async def close(self) -> None:
        """Doors are asked to, so that they answer what they hold; stopped ones are woken. All are killed."""
        for process in self.all.values():
            process.due = False
            process.send(signal.SIGCONT)
        await asyncio.gather(*[p.end(signal.SIGTERM) for n, p in self.all.items() if n.startswith("door-")])
        await asyncio.gather(*[process.end() for process in self.all.values()])
