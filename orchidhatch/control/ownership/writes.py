"""Typed messages for the writes to the claims table."""

import msgspec

from orchidhatch.control.ownership.objects import Fence, Gateway, Session


class OpenSession(msgspec.Struct, frozen=True):
    """Open a session; opening the same session again changes nothing."""

    session: Session


class EndSession(msgspec.Struct, frozen=True):
    """End a session and release its claims; `expired` means that its lease expired."""

    id: str
    incarnation: str
    expired: bool = False


class TakeClaim(msgspec.Struct, frozen=True):
    """Take a claim for a session; `purpose` is shown to operators."""

    name: str
    holder: str
    incarnation: str
    purpose: str = ""


class ReleaseClaim(msgspec.Struct, frozen=True):
    """Release a claim, either to hand it to a specific holder or after failures, which `reason` describes."""

    name: str
    holder: str
    incarnation: str
    epoch: int
    handed_to: str = ""
    reason: str = ""


class SuspendClaim(msgspec.Struct, frozen=True):
    """Suspend a claim for an operator, so that no write is accepted under it, or resume it."""

    name: str
    suspended: bool


class PutRecord(msgspec.Struct, frozen=True):
    """Write a record, or remove it if the text is empty.

    The write is rejected if the record is not at `if_version`; 0 means that it must not exist.
    """

    name: str
    text: str
    if_version: int | None = None
    fence: Fence | None = None


class RegisterGateway(msgspec.Struct, frozen=True):
    """Register a gateway or a new incarnation of its agent; repeating it changes nothing."""

    gateway: Gateway


class RemoveGateway(msgspec.Struct, frozen=True):
    """Remove a registered gateway."""

    name: str


ClaimsWrite = (
    OpenSession
    | EndSession
    | TakeClaim
    | ReleaseClaim
    | SuspendClaim
    | PutRecord
    | RegisterGateway
    | RemoveGateway
)
