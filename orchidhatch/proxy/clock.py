"""The process's clock: monotonic, so that a step of the wall clock moves no deadline, window or wait."""

import time


def now_us() -> int:
    """Microseconds of the machine's monotonic clock, which all of its processes share."""
    return time.monotonic_ns() // 1000
