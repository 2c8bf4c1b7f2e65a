"""How policies, decisions and gateways are printed for operators."""

import msgspec

from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.policy.change_record import ChangeRecord
from orchidhatch.control.policy.document import Policy, document_differences
from orchidhatch.control.policy.fleet_status import FleetStatus, GatewayStatus
from orchidhatch.control.policy.policy_records import Decision

NOTHING = "-"


def format_number(number: int) -> str:
    """A decision's number for people: the registry's term, and the count in it."""
    return f"{number >> EPOCH_COUNT_BITS}.{number & ((1 << EPOCH_COUNT_BITS) - 1)}"


def format_outcome(change: ChangeRecord) -> str:
    """How far a change is, and why."""
    return f"{change.state}: {change.message}" if change.message else str(change.state)


def print_differences(before: Policy | None, after: Policy) -> None:
    """What a document changes, a line each."""
    if before is None:
        print("the gateways go by their own files so far")
        return
    for line in document_differences(msgspec.to_builtins(before), msgspec.to_builtins(after)):
        print(line)


def print_decision(status: FleetStatus) -> None:
    """The decision that holds, and from when on."""
    if not status.is_certain:
        print("not known in this term yet: waits for the gateways to report what they go by")
    decision = status.decision
    if decision is None:
        return
    name = format_number(decision.number)
    print(f"{name}\t{decision.digest or NOTHING}\t{decision.requested_by or ''}\t{decision.reason or ''}")
    if status.remaining_ms is None or status.remaining_ms > 0:
        remaining = (
            "a time not known yet" if status.remaining_ms is None else f"{status.remaining_ms / 1000:.1f} s"
        )
        print(f"gateways go by it in {remaining}, and by {decision.previous_digest or NOTHING} until then")
    if decision.absent:
        print(f"absent when it was decided: {', '.join(decision.absent)}")


def format_gateway(gateway: GatewayStatus) -> str:
    """One gateway for people."""
    columns = [
        gateway.name,
        gateway.zone,
        gateway.state,
        gateway.active_digest or NOTHING,
        "serves" if gateway.serves else "out of service",
        gateway.document_error or "",
    ]
    return "\t".join(columns).rstrip()


def format_decision(decision: Decision) -> str:
    """A decision of the history, in columns."""
    columns = [
        format_number(decision.number),
        decision.digest or NOTHING,
        f"before {decision.previous_digest or NOTHING}",
        decision.requested_by or "",
        decision.reason or "",
        f"absent {len(decision.absent or ())}",
    ]
    return "\t".join(columns)
