"""Parses client requests, SVC.QUERY and SVC.SUBMIT, and validates them against the settings."""

import re
from dataclasses import dataclass

from orchidhatch.gateway.events import Request
from orchidhatch.gateway.settings import Idempotency
from orchidhatch.proxy.config import Config
from orchidhatch.proxy.config_reader import MAX_TIME_US

QUERY = b"SVC.QUERY"
SUBMIT = b"SVC.SUBMIT"
# The positions of a request's arguments; SUBMIT has a body after them.
CUSTOMER_INDEX = 1
REQUEST_ID_INDEX = 2
FIELDS_INDEX = 3
QUERY_ARGUMENTS = 4
SUBMIT_ARGUMENTS = 5

CUSTOMER_DIGITS = 16
CUSTOMER_LIMIT = 1 << 33
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
MAX_REQUEST_ID_BYTES = 64
# A request has eight known fields, in a list of up to 64 KiB.
MAX_FIELDS = 256
MAX_INT_DIGITS = 12
MAX_CLIENT_WAIT_MS = 24 * 3600 * 1000
MAX_UNITS = 1e6
MAX_UNITS_CHARACTERS = 64
# Python's float also reads underscores, white space and words. No two parts of the pattern can match the same
# digits, as a text that does not match would be tried with each split between them.
DECIMAL_NUMBER = re.compile(r"\+?([0-9]+(\.[0-9]*)?|\.[0-9]+)(e[+-]?[0-9]+)?", re.ASCII | re.IGNORECASE)


class CommandError(Exception):
    """A well-formed command is invalid; the text is sent to the client, whose connection stays open."""


