"""Slot requests whose messages are late or repeated: each is granted once."""

import pytest

from orchidhatch.gateway.settings import Plan
from tests.gateway.held_pair import PAST_ONE_WAIT, SLOTS_PLAN, HeldPair


def test_repeated_slot_grant_admits_one_request() -> None:
    """Guards against two attempts that use the same slot because its grant arrives twice."""
    pair = HeldPair(SLOTS_PLAN)
    pair.ask("a", units=1.0)
    pair.run(PAST_ONE_WAIT)
    while pair.to_leader:
        pair.deliver_to_leader()
    pair.deliver_to_member()
    assert pair.admitted("a")
    pair.ask("b", units=1.0)
    while pair.to_member:
        pair.deliver_to_member()
    assert not pair.admitted("b")
    pair.deliver_all()
    assert pair.admitted("b")
    assert pair.customer_at(pair.leader).slots_in_use(pair.leader.now) == 2


@pytest.mark.parametrize("units", [0.01, 0.02, 0.025, 0.05, 1.01])
def test_slot_comes_with_enough_units_of_the_ceiling(units: float) -> None:
    """Guards against a grant of fewer ceiling units than a request needs, due to the message's precision."""
    plan = Plan(rate=10.0, burst=20.0, max_in_flight=2, ceiling_rate=4.0, ceiling_burst=8.0)
    pair = HeldPair(plan, through_codec=True)
    pair.customer_at(pair.member).empty_ceiling(pair.member.now)
    leader_units = pair.customer_at(pair.leader).ceiling.units
    pair.ask("a", units=units)
    pair.deliver_all()
    assert pair.admitted("a")
    taken = leader_units - pair.customer_at(pair.leader).ceiling.units
    assert units - 0.01 <= taken <= units + 0.04
