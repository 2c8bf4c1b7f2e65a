"""Endpoints, the entries of the endpoint list, and the writes that change them.

All is pure: a write and the listed endpoint give the endpoint that is listed next, or a ConflictError.
"""

import json
from enum import StrEnum

import msgspec
from msgspec.structs import replace

from orchidhatch.control.error_signs import OTHER_INCARNATION_SIGN
from orchidhatch.control.errors import ConflictError, NotFoundError
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry.checksums import digest_of

MAX_ENDPOINTS = 100_000


class Lifecycle(StrEnum):
    """How an endpoint may be used; DELETED only in changes and in the history."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


LISTED_LIFECYCLES = (Lifecycle.SERVING, Lifecycle.DRAINING)


class Endpoint(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"machine_type": "kind", "incarnation": "life"},  # as they are stored
):
    """A backend as listed.

    `version` is the generation of its last change, `incarnation` that of its last registration. `lease_ms`
    is for how long it is listed without a renewal; 0: until it is removed.
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
        """Whether this is the mark of a removal."""
        return self.lifecycle == Lifecycle.DELETED


class RegisterEndpoint(msgspec.Struct, frozen=True):
    """List an endpoint, or list it anew after a restart: a new incarnation begins.

    `if_version` 0: only if it is not listed.
    """

    endpoint: Endpoint
    if_version: int | None = None


class ChangeLifecycle(msgspec.Struct, frozen=True):
    """Change how a listed endpoint may be used; `fence` where it is on behalf of the fleet."""

    id: str
    lifecycle: Lifecycle
    if_version: int | None = None
    fence: Fence | None = None


class RemoveEndpoint(msgspec.Struct, frozen=True):
    """Remove an endpoint from the list; only this incarnation, if one is given."""

    id: str
    if_version: int | None = None
    incarnation: int | None = None
    fence: Fence | None = None


class ReplicateEndpoint(msgspec.Struct, frozen=True):
    """List what an upstream has, whatever is listed here. An incarnation of 0 is not known."""

    endpoint: Endpoint


EndpointWrite = RegisterEndpoint | ChangeLifecycle | RemoveEndpoint | ReplicateEndpoint


def target_of(write: EndpointWrite) -> str:
    """The id of the endpoint that a write is about."""
    if isinstance(write, RegisterEndpoint | ReplicateEndpoint):
        return write.endpoint.id
    return write.id


def encode_endpoint(endpoint: Endpoint) -> str:
    """The stored form. Checksums are over this text, so it must not change."""
    return json.dumps(msgspec.to_builtins(endpoint), sort_keys=True, allow_nan=False)


def decode_endpoint(text: str) -> Endpoint:
    """An endpoint in its stored form. Raises ValueError where it is none."""
    return msgspec.convert(json.loads(text), Endpoint)


def endpoint_digest(endpoint: Endpoint | None) -> int:
    """What a listed endpoint adds to the sum of digests; 0 where none is listed."""
    return digest_of(encode_endpoint(endpoint)) if endpoint else 0


def next_endpoint(
    write: EndpointWrite, listed: Endpoint | None, generation: int, listed_count: int
) -> Endpoint:
    """The endpoint as the write leaves it at this generation.

    `listed` is what the list has of it, `listed_count` how many endpoints the list has.

    Raises ConflictError where the write does not fit.
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
        raise ConflictError(f"{write.lifecycle} is no lifecycle that can be set")
    return replace(listed, lifecycle=write.lifecycle, version=generation)


def _check_version(
    write: RegisterEndpoint | ChangeLifecycle | RemoveEndpoint, listed: Endpoint | None
) -> None:
    version = listed.version if listed else 0
    if write.if_version is not None and write.if_version != version:
        raise ConflictError(f"{target_of(write)} is at version {version}, not {write.if_version}")


def _replicated(endpoint: Endpoint, listed: Endpoint | None, generation: int) -> Endpoint:
    known_incarnation = listed.incarnation if listed else generation
    return replace(endpoint, version=generation, incarnation=endpoint.incarnation or known_incarnation)


def _registered(endpoint: Endpoint, listed: Endpoint | None, generation: int, listed_count: int) -> Endpoint:
    if endpoint.lifecycle not in LISTED_LIFECYCLES:
        raise ConflictError(f"{endpoint.id} cannot be registered as {endpoint.lifecycle}")
    if listed is None and listed_count >= MAX_ENDPOINTS:
        raise ConflictError(f"the list holds {MAX_ENDPOINTS} entries, and no more")
    if listed and endpoint.started_ms < listed.started_ms:
        raise ConflictError(f"{endpoint.id} has started anew since")
    return replace(endpoint, version=generation, incarnation=generation)


def _removed(write: RemoveEndpoint, listed: Endpoint, generation: int) -> Endpoint:
    if write.incarnation not in (None, listed.incarnation):
        raise ConflictError(f"{write.id} is in {OTHER_INCARNATION_SIGN} since")
    return replace(listed, lifecycle=Lifecycle.DELETED, version=generation)
