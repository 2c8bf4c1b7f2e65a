"""Requests and responses of the operators' command line; `name` gives a field's name on the wire."""

from typing import Any

import msgspec


class Claim(msgspec.Struct):
    """A claim in the registry's list."""

    name: str
    holder: str
    incarnation: str = msgspec.field(name="life")
    epoch: int
    handed_to: str = msgspec.field(name="to")
    suspended: bool = msgspec.field(name="held")
    reason: str = msgspec.field(name="why")


class ClaimList(msgspec.Struct):
    """The registry's list of claims."""

    claims: list[Claim]


class Record(msgspec.Struct):
    """A record in the registry; tasks are records whose text is JSON."""

    name: str
    text: str
    version: int


class RecordList(msgspec.Struct):
    """The registry's list of records."""

    records: list[Record]


class Promotion(msgspec.Struct, rename="camel"):
    """A replica's response to its promotion."""

    term: int
    generation: int
    entries: int
    received_generation: int = msgspec.field(name="heardGeneration")
    lag_seconds: float


class ReleaseClaim(msgspec.Struct, rename="camel"):
    """A claim to be released to another holder."""

    handed_to: str = msgspec.field(name="to")
    holder: str
    incarnation: str = msgspec.field(name="life")
    epoch: int


class RegisterEndpoint(msgspec.Struct, rename="camel", omit_defaults=True):
    """An endpoint to be registered; fields that are None are omitted."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int | None = None
    weight: float | None = None
    started_at_ms: int | None = None
    lease_ms: int | None = None
    if_version: int | None = None


class ChangeLifecycle(msgspec.Struct, rename="camel", omit_defaults=True):
    """A new lifecycle of an endpoint, with an optional condition."""

    lifecycle: str
    if_version: int | None = None


class RemoveEndpoint(msgspec.Struct, rename="camel", omit_defaults=True):
    """The optional condition of a removal."""

    if_version: int | None = None


class PutRecord(msgspec.Struct, rename="camel", omit_defaults=True):
    """The new text of a record, "" to delete it, with an optional condition."""

    text: str
    if_version: int | None = None


def body_of(message: msgspec.Struct) -> dict[str, Any]:
    """Return the JSON object of a message."""
    return msgspec.to_builtins(message)
