"""What the processes of a trial did: lines with the machine's monotonic time, gathered into SQLite."""

import os
import re
import sqlite3
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

EVENT_TABLE = """
CREATE TABLE events (
  at_ns INTEGER NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL, about TEXT NOT NULL, told TEXT NOT NULL
) STRICT;
"""
Payload = dict[str, Any]
"""What an event says beside who did what with whom, as JSON."""
ADMITTED = re.compile(r"request (\S+) (\w+) by policy (\S+), taken at (\d+) us")
GUARD = re.compile(r"guard refused reason=(\S+) request=(\S+) at (\d+) us")
DRAINED = re.compile(r"takes (no new clients|clients again), by call, at (\d+) us")


class Event(msgspec.Struct, frozen=True, array_like=True):
    """At `at_ns` of the monotonic clock, `who` did `what` with the request, write or process `about`."""

    at_ns: int
    who: str
    what: str
    about: str
    payload: Payload


class Recorder:
    """Writes lines to a file of this process's own, each at once, so that a kill loses none before it."""

    def __init__(self, who: str, folder: Path) -> None:
        self.who = who
        self.encoder = msgspec.json.Encoder()
        path = folder / f"{who}-{os.getpid()}.events"
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def note(self, what: str, about: str, **payload: Any) -> None:  # noqa: ANN401 - whatever JSON holds
        """Record that this process did `what` with `about` now."""
        event = Event(time.monotonic_ns(), self.who, what, about, payload)
        os.write(self.descriptor, self.encoder.encode(event) + b"\n")

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)


def read(folder: Path) -> Iterator[Event]:
    """All events of a trial's folder; a last line that a kill cut short is left out."""
    decoder = msgspec.json.Decoder(Event)
    for path in sorted(folder.glob("*.events")):
        for line in path.read_bytes().split(b"\n")[:-1]:
            yield decoder.decode(line)
    for path in sorted(folder.glob("door-*/log")):
        yield from read_log(path.parent.name, path)


def read_log(gateway: str, path: Path) -> Iterator[Event]:
    """The events in a gateway's own log: admissions by policy, guard refusals, begin and end of a drain."""
    with path.open(errors="replace") as lines:
        for line in lines:
            event = read_log_line(gateway, line)
            if event:
                yield event


def read_log_line(gateway: str, line: str) -> Event | None:
    """The event that a line of a gateway's log records, if any."""
    admitted = ADMITTED.search(line)
    if admitted:
        payload = {"how": admitted[2], "policy": admitted[3]}
        return Event(int(admitted[4]) * 1000, gateway, "let-in", admitted[1], payload)
    refused = GUARD.search(line)
    if refused:
        return Event(int(refused[3]) * 1000, gateway, "guard", refused[2], {"reason": refused[1]})
    drained = DRAINED.search(line)
    if drained:
        what = "emptied" if drained[1].startswith("no") else "filled"
        return Event(int(drained[2]) * 1000, gateway, what, gateway, {})
    return None


def gather(folder: Path, into: Path) -> sqlite3.Connection:
    """Write all events of a folder into one SQLite file, in the order of time."""
    into.unlink(missing_ok=True)
    db = sqlite3.connect(into, isolation_level=None)
    db.executescript(EVENT_TABLE)
    rows = [
        (event.at_ns, event.who, event.what, event.about, msgspec.json.encode(event.payload).decode())
        for event in sorted(read(folder), key=lambda event: event.at_ns)
    ]
    db.execute("BEGIN")
    db.executemany("INSERT INTO events VALUES (?, ?, ?, ?, ?)", rows)
    db.execute("CREATE INDEX by_what ON events (what, at_ns)")
    db.execute("CREATE INDEX by_about ON events (about, at_ns)")
    db.execute("COMMIT")
    return db


def of(db: sqlite3.Connection, *kinds: str) -> list[Event]:
    """The events of these kinds, in the order of time."""
    marks = ", ".join("?" * len(kinds))
    found = db.execute(f"SELECT * FROM events WHERE what IN ({marks}) ORDER BY at_ns, rowid", kinds)
    return list(rows(found))


def rows(found: Iterable[tuple[int, str, str, str, str]]) -> Iterator[Event]:
    """The events of rows of the table."""
    for at_ns, who, what, about, payload in found:
        yield Event(at_ns, who, what, about, msgspec.json.decode(payload))


def story(db: sqlite3.Connection, about: str, start_ns: int) -> list[str]:
    """All that happened with one request, write or process, across all processes, as lines for a person."""
    found = rows(db.execute("SELECT * FROM events WHERE about = ? ORDER BY at_ns, rowid", (about,)))
    return [
        f"{(event.at_ns - start_ns) / 1e9:9.3f} s  {event.who:12} {event.what:8} "
        + " ".join(f"{key}={value}" for key, value in event.payload.items())
        for event in found
    ]
