"""Counts down the remaining time of a task over the processes that own it one after another."""

import time
from typing import Protocol

from msgspec import UNSET, UnsetType


class TimedTaskRecord(Protocol):
    """A record of a task that waits; `counted_at_s` is a monotonic time of whichever process last counted."""

    remaining_ms: int
    counted_at_s: float | UnsetType


def count_down(record: TimedTaskRecord, save_interval_s: float) -> bool:
    """Subtract the time that has passed from a record's remaining time; whether the record is to be saved.

    It is saved each `save_interval_s`, which is the time that a change of owner may add, and once no time
    remains. Time is counted by this process's monotonic clock; a difference that is negative or far above the
    interval comes from another machine's clock, or from a pause of this process, and counts as none.
    """
    now_s = time.monotonic()
    passed_s = 0.0 if record.counted_at_s is UNSET else now_s - record.counted_at_s
    if not 0 <= passed_s < 2 * save_interval_s:
        passed_s = 0.0
    remaining_ms = round(record.remaining_ms - passed_s * 1000)
    if remaining_ms > 0 and 0 < passed_s < save_interval_s:
        return False
    record.remaining_ms = remaining_ms
    start_count(record, now_s)
    return True


def start_count(record: TimedTaskRecord, now_s: float) -> None:
    """Count the remaining time from this moment of the monotonic clock on."""
    record.counted_at_s = round(now_s, 3)
