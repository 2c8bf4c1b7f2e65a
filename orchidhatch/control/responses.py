"""Responses of the control plane as typed messages; `name` gives a field's name on the wire."""

from collections.abc import Iterable, Sequence

import msgspec

from orchidhatch.control.ownership.objects import Claim, Gateway, OwnedObject, Record, Session
from orchidhatch.control.registry.endpoints import Endpoint


class HealthResponse(msgspec.Struct, frozen=True):
    """The health of a service that is not a replica."""

    health: str


class ReplicaHealthResponse(msgspec.Struct, frozen=True, rename="camel"):
    """The health of a replica, with the age of its list and its upstream."""

    health: str
    connected: bool
    lag_seconds: float
    upstream: str = msgspec.field(name="follows")


class ListedEndpoint(msgspec.Struct, frozen=True, rename="camel"):
    """An endpoint as the list shows it to gateways."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: str
    weight: float
    started_at_ms: int


class EndpointResponse(ListedEndpoint, frozen=True, rename="camel"):
    """An endpoint for writers and replicas, with the version and incarnation that the next write names."""

    version: int
    incarnation: int = msgspec.field(name="life")
    lease_ms: int


class WatchEvent(msgspec.Struct, frozen=True):
    """The whole endpoint list (`reset`), or the changes since an earlier generation."""

    generation: int
    reset: bool
    instances: Sequence[ListedEndpoint]


class SessionResponse(msgspec.Struct, frozen=True, rename="camel"):
    """A session."""

    holder: str
    incarnation: str = msgspec.field(name="life")
    lease_ms: int


class OwnershipResponse(msgspec.Struct, frozen=True):
    """All sessions and claims, and the version of this state."""

    version: str
    sessions: Sequence[SessionResponse]
    claims: Sequence[Claim]


class RecordsResponse(msgspec.Struct, frozen=True):
    """All records."""

    records: Sequence[Record]


class SessionRenewalResponse(msgspec.Struct, frozen=True):
    """The epochs of all claims that the session holds, by claim."""

    version: str
    claims: dict[str, int]


class EndpointRenewalResponse(msgspec.Struct, frozen=True, rename="camel"):
    """The incarnation whose lease was renewed."""

    instance_id: str
    incarnation: int = msgspec.field(name="life")


class LeaseExpiryResponse(msgspec.Struct, frozen=True):
    """How many overdue endpoints are being removed, and how many removals are withheld."""

    removing: int = msgspec.field(name="ending")
    withheld: int = msgspec.field(name="held")


class TermResponse(msgspec.Struct, frozen=True):
    """A registry's term."""

    term: int


class PromotionResponse(msgspec.Struct, frozen=True, rename="camel"):
    """The initial state of a promoted registry, and how far it was behind its upstream."""

    term: int
    generation: int
    entries: int
    upstream_generation: int = msgspec.field(name="heardGeneration")
    lag_seconds: float


def listed_endpoint(endpoint: Endpoint) -> ListedEndpoint:
    """Return an endpoint as the list shows it to gateways."""
    return ListedEndpoint(
        endpoint.id,
        endpoint.address,
        endpoint.zone,
        endpoint.machine_type,
        endpoint.cell,
        endpoint.lifecycle,
        endpoint.weight,
        endpoint.started_ms,
    )


def endpoint_response(endpoint: Endpoint) -> EndpointResponse:
    """Return an endpoint with its version, incarnation and lease."""
    return EndpointResponse(
        endpoint.id,
        endpoint.address,
        endpoint.zone,
        endpoint.machine_type,
        endpoint.cell,
        endpoint.lifecycle,
        endpoint.weight,
        endpoint.started_ms,
        endpoint.version,
        endpoint.incarnation,
        endpoint.lease_ms,
    )


def session_response(session: Session) -> SessionResponse:
    """Return the response for a session."""
    return SessionResponse(session.id, session.incarnation, session.lease_ms)


def outcome_value(
    outcome: Endpoint | OwnedObject,
) -> EndpointResponse | SessionResponse | Claim | Record | Gateway:
    """Return the value of the response to a successful write."""
    if isinstance(outcome, Endpoint):
        return endpoint_response(outcome)
    if isinstance(outcome, Session):
        return session_response(outcome)
    return outcome


def encode_watch_event(
    generation: int, is_whole: bool, endpoints: Iterable[Endpoint], include_leases: bool = False
) -> bytes:
    """Return the whole list or its changes as one line; replicas request the form with leases."""
    convert_endpoint = endpoint_response if include_leases else listed_endpoint
    event = WatchEvent(generation, is_whole, [convert_endpoint(endpoint) for endpoint in endpoints])
    return msgspec.json.encode(event) + b"\n"
