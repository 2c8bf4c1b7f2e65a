"""Requests for a concurrency slot whose messages are late or repeated: each is granted once."""

from tests.gateway.held_pair import PAST_ONE_WAIT, SLOTS_PLAN, HeldPair


def test_repeated_grant_of_a_slot_sends_no_other_request() -> None:
    """Guards against two attempts by one slot, as its answer came twice."""
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
