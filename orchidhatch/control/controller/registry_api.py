"""The fleet controller's typed calls to the registry about sessions, claims and records."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.error_signs import CLAIM_SIGN
from orchidhatch.control.http_client import NoResponse
from orchidhatch.control.registry_client import RegistryClient

# The status that stands for the lack of a reply.
NO_REPLY = 0


class RegistryReply(Struct, frozen=True):
    """A registry's reply. The body is the decoded JSON value, or the reason why there is no reply."""

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Return whether the request was carried out."""
        return self.status == HTTPStatus.OK

    @property
    def is_not_found(self) -> bool:
        """Return whether the object of the request does not exist."""
        return self.status == HTTPStatus.NOT_FOUND

    @property
    def is_conflict(self) -> bool:
        """Return whether the request conflicts with the stored state."""
        return self.status == HTTPStatus.CONFLICT

    @property
    def is_unavailable(self) -> bool:
        """Return whether no registry was able to serve the request."""
        return self.status in (NO_REPLY, HTTPStatus.SERVICE_UNAVAILABLE)

    @property
    def is_fenced(self) -> bool:
        """Return whether the request was rejected because its claim is not held at its epoch."""
        return self.is_conflict and CLAIM_SIGN in str(self.body)

    @property
    def error_text(self) -> str:
        """Return the error in the reply as text."""
        if isinstance(self.body, Mapping) and "error" in self.body:
            return str(self.body["error"])
        return str(self.body)


class OpenSessionRequest(Struct):
    """The body of a request to open a session, or to open the same one again."""

    holder: str
    incarnation: str = field(name="life")
    lease_ms: int = field(name="leaseMs")


class SessionRequest(Struct):
    """The body of a request to renew or end a session."""

    incarnation: str = field(name="life")


class TakeClaimRequest(Struct):
    """The body of a request to take a claim that is not held."""

    holder: str
    incarnation: str = field(name="life")
    purpose: str = field(name="what")


class ReleaseClaimRequest(Struct):
    """The body of a request to release a claim.

    If a reason is given, the holder may not take the claim again until another holder has taken it.
    """

    holder: str
    incarnation: str = field(name="life")
    epoch: int
    reason: str = field(name="why")


class FencedRequest(Struct, kw_only=True):
    """The body of a fenced request, which is carried out only while the claim is held at that epoch."""

    claim: str
    epoch: int


class LifecycleRequest(FencedRequest, kw_only=True):
    """The body of a request to change an endpoint's lifecycle."""

    lifecycle: str


class PutRecordRequest(FencedRequest, kw_only=True):
    """The body of a request to write a record; an empty text removes it."""

    text: str
    if_version: int | UnsetType = field(name="ifVersion", default=UNSET)


class StoredRecord(Struct, frozen=True):
    """A record of the registry; each write raises its version."""

    name: str
    text: str
    version: int


class SessionStatus(Struct, frozen=True):
    """A session in a reply of the registry."""

    holder: str


class ClaimStatus(Struct, frozen=True):
    """A claim in a reply of the registry; the holder is empty if the claim is not held."""

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
    """The reply to a renewal: the epochs, by name, of the claims that the session holds."""

    claims: dict[str, int]


class RecordsStatus(Struct, frozen=True):
    """All records of a registry."""

    records: list[StoredRecord]


class RegistryApi:
    """Calls to the registry that accepts writes, which the client finds among those that it knows."""

    def __init__(self, client: RegistryClient) -> None:
        self.client = client

    async def request(self, method: str, path: str, body: Struct | None = None) -> RegistryReply:
        """Send a request and return the reply, whose status is NO_REPLY if no registry answers."""
        value = None if body is None else msgspec.to_builtins(body)
        result = await self.client.call(method, path, value)
        if isinstance(result, NoResponse):
            return RegistryReply(NO_REPLY, result.reason)
        return RegistryReply(result.status, result.value)

    async def open_session(self, request: OpenSessionRequest) -> RegistryReply:
        """Open a session; the reply is a conflict if another process has a session of that name."""
        return await self.request("POST", "/sessions", request)

    async def renew_session(self, holder: str, incarnation: str) -> RegistryReply:
        """Renew a session; the body of a successful reply is a SessionRenewal."""
        return await self.request("POST", f"/sessions/{holder}/renew", SessionRequest(incarnation))

    async def end_session(self, holder: str, incarnation: str) -> RegistryReply:
        """End a session, which releases all its claims."""
        return await self.request("DELETE", f"/sessions/{holder}", SessionRequest(incarnation))

    async def read_claims(self) -> ClaimsStatus | None:
        """Return all sessions and claims; None if no registry returns them."""
        reply = await self.request("GET", "/claims")
        return msgspec.convert(reply.body, ClaimsStatus) if reply.ok else None

    async def take_claim(self, name: str, request: TakeClaimRequest) -> ClaimStatus | None:
        """Take a claim and return it; None if the request failed."""
        reply = await self.request("POST", f"/claims/{name}/take", request)
        return msgspec.convert(reply.body, ClaimStatus) if reply.ok else None

    async def release_claim(self, name: str, request: ReleaseClaimRequest) -> RegistryReply:
        """Release a claim."""
        return await self.request("POST", f"/claims/{name}/give", request)

    async def read_records(self) -> list[StoredRecord] | None:
        """Return all records; None if no registry returns them."""
        reply = await self.request("GET", "/records")
        return msgspec.convert(reply.body, RecordsStatus).records if reply.ok else None
