"""Command `python -m orchidhatch.registry`: the endpoint registry."""

import sys

from orchidhatch.control.registry.service import main

if __name__ == "__main__":
    sys.exit(main())
