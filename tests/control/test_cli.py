"""The operators' command line, as a process that calls a registry in this one."""

import asyncio
import sys
from pathlib import Path

import pytest

from tests.control.registry.helpers import address_of, serving
from tests.sockets import HOST, refusing_address

ROOT = Path(__file__).parents[2]


async def start_client(at: tuple[str, int], *arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.client",
        "--at",
        f"{at[0]}:{at[1]}",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def client(at: tuple[str, int], *arguments: str) -> tuple[int, str, str]:
    process = await start_client(at, *arguments)
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


REGISTER = (
    "register",
    "s-1",
    "127.0.0.1:7001",
    "--zone",
    "a",
    "--kind",
    "m2",
    "--cell",
    "3",
    "--weight",
    "2",
    "--lease-ms",
    "60000",
)


async def test_commands_print_each_state_of_an_endpoint(
    tmp_path: Path,
) -> None:
    async with serving(tmp_path / "list.db") as registry:
        at = address_of(registry)
        assert await client(at, "list") == (0, "generation 0, the whole list:\n", "")
        line = "s-1\t127.0.0.1:7001\ta\tm2\t3\tSERVING\t2.0\t0"
        assert await client(at, *REGISTER, "--if-version", "0") == (0, f"{line}\t1\t1\n", "")
        assert await client(at, "list") == (0, f"generation 1, the whole list:\n{line}\n", "")
        assert (await client(at, "drain", "s-1", "--if-version", "1"))[0] == 0
        assert (await client(at, "show", "s-1"))[1].split("\t")[5:9] == ["DRAINING", "2.0", "0", "2"]
        assert (await client(at, "serve", "s-1"))[0] == 0
        assert await client(at, "renew", "s-1", "--life", "1") == (0, "s-1 goes on\n", "")
        assert (await client(at, "remove", "s-1"))[0] == 0
        assert not registry.store.entries and registry.store.generation == 4


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (("show", "s-9"), "no (404): not listed"),
        (("drain", "s-9"), "no (404): s-9 is not listed"),
        ((*REGISTER, "--if-version", "7"), "no (409): s-1 is at version 0, not 7"),
        (("remove", "../s"), "no (400): instanceId"),
        (("register", "s-1", "nowhere", "--zone", "a", "--kind", "m"), "no (400): hostPort"),
        (("register", "s-1", "h:1", "--zone", "a", "--kind", "m", "--weight", "nan"), "no (400): NaN"),
    ],
)
async def test_rejected_command_prints_one_line(
    tmp_path: Path, arguments: tuple[str, ...], reason: str
) -> None:
    """It changes nothing."""
    async with serving(tmp_path / "list.db") as registry:
        status, output, errors = await client(address_of(registry), *arguments)
        assert (status, output) == (1, "") and reason in errors and errors.count("\n") == 1
        assert registry.store.generation == 0


async def test_watch_shows_each_change_and_the_registrys_end(tmp_path: Path) -> None:
    async with serving(tmp_path / "list.db") as registry:
        process = await start_client(address_of(registry), "watch")
        assert await process.stdout.readline() == b"generation 0, the whole list:\n"
        assert (await client(address_of(registry), *REGISTER))[0] == 0
        assert await process.stdout.readline() == b"generation 1, changes:\n"
        assert (await process.stdout.readline()).startswith(b"s-1\t")
    _, errors = await process.communicate()
    assert process.returncode == 1 and b"watch" in errors and errors.count(b"\n") == 1


async def test_command_without_an_answer_prints_one_line() -> None:
    for at in (refusing_address(), (HOST, "x"), (HOST, "0")):
        status, _, errors = await client(at, "list")
        assert status == 1 and errors.startswith("orchidhatch.client: ") and errors.count("\n") == 1
