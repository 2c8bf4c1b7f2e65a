"""The remaining time of a task over the processes that own it."""

import pytest

from orchidhatch.control.controller.countdown import count_down
from orchidhatch.control.controller.task_records import BackupRecord

SAVE_INTERVAL_S = 2.0


class FakeClock:
    """A monotonic clock that the test moves."""

    now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    """The clock that remaining times are counted by."""
    clock = FakeClock()
    monkeypatch.setattr("orchidhatch.control.controller.countdown.time.monotonic", clock)
    return clock


def new_record(remaining_ms: int) -> BackupRecord:
    return BackupRecord(interval_ms=60_000, remaining_ms=remaining_ms)


def test_first_count_saves_the_time_of_the_clock(clock: FakeClock) -> None:
    record = new_record(10_000)
    assert count_down(record, SAVE_INTERVAL_S)
    assert (record.remaining_ms, record.counted_at_s) == (10_000, 1000.0)


def test_short_passage_of_time_is_not_saved(clock: FakeClock) -> None:
    record = new_record(10_000)
    count_down(record, SAVE_INTERVAL_S)
    clock.now_s += 1.9
    assert not count_down(record, SAVE_INTERVAL_S)
    assert (record.remaining_ms, record.counted_at_s) == (10_000, 1000.0)
    clock.now_s += 0.1
    assert count_down(record, SAVE_INTERVAL_S)
    assert (record.remaining_ms, record.counted_at_s) == (8_000, 1002.0)


def test_end_of_the_time_is_saved_at_once(clock: FakeClock) -> None:
    record = new_record(500)
    count_down(record, SAVE_INTERVAL_S)
    clock.now_s += 0.6
    assert count_down(record, SAVE_INTERVAL_S)
    assert record.remaining_ms == -100


@pytest.mark.parametrize("difference_s", [-5.0, 4.0, 500.0])
def test_remaining_time_ignores_other_clocks_and_pauses(clock: FakeClock, difference_s: float) -> None:
    record = new_record(10_000)
    count_down(record, SAVE_INTERVAL_S)
    clock.now_s += difference_s
    assert count_down(record, SAVE_INTERVAL_S)
    assert (record.remaining_ms, record.counted_at_s) == (10_000, clock.now_s)
