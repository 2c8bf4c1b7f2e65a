"""Endpoints, which are the entries of the endpoint list, and the writes that change them.

All functions are pure: a write and the listed endpoint determine the new endpoint, or a ConflictError.
"""

import json
from enum import StrEnum

import msgspec
from msgspec.structs import replace

from orchidhatch.control.error_signs import OTHER_INCARNATION_SIGN
from orchidhatch.control.errors import ConflictError, NotFoundError
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry.checksums import text_digest

MAX_ENDPOINTS = 100_000


class Lifecycle(StrEnum):
    """The lifecycle state of an endpoint; DELETED occurs only in changes and in the history."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


LISTED_LIFECYCLES = (Lifecycle.SERVING, Lifecycle.DRAINING)


class Endpoint(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"machine_type": "kind", "incarnation": "life"},  # field names in the store
):
    """A backend in the endpoint list.

    `version` is the generation of its last change, `incarnation` that of its last registration. `lease_ms`
    is how long it stays listed without a renewal; 0 means until it is removed.
    """

    id: str
    address: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: Lifecycle
    weight: float
    started_ms: int
    version: int = 0
    incarnation: int = 0
    lease_ms: int = 0

    @property
    def is_deleted(self) -> bool:
        """Whether this represents a removal."""
        return self.lifecycle == Lifecycle.DELETED


class RegisterEndpoint(msgspec.Struct, frozen=True):
    """Add an endpoint, or replace it after a restart; a new incarnation begins.

    With an `if_version` of 0, the write succeeds only if the endpoint is not listed.
    """

    endpoint: Endpoint
    if_version: int | None = None


class ChangeLifecycle(msgspec.Struct, frozen=True):
    """Change the lifecycle state of a listed endpoint; a controller passes the `fence` of its claim."""

    id: str
    lifecycle: Lifecycle
    if_version: int | None = None
    fence: Fence | None = None


class RemoveEndpoint(msgspec.Struct, frozen=True):
    """Remove an endpoint; if `incarnation` is given, only that incarnation."""

    id: str
    if_version: int | None = None
    incarnation: int | None = None
    fence: Fence | None = None


class ReplicateEndpoint(msgspec.Struct, frozen=True):
    """Copy an upstream's endpoint over the one listed here. An incarnation of 0 means unknown."""

    endpoint: Endpoint


EndpointWrite = RegisterEndpoint | ChangeLifecycle | RemoveEndpoint | ReplicateEndpoint


def target_id(write: EndpointWrite) -> str:
    """Return the id of the endpoint that a write changes."""
    if isinstance(write, RegisterEndpoint | ReplicateEndpoint):
        return write.endpoint.id
    return write.id


def encode_endpoint(endpoint: Endpoint) -> str:
    """Encode an endpoint for storage. Checksums cover this text, so the format must not change."""
    return json.dumps(msgspec.to_builtins(endpoint), sort_keys=True, allow_nan=False)


def decode_endpoint(text: str) -> Endpoint:
    """Decode an endpoint from its stored form. Raises ValueError if the text is malformed."""
    return msgspec.convert(json.loads(text), Endpoint)


def endpoint_digest(endpoint: Endpoint | None) -> int:
    """Return an endpoint's share of the sum of digests; 0 if no endpoint is listed."""
    return text_digest(encode_endpoint(endpoint)) if endpoint else 0


def next_endpoint(
    write: EndpointWrite, listed: Endpoint | None, generation: int, listed_count: int
) -> Endpoint:
    """Return the endpoint that results from a write at this generation.

    `listed` is the endpoint in the list, None if it has none; `listed_count` is the length of the list.

    Raises ConflictError if the write does not fit the listed endpoint.
    """
    if isinstance(write, ReplicateEndpoint):
        return _replicated(write.endpoint, listed, generation)
    _check_version(write, listed)
    if isinstance(write, RegisterEndpoint):
        return _registered(write.endpoint, listed, generation, listed_count)
    if listed is None:
        raise NotFoundError(f"{write.id} is not listed")
    if isinstance(write, RemoveEndpoint):
        return _removed(write, listed, generation)
    if write.lifecycle not in LISTED_LIFECYCLES:
        raise ConflictError(f"the lifecycle cannot be set to {write.lifecycle}")
    return replace(listed, lifecycle=write.lifecycle, version=generation)


def _check_version(
    write: RegisterEndpoint | ChangeLifecycle | RemoveEndpoint, listed: Endpoint | None
) -> None:
    version = listed.version if listed else 0
    if write.if_version is not None and write.if_version != version:
        raise ConflictError(f"{target_id(write)} is at version {version}, not {write.if_version}")


def _replicated(endpoint: Endpoint, listed: Endpoint | None, generation: int) -> Endpoint:
    known_incarnation = listed.incarnation if listed else generation
    return replace(endpoint, version=generation, incarnation=endpoint.incarnation or known_incarnation)


def _registered(endpoint: Endpoint, listed: Endpoint | None, generation: int, listed_count: int) -> Endpoint:
    if endpoint.lifecycle not in LISTED_LIFECYCLES:
        raise ConflictError(f"{endpoint.id} cannot be registered as {endpoint.lifecycle}")
    if listed is None and listed_count >= MAX_ENDPOINTS:
        raise ConflictError(f"the endpoint list has reached its limit of {MAX_ENDPOINTS} entries")
    if listed and endpoint.started_ms < listed.started_ms:
        raise ConflictError(f"a later start of {endpoint.id} is already registered")
    return replace(endpoint, version=generation, incarnation=generation)


def _removed(write: RemoveEndpoint, listed: Endpoint, generation: int) -> Endpoint:
    if write.incarnation not in (None, listed.incarnation):
        raise ConflictError(f"{write.id} has been re-registered since, in {OTHER_INCARNATION_SIGN}")
    return replace(listed, lifecycle=Lifecycle.DELETED, version=generation)
