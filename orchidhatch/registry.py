"""Command `python -m orchidhatch.registry`: the endpoint registry."""

import sys

from orchidhatch.control.registry.command import main

if __name__ == "__main__":
    sys.exit(main())
