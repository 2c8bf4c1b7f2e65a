"""The command and environment by which each process of a trial is run."""

import sys
from collections.abc import Sequence
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

from orchidhatch.faults.events import Recorder
from orchidhatch.faults.network import Network
from orchidhatch.faults.plan import Script, matching
from orchidhatch.faults.processes import Process, Processes
from orchidhatch.faults.readiness import Ready
from orchidhatch.faults.seeded_defects import SEEDED_DEFECTS
from orchidhatch.faults.shim_controls import ShimControls

LAUNCHER_MODULE = "orchidhatch.faults.stepped"


class ProcessLauncher:
    """Adds processes to a trial, with the launcher and the environment that its faults need.

    `defect` names the seeded defect of the trial; empty for none.
    """

    def __init__(
        self,
        script: Script,
        folder: Path,
        recorder: Recorder,
        network: Network,
        processes: Processes,
        shim_controls: ShimControls,
        defect: str,
    ) -> None:
        self._plan = script.plan
        self._folder = folder
        self._recorder = recorder
        self._network = network
        self._processes = processes
        self._shim_controls = shim_controls
        self._defect = defect
        self._stepped_processes = {
            name
            for fault in script.faults
            if fault.kind == "clock"
            for name in matching(fault.who, script.plan.processes())
        }

    def add_module(
        self, name: str, module: str, *arguments: object, ready: Ready, ends: bool = False
    ) -> None:
        """Add a process that runs a module of the program, or of the trial."""
        command = [sys.executable, "-m", *self.launcher_words(name), module, *map(str, arguments)]
        self.add_command(name, command, ready, ends=ends)

    def add_command(
        self,
        name: str,
        command: Sequence[str],
        ready: Ready,
        env: dict[str, str] | None = None,
        **options: Any,  # noqa: ANN401 - of Process
    ) -> None:
        """Add a process by its command; it is not started."""

        def reached(is_reachable: bool) -> None:
            self._network.set_reachable(name, is_reachable)

        environment = {**(env or {}), **self._shim_controls.environment(name)}
        folder = self._folder / name
        self._processes.add(
            Process(name, command, folder, self._recorder, ready, reached=reached, env=environment, **options)
        )

    def launcher_words(self, name: str) -> list[str]:
        """The launcher and its options, for a process that needs it.

        It is needed where the clock steps, a defect is seeded, or what a registry decides is to be recorded.
        """
        options: list[str] = []
        if name in self._stepped_processes:
            options += ["--clock", str(self._folder / f"{name}.clock")]
        if self._defect and fnmatchcase(name, SEEDED_DEFECTS[self._defect].processes):
            options += ["--plant", self._defect]
        if (self._plan.stewards or self._plan.policy) and name.startswith("registry-"):
            options += ["--record", str(self._folder), "--name", name]
        return [LAUNCHER_MODULE, *options] if options else []
