"""A policy decision by the agent's clock: which document holds when, and when admission ends by itself."""

import math

import pytest

from orchidhatch.control.agent.policy_decision import PolicyDecision
from orchidhatch.control.policy.timing import SWITCH_MARGIN_S

DECISION = PolicyDecision(number=4, digest="new", previous_digest="old", earliest_s=10.0, latest_s=12.0)


def test_new_document_holds_from_the_activation_time() -> None:
    assert DECISION.activation_time_s() == 11.0
    assert [DECISION.digest_at(now_s) for now_s in (10.99, 11.0, 50.0)] == ["old", "new", "new"]


@pytest.mark.parametrize(
    ("earliest_s", "latest_s", "expected_s"),
    [(-math.inf, math.inf, -math.inf), (10.0, math.inf, math.inf), (-math.inf, 10.0, -math.inf)],
)
def test_activation_time_without_a_bound_is_infinite(
    earliest_s: float, latest_s: float, expected_s: float
) -> None:
    assert PolicyDecision(1, "a", "b", earliest_s, latest_s).activation_time_s() == expected_s


def test_admission_limit_follows_the_activation_time() -> None:
    """It is set only while a switch is pending."""
    assert DECISION.admission_limit_us(10.0) == round((11.0 + SWITCH_MARGIN_S) * 1e6)
    assert DECISION.admission_limit_us(11.0) == 0
    assert PolicyDecision(4, "same", "same", 10.0, 12.0).admission_limit_us(10.0) == 0


def test_bounds_of_a_repeated_decision_only_narrow() -> None:
    assert DECISION.updated(4, "new", "old", 9.0, 11.5) == PolicyDecision(4, "new", "old", 10.0, 11.5)
    assert DECISION.updated(4, "new", "old", 11.0, 13.0) == PolicyDecision(4, "new", "old", 11.0, 12.0)
    crossed = DECISION.updated(4, "new", "old", 12.5, 13.0)  # clocks that differ in their pace
    assert (crossed.earliest_s, crossed.latest_s) == (12.5, 12.5)
    assert DECISION.updated(5, "newer", "new", 3.0, 4.0) == PolicyDecision(5, "newer", "new", 3.0, 4.0)
