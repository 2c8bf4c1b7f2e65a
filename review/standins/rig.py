"""Starts a gateway by the deploy file's command, beside small stand-ins on loopback addresses.

Only the standard library is used. All ports are free ones, and all files are in a temporary folder.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 2.0
OTHER_ANSWERS = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}
"""A backend's answers to commands that are no requests."""
HELD, BROKEN, NOT_RUN = 0, 10, 2
"""The script's own exit statuses; `run.sh` turns 10 into 1, as Python ends with 1 on any exception."""


class CannotRunError(Exception):
    """The case could not be run on this machine."""


class Record:
    """What was sent, answered and run, in a file with times in milliseconds."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w")
        self.begun_s = time.monotonic()

    def now_ms(self) -> int:
        """Return the milliseconds since the start of the case."""
        return round((time.monotonic() - self.begun_s) * 1000)

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now_ms():7d} ms  {text}\n")
        self.file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def resp(*words: bytes) -> bytes:
    """Return a command in the form that clients send."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the next whole command. Raises IncompleteReadError at the end of the stream."""
    head = await reader.readuntil(b"\r\n")
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return one whole answer: a value, or a line from its first byte on.

    Raises IncompleteReadError or OSError if the connection ends before it.
    """
    line = await reader.readuntil(b"\r\n")
    if not line.startswith(b"$"):
        return line.strip()
    return (await reader.readexactly(int(line[1:]) + 2))[:-2]


def fields_of(words: list[bytes]) -> dict[str, str]:
    """Return the names and values of a request's list."""
    return dict(part.split("=", 1) for part in words[3].decode().split(","))