@dataclass(frozen=True, slots=True)
class Command:
    """A request for the decision core, with the arguments to forward to a backend.

    `fields_head` and `fields_tail` are the parts of the field list before and after the client's timeout.
    """

    request: Request
    arguments: list[bytes]
    fields_head: bytes
    fields_tail: bytes

    def payload(self, wait_us: int) -> bytes:
        """Return the command's bytes for a backend, with `wait_us` in place of the client's timeout."""
        wait_ms = max(1, wait_us // 1000)
        fields = b"%b%d%b" % (self.fields_head, wait_ms, self.fields_tail)
        arguments = [*self.arguments[:FIELDS_INDEX], fields, *self.arguments[FIELDS_INDEX + 1 :]]
        bulk_strings = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
        return b"*%d\r\n" % len(arguments) + b"".join(bulk_strings)


class CommandParser:
    """Turns a command's arguments into a request and rejects invalid ones before the core sees them."""

    def __init__(self, config: Config) -> None:
        self.class_numbers = config.class_numbers
        self.plan_numbers = config.plan_numbers
        self.settings = config.settings

    def parse(
        self,
        arguments: list[bytes],
        answer_margin_us: int,
        max_time_left_us: int = MAX_TIME_US,
        unread_us: int = 0,
    ) -> Command:
        """Parse a command.

        The request's remaining time is the client's timeout less `answer_margin_us` and less `unread_us`, the
        time for which the command may have waited unread; it is at most `max_time_left_us`. Raises
        CommandError if the command is invalid.
        """
        is_write = self._is_write(arguments)
        customer = parse_customer(arguments[CUSTOMER_INDEX])
        request_id = parse_request_id(arguments[REQUEST_ID_INDEX])
        field_list = arguments[FIELDS_INDEX]
        fields = parse_fields(field_list)
        class_index = self._class_index(fields, is_write)
        plan_index = self.plan_numbers.get(fields.get("t", ""))
        if plan_index is None:
            raise CommandError("unknown plan")
        wait_ms = parse_bounded_int(fields.get("d", ""), "time", 0, MAX_CLIENT_WAIT_MS)
        time_left_us = max(0, wait_ms * 1000 - answer_margin_us - unread_us)
        gateway_count = self.settings.gateway_count
        request = Request(
            id=request_id,
            class_index=class_index,
            plan_index=plan_index,
            customer=customer,
            time_left_us=min(max_time_left_us, time_left_us),
            units=parse_units(fields),
            set_size=parse_bounded_int(fields.get("spread", "1"), "spread", 1, gateway_count),
            set_first=parse_bounded_int(fields.get("first", "0"), "first", 0, gateway_count - 1),
            is_repeat=fields.get("r") == "1",
            is_write=is_write,
            size_bytes=sum(map(len, arguments)),
            unread_us=unread_us,
        )
        wait_start = find_wait_value(field_list)
        wait_end = wait_start + len(fields["d"])
        return Command(request, arguments, field_list[:wait_start], field_list[wait_end:])

    def _is_write(self, arguments: list[bytes]) -> bool:
        """Return whether the command is SUBMIT.

        Raises CommandError if the command is unknown or has a wrong number of arguments.
        """
        name = arguments[0]
        if name not in (QUERY, SUBMIT):
            raise CommandError("unknown command")
        is_write = name == SUBMIT
        expected = SUBMIT_ARGUMENTS if is_write else QUERY_ARGUMENTS
        if len(arguments) != expected:
            raise CommandError("wrong number of arguments")
        return is_write

    def _class_index(self, fields: dict[str, str], is_write: bool) -> int:
        """Return the index of the request's class.

        Raises CommandError if the class is unknown or not served by the command, or if its key is missing.
        """
        class_index = self.class_numbers.get(fields.get("c", ""))
        if class_index is None:
            raise CommandError("unknown class")
        idempotency = self.settings.classes[class_index].idempotency
        is_read_class = idempotency is Idempotency.SAFE
        if is_write == is_read_class:
            raise CommandError("the command does not serve this class")
        if idempotency is Idempotency.KEYED and not fields.get("k"):
            raise CommandError("a key is missing")
        return class_index


def parse_customer(argument: bytes) -> str:
    """Return the customer's number as lower-case hex digits. Raises CommandError if it is invalid."""
    is_hex = len(argument) == CUSTOMER_DIGITS and HEX_DIGITS.issuperset(argument)
    if not is_hex or int(argument, 16) >= CUSTOMER_LIMIT:
        raise CommandError("invalid customer")
    return argument.decode().lower()


def parse_request_id(argument: bytes) -> str:
    """Return the request's id. Raises CommandError if it is not of letters and digits, or is too long."""
    if not 0 < len(argument) <= MAX_REQUEST_ID_BYTES or not argument.isalnum():
        raise CommandError("invalid id")
    return argument.decode()


def parse_fields(argument: bytes) -> dict[str, str]:
    """Return the values by name of a list such as `c=read,t=team,d=500`.

    Raises CommandError if the list is malformed, has a name twice or more than MAX_FIELDS fields.
    """
    if argument.count(b",") >= MAX_FIELDS:
        raise CommandError("too many fields")
    try:
        text = argument.decode("ascii")
    except UnicodeDecodeError:
        raise CommandError("invalid fields") from None
    parts = [part.partition("=") for part in text.split(",")]
    if not all(name and equals_sign for name, equals_sign, _ in parts):
        raise CommandError("invalid fields")
    fields = {name: value for name, _, value in parts}
    if len(fields) != len(parts):
        raise CommandError("a field is given twice")
    return fields


def parse_bounded_int(text: str, field_name: str, minimum: int, maximum: int) -> int:
    """Return the decimal number in `text`. Raises CommandError if it is not a number or out of bounds."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_INT_DIGITS
    if not is_number or not minimum <= int(text) <= maximum:
        raise CommandError(f"invalid {field_name}")
    return int(text)


def parse_units(fields: dict[str, str]) -> float:
    """Return the units that the request spends, 1 by default. Raises CommandError if they are invalid."""
    text = fields.get("units", "1")
    if len(text) > MAX_UNITS_CHARACTERS or not DECIMAL_NUMBER.fullmatch(text):
        raise CommandError("invalid units")
    if not 0 < float(text) <= MAX_UNITS:
        raise CommandError("invalid units")
    return float(text)


def find_wait_value(field_list: bytes) -> int:
    """Return the position of the value of field `d`, the client's timeout, in a list that has the field."""
    if field_list.startswith(b"d="):
        return len(b"d=")
    return field_list.find(b",d=") + len(b",d=")
