"""The simulator's protocol: lines of text, decoded to events and encoded from actions.

A line holds the name of a message and its values, separated by single spaces; `-` is an absent value. The
names of messages and values are defined in WIRE; times are in microseconds. The module has no decision logic.
"""

from collections.abc import Iterable, Iterator

from orchidhatch.gateway.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    HealthCheck,
    LogLine,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    Subscribe,
)
from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind, EndpointState
from orchidhatch.gateway.events import (
    AttemptEnded,
    ClientGone,
    CounterReply,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    StreamStarted,
    TimerExpired,
)
from orchidhatch.gateway.gossip_codec import pack_message, unpack_message
from orchidhatch.gateway.settings_codec import SettingTexts, read_report

RESULTS = {
    "served": AttemptResult.OK,
    "server_error": AttemptResult.ERROR,
    "turned_away": AttemptResult.REJECTED,
    "no_answer": AttemptResult.TIMEOUT,
    "no_connection": AttemptResult.CONNECT_FAILED,
    "connection_lost": AttemptResult.RESET,
    "called_off": AttemptResult.CANCELLED,
    "not_sent": AttemptResult.NOT_SENT,
}
ENDPOINT_STATES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.GONE}
LIST_KINDS = {
    "snapshot": EndpointListKind.FULL,
    "disk": EndpointListKind.SAVED,
    "diff": EndpointListKind.CHANGES,
    "error": EndpointListKind.FAILED,
}
ABSENT_VALUES = ("", "-")
# Bits of a request's `marks`.
REPEAT_MARK = 2
WRITE_MARK = 4


class WireError(Exception):
    """The input does not conform to WIRE."""


class Fields:
    """The values of one line, read in order.

    Each method reads the next value. It raises WireError if the value is missing and there is no default, and
    ValueError if a numeric value is not a number.
    """

    def __init__(self, values: list[str]) -> None:
        self.values = values
        self.position = 0

    def text(self) -> str:
        """Read a text."""
        if self.position >= len(self.values) or self.values[self.position] in ABSENT_VALUES:
            raise WireError(f"field {self.position + 1} is missing")
        value = self.values[self.position]
        self.position += 1
        return value

    def is_present(self) -> bool:
        """Return whether the next value, an optional one, is present; skip it if it is absent."""
        if self.position >= len(self.values):
            return False
        if self.values[self.position] in ABSENT_VALUES:
            self.position += 1
            return False
        return True

    def integer(self, default: int | None = None) -> int:
        """Read an integer, or return the default if the value is absent."""
        if default is not None and not self.is_present():
            return default
        return int(self.text())

    def number(self, default: float | None = None) -> float:
        """Read a number, or return the default if the value is absent."""
        if default is not None and not self.is_present():
            return default
        return float(self.text())

    def flag(self) -> bool:
        """Read a boolean, 1 or 0. Raises WireError for any other value."""
        text = self.text()
        if text not in ("0", "1"):
            raise WireError(f"'{text}' is not 0 or 1")
        return text == "1"

    def optional_text(self) -> str:
        """Read a text, empty if the value is absent."""
        return self.text() if self.is_present() else ""

    def optional_bytes(self) -> bytes:
        """Read bytes in hexadecimal, empty if the value is absent."""
        return bytes.fromhex(self.text()) if self.is_present() else b""


def split_line(line: str) -> tuple[str, list[str]]:
    """Split a line into the name of its message and its values."""
    name, *values = line.split(" ")
    return name, values


def read_pairs(pairs: Iterable[str]) -> SettingTexts:
    """Decode settings from `path=value` texts. Raises WireError for a text without an equals sign."""
    values: dict[str, str] = {}
    for pair in pairs:
        path, separator, value = pair.partition("=")
        if not separator:
            raise WireError(f"'{pair}' is not path=value")
        values[path] = value
    return SettingTexts(values)


def read_load(fields: Fields, names: list[str]) -> LoadReport | None:
    """Read a load report, whose values are in the order of `names`; None if it is absent."""
    if not fields.is_present():
        return None
    values = fields.text().split(",")
    if len(values) > len(names):
        raise WireError("the load report has more values than names")
    return read_report(zip(names, values, strict=False))


def read_endpoint(line: str) -> Endpoint:
    """Decode the line of an endpoint list entry."""
    name, values = split_line(line)
    if name != "M":
        raise WireError("expected an endpoint list entry (M)")
    fields = Fields(values)
    return Endpoint(
        name=fields.text(),
        zone=fields.integer(),
        kind=fields.integer(),
        cell=fields.integer(),
        state=ENDPOINT_STATES[fields.text()],
        relative_capacity=fields.number(1.0),
        started_us=fields.integer(0),
    )


