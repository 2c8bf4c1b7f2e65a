"""Counts down the remaining time of a task across the processes that own it one after another."""

import time
from typing import Protocol

from msgspec import UNSET, UnsetType


class TimedTaskRecord(Protocol):
    """The record of a waiting task; `counted_at_s` is the monotonic time of the process that counted last."""

    remaining_ms: int
    counted_at_s: float | UnsetType


def count_down(record: TimedTaskRecord, save_interval_s: float) -> bool:
    """Subtract the elapsed time from a record's remaining time, and return whether to save the record.

    The record is to be saved every `save_interval_s`, which bounds the time that a change of owner may add,
    and once no time remains. Time is measured by this process's monotonic clock. A difference that is
    negative or at least twice the interval comes from another machine's clock or a pause of this process, and
    counts as 0.
    """
    now_s = time.monotonic()
    elapsed_s = 0.0 if record.counted_at_s is UNSET else now_s - record.counted_at_s
    if not 0 <= elapsed_s < 2 * save_interval_s:
        elapsed_s = 0.0
    remaining_ms = round(record.remaining_ms - elapsed_s * 1000)
    if remaining_ms > 0 and 0 < elapsed_s < save_interval_s:
        return False
    record.remaining_ms = remaining_ms
    start_countdown(record, now_s)
    return True


def start_countdown(record: TimedTaskRecord, now_s: float) -> None:
    """Start to count the remaining time at this monotonic time."""
    record.counted_at_s = round(now_s, 3)