class Backend:
    """A search node in the protocol page's form: `serve` writes what comes back for a command.

    Each command that arrived whole is recorded.
    """

    def __init__(
        self, name: str, record: Record, serve: Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        self.name = name
        self.record = record
        self.serve = serve
        self.port = 0
        self.arrived: list[tuple[int, str]] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> "Backend":
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._connection, HOST, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            while True:
                words = await read_command(reader)
                name = words[0].upper()
                if not name.startswith(b"SVC."):
                    writer.write(OTHER_ANSWERS.get(name, b"-ERR unknown command\r\n"))
                    continue
                self.arrived.append((self.record.now_ms(), words[2].decode()))
                self.record.note(
                    f"{self.name} got {name.decode()} id={words[2].decode()} {words[3].decode()}"
                )
                await self.serve(words, writer)
        self.writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()


def value_for(request_id: bytes, size: int = 0) -> bytes:
    """Return the value that a backend makes for a request; `size` is its length, if it is longer."""
    value = b"for " + request_id + b" "
    return (value * (1 + size // len(value)))[: max(size, len(value))]


def answer_to(words: list[bytes], size: int = 0) -> bytes:
    """Return the answer to a request: an array of its value, no figures and no report."""
    value = value_for(words[2], size)
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


class Discovery:
    """The agent on the gateway's machine: it pushes the list, and an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.generation = 40
        self.entries: dict[str, dict[str, Any]] = {}
        self.zone = "hall-a"
        self.kind = "std-2c"
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> "Discovery":
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._connection, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, backend: Backend, lifecycle: str = "SERVING") -> dict[str, Any]:
        """Return the list's entry of a backend."""
        return {
            "instanceId": backend.name,
            "hostPort": f"{HOST}:{backend.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def set(self, *entries: dict[str, Any]) -> None:
        """Change entries, and tell all watches."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.record.note(f"discovery: {entry['instanceId']} is {entry['lifecycle']}")
        change = {"generation": self.generation, "reset": False, "instances": list(entries)}
        for writer in self.writers:
            self._line(writer, json.dumps(change).encode())

    @staticmethod
    def _line(writer: asyncio.StreamWriter, line: bytes) -> None:
        data = line + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            head = await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.listing()).encode()
            if b"watch=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            self._line(writer, body)
            self.writers.add(writer)
            while not reader.at_eof():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), HEARTBEAT_S)
                self._line(writer, b"")
        self.writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()


class Gateway:
    """A process that the deploy file's `run` starts."""

    def __init__(self, record: Record, folder: Path, name: str = "n0") -> None:
        self.record = record
        self.folder = folder
        self.name = name
        self.port = free_port()
        self.management_port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.pid = 0

    def write_config(self, discovery: Discovery, settings: dict[str, Any], **more: object) -> None:
        """Write the configuration file."""
        values = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
            "management": f"{HOST}:{self.management_port}",
            "known": discovery.listing(),
            "settings": settings,
            **more,
        }
        self.folder.mkdir(exist_ok=True, parents=True)
        temporary = self.folder / f"{self.name}.new"
        temporary.write_text(json.dumps(values))
        temporary.replace(self.folder / f"{self.name}.json")

    async def start(self, is_ready: bool = True, fds: tuple[int, ...] = (), **env: str) -> "Gateway":
        """Start the process; wait until PING is answered, if `is_ready`."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True, parents=True)
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(scratch),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_CONFIG": str(self.folder / f"{self.name}.json"),
            **env,
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=fds
        )
        self.pid = self.process.pid
        self.record.note(f"{self.name} started")
        if is_ready:
            await self.wait_ready()
        return self

    async def wait_ready(self) -> None:
        """Wait until PING is answered with +PONG. Raises CannotRunError after 20 s."""
        for _ in range(400):
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(resp(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if line == b"+PONG\r\n":
                    self.record.note(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} does not get ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.record.note(f"{self.name} is sent {number.name}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


def memory_mb(pid: int) -> float:
    """Return a process's own resident memory in MB, without file pages such as those of libraries."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"RssAnon:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


async def management(port: int, method: str, path: str, wait_s: float = 2) -> int:
    """Make a call to a gateway's management address; return the status."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n".encode())
    line = await asyncio.wait_for(reader.readline(), wait_s)
    writer.close()
    found = re.match(rb"HTTP/1\.1 (\d+)", line)
    return int(found[1]) if found else 0


def site_settings(index: int = 0, count: int = 1) -> dict[str, Any]:
    """Return a front door's settings for a small deployment of starfatorg-reykjavik."""
    plans = [
        ("grunnur", 0.75, 3.0, 0, 0.72, 0.0, 0.0, 0.0),
        ("midja", 5.8, 12.0, 2, 1.3, 12.0, 24.0, 2.0),
        ("stor", 20.0, 36.0, 0, 1.6, 0.0, 0.0, 0.0),
    ]
    names = (
        "name",
        "units-per-s",
        "burst",
        "max-out",
        "value-factor",
        "never-over-rate",
        "hard-burst",
        "hard-slack",
    )
    return {
        "balancers": count,
        "me": index,
        "stage": 0,
        "tiers": ["leit-fleet"],
        "zone": 0,
        "zones": ["hall-a", "hall-b", "hall-c"],
        "kinds": ["std-2c"],
        "domain-type": "gate",
        "registry-mode": "automatic",
        "resolution-us": 2000,
        "weight-kind": "off",
        "stats": {"how": "on_probe", "names": ["pending", "busy_reqs"]},
        "clients": {"marks-retry": True},
        "categories": [
            {
                "name": "job-search",
                "deadline-us": 2_000_000,
                "on-time-us": 750_000,
                "idempotency": "read_like",
                "group": "all",
                "window-us": 5_000_000,
                "late-worth": 0.0,
                "points": 1.0,
                "streamed": False,
            }
        ],
        "plans": [
            {**dict(zip(names, plan, strict=True)), "extra-worth": 0.0, "overrun-cost": 0.8} for plan in plans
        ],
        "ceilings": {
            "conn-idle-us": 30_000_000,
            "connect-timeout-us": 250_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400_000,
            "max-attempts": 4,
            "max-open": 20_000,
            "max-retry-after-us": 2_000_000,
            "may-cancel": True,
            "may-probe": True,
            "parallel-tries": False,
            "peers": True,
            "retry-after": True,
            "streams-per-conn": 100,
        },
        "extra": {
            "counter": False,
            "count-fee": 0.01,
            "count-wait-us": 30_000,
            "largest": 1,
            "mail-per-s": 40.0,
            "trued-up": False,
            "use-period-us": 0,
        },
        "obligations": {
            "ask-within-us": 10_000_000,
            "cold-from": 0.16,
            "drain-grace-us": 250_000,
            "fall-multiple": 3.0,
            "fall-us": 1_500_000,
            "grace-to-answer-us": 8_000,
            "warm-within-us": 15_000_000,
        },
        "prices": {"cross-zone": 0.01, "late-fail": 0.03, "peer": 0.02, "probe": 0.01, "waste": 0.08},
    }


def query(request_id: str, customer: int = 0xB4D65521, wait_ms: int = 2000, plan: str = "stor") -> bytes:
    """Return a request of the class that is safe to repeat."""
    fields = f"c=job-search,t={plan},d={wait_ms},units=1,spread=1,first=0"
    return resp(b"SVC.QUERY", b"%016x" % customer, request_id.encode(), fields.encode())


def trouble() -> bool:
    """Return whether the case has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Record, Path], Coroutine[Any, Any, bool]], limit_s: float = 110) -> None:
    """Run a case that returns whether the rule held, and exit with its status."""
    record = Record(Path(sys.argv[1]) / "record.txt")
    status = NOT_RUN

    async def bounded(folder: Path) -> bool:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, folder)

    with tempfile.TemporaryDirectory() as name:
        try:
            status = HELD if asyncio.run(bounded(Path(name))) else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            record.note(f"cannot run: {error!r}")
        if os.environ.get("KEEP_LOGS"):
            for log in Path(name).glob("*.log"):
                record.note(f"--- {log.name}\n{log.read_text(errors='replace')[-20000:]}")
    text = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status]
    record.note(text)
    print(text)
    sys.exit(status)
