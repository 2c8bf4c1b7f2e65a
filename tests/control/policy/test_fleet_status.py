"""The state of a gateway by the age of its last renewal."""

import pytest

from orchidhatch.control.policy.fleet_status import GatewayState, state_by_age
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, LEASE_S


@pytest.mark.parametrize(
    ("age_s", "has_renewed", "state"),
    [
        (LEASE_S, True, GatewayState.PRESENT),
        (LEASE_S + 0.001, True, GatewayState.SILENT),
        (0.0, False, GatewayState.SILENT),
        (ABSENT_AFTER_S, True, GatewayState.SILENT),
        (ABSENT_AFTER_S, False, GatewayState.SILENT),
        (ABSENT_AFTER_S + 0.001, True, GatewayState.ABSENT),
        (ABSENT_AFTER_S + 0.001, False, GatewayState.ABSENT),
    ],
)
def test_state_follows_the_age_at_its_limits(age_s: float, has_renewed: bool, state: GatewayState) -> None:
    assert state_by_age(age_s, has_renewed) is state
