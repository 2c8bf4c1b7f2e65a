"""Requests to the control plane, as typed messages, and what each of them asks for.

The fields' names are those of the wire. Every `read_` function raises InvalidRequestError for a body that is
not such a message: a field that is unknown, given twice, lacking, of another type or out of bounds.
"""

from typing import Any

from msgspec import UNSET

from orchidhatch.control.errors import InvalidRequestError
from orchidhatch.control.field_types import Message, Name
from orchidhatch.control.json_body import (
    convert_message,
    decode_message,
)
from orchidhatch.control.ownership.objects import Fence, Gateway, Session
from orchidhatch.control.ownership.writes import (
    OpenSession,
    PutRecord,
    RegisterGateway,
    ReleaseClaim,
    SuspendClaim,
    TakeClaim,
)
from orchidhatch.control.policy.policy_lease_messages import PolicyLeaseRenewal
from orchidhatch.control.registry.endpoints import (
    LISTED_LIFECYCLES,
    ChangeLifecycle,
    Endpoint,
    Lifecycle,
    RegisterEndpoint,
    RemoveEndpoint,
)
from orchidhatch.control.request_messages import (
    ChangeMessage,
    EndpointRenewalMessage,
    FencedCallMessage,
    FenceMessage,
    GatewayMessage,
    IncarnationMessage,
    OptionalFenceMessage,
    PolicyLeaseRenewalMessage,
    PromotionMessage,
    RecordMessage,
    RegistrationMessage,
    ReleaseClaimMessage,
    RemovalMessage,
    ReplicatedMessage,
    ReplicatedWithLeaseMessage,
    SessionMessage,
    SuspendClaimMessage,
    TakeClaimMessage,
)

MAX_GENERATION_DIGITS = 16
NO_BODY = b"{}"  # in place of a body that is empty, where all fields are optional


# --- endpoints ---


def read_register_endpoint(body: bytes) -> RegisterEndpoint:
    """An endpoint that is listed, or listed anew."""
    message = decode_message(body, RegistrationMessage)
    _check_listed(message.lifecycle)
    endpoint = Endpoint(
        message.instance_id,
        message.address,
        message.zone,
        message.machine_type,
        message.cell,
        message.lifecycle,
        message.weight,
        message.started_ms,
        lease_ms=message.lease_ms,
    )
    return RegisterEndpoint(endpoint, _optional(message.if_version))


def read_replicated_endpoint(value: object, include_leases: bool = False) -> Endpoint:
    """An endpoint of a list that another service sends, with incarnation and lease if it sends them and they
    are asked for. A lifecycle of DELETED is a removal.
    """
    if not isinstance(value, dict):
        raise InvalidRequestError("an entry is not a JSON object")
    message = convert_message(value, ReplicatedWithLeaseMessage if include_leases else ReplicatedMessage)
    return Endpoint(
        message.instance_id,
        message.address,
        message.zone,
        message.machine_type,
        message.cell,
        message.lifecycle,
        message.weight,
        message.started_ms,
        incarnation=message.incarnation if include_leases else 0,
        lease_ms=message.lease_ms if include_leases else 0,
    )


def read_change_lifecycle(id_: str, body: bytes) -> ChangeLifecycle:
    """Another lifecycle for an endpoint."""
    message = decode_message(body, ChangeMessage)
    _check_listed(message.lifecycle)
    id_ = name("instanceId", id_)
    return ChangeLifecycle(id_, message.lifecycle, _optional(message.if_version), message.fence())


def read_remove_endpoint(id_: str, body: bytes) -> RemoveEndpoint:
    """The removal of an endpoint; the body may be empty."""
    message = decode_message(body or NO_BODY, RemovalMessage)
    return RemoveEndpoint(
        name("instanceId", id_),
        _optional(message.if_version),
        _optional(message.incarnation),
        message.fence(),
    )


