"""Agents in this process and in processes of their own, for the tests of whatever talks to one."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from orchidhatch.control.agent.service import Agent, open_cache
from orchidhatch.control.registry.service import Registry
from tests.control.registry.helpers import address_of, call
from tests.control.test_schemas import body
from tests.sockets import HOST

ROOT = Path(__file__).parents[3]


@contextlib.asynccontextmanager
async def running_agent(path: Path, *registries: tuple[str, int], **changes: Any) -> AsyncIterator[Agent]:  # noqa: ANN401
    agent = Agent(open_cache(path), registries, seed=2, **changes)
    await agent.start(HOST, 0)
    try:
        yield agent
    finally:
        await agent.close()


async def start_agent_process(
    path: Path, at: tuple[str, int], *registries: tuple[str, int]
) -> asyncio.subprocess.Process:
    known = [argument for registry in registries for argument in ("--registry", f"{HOST}:{registry[1]}")]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.agent",
        "--listen",
        f"{HOST}:{at[1]}",
        *known,
        "--cache",
        str(path),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    while b"agent started" not in (line := await process.stderr.readline()):
        assert line, "the agent has ended"
    return process


async def until(what: object) -> None:
    while not what():
        await asyncio.sleep(0.002)


async def register_endpoint(registry: Registry, name: str, **changes: object) -> None:
    status, _ = await call(address_of(registry), "POST /entries", body(instanceId=name, **changes))
    assert status == 200
