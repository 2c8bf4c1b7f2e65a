"""Command `python -m orchidhatch.agent`: the agent beside a gateway."""

import sys

from orchidhatch.control.agent.command import main

if __name__ == "__main__":
    sys.exit(main())
