"""Units of time of the trials' events, nanoseconds of the machine's clock, and slacks that checks share."""

MS = 1_000_000
S = 1_000_000_000

SOCKET_SLACK_NS = 50 * MS
"""By which the rules' times are longer on sockets."""
FAULT_NOTICE_NS = 100 * MS
"""Around a fault, as it is recorded just before or after it takes hold."""
CATCH_UP_NS = 500 * MS
"""In which a process that was stopped catches up."""
EARLIER_FAULT_NS = 1 * S
"""Before a message, in which a fault may have delayed it."""
FAR_FUTURE_NS = 1 << 62
