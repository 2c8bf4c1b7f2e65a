"""Starts a module of the program with a stepped wall clock, or with a seeded defect.

    python -m orchidhatch.faults.stepped [--clock FILE] [--plant NAME] [--record FOLDER] MODULE [ARGUMENT ...]

FILE holds the offset of the wall clock in milliseconds; it is read at each use of the clock, which steps as
soon as FILE is written. A registry's fenced writes are recorded in FOLDER once they are durable. The program
itself is unaware of all this.
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

MAX_TEXT_LENGTH = 300


def step_clock(file: Path) -> None:
    """Offset this process's wall clock by the milliseconds in the file."""
    true_time_ns = time.time_ns
    true_time_s = time.time

    def offset_ms() -> int:
        try:
            return int(file.read_text())
        except (OSError, ValueError):  # missing, or being written
            return 0

    time.time_ns = lambda: true_time_ns() + offset_ms() * 1_000_000
    time.time = lambda: true_time_s() + offset_ms() / 1000


def record_effects(name: str, folder: Path) -> None:
    """Record each fenced write that a registry carried out, once its store shows the write to readers."""
    from orchidhatch.control.policy.fleet_status import encode_fleet_status
    from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
    from orchidhatch.control.policy.policy_records import DECISION_RECORD
    from orchidhatch.control.registry.store import Batch, Store

    recorder = Recorder(name, folder)
    plan = Store.plan
    publish = Store.publish
    batch_written = GatewayPolicyLeases.batch_written

    def plan_and_keep_writes(self: Store, writes: Sequence[Any]) -> Batch:
        batch = plan(self, writes)
        batch.writes = list(writes)
        return batch

    def publish_and_record(self: Store, batch: Batch) -> None:
        publish(self, batch)
        for write, outcome in zip(batch.writes, batch.outcomes, strict=True):
            fence = getattr(write, "fence", None)
            if fence and not isinstance(outcome, ConflictError):
                action = type(write).__name__.lower()
                target = getattr(write, "id", "") or getattr(write, "name", "")
                recorder.note(
                    "effect",
                    name,
                    claim=fence.claim,
                    epoch=fence.epoch,
                    act=action,
                    on=target,
                    term=self.term,
                    text=getattr(write, "text", "")[:MAX_TEXT_LENGTH],
                )

    def record_decision(self: GatewayPolicyLeases, writes: Sequence[Any], outcomes: Sequence[Any]) -> None:
        batch_written(self, writes, outcomes)
        if any(getattr(outcome, "name", "") == DECISION_RECORD for outcome in outcomes):
            status = encode_fleet_status(self.fleet_status())
            recorder.note("decided", status["now"]["digest"] or "-", now=status["now"], doors=status["doors"])

    Store.plan = plan_and_keep_writes
    Store.publish = publish_and_record
    GatewayPolicyLeases.batch_written = record_decision


def main() -> None:
    """Apply what the options ask for, then run the module."""
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
    # Not by runpy, as `python -m` does: it would execute a second copy of the module, without the defect.
    sys.exit(importlib.import_module(options.module).main())


if __name__ == "__main__":
    main()
