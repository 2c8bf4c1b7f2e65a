"""The states of a member's concurrency slot: when it is requested, renewed and returned."""

import pytest

from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US, MAX_LEADER_REQUESTS
from orchidhatch.gateway.member_slot import (
    QUEUED_RETRY_US,
    RENEWAL_INTERVAL_US,
    SLOT_ONLY_UNITS,
    TRANSITIONS,
    MemberSlot,
    SlotEvent,
    SlotState,
    ceiling_units_of,
)
from orchidhatch.gateway.times import NEVER, S

NOW_US = 100 * S


@pytest.mark.parametrize("state", SlotState)
@pytest.mark.parametrize("event", SlotEvent)
def test_every_event_has_a_transition(state: SlotState, event: SlotEvent) -> None:
    assert TRANSITIONS[state][event] in SlotState


def test_request_is_repeated_after_the_reply_timeout() -> None:
    slot = MemberSlot()
    assert slot.is_request_due(NOW_US)
    slot.on_request_sent(NOW_US)
    assert slot.state is SlotState.REQUESTED
    assert not slot.is_request_due(NOW_US + LEADER_REPLY_TIMEOUT_US - 1)
    assert slot.is_request_due(NOW_US + LEADER_REPLY_TIMEOUT_US)


def test_queued_request_is_repeated_later() -> None:
    slot = MemberSlot()
    slot.on_request_sent(NOW_US)
    slot.on_queued(NOW_US)
    assert slot.state is SlotState.QUEUED
    assert not slot.is_request_due(NOW_US + QUEUED_RETRY_US - 1)
    assert slot.is_request_due(NOW_US + QUEUED_RETRY_US)
    slot.on_request_sent(NOW_US + QUEUED_RETRY_US)
    assert slot.state is SlotState.REQUESTED
    assert slot.is_request_due(NOW_US + QUEUED_RETRY_US + LEADER_REPLY_TIMEOUT_US)


def test_silent_leader_is_asked_later_until_it_answers() -> None:
    slot = MemberSlot()
    for _ in range(MAX_LEADER_REQUESTS):
        slot.on_request_sent(NOW_US)
    assert not slot.is_leader_silent()
    slot.on_request_sent(NOW_US)
    assert slot.is_leader_silent()
    assert not slot.is_request_due(NOW_US + QUEUED_RETRY_US - 1)
    assert slot.is_request_due(NOW_US + QUEUED_RETRY_US)
    slot.on_queued(NOW_US)
    assert not slot.is_leader_silent()


def test_granted_slot_is_usable_until_its_timeout() -> None:
    slot = MemberSlot()
    slot.on_request_sent(NOW_US)
    slot.on_granted(NOW_US)
    assert slot.state is SlotState.GRANTED
    assert slot.unanswered_requests == 0
    last_us = NOW_US + LEADER_REPLY_TIMEOUT_US - 1
    assert slot.is_usable(last_us)
    assert not slot.is_unused(last_us)
    assert not slot.is_request_due(last_us)
    assert not slot.is_usable(last_us + 1)
    assert slot.is_unused(last_us + 1)
    assert slot.is_request_due(last_us + 1)


def test_attempt_uses_the_slot_and_permits_a_request() -> None:
    slot = MemberSlot()
    slot.on_request_sent(NOW_US)
    slot.on_granted(NOW_US)
    slot.on_attempt_sent()
    assert slot.state is SlotState.IDLE
    assert not slot.is_usable(NOW_US)
    assert not slot.is_unused(NOW_US + S)
    assert slot.is_request_due(NOW_US)


def test_unused_slot_is_given_back_while_the_next_is_requested() -> None:
    slot = MemberSlot()
    slot.on_granted(NOW_US)
    later_us = NOW_US + LEADER_REPLY_TIMEOUT_US
    slot.on_request_sent(later_us)
    assert slot.is_unused(later_us)
    slot.give_back()
    assert slot.state is SlotState.REQUESTED
    assert not slot.is_unused(later_us)
    assert not slot.is_request_due(later_us)


def test_unused_slot_is_given_back_while_a_request_is_queued() -> None:
    slot = MemberSlot()
    slot.on_granted(NOW_US)
    slot.on_queued(NOW_US)
    slot.give_back()
    assert slot.state is SlotState.QUEUED
    assert not slot.is_request_due(NOW_US + QUEUED_RETRY_US - 1)


def test_unused_slot_is_given_back_without_another_request() -> None:
    slot = MemberSlot()
    slot.on_granted(NOW_US)
    slot.give_back()
    assert slot.state is SlotState.IDLE
    assert slot.granted_us == -NEVER


def test_due_time_is_the_end_of_a_grant_or_the_next_renewal() -> None:
    slot = MemberSlot()
    slot.reported_us = NOW_US
    assert slot.due_us() == NOW_US + RENEWAL_INTERVAL_US
    assert not slot.is_renewal_due(NOW_US + round(RENEWAL_INTERVAL_US) - 1)
    assert slot.is_renewal_due(NOW_US + round(RENEWAL_INTERVAL_US))
    slot.on_granted(NOW_US)
    assert slot.due_us() == NOW_US + LEADER_REPLY_TIMEOUT_US


def test_slot_only_request_takes_no_ceiling_units() -> None:
    assert ceiling_units_of(SLOT_ONLY_UNITS) == 0.0
    assert ceiling_units_of(1.0) == 1.0
