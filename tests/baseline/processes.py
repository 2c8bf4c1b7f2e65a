"""Processes of two versions side by side: this one, and 76db265 taken from the repository's own history."""

import http.client
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
BASELINE = "76db265"
HOST = f"127.0.0.{1 + int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])}"
PATIENCE_S = 60.0  # what only a hang takes
PROXY_MODULES = {"old": "molereach", "new": "orchidhatch.proxy"}


def extract_baseline(folder: Path) -> Path:
    """The files of the old version; its packages only."""
    packages = ["fennelwinch", "molereach", "orchidhatch"]
    packed = subprocess.run(
        ["git", "archive", BASELINE, *packages], cwd=ROOT, capture_output=True, check=True
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=packed.stdout, check=True)
    return folder


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def until(condition: Callable[[], Any]) -> Any:  # noqa: ANN401 - what the condition gives
    """Ask again and again until the condition holds; what it gives then."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        if found := condition():
            return found
        time.sleep(0.05)
    raise TimeoutError(f"not so within {PATIENCE_S:g} s")


def ask(port: int, method: str, path: str, value: object = None) -> tuple[int, Any]:
    """Status and value of one call; status 0 where nobody answers."""
    connection = http.client.HTTPConnection(HOST, port, timeout=5.0)
    try:
        connection.request(method, path, None if value is None else json.dumps(value))
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text.startswith((b"{", b"[")) else text.decode()
    except OSError as error:
        return 0, str(error)
    finally:
        connection.close()


class Processes:
    """The processes of one test, each of a version named "old" or "new"; all are ended by `close`."""

    def __init__(self, folder: Path, old_tree: Path) -> None:
        self.folder = folder
        self.trees = {"old": old_tree, "new": ROOT}
        self.running: list[subprocess.Popen[bytes]] = []

    def start(self, version: str, module: str, *words: object, **more: Any) -> subprocess.Popen[bytes]:  # noqa: ANN401
        log = (self.folder / f"{len(self.running)}-{version}-{module}.log").open("wb")
        with log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, words)],
                cwd=self.trees[version],
                stdout=log,
                stderr=log,
                **more,
            )
        self.running.append(process)
        return process

    def run(self, version: str, module: str, *words: object) -> str:
        """A command that ends by itself with status 0; what it printed."""
        done = subprocess.run(
            [sys.executable, "-m", module, *map(str, words)],
            cwd=self.trees[version],
            capture_output=True,
            text=True,
            check=False,
            timeout=PATIENCE_S,
        )
        assert done.returncode == 0, done.stdout + done.stderr
        return done.stdout

    def start_registry(self, version: str, store: str, port: int, *words: object) -> subprocess.Popen[bytes]:
        path = self.folder / store
        process = self.start(
            version, "orchidhatch.registry", "--listen", f"{HOST}:{port}", "--store", path, *words
        )
        until(lambda: ask(port, "GET", "/term")[0] == 200)
        return process

    def start_agent(self, version: str, registries: list[int], *words: object) -> int:
        port = free_port()
        known = [word for registry in registries for word in ("--registry", f"{HOST}:{registry}")]
        cache = self.folder / f"agent-{port}.db"
        self.start(
            version, "orchidhatch.agent", "--listen", f"{HOST}:{port}", *known, "--cache", cache, *words
        )
        until(lambda: ask(port, "GET", "/catalog/members")[0] == 200)
        return port

    def end(self, process: subprocess.Popen[bytes]) -> None:
        process.terminate()
        process.wait(PATIENCE_S)

    def close(self) -> None:
        for process in self.running:
            if process.poll() is None:
                process.kill()
            process.wait(PATIENCE_S)
