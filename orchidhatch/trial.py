"""Command `python -m orchidhatch.trial`: fault-injection trials."""

import sys

from orchidhatch.faults.cli import main

if __name__ == "__main__":
    sys.exit(main())
