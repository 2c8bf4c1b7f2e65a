"""The program as a process: what it is told, its signals, its exit code."""

import asyncio
import json
import math
import os
import re
import resource
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from orchidhatch.proxy.config import ConfigError
from orchidhatch.proxy.config_reader import load
from tests.proxy.test_deadlines import stated_ms
from tests.sockets import (
    CUSTOMER,
    HOST,
    Backend,
    Client,
    Watch,
    catalog,
    entry,
    refusing_address,
    resp,
    value,
)

ROOT = Path(__file__).parents[2]
KILL_AFTER_MS = 2700
"""SIGKILL after SIGTERM at the earliest: the longest deadline of SETTINGS and 0.7 s."""
SETTINGS = {
    "me": 0,
    "balancers": 2,
    "zones": ["a", "b"],
    "kinds": ["m2"],
    "plans": [{"name": "team", "units-per-s": 9}],
    "categories": [
        {"name": "read", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "read_like"},
        {"name": "settle", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "non_idempotent"},
    ],
    "ceilings": {
        "max-attempts": 4,
        "conn-idle-us": 7000000,
        "retry-after": True,
        "max-retry-after-us": 500000,
    },
    "stats": {"how": "inline", "names": ["util", "latency_ms"]},
}


def config(**changes: object) -> dict[str, object]:
    known = json.loads(catalog(4, []))
    values = {
        "name": "n0",
        "listen": f"{HOST}:7",
        "discovery": f"{HOST}:8",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 512},
        "known": known,
        "settings": SETTINGS,
    }
    return {key: value for key, value in {**values, **changes}.items() if value is not None}


def write(path: Path, values: object) -> dict[str, str]:
    file = path / "config.json"
    file.write_text(values if isinstance(values, str) else json.dumps(values))
    return {"PROXY_CONFIG": str(file)}


def test_configuration_is_read(tmp_path: Path) -> None:
    found = load({**write(tmp_path, config()), "PROXY_LISTEN": f"{HOST}:6379", "PROXY_NAME": "n9"})
    assert (found.name, found.listen, found.discovery) == ("n9", (HOST, 6379), (HOST, 8))
    assert found.settings.seed == 0x8C1F30D27A5BE964 and found.settings.gateway_count == 2
    assert found.class_numbers == {"read": 0, "settle": 1} and found.zone_numbers == {"a": 0, "b": 1}
    assert found.settings.classes[1].idempotency.value == "unsafe" and found.settings.plans[0].rate == 9.0
    assert found.settings.max_retry_after_us == 500_000 and found.sockets == 512
    assert found.conn_idle_us == 7_000_000 and found.connect_timeout_us == 250_000


