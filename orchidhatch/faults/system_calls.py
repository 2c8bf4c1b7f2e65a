"""Injects system call failures into single processes, through the library of shim.c and a control file."""

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
CONTROL_FILE_BYTES = 4096
SLOT_BYTES = 8
CONTROL_VARIABLE = "ORCHIDHATCH_SHIM"
FIRST_COUNTER_SLOT = 16
"""Slot of the first counter of injected failures; the counters are in the order of the slots."""
COMPILERS = ("cc", "gcc", "clang")


class Slot(IntEnum):
    """The integers of the control file, in the order of shim.c; shares are per mille of the calls."""

    WALL_STEP_MS = 0
    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3
    SHORT_IO = 4
    DISK = 5
    SEED = 6


SHARE_SLOTS = (Slot.ACCEPT, Slot.SOCKET, Slot.CONNECT, Slot.SHORT_IO, Slot.DISK)


def build_shim(folder: Path) -> Path | None:
    """Compile the library into the folder; return None if there is no C compiler.

    Raises subprocess.CalledProcessError if the source does not compile.
    """
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        return None
    library = folder / "shim.so"
    subprocess.run(
        [compiler, "-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o", str(library), str(SOURCE), "-ldl"],
        check=True,
        capture_output=True,
    )
    return library


class ShimControl:
    """The control file of a process, mapped into memory here as in that process."""

    def __init__(self, path: Path, seed: int) -> None:
        self.path = path
        path.write_bytes(bytes(CONTROL_FILE_BYTES))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), CONTROL_FILE_BYTES)
        self.set(Slot.SEED, seed & 0x7FFFFFFF)

    def set(self, slot: Slot, value: int) -> None:
        """Write an integer; it takes effect at the process's next system call."""
        struct.pack_into("<q", self._memory, SLOT_BYTES * slot, value)

    def injected(self, slot: Slot) -> int:
        """The number of calls of this kind that failed or were shortened by injection."""
        return struct.unpack_from("<q", self._memory, SLOT_BYTES * (FIRST_COUNTER_SLOT + slot))[0]

    def environment(self, library: Path) -> dict[str, str]:
        """The environment variables that the process is started with."""
        return {"LD_PRELOAD": str(library), CONTROL_VARIABLE: str(self.path)}
