"""The operators' command line for policies, as a process before a registry in this one."""

import asyncio
import json
import sys
from pathlib import Path

import pytest

from orchidhatch.control.policy.policy_records import CHANGE_TASK_RECORD
from orchidhatch.control.policy.timing import ABSENT_AFTER_S
from orchidhatch.control.registry.service import Registry
from tests.control.policy.helpers import (
    DIGEST_A,
    DIGEST_B,
    DOCUMENT_A,
    DOCUMENT_B,
    FakeClock,
    Fleet,
    registry_on_clock,
    renew,
    settle,
)
from tests.control.registry.helpers import address_of

ROOT = Path(__file__).parents[3]


async def policy_command(*arguments: str, registry: Registry | None = None) -> tuple[int, str, str]:
    """Exit status, output and errors."""
    at = ()
    if registry is not None:
        host, port = address_of(registry)
        at = ("--at", f"{host}:{port}")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.policy",
        *at,
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


@pytest.fixture
def document(tmp_path: Path) -> Path:
    file = tmp_path / "policy.json"
    file.write_text(DOCUMENT_A)
    return file


async def test_check_exit_status_tells_validity(document: Path, tmp_path: Path) -> None:
    assert await policy_command("check", str(document)) == (0, f"{DIGEST_A}\n", "")
    document.write_text("{}")
    status, output, errors = await policy_command("check", str(document))
    assert (status, output) == (2, "") and "policy.json: " in errors and errors.count("\n") == 1
    assert (await policy_command("check", str(tmp_path / "none.json")))[0] == 2


async def test_command_without_a_registry_exits_with_1(document: Path) -> None:
    status, _, errors = await policy_command("diff", str(document))
    assert status == 1 and "--at" in errors
    status, _, errors = await policy_command("--at", "127.0.0.1:1", "show")
    assert status == 1 and "127.0.0.1:1" in errors and errors.count("\n") == 1


async def test_proposal_is_shown_and_can_be_dropped(tmp_path: Path, clock: FakeClock, document: Path) -> None:
    """Until it is decided."""
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        await settle(registry, clock)
        await renew(registry, "a", ready=[DIGEST_A])
        why = ("--why", "more", "--by", "me")
        status, output, _ = await policy_command("propose", str(document), *why, registry=registry)
        assert status == 0 and f"asked for: {DIGEST_A}" in output and "absent: none" in output
        status, _, errors = await policy_command("propose", str(document), *why, registry=registry)
        assert status == 1 and "already: asked" in errors
        status, output, _ = await policy_command("show", registry=registry)
        assert status == 0 and f"last change: {DIGEST_A}: asked" in output
        assert "a\ta\tpresent\t-\tserves" in output.splitlines()
        assert (await policy_command("drop", registry=registry))[0] == 0
        change = json.loads(registry.store.claims_table.records[CHANGE_TASK_RECORD].text)
        assert change["dropped"] is True and (change["who"], change["why"]) == ("me", "more")
        assert "gate" not in change
        fleet = Fleet(registry, clock, "a")
        fleet.report(ready=[DIGEST_A])
        await fleet.start_controller()
        assert (await fleet.work())["told"] == "dropped"
        status, _, errors = await policy_command("drop", registry=registry)
        assert status == 1 and "could still be dropped" in errors


async def test_proposal_with_many_gateways_absent_needs_force(
    tmp_path: Path, clock: FakeClock, document: Path
) -> None:
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        await settle(registry, clock)
        await renew(registry, "a")
        clock.now += ABSENT_AFTER_S + 1
        arguments = ("propose", str(document), "--why", "y", "--gate", "60s")
        status, output, errors = await policy_command(*arguments, registry=registry)
        assert status == 1 and "absent: a" in output and "1 of 1" in errors
        assert CHANGE_TASK_RECORD not in registry.store.claims_table.records
        assert (await policy_command(*arguments, "--force", registry=registry))[0] == 0
        change = json.loads(registry.store.claims_table.records[CHANGE_TASK_RECORD].text)
        assert change["force"] is True and change["gate"]["for_ms"] == 60_000


async def test_undo_asks_for_the_policy_before(tmp_path: Path, clock: FakeClock, document: Path) -> None:
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        fleet = Fleet(registry, clock, "a")
        await fleet.start()
        status, _, errors = await policy_command("undo", "--why", "y", registry=registry)
        assert status == 1 and "nothing was changed" in errors
        fleet.report(ready=[DIGEST_A, DIGEST_B])
        for digest, text in ((DIGEST_A, DOCUMENT_A), (DIGEST_B, DOCUMENT_B)):
            document.write_text(text)
            arguments = ("propose", str(document), "--why", f"for {digest}")
            assert (await policy_command(*arguments, registry=registry))[0] == 0
            await fleet.work("decided")
            if digest == DIGEST_A:
                status, _, errors = await policy_command("undo", "--why", "y", registry=registry)
                assert status == 1 and "their own settings files before" in errors
            fleet.report(has=digest)
            clock.now += ABSENT_AFTER_S
            assert (await fleet.work())["state"] == "in force"
        status, output, _ = await policy_command("undo", "--why", "y", registry=registry)
        assert (status, output) == (0, f"asked for: {DIGEST_A}\n")
        status, output, _ = await policy_command("history", registry=registry)
        first, second = [line.split("\t") for line in output.splitlines()]
        assert first[1:3] == [DIGEST_A, "before -"] and first[4] == f"for {DIGEST_A}"
        assert second[1:3] == [DIGEST_B, f"before {DIGEST_A}"] and second[5] == "absent 0"


async def test_absent_gateway_can_be_removed(tmp_path: Path, clock: FakeClock) -> None:
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        await settle(registry, clock)
        await renew(registry, "a")
        status, _, errors = await policy_command("remove", "a", registry=registry)
        assert status == 1 and "may still serve" in errors
        clock.now += ABSENT_AFTER_S + 1
        assert (await policy_command("remove", "a", registry=registry))[0] == 0
        assert not registry.store.claims_table.gateways
