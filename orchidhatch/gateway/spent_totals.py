"""Totals of reported spending, kept by member and leader so that lost reports are made up for.

Reports are not acknowledged, and messages may be lost or reordered. Therefore each message carries the total
of all reports in its stream, and the leader counts the increase since the newest message that it has
received, which includes the lost ones. A stream belongs to one customer at one member and starts with its
first report.
"""

from typing import NamedTuple

from orchidhatch.gateway.gossip import (
    MAX_STREAM,
    MAX_STREAM_AGE_US,
    SEQUENCE_NUMBERS,
    TOTAL_UNITS,
    GossipMessage,
    SpentTotal,
)
from orchidhatch.gateway.times import MS, S

STREAM_NUMBER_STEP_US = 4 * MS
"""The time after which a new stream gets another number; shorter than the time a process takes to restart."""

REORDERING_US = S // 2
"""How long a reordered message is recognized as such; one that arrives later counts as new."""

STREAM_START_TOLERANCE_US = S // 2
"""How long before the customer became known to its leader a stream may have started to count as a whole.

Its first messages may be in transit for that long; what an earlier leader has counted is usually older."""


class StreamPosition(NamedTuple):
    """The state of a report stream at its member after the last message."""

    number: int
    began_us: int
    sequence: int
    units: float


class ReportStream:
    """A member's report stream about one customer, which starts with the first report.

    `position` is None until then.
    """

    def __init__(self) -> None:
        self.position: StreamPosition | None = None

    def add(self, spent: float, now_us: int) -> SpentTotal:
        """Add `spent` units to the total and return it for the next message."""
        last = self.position or self._begin(now_us)
        sequence = (last.sequence + 1) % SEQUENCE_NUMBERS
        self.position = last._replace(sequence=sequence, units=(last.units + spent) % TOTAL_UNITS)
        return SpentTotal(
            stream=last.number,
            sequence=sequence,
            units=self.position.units,
            age_us=min(MAX_STREAM_AGE_US, now_us - last.began_us),
        )

    def end(self) -> None:
        """Start a new stream with the next report, because another process may have continued this one."""
        self.position = None

    def _begin(self, now_us: int) -> StreamPosition:
        number = now_us // STREAM_NUMBER_STEP_US % MAX_STREAM + 1
        return StreamPosition(number, began_us=now_us, sequence=SEQUENCE_NUMBERS - 1, units=0.0)


class ReceivedTotal(NamedTuple):
    """The total in the newest message of a member, and the time of its arrival."""

    stream: int
    sequence: int
    units: float
    received_us: int


class ReceivedTotals:
    """The totals of one customer at its quota leader, by member.

    `known_since_us` is the time at which the customer became known to the leader.
    """

    def __init__(self, known_since_us: int) -> None:
        self.known_since_us = known_since_us
        self.by_peer: dict[int, ReceivedTotal] = {}

    def count(self, peer: int, message: GossipMessage, now_us: int) -> float:
        """Return the units that a member's message adds to those already counted; negative if returned.

        A message without a total adds the units that it reports.
        """
        total = message.spent_total
        if total is None:
            return message.spent
        last = self.by_peer.get(peer)
        is_known = last is not None and last.stream == total.stream
        if last is not None and is_known and is_overtaken(last, total, now_us):
            return 0.0
        self.by_peer[peer] = ReceivedTotal(total.stream, total.sequence, total.units, now_us)
        if last is not None and is_known:
            return total_difference(total.units, last.units)
        return self._count_unknown_stream(message.spent, total, now_us)

    def _count_unknown_stream(self, spent: float, total: SpentTotal, now_us: int) -> float:
        """Count the total of a stream that started here, else only what this message reports.

        An earlier leader may have counted the previous reports of an older stream.
        """
        began_us = now_us - total.age_us
        is_old = total.age_us >= MAX_STREAM_AGE_US
        if is_old or began_us < self.known_since_us - STREAM_START_TOLERANCE_US:
            return spent
        return total_difference(total.units, 0.0)


def is_overtaken(last: ReceivedTotal, total: SpentTotal, now_us: int) -> bool:
    """Return whether a message was sent before the newest one received of its stream."""
    if now_us - last.received_us > REORDERING_US:
        return False
    return (total.sequence - last.sequence) % SEQUENCE_NUMBERS >= SEQUENCE_NUMBERS // 2


def total_difference(units: float, earlier_units: float) -> float:
    """Return the change of a total, which wraps around at TOTAL_UNITS and may fall below 0."""
    difference = units - earlier_units
    if difference >= TOTAL_UNITS / 2:
        return difference - TOTAL_UNITS
    if difference < -TOTAL_UNITS / 2:
        return difference + TOTAL_UNITS
    return difference
