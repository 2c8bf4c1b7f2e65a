"""Whole trials of real processes."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import pytest

from orchidhatch.faults.events import read
from tests.sockets import run

ROOT = Path(__file__).parents[2]
SMALL = ROOT / "trials/small.toml"


async def trial(*words: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.trial",
        *words,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


@pytest.mark.parametrize(
    ("plan", "plants"),
    [
        (
            "small",
            {"": "held", "ignores-drain": "drains:", "two-answers": "answers:", "overlap": "attempts:"},
        ),
        # A door that says yes to SIGHUP and goes on as before is held out by its agent.
        ("switch", {"": "held", "deaf-door": "door-1: does not serve by the last policy"}),
    ],
)
def test_program_holds_and_seeded_defects_are_found(
    plan: str, plants: dict[str, str], tmp_path: Path
) -> None:
    """A machine that is too slow may leave it unsaid, and then it is neither held nor broken."""

    async def one(plant: str) -> tuple[int, str]:
        more = ["--plant", plant] if plant else []
        process = await trial("run", plan, "--seed", "1", "--keep", str(tmp_path / f"x{plant}"), *more)
        out, err = await process.communicate()
        return process.returncode, (out + err).decode()

    async def job() -> None:
        found = await asyncio.gather(*map(one, plants))
        for (plant, word), (status, text) in zip(plants.items(), found, strict=True):
            assert status in (int(bool(plant)), 3), text
            assert status == 3 or word in text, text

    run(job(), 120)


def test_killed_trial_leaves_no_process(tmp_path: Path) -> None:
    def started() -> list[int]:
        return [event.payload["pid"] for event in read(tmp_path) if event.what == "start"]

    def live(pid: int) -> bool:
        with contextlib.suppress(OSError):
            return str(tmp_path) in Path(f"/proc/{pid}/cmdline").read_text()
        return False

    async def job() -> None:
        process = await trial("run", "small", "--seed", "1", "--keep", str(tmp_path))
        while len(started()) < 8:
            await asyncio.sleep(0.01)
        pids = started()
        os.kill(pids[0], signal.SIGSTOP)  # a stopped one, too
        process.kill()
        await process.wait()
        while any(map(live, pids)):
            await asyncio.sleep(0.01)

    run(job())


def test_wrong_usage_ends_with_2_and_one_line(tmp_path: Path) -> None:
    async def job() -> None:
        for words in (
            ("run", "nowhere", "--seed", "1"),
            ("again", str(SMALL)),
            ("run", "small", "--seed", "1", "--keep", str(ROOT)),
        ):
            process = await trial(*words)
            _, err = await process.communicate()
            assert process.returncode == 2
            assert err.startswith(b"orchidhatch.trial: ") and err.count(b"\n") == 1

    run(job())
