"""What relays record of what they pass on: a gateway's watch on its agent, and its management calls.

The endpoint list names each backend by an address. A gateway is to reach it over a link of its own, so the
address is replaced by one of the same length: no length in the stream changes, and neither side can tell.
"""

import json
import re
from collections.abc import Callable

from orchidhatch.faults.events import Recorder

MAX_LINE_BYTES = 1 << 20
WATCH_EVENT_START = b'{"generation"'
REQUEST_FIELDS = re.compile(rb"\r\n(?P<id>[0-9a-z]{12,20})\r\n\$\d+\r\nc=\w+,t=[^\r]*\r\n")
MAX_REQUEST_FIELDS_BYTES = 256


class WatchTap:
    """The bytes of one watch, from the agent to the gateway."""

    def __init__(self, recorder: Recorder, gateway: str, listed: bytes, seen: bytes) -> None:
        if len(listed) != len(seen):
            raise ValueError("an address may only be replaced by one of the same length")
        self.recorder = recorder
        self.gateway = gateway
        self.listed = listed
        self.seen = seen
        self.held_back = b""
        """The last bytes, where they may be the begin of an address."""
        self.line = b""

    def __call__(self, data: bytes) -> bytes:
        """Replace addresses, and record the events that are whole by now."""
        data = (self.held_back + data).replace(self.listed, self.seen)
        end = len(data) - self._begun_bytes(data)
        self.held_back = data[end:]
        data = data[:end]
        self._read(data)
        return data

    def _begun_bytes(self, data: bytes) -> int:
        """How many of the last bytes may be the begin of an address."""
        sizes = range(len(self.listed) - 1, 0, -1)
        return next((size for size in sizes if data.endswith(self.listed[:size])), 0)

    def _read(self, data: bytes) -> None:
        *lines, self.line = (self.line + data).split(b"\n")
        self.line = self.line[-MAX_LINE_BYTES:]
        for line in lines:
            if line.startswith(WATCH_EVENT_START):
                self._record(json.loads(line))

    def _record(self, event: dict[str, object]) -> None:
        states: dict[str, list[str]] = {}
        for entry in event["instances"]:
            states.setdefault(entry["lifecycle"], []).append(entry["instanceId"])
        self.recorder.note(
            "news", self.gateway, generation=event["generation"], reset=event["reset"], states=states
        )


def observe_watch(recorder: Recorder, gateway: str, listed: str, seen: str) -> Callable[[], WatchTap]:
    """Makes what observes a gateway's watches, with `listed` replaced by `seen` in addresses."""
    return lambda: WatchTap(recorder, gateway, listed.encode(), seen.encode())


class RequestTap:
    """The bytes of one client's connection to a gateway: when each request was passed on."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.tail = b""
        """The last bytes, where they may be the begin of a request."""

    def __call__(self, data: bytes) -> bytes:
        """Record the requests that are whole as far as their fields; the bytes are passed on as they are."""
        text = self.tail + data
        end = 0
        for match in REQUEST_FIELDS.finditer(text):
            self.recorder.note("passed-on", match["id"].decode())
            end = match.end()
        self.tail = text[end:][-MAX_REQUEST_FIELDS_BYTES:]
        return data


def observe_requests(recorder: Recorder) -> Callable[[], RequestTap]:
    """Makes what observes the requests of clients."""
    return lambda: RequestTap(recorder)


class CallTap:
    """The bytes of one management call to a gateway: the call, and the claim that it is made under."""

    def __init__(self, recorder: Recorder, gateway: str) -> None:
        self.recorder = recorder
        self.gateway = gateway
        self.head = b""
        self.is_read = False

    def __call__(self, data: bytes) -> bytes:
        """Record the call once its head is whole; the bytes are passed on as they are."""
        if not self.is_read:
            self.head += data
            if b"\r\n\r\n" in self.head or len(self.head) > MAX_LINE_BYTES:
                self._record(self.head.decode(errors="replace").split("\r\n"))
                self.is_read = True
        return data

    def _record(self, lines: list[str]) -> None:
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
        claim, _, numbers = headers.get("orchidhatch-claim", "").partition(" ")
        epoch, _, number = numbers.partition(" ")
        if epoch.isdigit() and number.isdigit():
            self.recorder.note(
                "effect",
                self.gateway,
                claim=claim,
                epoch=int(epoch),
                act=lines[0],
                on=lines[0].split()[1].rpartition("/")[0],
                number=int(number),
            )


def observe_calls(recorder: Recorder, gateway: str) -> Callable[[], CallTap]:
    """Makes what observes the management calls to a gateway."""
    return lambda: CallTap(recorder, gateway)
