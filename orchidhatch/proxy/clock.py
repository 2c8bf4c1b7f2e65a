"""The process's clock; it is monotonic, so that wall clock steps affect no deadline, window or delay."""

import time


def now_us() -> int:
    """Return the microseconds of the monotonic clock, which all processes of the machine share."""
    return time.monotonic_ns() // 1000
