"""The total of what a member has reported as spent, on both sides: it makes up for reports that are lost.

Nobody acknowledges a report, and messages are lost and overtake each other. So each message has the total of
all reports of its stream, and the leader counts what the total has grown by since the newest message that it
knows: that of lost messages too. A stream belongs to one customer at one member, from its first report on.
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
"""After how long another stream has another number: sooner than a process restarts."""

REORDERING_US = S // 2
"""For how long a message that has been overtaken may arrive; one that comes later counts as new."""

STREAM_START_TOLERANCE_US = S // 2
"""By how much a stream may have begun before its leader knew the customer for its whole total to count.

Its first messages may be under way so long; what a leader before this one has counted is older as a rule.
"""


class StreamPosition(NamedTuple):
    """A stream of reports at its member, after the last message."""

    number: int
    began_us: int
    sequence: int
    units: float


class ReportStream:
    """A member's reports about one customer; a stream begins with the first of them.

    `position` is None until then.
    """

    def __init__(self) -> None:
        self.position: StreamPosition | None = None

    def add(self, spent: float, now_us: int) -> SpentTotal:
        """The total in the next message, which reports so many units as spent."""
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
        """Begin another stream with the next report: another process may have gone on with this one."""
        self.position = None

    def _begin(self, now_us: int) -> StreamPosition:
        number = now_us // STREAM_NUMBER_STEP_US % MAX_STREAM + 1
        return StreamPosition(number, began_us=now_us, sequence=SEQUENCE_NUMBERS - 1, units=0.0)


class ReceivedTotal(NamedTuple):
    """The total of the newest message of a member, and when it came."""

    stream: int
    sequence: int
    units: float
    received_us: int


class ReceivedTotals:
    """The totals of one customer at its quota leader, by member; `known_since_us` is the customer's start."""

    def __init__(self, known_since_us: int) -> None:
        self.known_since_us = known_since_us
        self.by_peer: dict[int, ReceivedTotal] = {}

    def count(self, peer: int, message: GossipMessage, now_us: int) -> float:
        """The units that a member's message adds to what is counted already; negative ones are given back.

        Those of a message without a total are what it reports.
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
        """All of a stream that began here; of one that an earlier leader may have counted, this message."""
        began_us = now_us - total.age_us
        is_old = total.age_us >= MAX_STREAM_AGE_US
        if is_old or began_us < self.known_since_us - STREAM_START_TOLERANCE_US:
            return spent
        return total_difference(total.units, 0.0)


def is_overtaken(last: ReceivedTotal, total: SpentTotal, now_us: int) -> bool:
    """Whether a message was sent before the newest that is known of its stream."""
    if now_us - last.received_us > REORDERING_US:
        return False
    return (total.sequence - last.sequence) % SEQUENCE_NUMBERS >= SEQUENCE_NUMBERS // 2


def total_difference(units: float, earlier_units: float) -> float:
    """By how much a total has changed, where it may have begun again at 0, or gone below that."""
    difference = units - earlier_units
    if difference >= TOTAL_UNITS / 2:
        return difference - TOTAL_UNITS
    if difference < -TOTAL_UNITS / 2:
        return difference + TOTAL_UNITS
    return difference
