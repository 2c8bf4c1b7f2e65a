"""What the relay between an agent and its front door does to the list's watch: other addresses, and a record.

The list names each backend by an address. The front door is to reach it over a way of its own, so the address
is replaced by one of the same length: no length in the stream changes, and neither side can tell.
"""

import json
from collections.abc import Callable

from orchidhatch.faults.events import Recorder

MOST_LINE = 1 << 20


class Tap:
    """One connection's bytes from the agent to the door."""

    def __init__(self, recorder: Recorder, door: str, listed: bytes, seen: bytes) -> None:
        assert len(listed) == len(seen)
        self.recorder, self.door, self.listed, self.seen = recorder, door, listed, seen
        self.held = self.line = b""

    def __call__(self, data: bytes) -> bytes:
        data = (self.held + data).replace(self.listed, self.seen)
        cut = len(data) - self.begun(data)
        self.held, data = data[cut:], data[:cut]
        self.read(data)
        return data

    def begun(self, data: bytes) -> int:
        """How many of the last bytes may be the beginning of an address."""
        return next(
            (size for size in range(len(self.listed) - 1, 0, -1) if data.endswith(self.listed[:size])), 0
        )

    def read(self, data: bytes) -> None:
        *lines, self.line = (self.line + data).split(b"\n")
        self.line = self.line[-MOST_LINE:]
        for line in lines:
            if line.startswith(b'{"generation"'):
                self.note(json.loads(line))

    def note(self, news: dict[str, object]) -> None:
        states: dict[str, list[str]] = {}
        for entry in news["instances"]:
            states.setdefault(entry["lifecycle"], []).append(entry["instanceId"])
        self.recorder.note(
            "news", self.door, generation=news["generation"], reset=news["reset"], states=states
        )


def tapping(recorder: Recorder, door: str, listed: str, seen: str) -> Callable[[], Tap]:
    return lambda: Tap(recorder, door, listed.encode(), seen.encode())


class Sight:
    """One connection's bytes to a door's management: the call, and in whose name it is made."""

    def __init__(self, recorder: Recorder, door: str) -> None:
        self.recorder, self.door = recorder, door
        self.head: bytes | None = b""  # None once it was read

    def __call__(self, data: bytes) -> bytes:
        if self.head is not None:
            self.head += data
            if b"\r\n\r\n" in self.head or len(self.head) > MOST_LINE:
                self.read(self.head.decode(errors="replace").split("\r\n"))
                self.head = None
        return data

    def read(self, lines: list[str]) -> None:
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
        claim, _, numbers = headers.get("orchidhatch-claim", "").partition(" ")
        epoch, _, number = numbers.partition(" ")
        if epoch.isdigit() and number.isdigit():
            self.recorder.note(
                "effect",
                self.door,
                claim=claim,
                epoch=int(epoch),
                act=lines[0],
                on=lines[0].split()[1].rpartition("/")[0],
                number=int(number),
            )


def seeing(recorder: Recorder, door: str) -> Callable[[], Sight]:
    return lambda: Sight(recorder, door)
