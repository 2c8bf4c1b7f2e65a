"""The spent totals in a datagram, after its messages: one for each message that is not an answer.

A total occupies the space of two attempt observations of a request class that no settings contain. A gateway
of the previous version, which does not know totals, reads them as observations and ignores them.
"""

from collections.abc import Sequence
from dataclasses import replace

from orchidhatch.gateway.gossip import (
    MAX_STREAM_AGE_US,
    NO_STREAM,
    SEQUENCE_NUMBERS,
    STEPS_PER_UNIT,
    STREAM_AGE_STEP_US,
    TOTAL_STEPS,
    GossipMessage,
    SpentTotal,
)

TOTAL_BYTES = 8
"""The length of a total with its two marks."""

TOTAL_CLASS = 127
"""The request class in the two observations that a total is encoded as."""

TOTAL_MARK = bytes([TOTAL_CLASS << 1 | 1])
"""The third byte of each of those observations: its class, and a success."""

NUMBER_BYTES = 6
"""The length of a total without its marks: stream, sequence, steps and age packed into one number."""

SEQUENCE_BITS = (SEQUENCE_NUMBERS - 1).bit_length()
STEPS_BITS = (TOTAL_STEPS - 1).bit_length()
AGE_BITS = (MAX_STREAM_AGE_US // STREAM_AGE_STEP_US).bit_length()


def has_totals(messages: Sequence[GossipMessage]) -> bool:
    """Return whether any of the messages has a total."""
    return any(message.spent_total is not None for message in messages)


def pack_totals(messages: Sequence[GossipMessage]) -> bytes:
    """Return the encoded totals of one datagram's messages; empty if none has a total."""
    if not has_totals(messages):
        return b""
    return b"".join(pack_total(message.spent_total) for message in messages if not message.is_answer)


def pack_total(total: SpentTotal | None) -> bytes:
    """Return an encoded total; units are rounded to the nearest step, the age is rounded down.

    None is encoded as a total of NO_STREAM.
    """
    if total is None:
        total = SpentTotal(NO_STREAM, sequence=0, units=0.0, age_us=0)
    steps = round(total.units * STEPS_PER_UNIT) % TOTAL_STEPS
    age = min(MAX_STREAM_AGE_US, total.age_us) // STREAM_AGE_STEP_US
    number = total.stream << SEQUENCE_BITS | total.sequence
    number = number << STEPS_BITS | steps
    number = number << AGE_BITS | age
    data = number.to_bytes(NUMBER_BYTES, "big")
    return data[:2] + TOTAL_MARK + data[2:5] + TOTAL_MARK + data[5:]


def unpack_totals(
    messages: tuple[GossipMessage, ...], data: bytes
) -> tuple[tuple[GossipMessage, ...], bytes]:
    """Return the messages with their totals, and the remaining data.

    Returns both unchanged if the data contains no totals.
    """
    reports = [message for message in messages if not message.is_answer]
    end = TOTAL_BYTES * len(reports)
    records = [data[start : start + TOTAL_BYTES] for start in range(0, end, TOTAL_BYTES)]
    if not all(map(is_total, records)):
        return messages, data
    totals = map(unpack_total, records)
    with_totals = [
        message if message.is_answer else replace(message, spent_total=next(totals)) for message in messages
    ]
    return tuple(with_totals), data[end:]


def is_total(data: bytes) -> bool:
    """Return whether the bytes are an encoded total, according to their marks."""
    return len(data) == TOTAL_BYTES and data[2:3] == data[6:7] == TOTAL_MARK


def unpack_total(data: bytes) -> SpentTotal | None:
    """Return the total from its bytes; None if it has no stream."""
    number = int.from_bytes(data[:2] + data[3:6] + data[7:], "big")
    number, age = divmod(number, 1 << AGE_BITS)
    number, steps = divmod(number, 1 << STEPS_BITS)
    stream, sequence = divmod(number, 1 << SEQUENCE_BITS)
    if stream == NO_STREAM:
        return None
    return SpentTotal(stream, sequence, steps / STEPS_PER_UNIT, age * STREAM_AGE_STEP_US)
