"""What a change must not do: leave too many gateways out, or fail more requests than before."""

from orchidhatch.control.policy.change_record import Gate, OutcomeCounts
from orchidhatch.control.policy.fleet_status import GatewayState, GatewayStatus
from orchidhatch.control.policy.rollout_checks import GateOutcome, absence_error, check_gate

GATE = Gate(for_ms=1000)
NONE_ENDED = OutcomeCounts()
AT_SWITCH = OutcomeCounts(answered=500)


def test_gate_needs_enough_requests_without_a_restart() -> None:
    too_few = check_gate(NONE_ENDED, AT_SWITCH, OutcomeCounts(answered=600), GATE)
    restarted = check_gate(NONE_ENDED, AT_SWITCH, OutcomeCounts(answered=100), GATE)
    assert too_few.outcome is restarted.outcome is GateOutcome.TOO_FEW_REQUESTS
    at_switch = OutcomeCounts(answered=500, errored=5)
    some_restarted = check_gate(NONE_ENDED, at_switch, OutcomeCounts(answered=2000, errored=1), GATE)
    assert some_restarted.outcome is GateOutcome.TOO_FEW_REQUESTS


def test_gate_passes_if_no_more_requests_fail() -> None:
    at_switch = OutcomeCounts(answered=500, errored=5)
    now = OutcomeCounts(answered=1000, errored=10)
    assert check_gate(NONE_ENDED, at_switch, now, GATE).outcome is GateOutcome.PASSED


def test_gate_fails_if_more_are_deferred() -> None:
    """The reason has both shares."""
    verdict = check_gate(NONE_ENDED, AT_SWITCH, OutcomeCounts(answered=600, deferred=400), GATE)
    assert verdict.outcome is GateOutcome.FAILED
    assert verdict.reason == "0.800 of the requests deferred, 0.000 before"


def fleet(count: int, absent_numbers: set[int]) -> list[GatewayStatus]:
    """Gateways in three zones in turn."""
    return [
        GatewayStatus(
            name=f"g-{number}",
            zone="abc"[number % 3],
            state=GatewayState.ABSENT if number in absent_numbers else GatewayState.PRESENT,
        )
        for number in range(count)
    ]


def test_few_absent_gateways_are_no_error() -> None:
    assert absence_error([]) is None
    assert absence_error(fleet(8, set())) is None
    assert absence_error(fleet(9, {0})) is None


def test_many_absent_gateways_are_an_error() -> None:
    absent = {number for number in range(30) if number % 10 < 3}
    assert absence_error(fleet(30, absent)) == "9 of 30 gateways would be out of service"


def test_many_absent_gateways_of_a_zone_are_an_error() -> None:
    absent = {number for number in range(27) if number % 9 in (0, 3)}
    assert absence_error(fleet(27, absent)) == "6 of 9 gateways of zone a would be out of service"
