"""Units of time; the gateway counts in whole microseconds."""

MS = 1_000
"""A millisecond."""

S = 1_000_000
"""A second."""

NEVER = 1 << 62
"""A time that never comes; negated, a time in the distant past."""
