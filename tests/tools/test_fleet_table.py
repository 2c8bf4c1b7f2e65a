"""scripts/fleet-table, with log lines that the decision core itself writes."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from orchidhatch.gateway.actions import LogLine
from tests.helpers import S, World, of

SCRIPT = Path(__file__).parents[2] / "scripts" / "fleet-table"
HEAD = "2026-01-01 00:00:0{{at}},000 INFO {logger}: "
LOGGERS = ["molereach.frontdoor", "orchidhatch.proxy.periodic_log"]  # logs of earlier versions are read too


def run_fleet_table(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, SCRIPT, *arguments], capture_output=True, text=True, check=False)


@pytest.mark.parametrize("logger", LOGGERS)
def test_logs_of_several_gateways_are_aggregated(tmp_path: Path, logger: str) -> None:
    head = HEAD.format(logger=logger)
    refused = 0
    for gateway in range(3):
        world = World()
        for n in range(30):  # a burst of twenty
            world.ask(f"r{n}")
        logged = of(LogLine, world.run(6 * S))
        refused += world.gateway.counters.ended["quota"]
        lines = [head.format(at=at) + line.text for at, line in enumerate(logged)]
        passed = "asked=30 ok=20; open 0, longest batch 1.0 ms; clients 1, to backends 4: opened=4"
        lines.append(head.format(at=1) + passed)
        settings = (
            "told: front door 0 of 3; read aim 750 ms of 2000; stor 2/s burst 5 out 0 ceiling 0/s burst 0"
        )
        spent = "00000000b4d65521/stor/3=6 00000000b4d65522/stor/3=1.5"
        shares = f"shares: to s-1=4/1 s-2=1/{gateway}; spent {spent}"
        lines += [head.format(at=0) + settings, head.format(at=1) + shares]
        (tmp_path / f"n{gateway}.log").write_text("\n".join([*lines, "no line of ours", "\x00"]) + "\n")
    done = run_fleet_table(str(tmp_path), "--every", "5", "--json")
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0 and rows[0]["counts"]["doors"] % 3 == 0 and rows[0]["served"] == 66.7
    assert sum(row["counts"].get("ended quota", 0) for row in rows) == refused > 0
    first = rows[0]
    assert first["beyond stor"] == 13.3  # 18 of one customer, whose quota gave 15, and 4.5 of another
    assert first["most attempts at one, of the fair share"] == 1.6 and first["doors connected to one"] == 3
    assert first["handshakes of 100 attempts"] == 80.0
    shown = run_fleet_table(str(tmp_path)).stdout
    assert "ended: " in shown and "decided by: home" in shown


def test_unusable_input_is_reported_in_one_line(tmp_path: Path) -> None:
    for arguments, status in ((("none",), 2), ((str(tmp_path), "--every", "0"), 2), ((str(tmp_path),), 1)):
        done = run_fleet_table(*arguments)
        assert done.returncode == status and done.stderr.count("\n") == 1 and not done.stdout
