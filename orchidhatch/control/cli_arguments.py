"""Parses arguments of the operators' command line and of other commands of the control plane."""

import argparse

from orchidhatch.control.field_types import MAX_LEASE_MS, MIN_LEASE_MS

MAX_DURATION_S = 24 * 3600
SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600}


def parse_duration_s(text: str) -> float:
    """Parse a duration such as 90s, 10m or 2h, and return it in seconds.

    Raises argparse.ArgumentTypeError if it is malformed, zero or longer than a day.
    """
    number = text[:-1]
    unit = SECONDS_BY_UNIT.get(text[-1:])
    if not unit or not number.isdecimal() or not 0 < int(number) * unit <= MAX_DURATION_S:
        raise argparse.ArgumentTypeError(f"'{text}' is not a duration such as 90s, 10m or 2h, up to a day")
    return float(int(number) * unit)


def parse_lease_ms(text: str) -> int:
    """Parse a session's lease in milliseconds.

    Raises argparse.ArgumentTypeError if it is outside the limits of a registry.
    """
    if not text.isdecimal() or not MIN_LEASE_MS <= int(text) <= MAX_LEASE_MS:
        raise argparse.ArgumentTypeError(f"'{text}' is no lease of {MIN_LEASE_MS} to {MAX_LEASE_MS} ms")
    return int(text)
