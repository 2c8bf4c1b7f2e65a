"""Command `python -m orchidhatch.policy`: policy changes."""

import sys

from orchidhatch.control.policy.policy_cli import main

if __name__ == "__main__":
    sys.exit(main())
