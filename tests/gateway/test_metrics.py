"""The log line of the decision core."""

from dataclasses import replace

from orchidhatch.gateway.actions import LogLine, Reject
from orchidhatch.gateway.settings import Plan
from tests.helpers import SETTINGS, S, World, of


def test_log_line_counts_ended_requests_by_reason() -> None:
    world = World(replace(SETTINGS, plans=(Plan(rate=1.0, burst=1.0),)))
    for n in range(40):
        world.ask(f"r{n}")
    world.run(6 * S)
    lines = [action.text for _, action in world.log if isinstance(action, LogLine)]
    rejected = len(of(Reject, [action for _, action in world.log]))
    assert rejected > 0
    counts = [int(line.rpartition("quota=")[2].split()[0]) for line in lines if "quota=" in line]
    assert sum(counts) == rejected
