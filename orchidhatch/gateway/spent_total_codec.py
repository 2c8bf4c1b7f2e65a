"""The totals of spent units in a datagram, behind its messages: one for each message that is no answer.

A total takes the place of three attempt observations, of a request class that no settings have. So a gateway
of the version before, which knows no totals, reads them as observations and ignores them.
"""

import struct
from collections.abc import Sequence
from dataclasses import replace

from orchidhatch.gateway.gossip import AMOUNT_STEPS, NO_STREAM, TOTAL_STEPS, GossipMessage, SpentTotal
from orchidhatch.gateway.times import MS

TOTAL = struct.Struct("!HBBHBBHBB")

TOTAL_CLASS = 127
"""The request class of the observations that a total looks like."""

TOTAL_MARK = TOTAL_CLASS << 1 | 1
"""The third byte of each observation that a total looks like: its class, and a success."""

LOW_BITS = 8
LOW_MASK = (1 << LOW_BITS) - 1
"""Where a number of 24 bits is split, around the mark."""

MAX_AGE_MS = (1 << 24) - 1


def has_totals(messages: Sequence[GossipMessage]) -> bool:
    """Whether any of the messages has a total."""
    return any(message.spent_total is not None for message in messages)


def pack_totals(messages: Sequence[GossipMessage]) -> bytes:
    """The totals of the messages of one datagram; nothing where none has one."""
    if not has_totals(messages):
        return b""
    return b"".join(pack_total(message.spent_total) for message in messages if not message.is_answer)


def pack_total(total: SpentTotal | None) -> bytes:
    """One total, its units rounded to the nearest step; None goes as one of no stream."""
    if total is None:
        total = SpentTotal(NO_STREAM, sequence=0, units=0.0, age_us=0)
    steps = round(total.units * AMOUNT_STEPS) % TOTAL_STEPS
    age_ms = min(MAX_AGE_MS, total.age_us // MS)
    return TOTAL.pack(
        total.stream,
        TOTAL_MARK,
        total.sequence,
        steps >> LOW_BITS,
        TOTAL_MARK,
        steps & LOW_MASK,
        age_ms >> LOW_BITS,
        TOTAL_MARK,
        age_ms & LOW_MASK,
    )


def unpack_totals(
    messages: tuple[GossipMessage, ...], data: bytes
) -> tuple[tuple[GossipMessage, ...], bytes]:
    """The messages with their totals, and the rest of the data; all as it is where the data has no totals."""
    reports = [message for message in messages if not message.is_answer]
    end = TOTAL.size * len(reports)
    if len(data) < end or not holds_totals(data[:end]):
        return messages, data
    totals = iter([unpack_total(*values) for values in TOTAL.iter_unpack(data[:end])])
    with_totals = [
        message if message.is_answer else replace(message, spent_total=next(totals)) for message in messages
    ]
    return tuple(with_totals), data[end:]


def holds_totals(data: bytes) -> bool:
    """Whether all of the data are totals, by their marks."""
    return all(values[1] == values[4] == values[7] == TOTAL_MARK for values in TOTAL.iter_unpack(data))


def unpack_total(
    stream: int, _: int, sequence: int, steps: int, __: int, low_steps: int, age: int, ___: int, low_age: int
) -> SpentTotal | None:
    """A total from the values of its struct, in their order."""
    if stream == NO_STREAM:
        return None
    units = (steps << LOW_BITS | low_steps) / AMOUNT_STEPS
    age_ms = age << LOW_BITS | low_age
    return SpentTotal(stream, sequence, units, age_ms * MS)
