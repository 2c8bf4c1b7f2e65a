"""Failing system calls in single processes: the preloaded library of shim.c, and its control file."""

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
CONTROL_SIZE = 4096
CONTROL_VARIABLE = "ORCHIDHATCH_SHIM"
COUNTS_AT = 16
"""The slot from which on the library counts what it injected, in the order of the slots."""
COMPILERS = ("cc", "gcc", "clang")


class Slot(IntEnum):
    """The integers of the control file, in the order of shim.c; shares are in thousandths of the calls."""

    WALL_STEP_MS = 0
    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3
    SHORT_IO = 4
    DISK = 5
    SEED = 6


SHARE_SLOTS = (Slot.ACCEPT, Slot.SOCKET, Slot.CONNECT, Slot.SHORT_IO, Slot.DISK)


def build_shim(folder: Path) -> Path | None:
    """Compile the library into the folder; None where this machine has no C compiler.

    Raises subprocess.CalledProcessError where the source does not compile.
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
    """The control file of one process, mapped here as in the process."""

    def __init__(self, path: Path, seed: int) -> None:
        self.path = path
        path.write_bytes(bytes(CONTROL_SIZE))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), CONTROL_SIZE)
        self.set(Slot.SEED, seed & 0x7FFFFFFF)

    def set(self, slot: Slot, value: int) -> None:
        """Write one integer; the process goes by it from its next call on."""
        struct.pack_into("<q", self._memory, 8 * slot, value)

    def injected(self, slot: Slot) -> int:
        """How many calls of this kind were made to fail, or shortened."""
        return struct.unpack_from("<q", self._memory, 8 * (COUNTS_AT + slot))[0]

    def environment(self, library: Path) -> dict[str, str]:
        """The variables with which the process is started."""
        return {"LD_PRELOAD": str(library), CONTROL_VARIABLE: str(self.path)}
