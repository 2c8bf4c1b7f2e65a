"""Command `python -m orchidhatch.controller`: the fleet controller."""

import sys

from orchidhatch.control.controller.command import main

if __name__ == "__main__":
    sys.exit(main())
