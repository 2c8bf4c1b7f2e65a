"""The requests to the control plane as typed messages, whose fields msgspec checks.

Attributes use the terms of the code; `name` gives the older name of a field on the wire.
"""

from typing import ClassVar

from msgspec import UNSET, UnsetType, field

from orchidhatch.control.field_types import (
    Cell,
    Check,
    Message,
    Name,
    NonNegative,
    OptionalLeaseMs,
    Reason,
    SessionLeaseMs,
    Text,
    Weight,
    check_fields,
)
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.policy.policy_lease_messages import PolicyLeaseRenewal
from orchidhatch.control.registry.endpoints import Lifecycle

ENDPOINT_CHECKS = {"address": Check.ADDRESS, "zone": Check.PRINTABLE, "machine_type": Check.PRINTABLE}


class RegistrationMessage(Message, frozen=True, kw_only=True):
    """The registration of an endpoint."""

    CHECKS: ClassVar[dict[str, Check]] = ENDPOINT_CHECKS
    instance_id: Name = field(name="instanceId")
    address: str = field(name="hostPort")
    zone: Text
    machine_type: Text = field(name="machineType")
    cell: Cell = 0
    lifecycle: Lifecycle = Lifecycle.SERVING
    weight: Weight = 1.0
    started_ms: NonNegative = field(name="startedAtMs", default=0)
    lease_ms: OptionalLeaseMs = field(name="leaseMs", default=0)
    if_version: NonNegative | UnsetType = field(name="ifVersion", default=UNSET)


class ReplicatedMessage(Message, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """An endpoint of a list that another service sends; unknown fields are ignored."""

    CHECKS: ClassVar[dict[str, Check]] = ENDPOINT_CHECKS
    instance_id: Name = field(name="instanceId")
    address: str = field(name="hostPort")
    zone: Text
    machine_type: Text = field(name="machineType")
    cell: Cell
    lifecycle: Lifecycle
    weight: Weight
    started_ms: NonNegative = field(name="startedAtMs")


class ReplicatedWithLeaseMessage(ReplicatedMessage, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """An endpoint in the form that replicas request, with incarnation and lease."""

    incarnation: NonNegative = field(name="life", default=0)
    lease_ms: OptionalLeaseMs = field(name="leaseMs", default=0)


class FenceMessage(Message, frozen=True, kw_only=True):
    """The claim that a request is made under."""

    claim: Name
    epoch: NonNegative


class FencedCallMessage(FenceMessage, frozen=True, kw_only=True):
    """A call to a gateway under a claim, with the call's number."""

    call_number: NonNegative = field(name="act")


class OptionalFenceMessage(Message, frozen=True, kw_only=True):
    """A request that may be made under a claim; it has both claim and epoch, or neither."""

    claim: Name | UnsetType = UNSET
    epoch: NonNegative | UnsetType = UNSET

    def __post_init__(self) -> None:
        """Raise ValueError if only one of claim and epoch is set."""
        super().__post_init__()
        if (self.claim is UNSET) != (self.epoch is UNSET):
            raise ValueError("claim and epoch must be given together")

    def fence(self) -> Fence | None:
        """Return the claim and epoch, None if they are not set."""
        return None if self.claim is UNSET else Fence(self.claim, self.epoch)


class ChangeMessage(OptionalFenceMessage, frozen=True, kw_only=True):
    """A new lifecycle of an endpoint."""

    lifecycle: Lifecycle
    if_version: NonNegative | UnsetType = field(name="ifVersion", default=UNSET)


class RemovalMessage(OptionalFenceMessage, frozen=True, kw_only=True):
    """The removal of an endpoint."""

    if_version: NonNegative | UnsetType = field(name="ifVersion", default=UNSET)
    incarnation: NonNegative | UnsetType = field(name="life", default=UNSET)


class EndpointRenewalMessage(Message, frozen=True, kw_only=True):
    """The renewal of an endpoint's lease."""

    incarnation: NonNegative = field(name="life")


class SessionMessage(Message, frozen=True, kw_only=True):
    """The start of a session."""

    holder: Name
    incarnation: Name = field(name="life")
    lease_ms: SessionLeaseMs = field(name="leaseMs")


class IncarnationMessage(Message, frozen=True, kw_only=True):
    """The incarnation of a session that is to be renewed or ended."""

    incarnation: Name = field(name="life")


class TakeClaimMessage(Message, frozen=True, kw_only=True):
    """The acquisition of a claim by a holder."""

    CHECKS: ClassVar[dict[str, Check]] = {"purpose": Check.PRINTABLE}
    holder: Name
    incarnation: Name = field(name="life")
    purpose: Text | UnsetType = field(name="what", default=UNSET)


class ReleaseClaimMessage(Message, frozen=True, kw_only=True):
    """The release of a claim by its holder."""

    CHECKS: ClassVar[dict[str, Check]] = {"reason": Check.PRINTABLE}
    holder: Name
    incarnation: Name = field(name="life")
    epoch: NonNegative
    handed_to: Name | UnsetType = field(name="to", default=UNSET)
    reason: Reason = field(name="why", default="")


class SuspendClaimMessage(Message, frozen=True, kw_only=True):
    """Whether a claim is to be suspended or resumed."""

    suspended: bool = field(name="on")


class RecordMessage(OptionalFenceMessage, frozen=True, kw_only=True):
    """The new text of a record."""

    CHECKS: ClassVar[dict[str, Check]] = {"text": Check.RECORD}
    text: str
    if_version: NonNegative | UnsetType = field(name="ifVersion", default=UNSET)


class GatewayMessage(Message, frozen=True, kw_only=True):
    """The registration of a gateway by its agent."""

    CHECKS: ClassVar[dict[str, Check]] = {"zone": Check.PRINTABLE}
    name: Name
    incarnation: Name = field(name="life")
    zone: Text


class PolicyLeaseRenewalMessage(PolicyLeaseRenewal, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A policy lease renewal as a registry reads it, with checks that agents do not make."""

    CHECKS: ClassVar[dict[str, Check]] = {"document_error": Check.PRINTABLE, "document_text": Check.RECORD}

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError if one is invalid."""
        check_fields(self, self.CHECKS)


class PromotionMessage(Message, frozen=True, kw_only=True):
    """A promotion; `force` promotes the replica even if its upstream still answers."""

    force: bool = False
