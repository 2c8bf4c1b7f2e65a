"""Starts a module of the program with a wall clock that is put wrong, or with a planted defect:

    python -m orchidhatch.trial.stepped [--clock FILE] [--plant NAME] MODULE [ARGUMENT ...]

FILE holds by how many milliseconds the wall clock is off; it is read each time, so the clock steps when it
is written. The program itself knows nothing of either.
"""

import argparse
import importlib
import sys
import time
from pathlib import Path

from orchidhatch.trial.plants import PLANTS


def step_clock(file: Path) -> None:
    true_ns, true_s = time.time_ns, time.time

    def off_ms() -> int:
        try:
            return int(file.read_text())
        except (OSError, ValueError):  # not there yet, or being written
            return 0

    time.time_ns = lambda: true_ns() + off_ms() * 1_000_000
    time.time = lambda: true_s() + off_ms() / 1000


def main() -> None:
    parser = argparse.ArgumentParser(prog="orchidhatch.trial.stepped")
    parser.add_argument("--clock", type=Path)
    parser.add_argument("--plant", choices=sorted(PLANTS))
    parser.add_argument("module")
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    if options.clock:
        step_clock(options.clock)
    if options.plant:
        PLANTS[options.plant].plant()
    sys.argv = [options.module, *options.arguments]
    # Not as `python -m` does it: that would run a second copy of the module, without what was planted.
    sys.exit(importlib.import_module(options.module).main())


if __name__ == "__main__":
    main()