def read_request(fields: Fields) -> Request:
    """Decode a client's request."""
    request_id = fields.text()
    class_index = fields.integer()
    plan_index = fields.integer(0)
    customer = fields.optional_text()
    time_left_us = fields.integer()
    units = fields.number(1.0)
    set_size = int(fields.number(1.0))
    set_first = int(fields.number(0.0))
    marks = fields.integer(0)
    return Request(
        id=request_id,
        class_index=class_index,
        plan_index=plan_index,
        customer=customer,
        time_left_us=time_left_us,
        units=units,
        set_size=max(1, set_size),
        set_first=set_first,
        is_repeat=bool(marks & REPEAT_MARK),
        is_write=bool(marks & WRITE_MARK),
    )


def read_attempt_end(fields: Fields, report_names: list[str]) -> AttemptEnded:
    """Decode the end of an attempt."""
    return AttemptEnded(
        id=fields.text(),
        is_final=fields.flag(),
        attempt=fields.integer(),
        server=fields.text(),
        result=RESULTS[fields.text()],
        latency_us=fields.integer(0),
        used_percent=fields.integer(0),
        actual_units=fields.number(0.0),
        report=read_load(fields, report_names),
    )


def read_stream_start(fields: Fields) -> StreamStarted:
    """Decode the start of a streamed answer."""
    return StreamStarted(
        id=fields.text(),
        attempt=fields.integer(),
        server=fields.text(),
        latency_us=fields.integer(0),
    )


def read_check_result(fields: Fields, report_names: list[str]) -> HealthCheckResult:
    """Decode the result of a health check."""
    return HealthCheckResult(
        server=fields.text(),
        result=RESULTS[fields.text()],
        latency_us=fields.integer(0),
        report=read_load(fields, report_names),
    )


def read_peer_message(fields: Fields) -> PeerMessage:
    """Decode a datagram from another gateway; a malformed datagram holds no messages."""
    sender = fields.integer()
    messages, observations = unpack_message(fields.optional_bytes())
    return PeerMessage(sender, messages, observations)


def read_counter_reply(fields: Fields) -> CounterReply:
    """Decode the shared counter's reply."""
    return CounterReply(
        name=fields.integer(),
        result=RESULTS[fields.text()],
        total=fields.number(0.0),
        latency_us=fields.integer(0),
    )


def read_event(name: str, fields: Fields, report_names: list[str]) -> Event:
    """Decode an event other than the start, the end and the endpoint list of an instance.

    `report_names` are the names of a load report's values. Raises WireError for an unknown message, and
    KeyError for an unknown attempt result.
    """
    match name:
        case "NEW_REQUEST":
            return read_request(fields)
        case "ATTEMPT_END":
            return read_attempt_end(fields, report_names)
        case "ACK_FIRST":
            return read_stream_start(fields)
        case "HANGUP":
            return ClientGone(fields.text())
        case "BELL":
            return TimerExpired(fields.integer())
        case "CHECK_RESULT":
            return read_check_result(fields, report_names)
        case "FROM_PEER":
            return read_peer_message(fields)
        case "TOTAL":
            return read_counter_reply(fields)
    raise WireError(f"unknown message '{name}'")


def read_endpoints(lines: Iterator[str], count: int) -> tuple[Endpoint, ...]:
    """Decode `count` entries of an endpoint list from the lines that follow."""
    endpoints: list[Endpoint] = []
    for _ in range(count):
        line = next(lines, None)
        if line is None:
            raise WireError("the endpoint list is cut off")
        endpoints.append(read_endpoint(line))
    return tuple(endpoints)


def write_action(action: Action) -> str:
    """Encode an action as one or more lines, or as "" if it needs none.

    Raises TypeError for an action that the protocol does not have.
    """
    match action:
        case SendAttempt(request_id, server, timeout_us):
            return f"TRY {request_id} {server} {timeout_us}"
        case CancelAttempt(request_id, attempt):
            return f"CANCEL {request_id} {attempt}"
        case Reject(request_id, retry_after_us):
            return f"TURN_AWAY {request_id} {retry_after_us}"
        case Fail(request_id):
            return f"END_FAILED {request_id}"
        case SetTimer(delay_us, token):
            return f"ARM {delay_us} {token}"
        case HealthCheck(server):
            return f"CHECK {server}"
        case CloseIdleConnections(server):
            return f"HANG_UP {server}"
        case SendGossip(peer, messages, observations):
            datagrams = pack_message(messages, observations)
            return "\n".join(f"TELL {peer} {datagram.hex()}" for datagram in datagrams)
        case AddToCounter(name, amount, lifetime_us):
            return f"ADD_TO {name} {amount:g} {lifetime_us}"
        case Subscribe(is_watching):
            return f"STREAM_CHANGES {int(is_watching)}"
        case FetchEndpointList():
            return "SNAPSHOT"
        case LogLine(text):
            return f"EMIT {one_line(text)}"
    raise TypeError(f"the protocol has no message for {action!r}")


def one_line(text: str) -> str:
    """Replace each run of white space with a single space."""
    return " ".join(text.split())
