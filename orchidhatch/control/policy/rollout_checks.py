"""What a change must not do: leave too many gateways out, or fail more requests than before."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum, auto

from msgspec import Struct

from orchidhatch.control.policy.change_record import EndCounts, Gate
from orchidhatch.control.policy.fleet_status import GatewayState, GatewayStatus

# The share of all gateways, and of a zone's, that may be absent at a change which is not forced. One gateway
# of a zone may always be.
MAX_ABSENT_SHARE = 0.25
MAX_ABSENT_ZONE_SHARE = 0.5
MIN_ABSENT_IN_ZONE = 1.0


class GateOutcome(Enum):
    """What a gate says."""

    PASSED = auto()
    FAILED = auto()
    TOO_FEW_REQUESTS = auto()


class GateVerdict(Struct, frozen=True):
    """A gate's outcome, with the reason where it failed."""

    outcome: GateOutcome
    reason: str = ""


def absence_error(gateways: Iterable[GatewayStatus]) -> str | None:
    """Why too many gateways are absent for a change; None where they are not."""
    known: Counter[str] = Counter()
    absent: Counter[str] = Counter()
    for gateway in gateways:
        known[gateway.zone] += 1
        absent[gateway.zone] += gateway.state is GatewayState.ABSENT
    if absent.total() > MAX_ABSENT_SHARE * max(1, known.total()):
        return f"{absent.total()} of {known.total()} gateways would be out of service"
    worst_zone = max(absent, key=lambda zone: absent[zone] / known[zone], default=None)
    if worst_zone is None:
        return None
    limit = max(MIN_ABSENT_IN_ZONE, MAX_ABSENT_ZONE_SHARE * known[worst_zone])
    if absent[worst_zone] <= limit:
        return None
    share = f"{absent[worst_zone]} of {known[worst_zone]} gateways"
    return f"{share} of zone {worst_zone} would be out of service"


def check_gate(before: EndCounts, at_switch: EndCounts, now: EndCounts, gate: Gate) -> GateVerdict:
    """Whether the requests since the switch fail more often than those before it.

    Too few requests also stands for a gateway that was restarted, as its counts begin at 0 again.
    """
    earlier = increase(before, at_switch)
    later = increase(at_switch, now)
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


def increase(first: EndCounts, second: EndCounts) -> EndCounts | None:
    """What came between two counts; None where one is lower in the second."""
    difference = EndCounts(
        answered=second.answered - first.answered,
        deferred=second.deferred - first.deferred,
        errored=second.errored - first.errored,
    )
    lowest = min(difference.answered, difference.deferred, difference.errored)
    return difference if lowest >= 0 else None
