"""Command `python -m orchidhatch.rebuild`: rebuilding a registry's store."""

import sys

from orchidhatch.control.registry.rebuild import main

if __name__ == "__main__":
    sys.exit(main())