@pytest.mark.parametrize(
    "values",
    [
        "{",
        "[]",
        {},
        config(settings={}),
        config(seed="xyz"),
        config(listen="nowhere"),
        config(discovery=None),
        config(settings={**SETTINGS, "me": 2}),
        config(settings={**SETTINGS, "plans": []}),
        config(settings={**SETTINGS, "categories": [{"name": "read", "idempotency": "what"}]}),
        config(peers=["x:y"]),
        None,
    ],
)
def test_unusable_configuration_is_one_plain_line(tmp_path: Path, values: object) -> None:
    env = {key: text for key, text in os.environ.items() if not key.startswith("PROXY_")}
    env |= write(tmp_path, values) if values is not None else {}
    done = subprocess.run(
        [sys.executable, "-m", "orchidhatch.proxy"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("orchidhatch: ") and done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("key", "values"),
    [
        ("limits.sockets", {"limits": {"sockets": 12}}),
        ("limits.sockets", {"limits": {"sockets": "many"}}),
        ("limits.memory_mb", {"limits": {"memory_mb": -1}}),
        ("limits.memory_mb", {"limits": {"memory_mb": math.inf}}),
        ("ceilings.max-open", {"settings": {**SETTINGS, "ceilings": {"max-open": 0}}}),
        ("ceilings.conn-idle-us", {"settings": {**SETTINGS, "ceilings": {"conn-idle-us": math.nan}}}),
        ("ceilings.connect-timeout-us", {"settings": {**SETTINGS, "ceilings": {"connect-timeout-us": -5}}}),
        (
            "ceilings.max-retry-after-us",
            {"settings": {**SETTINGS, "ceilings": {"retry-after": True, "max-retry-after-us": -2_000_000}}},
        ),
        (
            "ceilings.max-retry-after-us",
            {"settings": {**SETTINGS, "ceilings": {"retry-after": True, "max-retry-after-us": 1e18}}},
        ),
        ("obligations.cold-from", {"settings": {**SETTINGS, "obligations": {"cold-from": -0.5}}}),
        ("obligations.cold-from", {"settings": {**SETTINGS, "obligations": {"cold-from": 1.5}}}),
        ("obligations.warm-within-us", {"settings": {**SETTINGS, "obligations": {"warm-within-us": -1}}}),
        ("plans.0.units-per-s", {"settings": {**SETTINGS, "plans": [{"name": "team", "units-per-s": -1}]}}),
        ("plans.0.burst", {"settings": {**SETTINGS, "plans": [{"name": "team", "burst": 1e300}]}}),
        (
            "categories.0.deadline-us",
            {
                "settings": {
                    **SETTINGS,
                    "categories": [{"name": "read", "on-time-us": 750_000, "deadline-us": 0}],
                }
            },
        ),
    ],
)
def test_unusable_bound_is_reported_by_its_key(tmp_path: Path, key: str, values: dict[str, object]) -> None:
    with pytest.raises(ConfigError) as caught:
        load(write(tmp_path, config(**values)))
    assert key in str(caught.value) and "\n" not in str(caught.value)


async def said(process: asyncio.subprocess.Process, word: bytes) -> None:
    """Wait for a line of the log; a program that has ended says no more."""
    while word not in (line := await process.stderr.readline()):
        assert line, "the program has ended"


async def start(
    tmp_path: Path, backend: Backend, limit: int | None = None, **changes: object
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """A program that serves, with a limit of the system's on its descriptors if one is given."""
    listen, silent = refusing_address(), refusing_address()
    known = json.loads(catalog(4, [entry("s1", await backend.start())]))
    values = config(listen=f"{HOST}:{listen[1]}", discovery=f"{HOST}:{silent[1]}", known=known, **changes)
    env = {**os.environ, **write(tmp_path, values), "PROXY_DISCOVERY": f"{HOST}:{silent[1]}"}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.proxy",
        cwd=ROOT,
        env=env,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit and (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))),
    )
    await said(process, b"serves at")
    return process, listen


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_signal_drains_and_ends_with_0(tmp_path: Path, number: int) -> None:
    backend = Backend()
    process, address = await start(tmp_path, backend)
    client = await Client.open(address)
    request = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
    assert await client.ask(request) == b"ok"
    process.send_signal(number)
    await said(process, b"drains")
    late = await Client.open(address)
    assert await late.ask(request.replace(b"a1", b"a2")) == b"ok"
    assert await client.ended()
    assert await process.wait() == 0


