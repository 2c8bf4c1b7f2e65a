"""Command `python -m orchidhatch.steward`: an alias of `python -m orchidhatch.controller`."""

import sys

from orchidhatch.control.controller.command import main

if __name__ == "__main__":
    sys.exit(main())
