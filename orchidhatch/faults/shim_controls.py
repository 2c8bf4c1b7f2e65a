"""The processes of a trial whose system calls can be made to fail, and the control file of each."""

import random
from fnmatch import fnmatchcase
from pathlib import Path

from orchidhatch.faults.events import Recorder
from orchidhatch.faults.plan import SHIM_KINDS, Script
from orchidhatch.faults.system_calls import ShimControl, build_shim


class ShimControls:
    """The library of failing system calls, and by process its control file."""

    def __init__(self, script: Script, folder: Path, recorder: Recorder) -> None:
        self.by_process: dict[str, ShimControl] = {}
        self._script = script
        self._folder = folder
        self._recorder = recorder
        self._library: Path | None = None
        self._patterns = [fault.who for fault in script.faults if fault.kind in SHIM_KINDS]

    def build(self) -> None:
        """Compile the library if a fault needs it; record where that cannot be."""
        if not self._patterns:
            return
        self._library = build_shim(self._folder)
        self._recorder.note("shim", "trial", built=self._library is not None)

    def environment(self, name: str) -> dict[str, str]:
        """The environment of a process whose system calls are made to fail; empty for all others."""
        is_named = any(fnmatchcase(name, pattern) for pattern in self._patterns)
        if self._library is None or not is_named:
            return {}
        if name not in self.by_process:
            seed = random.Random(f"{self._script.seed} {name} system calls").getrandbits(31)
            self.by_process[name] = ShimControl(self._folder / f"{name}.shim", seed)
        return self.by_process[name].environment(self._library)
