"""Command `python -m orchidhatch.client`: the operators' command line."""

import sys

from orchidhatch.control.cli import main

if __name__ == "__main__":
    sys.exit(main())
