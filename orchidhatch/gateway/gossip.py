"""What gateways send each other: messages on a customer's quota, and observations of the servers."""

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from orchidhatch.gateway.times import S

NO_GRANT_NUMBER = 0
"""The number in messages that are about no grant, or of a gateway that numbers none."""

MAX_GRANT_NUMBER = 31
"""The greatest number of a grant or slot request: what the free bits of a message hold."""

MAX_PLAN_INDEX = 255
"""The greatest index of a plan that a message can name."""

STEPS_PER_UNIT = 50
"""The steps of a unit in which a message says amounts."""

MAX_AMOUNT_STEPS = 32767
"""The greatest amount that a message says, in steps; it stands for any greater one too."""

MAX_AMOUNT_UNITS = MAX_AMOUNT_STEPS / STEPS_PER_UNIT
"""The same in units."""


TOTAL_STEPS = 1 << 24
"""The steps in which a total of spent units counts, after which it begins again at 0."""

TOTAL_UNITS = TOTAL_STEPS / STEPS_PER_UNIT
"""The same in units."""

SEQUENCE_NUMBERS = 1 << 6
"""How many messages of a stream are numbered before the numbers begin again."""

NO_STREAM = 0
"""In a datagram, the stream of a message without a total of spent units."""

MAX_STREAM = (1 << 14) - 1
"""The greatest number of a stream of reports."""

STREAM_AGE_STEP_US = 4 * S
"""The steps in which a message says the age of its stream."""

MAX_STREAM_AGE_US = 15 * STREAM_AGE_STEP_US
"""The greatest age of a stream that a message says; it stands for any greater one too."""


class MessageKind(Enum):
    """What a gossip message is for.

    A report brings the leader up to date, and follows the end of an attempt where a slot was in use. A grant
    request asks whether a request may be admitted, a slot request for a concurrency slot; both report too.
    """

    REPORT = auto()
    GRANT_REQUEST = auto()
    SLOT_REQUEST = auto()
    LEADER_ANSWER = auto()


class SlotGrant(IntEnum):
    """A quota leader's answer to a request for a concurrency slot of a customer."""

    NONE = 0
    GRANTED = 1
    QUEUED = 2


@dataclass(frozen=True, slots=True)
class SpentTotal:
    """All units that a gateway has reported as spent by a customer, in the stream of reports to its leader.

    The stream began `age_us` before the message was sent, with a total of 0; MAX_STREAM_AGE_US stands for any
    greater age. `sequence` numbers its messages, and `units` are the total with this one, modulo TOTAL_UNITS.
    """

    stream: int
    sequence: int
    units: float
    age_us: int


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What a gateway sends a customer's quota leader, or the leader's answer.

    A customer goes by a checksum of its name. `demand` and `spent` are the units requested and spent since
    the sender's last message, as far as one can say them; in an answer, `demand` is that of the whole gateway
    set. `requested` above zero requests a grant of so many units and waits for an answer; `level` is what the
    set's bucket holds, or owes when negative; one that is cut is the least that it holds. A member's level
    still has the units that it has spent and leaves to a later message. Below zero, `requested` requests a
    concurrency slot, and so many units under the rate ceiling; where `slot_grant` is GRANTED, the answer
    hands them over. `in_flight` is how many attempts the sender has in flight; in an answer, how many all
    gateways but the recipient have.

    A grant request has a `grant_number`, the same when it is repeated, and so has its answer, whose `spent`
    are the units that the leader has counted for it. Gateways of the version before number none, and an
    answer without a number leaves the recipient to follow from demand and level what was counted. A slot
    request has a number of its own, until it is granted, and so has the answer that grants it.

    A member's message has a `spent_total`, so that a later message says what a lost one has said. Gateways of
    the version before neither send nor read one, and nor does a process that has a successor.
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
        """What the message is for, by `is_answer` and the sign of `requested`."""
        if self.is_answer:
            return MessageKind.LEADER_ANSWER
        if self.requested > 0:
            return MessageKind.GRANT_REQUEST
        if self.requested < 0:
            return MessageKind.SLOT_REQUEST
        return MessageKind.REPORT

    @property
    def is_level_clamped(self) -> bool:
        """Whether the sender's level may be greater than the message can say."""
        return self.level >= MAX_AMOUNT_UNITS

    @property
    def is_grant_answer(self) -> bool:
        """Whether this is the leader's answer to a grant request."""
        return self.is_answer and self.requested > 0

    @property
    def requested_units(self) -> float:
        """The units that a grant or a slot was requested with, without the sign that says which."""
        return abs(self.requested)


@dataclass(frozen=True, slots=True)
class AttemptObservation:
    """How an attempt went, sent to the other gateways.

    The server goes by a checksum of its name. `relative_latency` is a fraction of the latency objective, at
    most 1; an attempt that failed other than by a timeout has none.
    """

    server_checksum: int
    class_index: int
    succeeded: bool
    relative_latency: float
