"""Checks of a policy change: not too many absent gateways, and no increase in failed requests."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum, auto

from msgspec import Struct

from orchidhatch.control.policy.change_record import Gate, OutcomeCounts
from orchidhatch.control.policy.fleet_status import GatewayState, GatewayStatus

# The largest shares of all gateways, and of one zone's gateways, that may be absent at a change without
# force. One gateway of each zone may always be absent.
MAX_ABSENT_SHARE = 0.25
MAX_ABSENT_ZONE_SHARE = 0.5
MIN_ABSENT_IN_ZONE = 1.0


class GateOutcome(Enum):
    """The result of a gate."""

    PASSED = auto()
    FAILED = auto()
    TOO_FEW_REQUESTS = auto()


class GateVerdict(Struct, frozen=True):
    """The outcome of a gate, with the reason if it failed."""

    outcome: GateOutcome
    reason: str = ""


def absence_error(gateways: Iterable[GatewayStatus]) -> str | None:
    """Return why too many gateways are absent for a change; None if there are not too many."""
    listed: Counter[str] = Counter()
    absent: Counter[str] = Counter()
    for gateway in gateways:
        listed[gateway.zone] += 1
        absent[gateway.zone] += gateway.state is GatewayState.ABSENT
    if absent.total() > MAX_ABSENT_SHARE * max(1, listed.total()):
        return f"{absent.total()} of {listed.total()} gateways would be out of service"
    worst_zone = max(absent, key=lambda zone: absent[zone] / listed[zone], default=None)
    if worst_zone is None:
        return None
    limit = max(MIN_ABSENT_IN_ZONE, MAX_ABSENT_ZONE_SHARE * listed[worst_zone])
    if absent[worst_zone] <= limit:
        return None
    share = f"{absent[worst_zone]} of {listed[worst_zone]} gateways"
    return f"{share} of zone {worst_zone} would be out of service"


def check_gate(
    before: OutcomeCounts, at_switch: OutcomeCounts, now: OutcomeCounts, gate: Gate
) -> GateVerdict:
    """Return whether a larger share of requests fails since the switch than before it.

    TOO_FEW_REQUESTS is also the outcome if a gateway was restarted, as its counts start again at 0.
    """
    earlier = counts_between(before, at_switch)
    later = counts_between(at_switch, now)
    if earlier is None or later is None or min(earlier.total(), later.total()) < gate.min_requests:
        return GateVerdict(GateOutcome.TOO_FEW_REQUESTS)
    for name, allowed_increase, earlier_count, later_count in (
        ("errored", gate.errored, earlier.errored, later.errored),
        ("deferred", gate.deferred, earlier.deferred, later.deferred),
    ):
        earlier_share = earlier_count / earlier.total()
        later_share = later_count / later.total()
        if later_share > earlier_share + allowed_increase:
            reason = f"{later_share:.3f} of the requests {name}, {earlier_share:.3f} before"
            return GateVerdict(GateOutcome.FAILED, reason)
    return GateVerdict(GateOutcome.PASSED)


def counts_between(first: OutcomeCounts, second: OutcomeCounts) -> OutcomeCounts | None:
    """Return the increase from the first to the second counts; None if any count is lower in the second."""
    difference = OutcomeCounts(
        answered=second.answered - first.answered,
        deferred=second.deferred - first.deferred,
        errored=second.errored - first.errored,
    )
    lowest = min(difference.answered, difference.deferred, difference.errored)
    return difference if lowest >= 0 else None
