"""The types of fields in messages of the control plane, with the bounds that msgspec checks."""

import ipaddress
import re
from collections.abc import Mapping
from enum import StrEnum
from typing import Annotated, ClassVar

import msgspec
from msgspec import Meta

MAX_TEXT_CHARACTERS = 64
MAX_REASON_CHARACTERS = 300
MAX_RECORD_BYTES = 6000
MAX_CELL = 1_000_000
MAX_WEIGHT = 1000.0
MIN_LEASE_MS = 100
MAX_LEASE_MS = 24 * 3600 * 1000
MAX_INTEGER = 1 << 53  # the largest integer that JSON numbers represent exactly in any language
MAX_PORT = 65535
MAX_READY_DOCUMENTS = 8  # the most documents that an agent may report as ready
COUNTS = 3  # the number of request counts that an agent reports for its gateway

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
DIGEST_PATTERN = r"([0-9a-f]{16})?"
ADDRESS = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})")

Name = Annotated[str, Meta(pattern=rf"\A{NAME_PATTERN}\Z")]
Digest = Annotated[str, Meta(pattern=rf"\A{DIGEST_PATTERN}\Z")]
Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]
Reason = Annotated[str, Meta(max_length=MAX_REASON_CHARACTERS)]
Cell = Annotated[int, Meta(ge=0, le=MAX_CELL)]
Weight = Annotated[float, Meta(gt=0, le=MAX_WEIGHT)]
NonNegative = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
OptionalLeaseMs = Annotated[int, Meta(ge=0, le=MAX_LEASE_MS)]
SessionLeaseMs = Annotated[int, Meta(ge=MIN_LEASE_MS, le=MAX_LEASE_MS)]
RemainingMs = Annotated[int, Meta(ge=-MAX_LEASE_MS, le=MAX_LEASE_MS)]
ReadyDocuments = Annotated[tuple[Digest, ...], Meta(max_length=MAX_READY_DOCUMENTS)]
Counts = Annotated[tuple[NonNegative, ...], Meta(min_length=COUNTS, max_length=COUNTS)]


class Check(StrEnum):
    """A check of a text that a pattern cannot express; the value is the error message."""

    PRINTABLE = "only printable characters are allowed"
    ADDRESS = "an IPv4 address and a port from 1 to 65535 are needed, as 10.0.0.4:6379"
    RECORD = f"at most {MAX_RECORD_BYTES} bytes are allowed"


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port. Gateways have no DNS, so host names fail."""
    match = ADDRESS.fullmatch(text)
    if not match or int(match[2]) > MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(match[1])
    except ValueError:
        return False
    return True


def passes(check: Check, text: str) -> bool:
    """Return whether a text passes a check."""
    match check:
        case Check.PRINTABLE:
            return text.isprintable()
        case Check.ADDRESS:
            return is_address(text)
        case Check.RECORD:
            return len(text.encode(errors="replace")) <= MAX_RECORD_BYTES


def check_fields(message: msgspec.Struct, checks: Mapping[str, Check]) -> None:
    """Check the fields that are set. Raises ValueError, with the name on the wire, if one is invalid."""
    wire_names = dict(zip(message.__struct_fields__, message.__struct_encode_fields__, strict=True))
    for attribute, check in checks.items():
        value = getattr(message, attribute)
        if value is not msgspec.UNSET and not passes(check, value):
            raise ValueError(f"{wire_names[attribute]}: {check}")


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The body of a request. `CHECKS` maps attributes to checks that the fields' types do not express."""

    CHECKS: ClassVar[dict[str, Check]] = {}

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError, which msgspec converts to a ValidationError, if one fails."""
        check_fields(self, self.CHECKS)
