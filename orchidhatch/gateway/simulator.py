"""The simulator's adapter: serves decision cores to the simulator on standard input and output.

    python -m orchidhatch.gateway.simulator

It runs one `GatewayCore` for each instance and makes no decisions itself. Malformed input ends the process
with one line on standard error; an exception in the decision core is reported on the wire.
"""

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from orchidhatch.gateway.actions import WaitTimes
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind
from orchidhatch.gateway.events import EndpointList, Event
from orchidhatch.gateway.settings_codec import read_settings
from orchidhatch.gateway.simulator_codec import (
    LIST_KINDS,
    Fields,
    WireError,
    one_line,
    read_endpoints,
    read_event,
    read_pairs,
    split_line,
    write_action,
)

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2


class CoreError(Exception):
    """The decision core raised an exception."""


class SimulatorHost:
    """The instances of this process and the numbered endpoint lists they refer to."""

    def __init__(self) -> None:
        self.gateways: dict[int, GatewayCore] = {}
        # The names of the values in a load report, by instance.
        self.report_names: dict[int, list[str]] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        # The instance that receives the next events of the batch, and that of the last actions in the reply.
        self.target_instance: int | None = None
        self.reply_instance: int | None = None
        self.now_us = 0

    def start_batch(self, now_us: int) -> None:
        """Start a batch, whose events all occur at that time."""
        self.now_us = now_us
        self.target_instance = None
        self.reply_instance = None

    def handle(self, name: str, values: list[str], lines: Iterator[str]) -> list[str]:
        """Handle one message and return the reply's lines for it.

        `lines` are those that follow; the entries of an endpoint list are read from them. Raises WireError,
        ValueError or KeyError for malformed input and CoreError for a failure of the decision core.
        """
        fields = Fields(values)
        if name == "TARGET_INSTANCE":
            self.target_instance = fields.integer()
            return []
        if name == "SHEET":
            number = fields.integer()
            count = fields.integer()
            self.endpoint_lists[number] = read_endpoints(lines, count)
            return []
        if self.target_instance is None:
            raise WireError("no target instance is set")
        if name == "NEW_INSTANCE":
            self._start(self.target_instance, fields)
            return []
        if self.target_instance not in self.gateways:
            raise WireError(f"unknown instance {self.target_instance}")
        if name == "KILLED":
            del self.gateways[self.target_instance]
            return []
        if name == "UPDATE":
            return self._decide(self.target_instance, self._read_list(fields))
        return self._decide(
            self.target_instance, read_event(name, fields, self.report_names[self.target_instance])
        )

    def _start(self, instance: int, fields: Fields) -> None:
        """Create a decision core from its seed and settings."""
        texts = read_pairs(value for value in fields.values[1:] if value)
        report_names = texts.text("stats.names")
        self.report_names[instance] = report_names.split(",") if report_names else []
        self.gateways[instance] = GatewayCore(read_settings(fields.integer(), texts))

    def _read_list(self, fields: Fields) -> EndpointList:
        """Decode an endpoint list event, whose entries were in an earlier message."""
        kind = LIST_KINDS[fields.text()]
        version = fields.integer(0)
        number = fields.integer(0)
        if kind is EndpointListKind.FAILED:
            return EndpointList(kind, version)
        if number not in self.endpoint_lists:
            raise WireError(f"unknown endpoint list {number}")
        return EndpointList(kind, version, self.endpoint_lists[number])

    def _decide(self, instance: int, event: Event) -> list[str]:
        """Pass an event to its decision core and encode the actions."""
        try:
            actions = self.gateways[instance].handle(self.now_us, event)
        except Exception as error:
            raise CoreError(f"{type(error).__name__}: {error}") from error
        texts = [write_action(action) for action in actions if not isinstance(action, WaitTimes)]
        lines = [text for text in texts if text]
        if lines and self.reply_instance != instance:
            self.reply_instance = instance
            lines.insert(0, f"CONTEXT {instance}")
        return lines


class NumberedLines(Iterator[str]):
    """The input lines without line breaks; `number` is the number of the last one read, from 1."""

    def __init__(self, source: Iterable[str]) -> None:
        self._source = iter(source)
        self.number = 0

    def __next__(self) -> str:
        line = next(self._source)
        self.number += 1
        return line.rstrip("\n")


def run_batch(host: SimulatorHost, lines: Iterator[str]) -> list[str] | None:
    """Handle the next batch and return the lines of its reply, or None at the end of the input."""
    first_line = next(lines, None)
    if first_line is None:
        return None
    name, values = split_line(first_line)
    if name != "MARK":
        raise WireError("a batch must start with MARK")
    host.start_batch(Fields(values).integer())
    reply: list[str] = []
    for line in lines:
        name, values = split_line(line)
        if name == "EOF_BATCH":
            return [*reply, "FINISHED"]
        try:
            reply += host.handle(name, values, lines)
        except CoreError as error:
            reply += [f"CONTEXT {host.target_instance}", f"FAULT {one_line(str(error))}"]
    raise WireError("the input ends within a batch")


def serve(source: TextIO, sink: TextIO) -> int:
    """Answer batches until the input ends, and return the exit status of the process."""
    host = SimulatorHost()
    lines = NumberedLines(source)
    try:
        while (reply := run_batch(host, lines)) is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    except KeyError as error:
        report_malformed_input(lines.number, f"unknown name {error}")
        return EXIT_MALFORMED_INPUT
    except (WireError, ValueError) as error:
        report_malformed_input(lines.number, str(error))
        return EXIT_MALFORMED_INPUT
    return EXIT_OK


def report_malformed_input(line_number: int, text: str) -> None:
    """Write the error as one line to standard error."""
    print(f"orchidhatch: line {line_number}: {one_line(text)}", file=sys.stderr)


def main() -> int:
    """Serve the simulator on standard input and output, and return the exit status of the process."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
