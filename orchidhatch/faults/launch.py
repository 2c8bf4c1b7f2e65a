"""Executes a program that is killed when its parent ends.

    python launch.py PARENT PROGRAM [ARGUMENT ...]

Imports the standard library only, to start quickly: it runs before each process of a trial.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # <linux/prctl.h>


def main() -> None:
    """Set the parent-death signal, then execute the program in this process."""
    parent_pid = int(sys.argv[1])
    program = sys.argv[2:]
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0):
        sys.exit(f"launch: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent_pid:  # the parent ended before the signal was set
        sys.exit(1)
    os.execvp(program[0], program)


if __name__ == "__main__":
    main()
