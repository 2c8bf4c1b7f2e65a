"""How the gateways are and which policy holds, as a registry shows it."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.policy.change_record import EndCounts
from orchidhatch.control.policy.policy_records import Decision
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, LEASE_S

DECISION_FIELD = "now"


class GatewayState(StrEnum):
    """Whether a gateway serves for certain, may serve, or cannot serve any more."""

    PRESENT = "present"
    SILENT = "silent"
    ABSENT = "absent"


def is_absent(age_s: float) -> bool:
    """Whether a gateway that last renewed its lease so long ago admits no request any more."""
    return age_s > ABSENT_AFTER_S


def state_by_age(age_s: float, has_renewed: bool) -> GatewayState:
    """The state of a gateway that last renewed its lease so long ago.

    Where it has not renewed since the registry's start, the age is the registry's, and tells of no lease.
    """
    if is_absent(age_s):
        return GatewayState.ABSENT
    if has_renewed and age_s <= LEASE_S:
        return GatewayState.PRESENT
    return GatewayState.SILENT


class GatewayStatus(Struct, kw_only=True, frozen=True):
    """One gateway. What its agent reports is unset until it has renewed at this registry.

    `active_digest` is of the document that it goes by, `ready` of those that it could go by; the document
    error is the digest of one that it cannot go by, a space and the reason.
    """

    name: str
    zone: str
    age_ms: int = field(name="ageMs", default=0)
    state: GatewayState
    active_digest: str | UnsetType = field(name="has", default=UNSET)
    number: int | UnsetType = UNSET
    ready: tuple[str, ...] | UnsetType = UNSET
    document_error: str | UnsetType = field(name="flaw", default=UNSET)
    counts: EndCounts | UnsetType = UNSET
    serves: bool | UnsetType = UNSET


class FleetStatus(Struct, kw_only=True, frozen=True):
    """All gateways and the decision that holds.

    `is_certain`: the registry knows that it misses no decision, which it does once one is of its own term.
    `remaining_ms`: until the activation time, negative after it; None while the time is not known.
    """

    is_certain: bool = field(name="sure")
    decision: Decision | None = field(name=DECISION_FIELD)
    remaining_ms: int | None = field(name="leftMs")
    gateways: tuple[GatewayStatus, ...] = field(name="doors")


def encode_fleet_status(status: FleetStatus) -> dict[str, Any]:
    """The status as a JSON value. An empty object stands for no decision."""
    values = msgspec.to_builtins(status)
    return values | {DECISION_FIELD: values[DECISION_FIELD] or {}}


def decode_fleet_status(value: Mapping[str, Any]) -> FleetStatus:
    """A status from its JSON value; raises msgspec.ValidationError where it is none."""
    return msgspec.convert({**value, DECISION_FIELD: value.get(DECISION_FIELD) or None}, FleetStatus)


def total_counts(gateways: Iterable[GatewayStatus]) -> EndCounts:
    """How requests ended at all present gateways that report it."""
    counts = [
        gateway.counts
        for gateway in gateways
        if gateway.state is GatewayState.PRESENT and gateway.counts is not UNSET
    ]
    return EndCounts(
        answered=sum(one.answered for one in counts),
        deferred=sum(one.deferred for one in counts),
        errored=sum(one.errored for one in counts),
    )