async def test_further_signals_in_a_drain_change_nothing(tmp_path: Path) -> None:
    backend = Backend(lambda arguments: None)
    process, address = await start(tmp_path, backend)
    client = await Client.open(address)
    client.send(resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=5000"))
    await backend.came.wait()
    process.send_signal(signal.SIGTERM)
    await said(process, b"drains")
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    await said(process, b"read the configuration again")
    backend.writers[0].write(value(b"ok"))
    assert await client.answer() == b"ok" and await client.ended()
    assert await process.wait() == 0


async def test_time_to_the_kill_counts_from_a_signal_that_came_in_a_stop(tmp_path: Path) -> None:
    """Guards against answers due after SIGKILL: a stopped gateway counted from when it saw SIGTERM."""
    backend = Backend(lambda arguments: None)
    process, address = await start(tmp_path, backend)
    clients = [await Client.open(address) for _ in range(2)]
    clients[0].send(resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=5000"))
    await backend.came.wait()
    process.send_signal(signal.SIGSTOP)
    process.send_signal(signal.SIGTERM)
    terminated_s = time.monotonic()
    await asyncio.sleep(0.6)
    process.send_signal(signal.SIGCONT)
    await said(process, b"drains")
    backend.came.clear()
    clients[1].send(resp("SVC.SUBMIT", CUSTOMER, "a2", "c=settle,t=team,d=5000", "body"))
    await backend.came.wait()
    passed_ms = (time.monotonic() - terminated_s) * 1000
    assert stated_ms(backend.commands[1]) <= KILL_AFTER_MS - passed_ms
    process.kill()
    await process.wait()


async def test_only_the_main_thread_takes_sigterm(tmp_path: Path) -> None:
    """Guards against answers due after SIGKILL: another thread took SIGTERM while the loop ran on."""
    process, _ = await start(tmp_path, Backend())
    for task in Path(f"/proc/{process.pid}/task").iterdir():
        blocked = re.search(r"^SigBlk:\s*([0-9a-f]+)", (task / "status").read_text(), re.MULTILINE)
        assert blocked
        is_blocked = bool(int(blocked[1], 16) >> (signal.SIGTERM - 1) & 1)
        assert is_blocked == (task.name != str(process.pid)), task.name
    process.kill()
    await process.wait()


async def test_sighup_moves_the_watch_and_never_ends_the_process(tmp_path: Path) -> None:
    moved: asyncio.Queue[str] = asyncio.Queue()

    async def script(writer: asyncio.StreamWriter) -> None:
        moved.put_nowait("watched")
        await asyncio.Event().wait()

    backend = Backend()
    process, address = await start(tmp_path, backend)
    config_path = tmp_path / "config.json"
    stated = json.loads(config_path.read_text())
    at = await Watch(script).start()
    for text in ("{", json.dumps(stated | {"discovery": f"{at[0]}:{at[1]}"})):
        config_path.write_text(text)
        process.send_signal(signal.SIGHUP)
        await said(process, b"configuration")
    assert await moved.get() == "watched"
    client = await Client.open(address)
    assert await client.ask(resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")) == b"ok"
    process.send_signal(signal.SIGTERM)
    client.writer.close()
    assert await process.wait() == 0


async def test_sighup_during_start_is_handled_once_started(tmp_path: Path) -> None:
    """It comes while the configuration is read, which is replaced meanwhile; what counts is the new one."""

    moved = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        moved.set()
        await asyncio.Event().wait()

    at, listen = await Watch(script).start(), refusing_address()
    old, path = config(listen=f"{HOST}:{listen[1]}"), tmp_path / "config.json"
    os.mkfifo(path)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.proxy",
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    with await asyncio.to_thread(path.open, "w") as first:  # opens once the program reads it
        process.send_signal(signal.SIGHUP)
        new = tmp_path / "new.json"
        new.write_text(json.dumps(old | {"discovery": f"{at[0]}:{at[1]}"}))
        new.replace(path)
        first.write(json.dumps(old))
    await said(process, b"read the configuration again")
    await moved.wait()
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


def test_run_command_ignores_sighup() -> None:
    """Until the program itself has its first turn."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    probe = command.replace(".venv/bin/python -m orchidhatch.proxy", "grep SigIgn /proc/self/status")
    assert probe != command
    shown = subprocess.run(["/bin/sh", "-c", probe], capture_output=True, text=True, check=True, timeout=60)
    assert int(shown.stdout.split()[1], 16) >> (signal.SIGHUP - 1) & 1


async def test_address_in_use_is_one_plain_line(tmp_path: Path) -> None:
    taken = await Backend().start()
    values = config(listen=f"{HOST}:{taken[1]}")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.proxy",
        cwd=ROOT,
        env={**os.environ, **write(tmp_path, values)},
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode == 1
    assert b"orchidhatch: cannot start: " in errors and b"Traceback" not in errors


async def test_clients_leave_descriptors_to_backends_and_management(tmp_path: Path) -> None:
    """Also where the system allows fewer than the configuration says."""

    backend, calls = Backend(), refusing_address()
    process, address = await start(tmp_path, backend, limit=128, management=f"{HOST}:{calls[1]}")
    crowd = [await Client.open(address) for _ in range(150)]
    last = crowd[-1]
    assert await last.ask(resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")) == b"ok"
    reader, writer = await asyncio.open_connection(*calls)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    text = (await reader.read()).decode()
    assert "\nproxy_descriptors_limit 128\n" in text and "\nproxy_out_of_descriptors_total 0\n" in text
    for client in crowd:
        client.writer.close()
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def test_lack_of_descriptors_is_logged_and_survived(tmp_path: Path) -> None:
    process, address = await start(tmp_path, Backend(), limit=1024)
    client = await Client.open(address)
    request = "c=read,t=team,d=1500"
    assert await client.ask(resp("PING")) == b"PONG"  # it has been accepted
    used = set(map(int, os.listdir(f"/proc/{process.pid}/fd")))
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (min(set(range(1024)) - used), 1024))
    assert str(await client.ask(resp("SVC.QUERY", CUSTOMER, "a1", request))).startswith("-BUSY")
    await said(process, b"out of descriptors")
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (1024, 1024))
    answer, number = None, 2
    while answer != b"ok":  # once the backend is tried again
        answer = await client.ask(resp("SVC.QUERY", CUSTOMER, f"a{number}", request))
        number += 1
    process.send_signal(signal.SIGTERM)
    client.writer.close()
    assert await process.wait() == 0
