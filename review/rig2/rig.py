"""Starts the project's programs, stands in for backends and clients, and records what happens.

Everything runs on loopback addresses with free ports, in a temporary folder; `Rig.close` ends every process
that was started. Times in the record are seconds since the rig's start.
"""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PYTHON = str(ROOT / ".venv-control/bin/python")
HOST = "127.0.0.1"
INHERITED_DESCRIPTOR = 4
MAX_RUN_S = 110.0
# What a script ends with; `run.sh` makes a 1 of BROKEN. Python itself ends with 1 on an error of the script.
BROKEN = 10
HELD = 0
CANNOT_RUN = 2
GRACE_S = 0.5 + 0.05
"""How long after its time a request may be answered: `grace-to-answer-us`, and the slack on sockets."""


class CannotRunError(Exception):
    """The case could not be carried out; this says nothing about the rule."""


def has_trouble() -> bool:
    """Return whether the disruption is to be carried out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def http_call(
    port: int, method: str, path: str, body: object = None, timeout_s: float = 3.0
) -> tuple[int, Any]:
    """Make one HTTP call and return its status and value; status 0 if there was no answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


class Rig:
    """The processes, the temporary folder and the record of one run."""

    def __init__(self, case_folder: Path) -> None:
        self.record_file = (case_folder / "record.txt").open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.started_s = time.monotonic()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.writers: set[asyncio.StreamWriter] = set()

    def now(self) -> float:
        """Return the seconds since the rig's start."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self.record_file.write(f"{self.now():9.3f} {text}\n")
        self.record_file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)

    # --- processes ---

    def start(
        self,
        name: str,
        command: Sequence[str],
        env: dict[str, str] | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        """Start a process in a session of its own; its output goes to a log in the folder.

        It inherits a socket as descriptor 4, if one is given.
        """

        def inherit() -> None:
            if inherited is not None:
                os.dup2(inherited.fileno(), INHERITED_DESCRIPTOR)

        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            list(command),
            cwd=ROOT,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
            pass_fds=() if inherited is None else (INHERITED_DESCRIPTOR,),
            preexec_fn=inherit,
        )
        log.close()
        self.note(f"start {name} pid={self.processes[name].pid}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        self.note(f"signal {name} {number.name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def log_text(self, name: str) -> str:
        """Return what a process has written so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
                process.wait()
        for log in sorted(self.folder.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()
            self.record_file.write(f"--- the last lines of {log.name}\n")
            self.record_file.writelines(f"{line[:300]}\n" for line in lines[-25:])
        self.record_file.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- the project's programs ---

    def start_registry(self, name: str, port: int, *more: str) -> None:
        """Start a registry as the README says."""
        store = str(self.folder / f"{name}.db")
        listen = f"{HOST}:{port}"
        self.start(
            name,
            [CONTROL_PYTHON, "-m", "orchidhatch.registry", "--listen", listen, "--store", store, *more],
        )

    def start_agent(self, name: str, port: int, registries: Sequence[int], *more: str) -> None:
        """Start an agent as the README says."""
        command = [CONTROL_PYTHON, "-m", "orchidhatch.agent", "--listen", f"{HOST}:{port}"]
        for registry in registries:
            command += ["--registry", f"{HOST}:{registry}"]
        self.start(name, [*command, "--cache", str(self.folder / f"{name}.db"), *more])

    def write_config(self, name: str, config: dict[str, Any]) -> Path:
        """Write a gateway's configuration file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({"name": name, **config}))
        return path

    def start_gateway(
        self, name: str, config: Path, inherited: socket.socket | None = None, **env: str
    ) -> None:
        """Start a gateway by the deploy file, and write its process id beside its configuration."""
        folder = config.with_suffix(".tmp")
        folder.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        more = {"PROXY_CONFIG": str(config), "TMPDIR": str(folder), **env}
        if inherited is not None:
            more["PROXY_SOCKET_FD"] = str(INHERITED_DESCRIPTOR)
        self.start(name, ["/bin/sh", "-c", command], more, inherited)
        config.with_suffix(".pid").write_text(str(self.processes[name].pid))

    @staticmethod
    def keeping(config: Path, management: int) -> list[str]:
        """Return the agent's options with which it keeps a gateway to the policy in force."""
        check = f"{ROOT}/.venv/bin/python -m orchidhatch.proxy --check"
        options = {
            "--door": f"{HOST}:{management}",
            "--name": config.stem,
            "--zone": "hall-a",
            "--check": check,
        }
        options |= {"--config": str(config), "--pid": str(config.with_suffix(".pid"))}
        return [word for pair in options.items() for word in pair]

    async def wait_http(self, port: int, path: str = "/healthcheck", timeout_s: float = 20.0) -> None:
        """Wait until a call is answered with 200."""
        await self.wait_until(
            lambda: asyncio.to_thread(lambda: http_call(port, "GET", path)[0] == 200),
            f"{port}{path}",
            timeout_s,
        )

    async def wait_until(
        self, holds: Callable[[], Awaitable[bool]], what: str, timeout_s: float = 20.0
    ) -> None:
        """Wait until a condition holds. Raises CannotRunError if it does not in time."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if await holds():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"not in time: {what}")

    async def call(self, port: int, method: str, path: str, body: object = None) -> tuple[int, Any]:
        """Make an HTTP call and record it with its answer."""
        status, value = await asyncio.to_thread(http_call, port, method, path, body)
        self.note(f"call {method} {port}{path} {json.dumps(body)} -> {status} {str(value)[:200]}")
        return status, value


# --- stand-ins ---


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one RESP command."""
    header = await reader.readuntil(b"\r\n")
    arguments = []
    for _ in range(int(header[1:])):
        size = await reader.readuntil(b"\r\n")
        arguments.append((await reader.readexactly(int(size[1:]) + 2))[:-2])
    return arguments


def encode_command(*arguments: str) -> bytes:
    """Return a RESP command."""
    parts = [f"${len(argument)}\r\n{argument}\r\n" for argument in arguments]
    return f"*{len(arguments)}\r\n{''.join(parts)}".encode()


@dataclass
class Attempt:
    """A command that has arrived whole at a backend."""

    at_s: float
    backend: str
    id: str


class Backend:
    """A sound search node: it answers each command after its work, in order."""

    def __init__(self, rig: Rig, name: str, work_s: float = 0.02) -> None:
        self.rig = rig
        self.name = name
        self.work_s = work_s
        self.port = 0
        self.attempts: list[Attempt] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.rig.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                writer.write(await self.answer(await read_command(reader)))
                await writer.drain()
        self.rig.writers.discard(writer)
        writer.close()

    async def answer(self, arguments: list[bytes]) -> bytes:
        """Return the answer to a command, after its work."""
        name = arguments[0].upper()
        if name == b"PING":
            return b"+PONG\r\n"
        if name in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if name not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            return b"-NOPERM\r\n" if name == b"INFO" else b"-ERR unknown\r\n"
        id_ = arguments[2].decode()
        self.attempts.append(Attempt(self.rig.now(), self.name, id_))
        self.rig.note(f"run {id_} at {self.name}")
        await asyncio.sleep(self.work_s)
        value = f"{self.name}:{id_}"
        return f"*3\r\n${len(value)}\r\n{value}\r\n$-1\r\n$-1\r\n".encode()

    def entry(self, lifecycle: str = "SERVING") -> dict[str, Any]:
        """Return the backend as it registers."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "hall-a",
            "machineType": "std-2c",
            "lifecycle": lifecycle,
        }


class Discovery:
    """A sound discovery: each watch gets the whole list, then changes, and an empty line every 2 s."""

    def __init__(self, rig: Rig, entries: Sequence[dict[str, Any]]) -> None:
        self.rig = rig
        self.entries = list(entries)
        self.generation = 41
        self.port = 0
        self.server: asyncio.Server | None = None
        self.watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch until it ends."""
        self.rig.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.tell(writer, self.entries, reset=True)
            self.watches.add(writer)
            while not reader.at_eof():
                await asyncio.sleep(2)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        self.watches.discard(writer)
        self.rig.writers.discard(writer)
        writer.close()

    def tell(self, writer: asyncio.StreamWriter, entries: Sequence[dict[str, Any]], reset: bool) -> None:
        """Write one line of a watch."""
        line = json.dumps({"generation": self.generation, "reset": reset, "instances": list(entries)}) + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
        self.rig.note(f"told {line[:300].strip()}")

    def change(self, *entries: dict[str, Any]) -> None:
        """Tell all watches a change."""
        self.generation += 1
        names = {entry["instanceId"] for entry in entries}
        kept = [entry for entry in self.entries if entry["instanceId"] not in names]
        self.entries = kept + [entry for entry in entries if entry["lifecycle"] != "DELETED"]
        for writer in self.watches:
            self.tell(writer, entries, reset=False)


class Client:
    """A sound client of one gateway: it keeps its connections and opens more when all are busy."""

    ids = itertools.count(1)

    def __init__(self, rig: Rig, port: int, name: str = "client") -> None:
        self.rig = rig
        self.port = port
        self.name = name
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: list[tuple[float, str, str]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def request(self, class_name: str = "job-search", plan: str = "stor", wait_ms: int = 2000) -> str:
        """Send a request and return `served`, `refused`, `failed` or `lost`."""
        id_ = f"r{next(self.ids)}x{os.getpid()}"
        sent_s = self.rig.now()
        fields = f"c={class_name},t={plan},d={wait_ms},units=1,spread=1,first=0"
        data = encode_command("SVC.QUERY", "00000000b4d65521", id_, fields)
        self.rig.note(f"sent {id_} by {self.name}")
        try:
            async with asyncio.timeout(wait_ms / 1000 + GRACE_S):
                answer = await self.exchange(data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer = f"lost {type(error).__name__}"
        self.rig.note(f"answer {id_} {answer[:80]}")
        kind = "served" if answer.startswith("$") else "refused" if answer.startswith("-BUSY") else "failed"
        kind = "lost" if answer.startswith("lost") else kind
        self.answers.append((sent_s, id_, kind))
        return kind

    async def exchange(self, data: bytes) -> str:
        """Send a command and return its answer.

        If a kept connection is closed without a byte of the answer, the command is sent once more, on a new
        one.
        """
        while self.idle:
            kept = self.idle.pop()
            if kept[0].at_eof():
                kept[1].close()
                continue
            answer = await self.exchange_on(kept, data)
            if answer:
                return answer
            break
        return await self.exchange_on(await asyncio.open_connection(HOST, self.port), data) or "lost closed"

    async def exchange_on(
        self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], data: bytes
    ) -> str:
        """Send a command on a connection; return "" if it was closed without a byte of the answer."""
        reader, writer = connection
        try:
            writer.write(data)
            try:
                line = (await reader.readuntil(b"\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                if getattr(error, "partial", b""):
                    raise
                writer.close()
                return ""
            if line.startswith("$") and line[1] != "-":
                line += (await reader.readexactly(int(line[1:]) + 2)).decode()
        except BaseException:
            writer.transport.abort()
            raise
        self.idle.append(connection)
        return " ".join(line.split())

    def close(self) -> None:
        """Close the kept connections."""
        for _, writer in self.idle:
            writer.transport.abort()
        self.idle.clear()

    async def load(self, per_s: float, lasts_s: float, plan: str = "stor") -> None:
        """Send requests at a steady rate, without waiting for their answers."""
        begun_s = time.monotonic()
        for number in range(round(per_s * lasts_s)):
            await asyncio.sleep(max(0.0, begun_s + number / per_s - time.monotonic()))
            task = asyncio.ensure_future(self.send_one(plan))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        while self.tasks:
            await asyncio.sleep(0.05)

    async def send_one(self, plan: str) -> None:
        """Send one request of a load."""
        await self.request(plan=plan)

    def counts(self, from_s: float, to_s: float) -> dict[str, int]:
        """Return how requests that were sent in an interval ended."""
        kinds = [kind for sent_s, _, kind in self.answers if from_s <= sent_s < to_s]
        return {kind: kinds.count(kind) for kind in ("served", "refused", "failed", "lost")}


def gateway_config(listen: int, discovery: int, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a gateway's configuration, with one plan, aims and limits of starfatorg-reykjavik."""
    return {
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "me": 0,
            "balancers": 1,
            "zones": ["hall-a", "hall-b", "hall-c"],
            "kinds": ["std-2c"],
            "zone": 0,
            "plans": [{"name": "stor", "units-per-s": 26.0, "burst": 60.0}],
            "categories": [
                {
                    "name": "job-search",
                    "on-time-us": 750_000,
                    "deadline-us": 2_000_000,
                    "idempotency": "read_like",
                    "points": 1.0,
                }
            ],
            "registry-mode": "automatic",
            "ceilings": {
                "max-attempts": 4,
                "conn-idle-us": 30_000_000,
                "connect-timeout-us": 250_000,
                "retry-after": True,
                "max-retry-after-us": 2_000_000,
            },
            "obligations": {
                "grace-to-answer-us": 500_000,
                "drain-grace-us": 250_000,
                "cold-from": 0.16,
                "warm-within-us": 15_000_000,
                "fall-multiple": 3.0,
                "fall-us": 1_500_000,
            },
        },
        **more,
    }


def run_case(file: str, case: Callable[[Rig], Awaitable[int]]) -> None:
    """Run a case and end the process with its result; it is ended early by a signal or after MAX_RUN_S."""
    rig = Rig(Path(file).resolve().parent)

    async def run() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                return await case(rig)
        finally:
            for writer in list(rig.writers):
                writer.transport.abort()
            await asyncio.sleep(0)

    try:
        result = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # no error here breaks a rule
        rig.say(f"cannot run: {type(error).__name__} {error}")
        result = CANNOT_RUN
    finally:
        rig.close()
    sys.exit(result)
