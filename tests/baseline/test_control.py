"""The registry and the agent over the files that version 76db265 stored, against the answers it gave."""

import contextlib
import http.client
import json
import os
import re
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.baseline.decoding import FOLDER, read

ROOT = Path(__file__).parents[2]
HOST = f"127.0.0.{1 + int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])}"
STORE_HEADER = {"Orchidhatch-Store": "00112233aabbccdd 3"}
VOLATILE = {"ageMs", "listAgeSeconds", "registry"}  # differ from one run to the next
UNTIL_READY_S = 20.0
LISTENING_LINE = re.compile(rf"(?:serves generation|agent started).*\b{re.escape(HOST)}:(\d+)\b.*\n")


@contextlib.contextmanager
def serving(*command: str) -> Iterator[int]:
    """A process that serves to the end of the block, at a port of its own choice; its log is printed."""
    words = [word.format(listen=f"{HOST}:0") for word in command]
    with tempfile.NamedTemporaryFile() as log:
        process = subprocess.Popen([sys.executable, "-m", *words], cwd=ROOT, stderr=log, stdout=log)
        try:
            yield listening_port(process, Path(log.name))
            assert process.poll() is None
        finally:
            process.terminate()
            status = process.wait(10.0)
            print(f"exit status {status}, log:", Path(log.name).read_text(), sep="\n")
    assert status == 0


def listening_port(process: subprocess.Popen[bytes], log: Path) -> int:
    """The port that a process says it listens at, once it does."""
    until = time.monotonic() + UNTIL_READY_S
    while time.monotonic() < until and process.poll() is None:
        if found := LISTENING_LINE.search(log.read_text()):
            return int(found[1])
        time.sleep(0.05)
    raise AssertionError(f"no port in the log, exit status {process.poll()}")


def ask(port: int, method: str, path: str, value: object) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(HOST, port, timeout=20.0)
    try:
        body = value if isinstance(value, str) else None if value is None else json.dumps(value)
        connection.request(method, path, body, STORE_HEADER if "watch" in path else {})
        answer = connection.getresponse()
        text = answer.readline() if "watch" in path else answer.read()
        return answer.status, json.loads(text) if text.startswith((b"{", b"[")) else text.decode()
    finally:
        connection.close()


def steady(value: Any) -> Any:  # noqa: ANN401 - JSON
    """Without the values that differ from one run to the next."""
    if isinstance(value, dict):
        return {key: steady(item) for key, item in value.items() if key not in VOLATILE}
    return [steady(item) for item in value] if isinstance(value, list) else value


def assert_answers(port: int, name: str) -> None:
    """Each recorded call gives the recorded status, and where it succeeded the recorded value."""
    for method, path, value, status, recorded in read(f"{name}-answers.json"):
        found_status, found = ask(port, method, path, value)
        assert found_status == status, (method, path, value, found)
        if status < 400:
            assert steady(found) == steady(recorded), (method, path)


def test_registry_over_a_recorded_store_answers_as_recorded(tmp_path: Path) -> None:
    store = shutil.copyfile(FOLDER / "registry.db", tmp_path / "registry.db")
    with serving("orchidhatch.registry", "--listen", "{listen}", "--store", str(store)) as port:
        assert_answers(port, "registry")


def test_agent_over_a_recorded_cache_answers_as_recorded(tmp_path: Path) -> None:
    cache = shutil.copyfile(FOLDER / "agent.db", tmp_path / "agent.db")
    words = ("--cache", str(cache), "--registry", f"{HOST}:1", "--door", f"{HOST}:1")
    with serving("orchidhatch.agent", "--listen", "{listen}", *words) as port:
        assert_answers(port, "agent")


@pytest.mark.parametrize("name", ["registry", "agent"])
def test_recorded_files_hold_what_was_recorded_of_them(name: str) -> None:
    """The recording itself: the values that the old version had in memory are what its file holds."""
    recorded = read(f"{name}.json")
    db = sqlite3.connect(f"file:{FOLDER / name}.db?mode=ro&immutable=1", uri=True)
    with contextlib.closing(db):
        rows = {key: json.loads(text) for key, text in db.execute("SELECT id, record FROM entries")}
        assert rows == recorded["entries"]
        if name == "registry":
            for kind, values in (("session", "sessions"), ("claim", "claims"), ("record", "records")):
                stored = db.execute("SELECT name, record FROM book WHERE kind = ?", (kind,))
                assert {key: json.loads(text) for key, text in stored} == recorded[values]
