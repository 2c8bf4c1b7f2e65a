"""The registry as a process: killed, started where it cannot be, and with a gateway."""

import asyncio
import contextlib
import json
import signal
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from orchidhatch.proxy.server import GatewayServer
from tests.control.registry.helpers import ROOT, call, lifecycles_by_id, start
from tests.control.test_schemas import body
from tests.sockets import CONFIG, HOST, Backend, Client, query, refusing_address


async def test_killed_registry_has_all_acknowledged_writes(path: Path) -> None:
    listen = refusing_address()
    made = {}
    process = await start(path, listen, "--create")
    for round_ in range(4):

        async def write(number: int, round_: int = round_) -> None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                given = body(instanceId=f"s-{round_}-{number}")
                status, entry = await call(listen, "POST /entries", given)
                if status == 200:
                    made[entry["instanceId"]] = entry["version"]

        calls = [asyncio.create_task(write(number)) for number in range(40)]
        while len(made) < 40 * round_ + 10 * round_ // 3 + 1 and not all(one.done() for one in calls):
            await asyncio.sleep(0)
        process.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.gather(*calls)
        process = await start(path, listen)
        whole = (await call(listen, "GET /catalog/members"))[1]
        assert made.keys() <= lifecycles_by_id(whole).keys()
        assert all(version <= whole["generation"] for version in made.values())
        known = {entry["instanceId"]: entry for entry in whole["instances"]}
        assert all(json.loads(body(instanceId=name)) == known[name] for name in made)
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


@pytest.mark.parametrize(
    ("more", "reason"),
    [
        ((), b"there is no store"),
        (("--listen", "x"), b"not host:port"),
    ],
)
async def test_failed_start_gives_its_reason_in_one_line(
    path: Path, more: tuple[str, ...], reason: bytes
) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.registry",
        "--listen",
        f"{HOST}:0",
        "--store",
        str(path),
        *more,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode in (1, 2) and reason in errors and b"Traceback" not in errors
    assert not path.exists()


async def test_gateway_serves_on_without_its_registry(path: Path) -> None:
    listen = refusing_address()
    backends = [Backend(), Backend()]
    process = await start(path, listen, "--create")
    for number, backend in enumerate(backends):
        at = await backend.start()
        given = body(instanceId=f"s-{number}", hostPort=f"{at[0]}:{at[1]}")
        assert (await call(listen, "POST /entries", given))[0] == 200
    gateway = GatewayServer(replace(CONFIG, discovery=listen))
    await gateway.start()
    client = await Client.open(gateway.server.sockets[0].getsockname())
    assert await client.ask(query("a0")) == b"ok"
    drain = await call(listen, "POST /entries/s-0/lifecycle", b'{"lifecycle":"DRAINING"}')
    assert drain[0] == 200
    while gateway.endpoint_list_reader.version < drain[1]["version"]:
        await asyncio.sleep(0.001)
    before = len(backends[0].commands)
    for number in range(20):
        assert await client.ask(query(f"b{number}")) == b"ok"
    assert len(backends[0].commands) == before
    process.send_signal(signal.SIGKILL)
    await process.wait()
    assert await client.ask(query("c0")) == b"ok"
    process = await start(path, listen)
    assert (await call(listen, "DELETE /entries/s-0"))[0] == 200
    while len(gateway.endpoint_list_reader.entries) > 1:
        await asyncio.sleep(0.01)
    assert await client.ask(query("d0")) == b"ok"
    gateway.close()
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0
