"""Starts a module of the program with a stepped wall clock, or with a seeded defect:

    python -m orchidhatch.faults.stepped [--clock FILE] [--plant NAME] [--record FOLDER] MODULE [ARGUMENT ...]

FILE holds by how many milliseconds the wall clock is off; it is read each time, so the clock steps when it
is written. In FOLDER a registry's fenced writes are recorded, once they are durable. The program itself
knows nothing of any of it.
"""

import argparse
import importlib
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from orchidhatch.control.errors import ConflictError
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.seeded_defects import SEEDED_DEFECTS


def step_clock(file: Path) -> None:
    true_ns, true_s = time.time_ns, time.time

    def off_ms() -> int:
        try:
            return int(file.read_text())
        except (OSError, ValueError):  # not there yet, or being written
            return 0

    time.time_ns = lambda: true_ns() + off_ms() * 1_000_000
    time.time = lambda: true_s() + off_ms() / 1000


def record_effects(name: str, folder: Path) -> None:
    """Each write in a claim's name that was carried out, as its store shows it to readers."""
    from orchidhatch.control.policy.fleet_status import encode_fleet_status
    from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
    from orchidhatch.control.policy.policy_records import DECISION_RECORD
    from orchidhatch.control.registry.store import Batch, Store

    recorder, plan, publish = Recorder(name, folder), Store.plan, Store.publish
    batch_written = GatewayPolicyLeases.batch_written

    def planned(self: Store, writes: Sequence[Any]) -> Batch:
        batch = plan(self, writes)
        batch.writes = list(writes)
        return batch

    def taken(self: Store, batch: Batch) -> None:
        publish(self, batch)
        for write, outcome in zip(batch.writes, batch.outcomes, strict=True):
            fence = getattr(write, "fence", None)
            if fence and not isinstance(outcome, ConflictError):
                act = type(write).__name__.lower()
                about = getattr(write, "id", "") or getattr(write, "name", "")
                recorder.note(
                    "effect",
                    name,
                    claim=fence.claim,
                    epoch=fence.epoch,
                    act=act,
                    on=about,
                    term=self.term,
                    text=getattr(write, "text", "")[:300],
                )

    def decided(self: GatewayPolicyLeases, writes: Sequence[Any], outcomes: Sequence[Any]) -> None:
        batch_written(self, writes, outcomes)
        if any(getattr(outcome, "name", "") == DECISION_RECORD for outcome in outcomes):
            status = encode_fleet_status(self.fleet_status())
            recorder.note("decided", status["now"]["digest"] or "-", now=status["now"], doors=status["doors"])

    Store.plan, Store.publish, GatewayPolicyLeases.batch_written = planned, taken, decided


def main() -> None:
    parser = argparse.ArgumentParser(prog="orchidhatch.faults.stepped")
    parser.add_argument("--clock", type=Path)
    parser.add_argument("--plant", choices=sorted(SEEDED_DEFECTS))
    parser.add_argument("--record", type=Path, metavar="FOLDER")
    parser.add_argument("--name", default="")
    parser.add_argument("module")
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    if options.clock:
        step_clock(options.clock)
    if options.plant:
        SEEDED_DEFECTS[options.plant].apply()
    if options.record:
        record_effects(options.name, options.record)
    sys.argv = [options.module, *options.arguments]
    # Not as `python -m` does it: that would run a second copy of the module, without the defect.
    sys.exit(importlib.import_module(options.module).main())


if __name__ == "__main__":
    main()
