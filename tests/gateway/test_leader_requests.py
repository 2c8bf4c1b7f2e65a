"""The backoff for requests to a quota leader that does not answer."""

from orchidhatch.gateway.leader_requests import LEADER_ANSWER_TTL_US, MIN_BACKOFF_US, LeaderBackoff
from orchidhatch.gateway.times import S

NOW_US = 100 * S


def test_backoff_doubles_up_to_its_limit() -> None:
    backoff = LeaderBackoff()
    delays_us = []
    for _ in range(7):
        backoff.back_off(NOW_US, 0.5)
        delays_us.append(backoff.next_request_us - NOW_US)
    assert delays_us[:3] == [MIN_BACKOFF_US, 2 * MIN_BACKOFF_US, 4 * MIN_BACKOFF_US]
    assert delays_us[-1] == LEADER_ANSWER_TTL_US


def test_backoff_has_jitter_around_its_delay() -> None:
    for jitter in (0.0, 0.25, 1.0):
        backoff = LeaderBackoff()
        backoff.back_off(NOW_US, jitter)
        assert backoff.next_request_us == NOW_US + MIN_BACKOFF_US * (0.5 + jitter)
        assert backoff.is_paused(NOW_US + MIN_BACKOFF_US // 2 - 1)
        assert not backoff.is_paused(round(backoff.next_request_us))


def test_answer_ends_the_backoff() -> None:
    backoff = LeaderBackoff()
    for _ in range(3):
        backoff.back_off(NOW_US, 0.5)
    backoff.reset()
    assert not backoff.is_paused(NOW_US)
    backoff.back_off(NOW_US, 0.5)
    assert backoff.next_request_us == NOW_US + MIN_BACKOFF_US
