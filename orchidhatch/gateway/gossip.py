"""The contents of gossip between gateways: messages about customers' quotas, and attempt observations."""

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from orchidhatch.gateway.times import S

NO_GRANT_NUMBER = 0
"""The number in messages that are not about a grant, or that come from a gateway without grant numbers."""

MAX_GRANT_NUMBER = 31
"""The greatest number of a grant or slot request, limited by the free bits of a message."""

MAX_PLAN_INDEX = 255
"""The greatest plan index that fits in a message."""

STEPS_PER_UNIT = 50
"""The resolution of amounts in messages, in steps per unit."""

MAX_AMOUNT_STEPS = 32767
"""The greatest amount in a message, in steps; greater amounts are sent as this one."""

MAX_AMOUNT_UNITS = MAX_AMOUNT_STEPS / STEPS_PER_UNIT
"""The greatest amount in a message, in units."""


TOTAL_STEPS = 1 << 24
"""The range of a total of spent units, in steps; the total wraps around to 0."""

TOTAL_UNITS = TOTAL_STEPS / STEPS_PER_UNIT
"""The range of a total of spent units, in units."""

SEQUENCE_NUMBERS = 1 << 6
"""The number of sequence numbers in a stream before they wrap around."""

NO_STREAM = 0
"""The stream number in a datagram for a message without a total of spent units."""

MAX_STREAM = (1 << 14) - 1
"""The greatest number of a report stream."""

STREAM_AGE_STEP_US = 4 * S
"""The resolution of a stream's age in messages."""

MAX_STREAM_AGE_US = 15 * STREAM_AGE_STEP_US
"""The greatest age of a stream in a message; greater ages are sent as this one."""


class MessageKind(Enum):
    """The purpose of a gossip message.

    A report updates the leader; if the leader grants slots, a report also means that an attempt has ended. A
    grant request asks whether a request may be admitted, a slot request asks for a concurrency slot; both
    also report.
    """

    REPORT = auto()
    GRANT_REQUEST = auto()
    SLOT_REQUEST = auto()
    LEADER_ANSWER = auto()


class SlotGrant(IntEnum):
    """A quota leader's answer to a slot request."""

    NONE = 0
    GRANTED = 1
    QUEUED = 2


@dataclass(frozen=True, slots=True)
class SpentTotal:
    """The total of units that a gateway has reported as spent by a customer in one stream of reports.

    The stream started `age_us` before the message was sent, with a total of 0; MAX_STREAM_AGE_US stands for
    any greater age. `sequence` numbers the messages of the stream. `units` is the total including this
    message, modulo TOTAL_UNITS.
    """

    stream: int
    sequence: int
    units: float
    age_us: int


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A message from a gateway to a customer's quota leader, or the leader's answer.

    `customer` is a checksum of the customer's name. `demand` and `spent` are the units requested and spent
    since the sender's last message, up to MAX_AMOUNT_UNITS; in an answer, `demand` is that of the whole
    gateway set.

    `requested` above zero asks for a grant of that many units, and the sender waits for the answer. Below
    zero it asks for a concurrency slot and that many units of the rate ceiling; if `slot_grant` is GRANTED,
    the answer transfers both.

    `level` is the level of the set's token bucket, negative for a debt; a clamped level is a lower bound.
    The level of a member still includes units that it has spent but leaves to a later message to report.
    `in_flight` is the number of the sender's attempts in flight; in an answer, that of all gateways except
    the recipient.

    A grant request has a `grant_number`, the same if it is repeated. Its answer has the same number, and
    `spent` is the number of units that the leader has counted for it. Gateways of the previous version send
    no numbers; the recipient of an answer without one derives the counted units from demand and level. A
    slot request has a number of its own until it is granted, which the granting answer repeats.

    A member's message has a `spent_total`, so that a later message makes up for a lost one. Gateways of the
    previous version neither send nor read it, and a process that has a successor does not send it.
    """

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    is_answer: bool = False
    demand: float = 0.0
    spent: float = 0.0
    requested: float = 0.0
    level: float = 0.0
    in_flight: int = 0
    slot_grant: SlotGrant = SlotGrant.NONE
    grant_number: int = NO_GRANT_NUMBER
    spent_total: SpentTotal | None = None

    @property
    def kind(self) -> MessageKind:
        """The purpose of the message, from `is_answer` and the sign of `requested`."""
        if self.is_answer:
            return MessageKind.LEADER_ANSWER
        if self.requested > 0:
            return MessageKind.GRANT_REQUEST
        if self.requested < 0:
            return MessageKind.SLOT_REQUEST
        return MessageKind.REPORT

    @property
    def is_level_clamped(self) -> bool:
        """Whether the sender's level may exceed the range of the message."""
        return self.level >= MAX_AMOUNT_UNITS

    @property
    def is_grant_answer(self) -> bool:
        """Whether this is the leader's answer to a grant request."""
        return self.is_answer and self.requested > 0

    @property
    def requested_units(self) -> float:
        """The units that a grant or slot request asks for, without the sign that distinguishes the two."""
        return abs(self.requested)


@dataclass(frozen=True, slots=True)
class AttemptObservation:
    """The result of an attempt, sent to the other gateways.

    The server is identified by a checksum of its name. `relative_latency` is a fraction of the latency
    objective, at most 1; it is 0 for an attempt that failed other than by a timeout.
    """

    server_checksum: int
    class_index: int
    succeeded: bool
    relative_latency: float
