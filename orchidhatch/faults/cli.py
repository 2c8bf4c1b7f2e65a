"""Runs a trial of the program's processes under faults, and judges it.

    python -m orchidhatch.trial run PLAN --seed N [--plant NAME] [--json] [--keep FOLDER]
    python -m orchidhatch.trial list
    python -m orchidhatch.trial again FILE
    python -m orchidhatch.trial shrink FILE

Exit status 0: all checks held; 1: violations; 2: usage error; 3: the machine was slower than the checks
allow for, or the trial could not be run.
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
from orchidhatch.faults.invariants.violations import Verdict, Violation
from orchidhatch.faults.loop_monitor import LoopMonitor
from orchidhatch.faults.plan import PlanError, Script, draw, read_plan, read_script
from orchidhatch.faults.processes import ROOT, TrialError
from orchidhatch.faults.runner import ScenarioRunner
from orchidhatch.faults.seeded_defects import SEEDED_DEFECTS

PLANS = ROOT / "trials"
EXIT_HELD = 0
EXIT_VIOLATED = 1
EXIT_USAGE = 2
EXIT_INCONCLUSIVE = 3
RESULT_OF_STATUS = {EXIT_HELD: "held", EXIT_VIOLATED: "BROKEN", EXIT_INCONCLUSIVE: "cannot say"}
MAX_DETAILED_VIOLATIONS = 5
MAX_SHRINK_TRIALS = 60


async def carry_out(script: Script, folder: Path, defect: str) -> None:
    """Carry out the trial; its events are in the folder afterwards, even after an error."""
    recorder = Recorder("trial", folder)
    fleet = Fleet(script, folder, recorder, defect)
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


def run(script: Script, folder: Path, defect: str = "") -> tuple[Verdict, TrialRecord]:
    """Carry out a trial and check it. Script, events and logs stay in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "script.json").write_bytes(msgspec.json.format(msgspec.json.encode(script), indent=1))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(carry_out(script, folder, defect))
    return check_trial(gather(folder, folder / "trial.db"), script.plan)


def violation_line(violation: Violation) -> str:
    """The line that reports a violation."""
    return f"{violation.check}: {violation.about}: {violation.text}"


def verdict_text(verdict: Verdict, trial: TrialRecord) -> str:
    """The report of a verdict: its violations, the events of the first few of them, and the figures."""
    lines = [violation_line(violation) for violation in verdict.violations]
    for violation in verdict.violations[:MAX_DETAILED_VIOLATIONS]:
        lines += ["", violation_line(violation), *trial.story(violation.about)]
    lines += [f"cannot say: {reason}" for reason in verdict.too_slow]
    lines += [f"SKIPPED: {skipped}" for skipped in verdict.skipped]
    lines += [" ".join(f"{key}={value:g}" for key, value in verdict.figures.items())]
    return "\n".join(lines)


def exit_status(verdict: Verdict) -> int:
    """The exit status for a verdict."""
    if verdict.too_slow:
        return EXIT_INCONCLUSIVE
    return EXIT_VIOLATED if verdict.violations else EXIT_HELD


def run_and_report(script: Script, folder: Path, defect: str, as_json: bool) -> int:
    """Run a trial, print its verdict and return the exit status."""
    verdict, trial = run(script, folder, defect)
    status = exit_status(verdict)
    if as_json:
        report = {
            "plan": script.plan.name,
            "seed": script.seed,
            "status": status,
            "slow": verdict.too_slow,
            "skipped": verdict.skipped,
            "figures": verdict.figures,
            "breaks": [vars(violation) for violation in verdict.violations],
        }
        print(json.dumps(report))
    else:
        result = RESULT_OF_STATUS[status]
        print(f"{script.plan.name} seed {script.seed}: {result}\n{verdict_text(verdict, trial)}")
    return status


def shrink(script: Script, folder: Path, defect: str) -> int:
    """Remove faults, in ever smaller runs of them, for as long as the same check is still violated."""
    verdict, _ = run(script, folder / "first", defect)
    if exit_status(verdict) != EXIT_VIOLATED:
        print("the script does not break as it stands")
        return exit_status(verdict)
    check = verdict.violations[0].check
    faults = list(script.faults)
    trial_count = 0
    run_length = max(1, len(faults) // 2)
    while run_length and trial_count < MAX_SHRINK_TRIALS:
        index = 0
        while index < len(faults) and trial_count < MAX_SHRINK_TRIALS:
            candidate = msgspec.structs.replace(script, faults=faults[:index] + faults[index + run_length :])
            trial_count += 1
            verdict, _ = run(candidate, folder / f"try-{trial_count}", defect)
            is_violated = any(violation.check == check for violation in verdict.violations)
            if is_violated and not verdict.too_slow:
                faults = list(candidate.faults)
                (folder / "shrunk.json").write_bytes(msgspec.json.encode(candidate))
            else:
                index += run_length
        run_length //= 2
    print(f"{check} breaks with {len(faults)} of {len(script.faults)} faults, after {trial_count} trials:")
    for fault in faults:
        print("  ", msgspec.json.encode(fault).decode())
    return EXIT_VIOLATED


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="orchidhatch.trial", description=__doc__.partition("\n")[0])
    commands = parser.add_subparsers(dest="call", required=True)
    commands.add_parser("list", help="the plans that stand in the project")
    for name, help_text in (
        ("run", "a plan with a seed"),
        ("again", "a recorded script"),
        ("shrink", "a recorded script, with as few faults as still break"),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument("file", help="a plan's name or file" if name == "run" else "a script.json")
        if name == "run":
            command.add_argument("--seed", type=int, required=True)
        command.add_argument(
            "--plant", choices=sorted(SEEDED_DEFECTS), default="", help="put a defect into the program"
        )
        command.add_argument("--json", action="store_true")
        command.add_argument("--keep", type=Path, help="an empty or new folder for events and logs")
    return parser.parse_args()


def list_plans() -> int:
    """Print the plans of the project, one a line."""
    for path in sorted(PLANS.glob("*.toml")):
        plan = read_plan(path)
        print(f"{plan.name:24} {plan.seconds:4g} s  {len(plan.processes()):2} processes  {plan.what}")
    return EXIT_HELD


def main() -> int:
    """Run the command and return its exit status."""
    options = parse_arguments()
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
        return EXIT_USAGE
    try:
        if options.call == "shrink":
            return shrink(script, folder, options.plant)
        return run_and_report(script, folder, options.plant, options.json)
    except (TrialError, OSError) as error:
        print(f"orchidhatch.trial: {error}", file=sys.stderr)
        return EXIT_INCONCLUSIVE
    except asyncio.CancelledError:
        print("orchidhatch.trial: interrupted", file=sys.stderr)
        return EXIT_INCONCLUSIVE
    finally:
        if not options.keep:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
