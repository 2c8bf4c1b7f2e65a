"""Command `python -m orchidhatch.steward`: the fleet controller."""

import sys

from orchidhatch.control.controller.command import main

if __name__ == "__main__":
    sys.exit(main())
