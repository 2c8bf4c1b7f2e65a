"""Starts, awaits, signals and ends the processes of a trial."""

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
READY_S = 30.0
"""Timeout of readiness, and of a graceful end."""
LOOK_S = 0.02
"""Between two polls of readiness."""
MAX_LOG_LINES_IN_ERROR = 5


class TrialError(Exception):
    """The trial could not be carried out; the message is a single line."""


@dataclass
class Process:
    """A process of the plan, over all its starts.

    It is signalled through a pidfd, as its process id may have been reused. `ready` checks whether it serves.
    `prepare` is called before each start. `reached` is called with whether connections to it are accepted.
    `ends` says that it may exit by itself, with status 0. `due` says that it is meant to run: any other exit
    meanwhile is a violation.
    """

    name: str
    command: Sequence[str]
    folder: Path
    recorder: Recorder
    ready: Callable[[], Awaitable[bool]]
    env: Mapping[str, str] = field(default_factory=dict)
    prepare: Callable[[], None] = lambda: None
    reached: Callable[[bool], None] = lambda _: None
    ends: bool = False
    due: bool = False
    child: subprocess.Popen[bytes] | None = None
    descriptor: int = -1
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self) -> None:
        """Start the process, without waiting until it is ready."""
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
        self.descriptor = os.pidfd_open(self.child.pid)  # its id is not reused before it is reaped
        (self.folder / "pid").write_text(str(self.child.pid))
        self.due = True
        self.ended.clear()
        asyncio.get_running_loop().add_reader(self.descriptor, self._record_exit)
        self.recorder.note("start", self.name, pid=self.child.pid)

    def runs(self) -> bool:
        """Whether the process is running, stopped by a signal or not."""
        return self.descriptor >= 0

    def _record_exit(self) -> None:
        """Reap the process and record its exit status; called when its pidfd turns readable."""
        asyncio.get_running_loop().remove_reader(self.descriptor)
        os.close(self.descriptor)
        self.descriptor = -1
        code = self.child.wait()
        is_finished = self.ends and not code
        self.recorder.note("exit", self.name, code=code, meant=not self.due or is_finished)
        self.reached(False)
        self.ended.set()

    def send(self, number: int) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.runs():
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.descriptor, number)
                self.recorder.note("signal", self.name, number=int(number))

    async def end_by_deadline(self, kill_after_s: float) -> None:
        """Send SIGTERM, and SIGKILL after that time if the process still runs."""
        if not self.runs():
            return
        self.due = False
        self.send(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(kill_after_s):
                await self.ended.wait()
        self.send(signal.SIGKILL)
        await self.ended.wait()

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Signal the process and wait for its exit; kill it if it outlasts the timeout."""
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
        """Limit the size of each file that the process writes to `size` bytes; None lifts the limit."""
        if not self.runs():
            return
        pid = self.child.pid  # cannot have been reused, as the child is not reaped yet
        hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)[1]
        soft_limit = hard_limit if size is None else size
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft_limit, hard_limit))

    async def wait_ready(self) -> None:
        """Wait until the process is ready.

        Raises TrialError, with the last lines of its log, if it ends before that or the timeout passes.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                while self.runs():
                    if await self.ready():
                        self.reached(True)
                        self.recorder.note("ready", self.name)
                        return
                    await asyncio.sleep(LOOK_S)
        state = "is not ready" if self.runs() else "ended"
        log_lines = (self.folder / "log").read_text(errors="replace").splitlines()
        raise TrialError(f"{self.name} {state}: {' / '.join(log_lines[-MAX_LOG_LINES_IN_ERROR:])}")


class Processes:
    """The processes of a trial, by name."""

    def __init__(self) -> None:
        self.all: dict[str, Process] = {}

    def add(self, process: Process) -> Process:
        """Add a process, in place of an earlier process of that name."""
        self.all[process.name] = process
        return process

    def __getitem__(self, name: str) -> Process:
        return self.all[name]

    async def start(self, *names: str) -> None:
        """Start these processes together, and wait until all are ready."""
        for name in names:
            self.all[name].start()
        await asyncio.gather(*[self.all[name].wait_ready() for name in names])

    async def close(self) -> None:
        """End all processes.

        Those stopped by a signal are continued first. Gateways are terminated, so that they reply to their
        in-flight requests; all others are killed.
        """
        for process in self.all.values():
            process.due = False
            process.send(signal.SIGCONT)
        gateways = [process for name, process in self.all.items() if name.startswith("door-")]
        await asyncio.gather(*[gateway.end(signal.SIGTERM) for gateway in gateways])
        await asyncio.gather(*[process.end() for process in self.all.values()])
