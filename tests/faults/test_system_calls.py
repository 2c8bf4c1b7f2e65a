"""The preloaded library of failing system calls, in a process of its own; skipped where no compiler is."""

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from orchidhatch.faults.system_calls import ShimControl, Slot, build_shim
from tests.gateway_config import write_gateway_config
from tests.sockets import HOST

ALL = 1000  # thousandths
ROOT = Path(__file__).parents[2]


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    built = build_shim(tmp_path_factory.mktemp("shim"))
    if built is None:
        pytest.skip("there is no C compiler on this machine, so no system call can be made to fail")
    return built


def run_python(library: Path, control: ShimControl, code: str) -> str:
    env = {**os.environ, **control.environment(library)}
    done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=30)
    assert done.returncode == 0, done.stderr
    return done.stdout.strip()


@pytest.mark.parametrize(
    ("slot", "code", "names"),
    [
        (
            Slot.SOCKET,
            "import errno, socket\ntry: socket.socket()\n"
            "except OSError as e: print(errno.errorcode[e.errno])",
            {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"},
        ),
        (
            Slot.CONNECT,
            "import errno, socket\ns = socket.socket()\n"
            "print(errno.errorcode[s.connect_ex(('127.0.0.1', 9))])",
            {"EADDRNOTAVAIL", "ENETUNREACH", "ECONNABORTED", "ENOBUFS"},
        ),
        (
            Slot.DISK,
            "import os, tempfile, errno\nf = tempfile.TemporaryFile()\n"
            "try: os.pwrite(f.fileno(), b'xy', 0)\nexcept OSError as e: print(errno.errorcode[e.errno])",
            {"ENOSPC", "EIO"},
        ),
    ],
    ids=lambda value: value.name if isinstance(value, Slot) else "",
)
def test_calls_fail_as_documented_and_are_counted(
    library: Path, tmp_path: Path, slot: Slot, code: str, names: set[str]
) -> None:
    control = ShimControl(tmp_path / "control", 7)
    control.set(slot, ALL)
    assert run_python(library, control, code) in names
    assert control.injected(slot) == 1


def test_reads_and_writes_of_streams_are_short(library: Path, tmp_path: Path) -> None:
    code = (
        "import os, socket\na, b = socket.socketpair()\nsent = os.write(a.fileno(), b'x' * 1000)\n"
        "a.setblocking(False); b.setblocking(False)\nprint(sent, len(os.read(b.fileno(), 1000)))"
    )
    control = ShimControl(tmp_path / "control", 7)
    control.set(Slot.SHORT_IO, ALL)
    sent, read = map(int, run_python(library, control, code).split())
    assert 1 <= read <= sent <= 64


def test_the_wall_clock_steps_and_the_monotonic_one_runs_on(library: Path, tmp_path: Path) -> None:
    code = "import time\nprint(int(time.time()), int(time.monotonic()))"
    plain, stepped = ShimControl(tmp_path / "plain", 7), ShimControl(tmp_path / "stepped", 7)
    stepped.set(Slot.WALL_STEP_MS, -3_600_000)
    wall, monotonic = map(int, run_python(library, plain, code).split())
    stepped_wall, stepped_monotonic = map(int, run_python(library, stepped, code).split())
    assert 0 <= stepped_wall + 3600 - wall < 30 and 0 <= stepped_monotonic - monotonic < 30


def test_without_a_share_nothing_fails(library: Path, tmp_path: Path) -> None:
    control = ShimControl(tmp_path / "control", 7)
    assert run_python(library, control, "import socket; socket.socket().close(); print('whole')") == "whole"
    assert not any(control.injected(slot) for slot in Slot)


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind((HOST, 0))
        return found.getsockname()[1]


async def answer_to_ping(port: int) -> bytes:
    """The gateway's answer, once it listens; the test's own bound ends the wait."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        try:
            return await reader.readline()
        finally:
            writer.close()


async def test_gateway_starts_and_serves_although_socket_calls_fail_for_a_moment(
    library: Path, tmp_path: Path
) -> None:
    """Listening for clients, for peers and for calls: none ends the start, and none is passed over."""
    control = ShimControl(tmp_path / "control", 5)
    control.set(Slot.SOCKET, 700)
    listen, peers, management = (free_port(socket.SOCK_STREAM) for _ in range(3))
    path = write_gateway_config(
        tmp_path,
        listen=f"{HOST}:{listen}",
        peer_listen=f"{HOST}:{peers}",
        peers=[f"{HOST}:{peers}"],
        management=f"{HOST}:{management}",
    )
    values = json.loads(path.read_text())
    values["settings"]["ceilings"] = {"peers": True}
    path.write_text(json.dumps(values))
    env = {**os.environ, **control.environment(library), "PROXY_CONFIG": str(path)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "orchidhatch.proxy", cwd=ROOT, env=env, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        waits = [asyncio.ensure_future(answer_to_ping(listen)), asyncio.ensure_future(process.wait())]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        assert process.returncode is None and waits[0].result() == b"+PONG\r\n"
        assert control.injected(Slot.SOCKET) > 0
        _, writer = await asyncio.open_connection(HOST, management)
        writer.close()
        datagrams = Path("/proc/net/udp").read_text()
        assert f":{peers:04X} " in datagrams
    finally:
        process.kill()
        await process.wait()
