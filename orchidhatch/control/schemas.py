"""Converts the bodies of requests to the control plane into the values and writes that they request.

Every `read_` function raises InvalidRequestError, with field names of the wire, if a field of the body is
unknown, duplicate, missing, of the wrong type or out of bounds.
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
NO_BODY = b"{}"  # replaces an empty body if all fields are optional


# --- endpoints ---


def read_register_endpoint(body: bytes) -> RegisterEndpoint:
    """Read the registration of an endpoint."""
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
    """Read an endpoint of a list that another service sends; a lifecycle of DELETED means a removal.

    Its incarnation and lease are read only if `include_leases` is set and the service sends them, else both
    are 0.
    """
    if not isinstance(value, dict):
        raise InvalidRequestError("an endpoint of the list is not a JSON object")
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
    """Read a new lifecycle of an endpoint."""
    message = decode_message(body, ChangeMessage)
    _check_listed(message.lifecycle)
    id_ = name("instanceId", id_)
    return ChangeLifecycle(id_, message.lifecycle, _optional(message.if_version), message.fence())


def read_remove_endpoint(id_: str, body: bytes) -> RemoveEndpoint:
    """Read the removal of an endpoint; the body may be empty."""
    message = decode_message(body or NO_BODY, RemovalMessage)
    return RemoveEndpoint(
        name("instanceId", id_),
        _optional(message.if_version),
        _optional(message.incarnation),
        message.fence(),
    )


def read_endpoint_incarnation(body: bytes) -> int:
    """Read the incarnation of an endpoint whose lease is to be renewed."""
    return decode_message(body, EndpointRenewalMessage).incarnation


def read_after(value: str) -> int:
    """Read the generation after which a watch resumes; 0 means none."""
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_GENERATION_DIGITS:
        raise InvalidRequestError("after: a generation number is needed")
    return int(value)


def _check_listed(lifecycle: Lifecycle) -> None:
    if lifecycle not in LISTED_LIFECYCLES:
        raise InvalidRequestError(f"lifecycle: one of {', '.join(LISTED_LIFECYCLES)} is needed")


# --- sessions, claims and records ---


def read_open_session(body: bytes) -> OpenSession:
    """Read the start of a session."""
    message = decode_message(body, SessionMessage)
    return OpenSession(Session(message.holder, message.incarnation, message.lease_ms))


def read_session_incarnation(body: bytes) -> str:
    """Read the incarnation of a session that is to be renewed or ended."""
    return decode_message(body, IncarnationMessage).incarnation


def read_take_claim(claim: str, body: bytes) -> TakeClaim:
    """Read the acquisition of a claim by a holder."""
    message = decode_message(body, TakeClaimMessage)
    purpose = _optional(message.purpose) or ""
    return TakeClaim(name("claim", claim), message.holder, message.incarnation, purpose)


def read_release_claim(claim: str, body: bytes) -> ReleaseClaim:
    """Read the release of a claim by its holder."""
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
    """Read an operator's request to suspend or resume a claim."""
    message = decode_message(body, SuspendClaimMessage)
    return SuspendClaim(name("claim", claim), message.suspended)


def read_put_record(record: str, body: bytes) -> PutRecord:
    """Read the write of a record, which an empty text deletes."""
    message = decode_message(body, RecordMessage)
    return PutRecord(name("record", record), message.text, _optional(message.if_version), message.fence())


def read_fence(body: bytes) -> Fence:
    """Read the claim and epoch of a request that requires them."""
    message = decode_message(body, FenceMessage)
    return Fence(message.claim, message.epoch)


def read_optional_fence(body: bytes) -> Fence | None:
    """Read the claim and epoch of a backup, None if not given; the body may be empty."""
    return decode_message(body or NO_BODY, OptionalFenceMessage).fence()


def read_is_forced(body: bytes) -> bool:
    """Read whether a promotion is forced; the body may be empty."""
    return decode_message(body or NO_BODY, PromotionMessage).force


# --- gateways ---


def read_fenced_call(body: bytes) -> tuple[Fence, int]:
    """Read the claim and epoch of a gateway call, and the call's number."""
    message = decode_message(body, FencedCallMessage)
    return Fence(message.claim, message.epoch), message.call_number


def read_register_gateway(body: bytes) -> RegisterGateway:
    """Read the registration of a gateway by its agent."""
    message = decode_message(body, GatewayMessage)
    return RegisterGateway(Gateway(message.name, message.incarnation, message.zone))


def read_policy_lease_renewal(body: bytes) -> PolicyLeaseRenewal:
    """Read the renewal of a gateway's policy lease, with the agent's report on the gateway."""
    return decode_message(body, PolicyLeaseRenewalMessage)


# --- parts of a path, and optional fields ---


class _NameMessage(Message, frozen=True, kw_only=True):
    name: Name


def name(field_name: str, value: str) -> str:
    """Check a name in a request's path and return it. Raises InvalidRequestError if it is malformed."""
    try:
        return convert_message({"name": value}, _NameMessage).name
    except InvalidRequestError as error:
        raise InvalidRequestError(f"{field_name}: {error}") from error


def _optional(value: Any) -> Any:  # noqa: ANN401
    """Return the value of an optional field, None if it is not set."""
    return None if value is UNSET else value