def read_endpoint_incarnation(body: bytes) -> int:
    """The incarnation of an endpoint whose lease is renewed."""
    return decode_message(body, EndpointRenewalMessage).incarnation


def read_after(value: str) -> int:
    """The generation that a watch resumes after; 0 for one that knows none."""
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_GENERATION_DIGITS:
        raise InvalidRequestError("after: a generation is needed")
    return int(value)


def _check_listed(lifecycle: Lifecycle) -> None:
    if lifecycle not in LISTED_LIFECYCLES:
        raise InvalidRequestError(f"lifecycle: one of {', '.join(LISTED_LIFECYCLES)} is needed")


# --- sessions, claims and records ---


def read_open_session(body: bytes) -> OpenSession:
    """A session that begins."""
    message = decode_message(body, SessionMessage)
    return OpenSession(Session(message.holder, message.incarnation, message.lease_ms))


def read_session_incarnation(body: bytes) -> str:
    """The incarnation of a session that is renewed or ended."""
    return decode_message(body, IncarnationMessage).incarnation


def read_take_claim(claim: str, body: bytes) -> TakeClaim:
    """A holder that takes a claim."""
    message = decode_message(body, TakeClaimMessage)
    purpose = _optional(message.purpose) or ""
    return TakeClaim(name("claim", claim), message.holder, message.incarnation, purpose)


def read_release_claim(claim: str, body: bytes) -> ReleaseClaim:
    """A holder that releases a claim."""
    message = decode_message(body, ReleaseClaimMessage)
    return ReleaseClaim(
        name("claim", claim),
        message.holder,
        message.incarnation,
        message.epoch,
        _optional(message.handed_to) or "",
        message.reason,
    )


def read_suspend_claim(claim: str, body: bytes) -> SuspendClaim:
    """An operator who suspends a claim, or lets it be taken again."""
    message = decode_message(body, SuspendClaimMessage)
    return SuspendClaim(name("claim", claim), message.suspended)


def read_put_record(record: str, body: bytes) -> PutRecord:
    """A record that is written, or removed by an empty text."""
    message = decode_message(body, RecordMessage)
    return PutRecord(name("record", record), message.text, _optional(message.if_version), message.fence())


def read_fence(body: bytes) -> Fence:
    """The claim that a request must be made under."""
    message = decode_message(body, FenceMessage)
    return Fence(message.claim, message.epoch)


def read_optional_fence(body: bytes) -> Fence | None:
    """The claim that a backup is made under, if any; the body may be empty."""
    return decode_message(body or NO_BODY, OptionalFenceMessage).fence()


def read_is_forced(body: bytes) -> bool:
    """Whether a promotion is forced; the body may be empty."""
    return decode_message(body or NO_BODY, PromotionMessage).force


# --- gateways ---


def read_fenced_call(body: bytes) -> tuple[Fence, int]:
    """The claim that a call to a gateway is made under, and the call's number."""
    message = decode_message(body, FencedCallMessage)
    return Fence(message.claim, message.epoch), message.call_number


def read_register_gateway(body: bytes) -> RegisterGateway:
    """A gateway that an agent registers."""
    message = decode_message(body, GatewayMessage)
    return RegisterGateway(Gateway(message.name, message.incarnation, message.zone))


def read_policy_lease_renewal(body: bytes) -> PolicyLeaseRenewal:
    """The renewal of a gateway's policy lease, with an agent's report of the gateway."""
    return decode_message(body, PolicyLeaseRenewalMessage)


# --- parts of a path, and optional fields ---


class _NameMessage(Message, frozen=True, kw_only=True):
    name: Name


def name(field_name: str, value: str) -> str:
    """A name in a request's path. Raises InvalidRequestError."""
    try:
        return convert_message({"name": value}, _NameMessage).name
    except InvalidRequestError as error:
        raise InvalidRequestError(f"{field_name}: {error}") from error


def _optional(value: Any) -> Any:  # noqa: ANN401
    """None for a field that is not given."""
    return None if value is UNSET else value
