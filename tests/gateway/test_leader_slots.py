"""The slots that a quota leader grants: which count as in use, and which request is next."""

import pytest

from orchidhatch.gateway.gossip import NO_GRANT_NUMBER
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US
from orchidhatch.gateway.leader_slots import IN_FLIGHT_REPORT_TTL_US, LeaderSlots
from orchidhatch.gateway.member_slot import QUEUED_RETRY_US, SLOT_ONLY_UNITS
from orchidhatch.gateway.times import S

NOW_US = 100 * S
PEER = 1
OTHER = 2


@pytest.fixture
def slots() -> LeaderSlots:
    return LeaderSlots()


def grant(slots: LeaderSlots, peer: int, now_us: int = NOW_US) -> float:
    slots.enqueue(peer, 1.0, now_us)
    return slots.grant(peer, now_us)


def test_granted_slot_counts_until_its_end(slots: LeaderSlots) -> None:
    assert grant(slots, PEER) == 1.0
    assert not slots.queue
    end_us = NOW_US + round(IN_FLIGHT_REPORT_TTL_US)
    assert slots.in_use(end_us - 1) == 1
    assert slots.in_use(end_us) == 0


def test_reported_attempts_count_until_their_end(slots: LeaderSlots) -> None:
    slots.on_report(PEER, 2, False, NOW_US)
    end_us = NOW_US + round(IN_FLIGHT_REPORT_TTL_US)
    assert slots.in_use(end_us - 1) == 2
    assert slots.in_use(end_us) == 0


def test_gateway_is_not_counted_in_its_own_answer(slots: LeaderSlots) -> None:
    slots.on_report(PEER, 2, False, NOW_US)
    grant(slots, PEER)
    slots.on_report(OTHER, 4, False, NOW_US)
    assert slots.in_use(NOW_US) == 7
    assert slots.in_use(NOW_US, excluded_peer=PEER) == 4
    assert slots.in_use(NOW_US, excluded_peer=OTHER) == 3


def test_reported_attempt_replaces_its_grant(slots: LeaderSlots) -> None:
    grant(slots, PEER)
    grant(slots, PEER)
    slots.on_report(PEER, 1, False, NOW_US)
    assert slots.in_use(NOW_US) == 2
    slots.on_report(PEER, 1, False, NOW_US)
    assert slots.in_use(NOW_US) == 2
    # One attempt has ended and another has started.
    slots.on_report(PEER, 1, True, NOW_US)
    assert slots.in_use(NOW_US) == 1


def test_report_drops_grants_that_were_not_used(slots: LeaderSlots) -> None:
    grant(slots, PEER)
    slots.on_report(PEER, 0, False, NOW_US + 2 * LEADER_REPLY_TIMEOUT_US - 1)
    assert slots.in_use(NOW_US + 2 * LEADER_REPLY_TIMEOUT_US - 1) == 1
    slots.on_report(PEER, 0, False, NOW_US + 2 * LEADER_REPLY_TIMEOUT_US)
    assert slots.in_use(NOW_US + 2 * LEADER_REPLY_TIMEOUT_US) == 0


def test_longest_waiting_request_that_fits_is_next(slots: LeaderSlots) -> None:
    assert slots.next_peer(10.0) is None
    slots.enqueue(PEER, 5.0, NOW_US)
    slots.enqueue(OTHER, SLOT_ONLY_UNITS, NOW_US)
    assert slots.next_peer(5.0) == PEER
    assert slots.next_peer(4.9) == OTHER
    # A request for a slot only needs no ceiling units, so an overdrawn ceiling does not block it.
    assert slots.next_peer(-1.0) == OTHER
    slots.enqueue(PEER, 2.0, NOW_US + 1)
    assert slots.next_peer(2.0) == PEER


def test_request_that_is_not_repeated_is_dropped(slots: LeaderSlots) -> None:
    slots.enqueue(PEER, 1.0, NOW_US)
    slots.enqueue(OTHER, 1.0, NOW_US + 1)
    slots.drop_abandoned(NOW_US + 2 * QUEUED_RETRY_US)
    assert list(slots.queue) == [OTHER]


def test_repeated_request_is_granted_the_same_slot(slots: LeaderSlots) -> None:
    slots.enqueue(PEER, 3.0, NOW_US, number=7)
    slots.grant(PEER, NOW_US)
    assert slots.repeat_grant(OTHER, 7, NOW_US) is None
    assert slots.repeat_grant(PEER, 8, NOW_US) is None
    repeated_us = NOW_US + 2 * LEADER_REPLY_TIMEOUT_US - 1
    granted = slots.repeat_grant(PEER, 7, repeated_us)
    assert granted is not None and granted.units == 3.0
    # The repeated grant restarts the time for which the slot is kept.
    later_us = repeated_us + 2 * LEADER_REPLY_TIMEOUT_US - 1
    slots.on_report(PEER, 0, False, later_us)
    assert slots.in_use(later_us) == 1
    slots.on_report(PEER, 1, False, later_us)
    assert slots.repeat_grant(PEER, 7, later_us) is None


def test_unnumbered_request_is_never_a_repetition(slots: LeaderSlots) -> None:
    grant(slots, PEER)
    assert slots.repeat_grant(PEER, NO_GRANT_NUMBER, NOW_US) is None
