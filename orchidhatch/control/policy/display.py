"""Output of policies, decisions and gateways for operators."""

import msgspec

from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.policy.change_record import ChangeRecord
from orchidhatch.control.policy.document import Policy, document_differences
from orchidhatch.control.policy.fleet_status import FleetStatus, GatewayStatus
from orchidhatch.control.policy.policy_records import Decision

NO_VALUE = "-"


def format_number(number: int) -> str:
    """Return a decision's number as the registry's term, a dot and the count within the term."""
    return f"{number >> EPOCH_COUNT_BITS}.{number & ((1 << EPOCH_COUNT_BITS) - 1)}"


def format_outcome(change: ChangeRecord) -> str:
    """Return the state of a change, followed by its message if it has one."""
    return f"{change.state}: {change.message}" if change.message else str(change.state)


def print_differences(before: Policy | None, after: Policy) -> None:
    """Print the differences between two policies, one a line."""
    if before is None:
        print("no policy is in force yet: the gateways use their own settings files")
        return
    for line in document_differences(msgspec.to_builtins(before), msgspec.to_builtins(after)):
        print(line)


def print_decision(status: FleetStatus) -> None:
    """Print the current decision and the time until it is activated."""
    if not status.is_certain:
        print("not known in this term yet: waiting for the gateways to report their decisions")
    decision = status.decision
    if decision is None:
        return
    name = format_number(decision.number)
    print(f"{name}\t{decision.digest or NO_VALUE}\t{decision.requested_by or ''}\t{decision.reason or ''}")
    if status.remaining_ms is None or status.remaining_ms > 0:
        remaining = (
            "an unknown time" if status.remaining_ms is None else f"{status.remaining_ms / 1000:.1f} s"
        )
        print(f"gateways apply it in {remaining}, and {decision.previous_digest or NO_VALUE} until then")
    if decision.absent:
        print(f"absent when it was decided: {', '.join(decision.absent)}")


def format_gateway(gateway: GatewayStatus) -> str:
    """Return the line that describes a gateway, in columns separated by tabs."""
    columns = [
        gateway.name,
        gateway.zone,
        gateway.state,
        gateway.active_digest or NO_VALUE,
        "serves" if gateway.serves else "out of service",
        gateway.document_error or "",
    ]
    return "\t".join(columns).rstrip()


def format_decision(decision: Decision) -> str:
    """Return the line that describes a past decision, in columns separated by tabs."""
    columns = [
        format_number(decision.number),
        decision.digest or NO_VALUE,
        f"before {decision.previous_digest or NO_VALUE}",
        decision.requested_by or "",
        decision.reason or "",
        f"absent {len(decision.absent or ())}",
    ]
    return "\t".join(columns)
