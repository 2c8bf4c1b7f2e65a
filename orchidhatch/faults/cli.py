"""Runs a trial of the program's processes under faults, and judges it.

    python -m orchidhatch.trial run PLAN --seed N [--plant NAME] [--json] [--keep FOLDER]
    python -m orchidhatch.trial list
    python -m orchidhatch.trial again FILE
    python -m orchidhatch.trial shrink FILE

Exit status 0: held; 1: broken; 2: called wrongly; 3: the machine was too slow, or the trial could not be run.
"""

import argparse
import asyncio
import json
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import msgspec
import uvloop

from orchidhatch.faults.events import Recorder, gather
from orchidhatch.faults.fleet import Fleet
from orchidhatch.faults.invariants.check_trial import check_trial
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.violations import Verdict
from orchidhatch.faults.loop_monitor import LoopMonitor
from orchidhatch.faults.plan import PlanError, Script, draw, read_plan, read_script
from orchidhatch.faults.processes import ROOT, TrialError
from orchidhatch.faults.runner import ScenarioRunner
from orchidhatch.faults.seeded_defects import SEEDED_DEFECTS

PLANS = ROOT / "trials"
HELD, BROKEN, WRONG, UNSAID = 0, 1, 2, 3
MOST_TOLD = 5  # breaks that are told with their stories
MOST_SHRINKS = 60  # trials that a shrink may take


async def play(script: Script, folder: Path, plant: str) -> None:
    """The whole trial; its events are in the folder afterwards, whatever happened."""
    recorder = Recorder("trial", folder)
    fleet = Fleet(script, folder, recorder, plant)
    monitor = LoopMonitor(recorder)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    try:
        await fleet.start()
        monitor.start()
        await ScenarioRunner(fleet).run()
    finally:
        if monitor.task:
            await monitor.close()
        await fleet.close()
        recorder.close()


def run(script: Script, folder: Path, plant: str = "") -> tuple[Verdict, TrialRecord]:
    """Play and judge. Script, events and logs are left in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "script.json").write_bytes(msgspec.json.format(msgspec.json.encode(script), indent=1))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play(script, folder, plant))
    return check_trial(gather(folder, folder / "trial.db"), script.plan)


def error_body(verdict: Verdict, trial: TrialRecord) -> str:
    lines = [f"{one.check}: {one.about}: {one.text}" for one in verdict.violations]
    for one in verdict.violations[:MOST_TOLD]:
        lines += ["", f"{one.check}: {one.about}: {one.text}", *trial.story(one.about)]
    lines += [f"cannot say: {why}" for why in verdict.too_slow]
    lines += [f"SKIPPED: {what}" for what in verdict.skipped]
    lines += [" ".join(f"{key}={value:g}" for key, value in verdict.figures.items())]
    return "\n".join(lines)


def status_of(verdict: Verdict) -> int:
    return UNSAID if verdict.too_slow else BROKEN if verdict.violations else HELD


def run_told(script: Script, folder: Path, plant: str, as_json: bool) -> int:
    verdict, trial = run(script, folder, plant)
    status = status_of(verdict)
    if as_json:
        value = {
            "plan": script.plan.name,
            "seed": script.seed,
            "status": status,
            "slow": verdict.too_slow,
            "skipped": verdict.skipped,
            "figures": verdict.figures,
            "breaks": [vars(one) for one in verdict.violations],
        }
        print(json.dumps(value))
    else:
        word = {HELD: "held", BROKEN: "BROKEN", UNSAID: "cannot say"}[status]
        print(f"{script.plan.name} seed {script.seed}: {word}\n{error_body(verdict, trial)}")
    return status


def shrink(script: Script, folder: Path, plant: str) -> int:
    """Drop faults, halves of them first, for as long as the same check still breaks."""
    verdict, _ = run(script, folder / "first", plant)
    if status_of(verdict) != BROKEN:
        print("the script does not break as it stands")
        return status_of(verdict)
    check, faults, tries = verdict.violations[0].check, list(script.faults), 0
    size = max(1, len(faults) // 2)
    while size and tries < MOST_SHRINKS:
        at = 0
        while at < len(faults) and tries < MOST_SHRINKS:
            fewer = msgspec.structs.replace(script, faults=faults[:at] + faults[at + size :])
            tries += 1
            verdict, _ = run(fewer, folder / f"try-{tries}", plant)
            if any(one.check == check for one in verdict.violations) and not verdict.too_slow:
                faults = list(fewer.faults)
                (folder / "shrunk.json").write_bytes(msgspec.json.encode(fewer))
            else:
                at += size
        size //= 2
    print(f"{check} breaks with {len(faults)} of {len(script.faults)} faults, after {tries} trials:")
    for fault in faults:
        print("  ", msgspec.json.encode(fault).decode())
    return BROKEN


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="orchidhatch.trial", description=__doc__.partition("\n")[0])
    calls = parser.add_subparsers(dest="call", required=True)
    calls.add_parser("list", help="the plans that stand in the project")
    for name, about in (
        ("run", "a plan with a seed"),
        ("again", "a recorded script"),
        ("shrink", "a recorded script, with as few faults as still break"),
    ):
        one = calls.add_parser(name, help=about)
        one.add_argument("file", help="a plan's name or file" if name == "run" else "a script.json")
        if name == "run":
            one.add_argument("--seed", type=int, required=True)
        one.add_argument(
            "--plant", choices=sorted(SEEDED_DEFECTS), default="", help="put a defect into the program"
        )
        one.add_argument("--json", action="store_true")
        one.add_argument("--keep", type=Path, help="an empty or new folder for events and logs")
    return parser.parse_args()


def list_plans() -> int:
    for path in sorted(PLANS.glob("*.toml")):
        plan = read_plan(path)
        print(f"{plan.name:24} {plan.seconds:4g} s  {len(plan.processes()):2} processes  {plan.what}")
    return HELD


def main() -> int:
    options = parse()
    try:
        if options.call == "list":
            return list_plans()
        path = Path(options.file)
        if options.call == "run":
            path = path if path.suffix == ".toml" else PLANS / f"{options.file}.toml"
            script = draw(read_plan(path), options.seed)
        else:
            script = read_script(path)
        folder = options.keep or Path(tempfile.mkdtemp(prefix="trial-"))
        if folder.exists() and any(folder.iterdir()):
            raise PlanError(f"{folder} is not empty")
    except PlanError as error:
        print(f"orchidhatch.trial: {error}", file=sys.stderr)
        return WRONG
    try:
        if options.call == "shrink":
            return shrink(script, folder, options.plant)
        return run_told(script, folder, options.plant, options.json)
    except (TrialError, OSError) as error:
        print(f"orchidhatch.trial: {error}", file=sys.stderr)
        return UNSAID
    except asyncio.CancelledError:
        print("orchidhatch.trial: interrupted", file=sys.stderr)
        return UNSAID
    finally:
        if not options.keep:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
