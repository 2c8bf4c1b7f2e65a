"""Becomes another program that ends with its parent: python launch.py PARENT PROGRAM [ARGUMENT ...]

Standard library only, and no import of the project: it is started for each process of a trial.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # <linux/prctl.h>


def main() -> None:
    parent, program = int(sys.argv[1]), sys.argv[2:]
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0):
        sys.exit(f"launch: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # it ended before the kernel was asked
        sys.exit(1)
    os.execvp(program[0], program)


if __name__ == "__main__":
    main()
