"""The writes to the claims table, as typed messages."""

import msgspec

from orchidhatch.control.ownership.objects import Fence, Gateway, Session


class OpenSession(msgspec.Struct, frozen=True):
    """Begin a session; the same one again is no change."""

    session: Session


class EndSession(msgspec.Struct, frozen=True):
    """End a session and free its claims; `expired` if its lease ran out."""

    id: str
    incarnation: str
    expired: bool = False


class TakeClaim(msgspec.Struct, frozen=True):
    """Take a claim for a session; `purpose` tells operators what for."""

    name: str
    holder: str
    incarnation: str
    purpose: str = ""


class ReleaseClaim(msgspec.Struct, frozen=True):
    """Release a claim, handing it to a named holder, or because of failures that `reason` tells."""

    name: str
    holder: str
    incarnation: str
    epoch: int
    handed_to: str = ""
    reason: str = ""


class SuspendClaim(msgspec.Struct, frozen=True):
    """Suspend a claim by hand, so that nobody acts under it, or let it be taken again."""

    name: str
    suspended: bool


class PutRecord(msgspec.Struct, frozen=True):
    """Write a record; an empty text removes it. `if_version` 0: only if it does not exist."""

    name: str
    text: str
    if_version: int | None = None
    fence: Fence | None = None


class RegisterGateway(msgspec.Struct, frozen=True):
    """List a gateway, or its agent's next incarnation; the same one again is no change."""

    gateway: Gateway


class RemoveGateway(msgspec.Struct, frozen=True):
    """Take a gateway off the list."""

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
