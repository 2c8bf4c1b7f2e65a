"""Signalling the gateway's process, and no other that has its number."""

import asyncio
import signal
import sys
from pathlib import Path

from orchidhatch.control.agent.gateway_process import GatewayProcess

WAIT_FOR_SIGNAL = "import signal, sys; print(flush=True); signal.pause()"
UNUSED_PROCESS_NUMBER = 1 << 22


async def test_reload_signals_no_other_process(tmp_path: Path) -> None:
    config_file = tmp_path / "config.json"
    pid_file = tmp_path / "pid"
    gateway = GatewayProcess(pid_file, config_file)
    for own in (False, True):
        env = {"PROXY_CONFIG": str(config_file if own else tmp_path / "other.json")}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", WAIT_FOR_SIGNAL, env=env, stdout=asyncio.subprocess.PIPE
        )
        await process.stdout.readline()
        pid_file.write_text(str(process.pid))
        gateway.reload()
        if own:
            assert await process.wait() == -signal.SIGHUP
        else:
            process.kill()
            assert await process.wait() == -signal.SIGKILL
    for text in ("", "x", str(UNUSED_PROCESS_NUMBER)):
        pid_file.write_text(text)
        gateway.reload()  # nobody


async def test_management_address_is_that_of_the_process(tmp_path: Path) -> None:
    """Guards against an agent that goes on calling a process that was replaced (review case 10)."""
    config_file = tmp_path / "config.json"
    pid_file = tmp_path / "pid"
    gateway = GatewayProcess(pid_file, config_file)
    assert gateway.management_address() is None
    for config, management, expected in (
        (config_file, "127.0.0.1:9001", ("127.0.0.1", 9001)),
        (config_file, "nowhere", None),
        (config_file, None, None),
        (tmp_path / "other.json", "127.0.0.1:9001", None),
    ):
        env = {"PROXY_CONFIG": str(config)} | ({"PROXY_MANAGEMENT": management} if management else {})
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", WAIT_FOR_SIGNAL, env=env, stdout=asyncio.subprocess.PIPE
        )
        await process.stdout.readline()
        pid_file.write_text(str(process.pid))
        assert gateway.management_address() == expected
        process.kill()
        await process.wait()
        assert gateway.management_address() is None
