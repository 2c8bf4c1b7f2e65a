"""Typed calls to the registry about sessions, claims and records, as the fleet controller makes them."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.error_signs import CLAIM_SIGN
from orchidhatch.control.http_client import NoResponse
from orchidhatch.control.registry_client import RegistryClient

# The status of a reply where no registry gave one.
NO_REPLY = 0


class RegistryReply(Struct, frozen=True):
    """A registry's reply; the body is the decoded JSON value, or the reason why there is no reply."""

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the request was carried out."""
        return self.status == HTTPStatus.OK

    @property
    def not_found(self) -> bool:
        """Whether the request was about something that is not there."""
        return self.status == HTTPStatus.NOT_FOUND

    @property
    def conflict(self) -> bool:
        """Whether the request does not fit what is stored."""
        return self.status == HTTPStatus.CONFLICT

    @property
    def unavailable(self) -> bool:
        """Whether no registry that accepts writes replied."""
        return self.status in (NO_REPLY, HTTPStatus.SERVICE_UNAVAILABLE)

    @property
    def fenced(self) -> bool:
        """Whether the request was rejected because its claim belongs to another holder."""
        return self.conflict and CLAIM_SIGN in str(self.body)

    @property
    def error_text(self) -> str:
        """The error that the registry gives."""
        if isinstance(self.body, Mapping) and "error" in self.body:
            return str(self.body["error"])
        return str(self.body)


class OpenSessionRequest(Struct):
    """Opens a session, or opens the same one again."""

    holder: str
    incarnation: str = field(name="life")
    lease_ms: int = field(name="leaseMs")


class SessionRequest(Struct):
    """Renews or ends a session."""

    incarnation: str = field(name="life")


class TakeClaimRequest(Struct):
    """Takes a claim that nobody holds."""

    holder: str
    incarnation: str = field(name="life")
    purpose: str = field(name="what")


class ReleaseClaimRequest(Struct):
    """Releases a claim; with a reason, the holder may not take it again before another one did."""

    holder: str
    incarnation: str = field(name="life")
    epoch: int
    reason: str = field(name="why")


class FencedRequest(Struct, kw_only=True):
    """A request on behalf of a claim, carried out only while the claim is at that epoch."""

    claim: str
    epoch: int


class LifecycleRequest(FencedRequest, kw_only=True):
    """Changes an endpoint's lifecycle."""

    lifecycle: str


class PutRecordRequest(FencedRequest, kw_only=True):
    """Writes a record; an empty text removes it."""

    text: str
    if_version: int | UnsetType = field(name="ifVersion", default=UNSET)


class StoredRecord(Struct, frozen=True):
    """A record of the registry; the version counts its writes."""

    name: str
    text: str
    version: int


class SessionStatus(Struct, frozen=True):
    """A session as the registry shows it."""

    holder: str


class ClaimStatus(Struct, frozen=True):
    """A claim as the registry shows it; the holder is empty where nobody has it."""

    name: str
    holder: str = ""
    incarnation: str = field(name="life", default="")
    epoch: int = 0
    handed_to: str = field(name="to", default="")
    released_by: str = field(name="but", default="")
    suspended: bool = field(name="held", default=False)


class ClaimsStatus(Struct, frozen=True):
    """All sessions and claims of a registry."""

    sessions: list[SessionStatus]
    claims: list[ClaimStatus]


class SessionRenewal(Struct, frozen=True):
    """The reply to a renewal: the epoch of each claim that the session holds."""

    claims: dict[str, int]


class RecordsStatus(Struct, frozen=True):
    """All records of a registry."""

    records: list[StoredRecord]


class RegistryApi:
    """The registry that accepts writes, among those that a client knows."""

    def __init__(self, client: RegistryClient) -> None:
        self.client = client

    async def request(self, method: str, path: str, body: Struct | None = None) -> RegistryReply:
        """Any request; the reply has the status NO_REPLY where no registry answers."""
        value = None if body is None else msgspec.to_builtins(body)
        result = await self.client.call(method, path, value)
        if isinstance(result, NoResponse):
            return RegistryReply(NO_REPLY, result.reason)
        return RegistryReply(result.status, result.value)

    async def open_session(self, request: OpenSessionRequest) -> RegistryReply:
        """Open a session; a conflict where another process holds one of this name."""
        return await self.request("POST", "/sessions", request)

    async def renew_session(self, holder: str, incarnation: str) -> RegistryReply:
        """Renew a session; the body of an accepted renewal is a SessionRenewal."""
        return await self.request("POST", f"/sessions/{holder}/renew", SessionRequest(incarnation))

    async def end_session(self, holder: str, incarnation: str) -> RegistryReply:
        """End a session, which releases all its claims."""
        return await self.request("DELETE", f"/sessions/{holder}", SessionRequest(incarnation))

    async def read_claims(self) -> ClaimsStatus | None:
        """All sessions and claims; None where no registry shows them."""
        reply = await self.request("GET", "/claims")
        return msgspec.convert(reply.body, ClaimsStatus) if reply.ok else None

    async def take_claim(self, name: str, request: TakeClaimRequest) -> ClaimStatus | None:
        """Take a claim; None where it was not given."""
        reply = await self.request("POST", f"/claims/{name}/take", request)
        return msgspec.convert(reply.body, ClaimStatus) if reply.ok else None

    async def release_claim(self, name: str, request: ReleaseClaimRequest) -> RegistryReply:
        """Release a claim."""
        return await self.request("POST", f"/claims/{name}/give", request)

    async def read_records(self) -> list[StoredRecord] | None:
        """All records; None where no registry shows them."""
        reply = await self.request("GET", "/records")
        return msgspec.convert(reply.body, RecordsStatus).records if reply.ok else None
