"""How a gateway's memory is shared: what each kind of data may use of it.

All of it together stays below half of the limit, as two processes run during a handover.
"""

from dataclasses import dataclass

PROGRAM_MEMORY_MB = 18
"""What a process needs without the data that is bounded here."""
PROCESSES = 2
"""Processes that run during a handover."""
ANSWERS_SHARE = 0.22
"""Long answers may use this share of the rest; short ones half as much again (`send_backlog`)."""
MIN_ANSWERS_BYTES = (4 << 20) + (64 << 10)
"""Room for one value of the protocol's greatest length, or no such value could ever be buffered."""
INPUT_SHARE = 0.38
"""The share of unprocessed input: clients that write slowly have most of a command here."""
MIN_INPUT_BYTES = 4 << 20
OPEN_COMMANDS_SHARE = 0.2
MIN_OPEN_COMMANDS_BYTES = 1 << 20
CUSTOMERS_SHARE = 0.04
"""The table may grow to twice its limit for a while."""
CUSTOMER_BYTES = 3 * 1024
MIN_CUSTOMERS = 256


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The shares of a process's memory, in bytes, and the number of customers."""

    answers_bytes: int
    open_commands_bytes: int
    input_bytes: int
    customers: int


def memory_budget(memory_mb: int) -> MemoryBudget:
    """Return the shares of a gateway that may use `memory_mb` MB."""
    rest_bytes = max(0.0, memory_mb / PROCESSES - PROGRAM_MEMORY_MB) * (1 << 20)
    return MemoryBudget(
        answers_bytes=max(MIN_ANSWERS_BYTES, round(rest_bytes * ANSWERS_SHARE)),
        open_commands_bytes=max(MIN_OPEN_COMMANDS_BYTES, round(rest_bytes * OPEN_COMMANDS_SHARE)),
        input_bytes=max(MIN_INPUT_BYTES, round(rest_bytes * INPUT_SHARE)),
        customers=max(MIN_CUSTOMERS, round(rest_bytes * CUSTOMERS_SHARE / CUSTOMER_BYTES)),
    )
