"""The requests to the control plane as typed messages; msgspec checks types and bounds of their fields.

The attributes have the terms of the code, the fields on the wire their older names.
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
    """An endpoint that registers itself."""

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
    """An endpoint of a list that another service sends; there may be fields that are unknown here."""

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
    """The same in the form that replicas ask for."""

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
    """A request that may be made under a claim; one of claim and epoch alone makes no sense."""

    claim: Name | UnsetType = UNSET
    epoch: NonNegative | UnsetType = UNSET

    def __post_init__(self) -> None:
        """Raise ValueError where one of both is lacking."""
        super().__post_init__()
        if (self.claim is UNSET) != (self.epoch is UNSET):
            raise ValueError("claim and epoch go together")

    def fence(self) -> Fence | None:
        """The claim and epoch, if they are given."""
        return None if self.claim is UNSET else Fence(self.claim, self.epoch)


class ChangeMessage(OptionalFenceMessage, frozen=True, kw_only=True):
    """Another lifecycle for an endpoint."""

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
    """A session that begins."""

    holder: Name
    incarnation: Name = field(name="life")
    lease_ms: SessionLeaseMs = field(name="leaseMs")


class IncarnationMessage(Message, frozen=True, kw_only=True):
    """The incarnation of a session that is renewed or ended."""

    incarnation: Name = field(name="life")


class TakeClaimMessage(Message, frozen=True, kw_only=True):
    """A holder that takes a claim."""

    CHECKS: ClassVar[dict[str, Check]] = {"purpose": Check.PRINTABLE}
    holder: Name
    incarnation: Name = field(name="life")
    purpose: Text | UnsetType = field(name="what", default=UNSET)


class ReleaseClaimMessage(Message, frozen=True, kw_only=True):
    """A holder that releases a claim."""

    CHECKS: ClassVar[dict[str, Check]] = {"reason": Check.PRINTABLE}
    holder: Name
    incarnation: Name = field(name="life")
    epoch: NonNegative
    handed_to: Name | UnsetType = field(name="to", default=UNSET)
    reason: Reason = field(name="why", default="")


class SuspendClaimMessage(Message, frozen=True, kw_only=True):
    """Whether a claim is suspended."""

    suspended: bool = field(name="on")


class RecordMessage(OptionalFenceMessage, frozen=True, kw_only=True):
    """The text of a record."""

    CHECKS: ClassVar[dict[str, Check]] = {"text": Check.RECORD}
    text: str
    if_version: NonNegative | UnsetType = field(name="ifVersion", default=UNSET)


class GatewayMessage(Message, frozen=True, kw_only=True):
    """A gateway that an agent registers."""

    CHECKS: ClassVar[dict[str, Check]] = {"zone": Check.PRINTABLE}
    name: Name
    incarnation: Name = field(name="life")
    zone: Text


class PolicyLeaseRenewalMessage(PolicyLeaseRenewal, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A renewal as a registry reads it. Agents send what they have, and do not check it."""

    CHECKS: ClassVar[dict[str, Check]] = {"document_error": Check.PRINTABLE, "document_text": Check.RECORD}

    def __post_init__(self) -> None:
        """Raise ValueError for a field that fails its check."""
        check_fields(self, self.CHECKS)


class PromotionMessage(Message, frozen=True, kw_only=True):
    """Whether a promotion is to be done though the upstream still answers."""

    force: bool = False
