"""The state of the gateways and the current policy decision, as a registry reports them."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.policy.change_record import OutcomeCounts
from orchidhatch.control.policy.policy_records import Decision
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, LEASE_S

DECISION_FIELD = "now"


class GatewayState(StrEnum):
    """The state of a gateway's policy lease.

    A present gateway holds a valid lease, a silent one may still serve, and an absent one can no longer
    serve.
    """

    PRESENT = "present"
    SILENT = "silent"
    ABSENT = "absent"


def is_absent(age_s: float) -> bool:
    """Return whether a gateway whose last renewal is that old can no longer admit requests."""
    return age_s > ABSENT_AFTER_S


def state_by_age(age_s: float, has_renewed: bool) -> GatewayState:
    """Return the state of a gateway by the age of its last renewal.

    For a gateway that has not renewed since the registry's start, the age is counted from that start and does
    not show whether the gateway has a lease.
    """
    if is_absent(age_s):
        return GatewayState.ABSENT
    if has_renewed and age_s <= LEASE_S:
        return GatewayState.PRESENT
    return GatewayState.SILENT


class GatewayStatus(Struct, kw_only=True, frozen=True):
    """The state of one gateway. Fields that its agent reports are unset until it renews at this registry.

    `active_digest` identifies the document that the gateway applies, `ready` those that it is ready to apply.
    `document_error` is the digest of a document that it cannot apply, a space and the reason.
    """

    name: str
    zone: str
    age_ms: int = field(name="ageMs", default=0)
    state: GatewayState
    active_digest: str | UnsetType = field(name="has", default=UNSET)
    number: int | UnsetType = UNSET
    ready: tuple[str, ...] | UnsetType = UNSET
    document_error: str | UnsetType = field(name="flaw", default=UNSET)
    counts: OutcomeCounts | UnsetType = UNSET
    serves: bool | UnsetType = UNSET


class FleetStatus(Struct, kw_only=True, frozen=True):
    """All gateways and the current decision.

    `is_certain` says whether the decision is of the registry's own term, so that no later one can be missing.
    `remaining_ms` is the time until the activation time, negative after it; None while that is unknown.
    """

    is_certain: bool = field(name="sure")
    decision: Decision | None = field(name=DECISION_FIELD)
    remaining_ms: int | None = field(name="leftMs")
    gateways: tuple[GatewayStatus, ...] = field(name="doors")


def encode_fleet_status(status: FleetStatus) -> dict[str, Any]:
    """Return the status as a JSON value, in which an empty object stands for no decision."""
    values = msgspec.to_builtins(status)
    return values | {DECISION_FIELD: values[DECISION_FIELD] or {}}


def decode_fleet_status(value: Mapping[str, Any]) -> FleetStatus:
    """Return the status in a JSON value; raises msgspec.ValidationError if the value is malformed."""
    return msgspec.convert({**value, DECISION_FIELD: value.get(DECISION_FIELD) or None}, FleetStatus)


def total_counts(gateways: Iterable[GatewayStatus]) -> OutcomeCounts:
    """Return the sum of the request outcomes that present gateways report."""
    counts = [
        gateway.counts
        for gateway in gateways
        if gateway.state is GatewayState.PRESENT and gateway.counts is not UNSET
    ]
    return OutcomeCounts(
        answered=sum(count.answered for count in counts),
        deferred=sum(count.deferred for count in counts),
        errored=sum(count.errored for count in counts),
    )
