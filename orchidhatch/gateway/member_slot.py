"""The concurrency slot that a member requests from a customer's quota leader if the leader grants slots.

A first attempt needs a slot. If the open cap is smaller than the gateway set it is not split: the leader
grants its slots one at a time.
"""

import math
from enum import Enum, auto

from orchidhatch.gateway.gossip import MAX_GRANT_NUMBER, NO_GRANT_NUMBER, STEPS_PER_UNIT
from orchidhatch.gateway.grant_requests import GRANT_NUMBER_STEP_US
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US, MAX_LEADER_REQUESTS
from orchidhatch.gateway.times import NEVER, S

QUEUED_RETRY_US = S // 2
"""The delay after which a request that the leader has queued is repeated, as messages may be lost."""

RENEWAL_INTERVAL_US = 0.6 * S
"""How often attempts in flight are reported again; shorter than the leader's IN_FLIGHT_REPORT_TTL_US."""

SLOT_ONLY_UNITS = 0.02
"""The units in a slot request that needs none of the ceiling: the smallest amount that a message can hold."""

MIN_CEILING_UNITS = 0.04
"""The minimum of ceiling units to request with a slot; a smaller amount would arrive as SLOT_ONLY_UNITS."""

STEP_DECIMALS = 6
"""The decimal places of an amount in steps that are significant; the rest is floating-point rounding."""


def slot_request_units(ceiling_units: float) -> float:
    """Return the units to name in a slot request that needs `ceiling_units`, 0 for none.

    They are rounded up to whole steps of the message format, because a smaller grant would not suffice.
    """
    if not ceiling_units:
        return SLOT_ONLY_UNITS
    steps = math.ceil(round(ceiling_units * STEPS_PER_UNIT, STEP_DECIMALS))
    return max(MIN_CEILING_UNITS, steps / STEPS_PER_UNIT)


def ceiling_units_of(requested: float) -> float:
    """Return the units of the rate ceiling that a slot request asks for."""
    return requested if requested > SLOT_ONLY_UNITS else 0.0


class SlotState(Enum):
    """The state of the slot that a gateway needs next."""

    IDLE = auto()
    REQUESTED = auto()
    QUEUED = auto()
    GRANTED = auto()


class SlotEvent(Enum):
    """A change of state: a message to or from the leader, a first attempt, or a returned slot."""

    REQUEST_SENT = auto()
    QUEUE_ANSWER = auto()
    GRANT_ANSWER = auto()
    ATTEMPT_SENT = auto()
    RETURNED = auto()


TRANSITIONS: dict[SlotState, dict[SlotEvent, SlotState]] = {
    SlotState.IDLE: {
        SlotEvent.REQUEST_SENT: SlotState.REQUESTED,
        SlotEvent.QUEUE_ANSWER: SlotState.QUEUED,
        SlotEvent.GRANT_ANSWER: SlotState.GRANTED,
        SlotEvent.ATTEMPT_SENT: SlotState.IDLE,
        SlotEvent.RETURNED: SlotState.IDLE,
    },
    SlotState.REQUESTED: {
        SlotEvent.REQUEST_SENT: SlotState.REQUESTED,
        SlotEvent.QUEUE_ANSWER: SlotState.QUEUED,
        SlotEvent.GRANT_ANSWER: SlotState.GRANTED,
        SlotEvent.ATTEMPT_SENT: SlotState.IDLE,
        SlotEvent.RETURNED: SlotState.REQUESTED,
    },
    SlotState.QUEUED: {
        SlotEvent.REQUEST_SENT: SlotState.REQUESTED,
        SlotEvent.QUEUE_ANSWER: SlotState.QUEUED,
        SlotEvent.GRANT_ANSWER: SlotState.GRANTED,
        SlotEvent.ATTEMPT_SENT: SlotState.IDLE,
        SlotEvent.RETURNED: SlotState.QUEUED,
    },
    SlotState.GRANTED: {
        SlotEvent.REQUEST_SENT: SlotState.REQUESTED,
        SlotEvent.QUEUE_ANSWER: SlotState.QUEUED,
        SlotEvent.GRANT_ANSWER: SlotState.GRANTED,
        SlotEvent.ATTEMPT_SENT: SlotState.IDLE,
        SlotEvent.RETURNED: SlotState.IDLE,
    },
}
"""Answers may be late or duplicated, so every event is possible in every state. A granted slot that was not
used may be returned while the next one is already requested."""


class MemberSlot:
    """The slot of one customer at a gateway that is not its quota leader.

    Invariant: `granted_us` is the time of a grant that was neither used nor returned, else -NEVER.
    `unanswered_requests` counts the requests since the leader's last answer about a slot. `open_number` is
    the number of the request that has not been granted yet; repetitions carry the same number, so that it is
    granted once.
    """

    def __init__(self) -> None:
        self.state = SlotState.IDLE
        # Time of the last request, or of the answer to it.
        self.state_since_us = -NEVER
        self.granted_us = -NEVER
        self.unanswered_requests = 0
        self.open_number = NO_GRANT_NUMBER
        self.last_number = NO_GRANT_NUMBER
        # Time of the last report of attempts in flight, or of the last use of a granted slot.
        self.reported_us = -NEVER

    def advance(self, event: SlotEvent) -> None:
        """Apply an event to the state."""
        self.state = TRANSITIONS[self.state][event]

    def is_leader_silent(self) -> bool:
        """Return whether the leader has left more than MAX_LEADER_REQUESTS requests unanswered."""
        return self.unanswered_requests > MAX_LEADER_REQUESTS

    def is_usable(self, now_us: int) -> bool:
        """Return whether a first attempt may use a granted slot."""
        return now_us - self.granted_us < LEADER_REPLY_TIMEOUT_US

    def is_unused(self, now_us: int) -> bool:
        """Return whether a granted slot was not used in time."""
        return self.granted_us > -NEVER and not self.is_usable(now_us)

    def is_request_due(self, now_us: int) -> bool:
        """Return whether a slot is to be requested now, for the first time or again."""
        is_silent = self.is_leader_silent()
        if self.is_usable(now_us) and not is_silent:
            return False
        if self.state is SlotState.IDLE:
            return True
        retries_late = self.state is SlotState.QUEUED or is_silent
        retry_us = QUEUED_RETRY_US if retries_late else LEADER_REPLY_TIMEOUT_US
        return now_us - self.state_since_us >= retry_us

    def on_request_sent(self, now_us: int) -> None:
        """Record that a slot request was sent, for the first time or again."""
        if self.open_number == NO_GRANT_NUMBER:
            self.last_number = self.next_number(now_us)
            self.open_number = self.last_number
        self.advance(SlotEvent.REQUEST_SENT)
        self.state_since_us = now_us
        self.unanswered_requests += 1

    def next_number(self, now_us: int) -> int:
        """Return the next number; the first one is derived from the clock.

        The clock keeps a new process from reusing the numbers of the one before it.
        """
        if self.last_number == NO_GRANT_NUMBER:
            return now_us // GRANT_NUMBER_STEP_US % MAX_GRANT_NUMBER + 1
        return self.last_number % MAX_GRANT_NUMBER + 1

    def awaits_grant(self, number: int) -> bool:
        """Return whether a grant of that number is the first for its request; always True if unnumbered."""
        return number in (NO_GRANT_NUMBER, self.open_number)

    def on_queued(self, now_us: int) -> None:
        """Record that the leader has queued the request."""
        self.advance(SlotEvent.QUEUE_ANSWER)
        self.state_since_us = now_us
        self.unanswered_requests = 0

    def on_granted(self, now_us: int, number: int = NO_GRANT_NUMBER) -> None:
        """Record that the leader has granted a slot, to the request of that number if it has one."""
        if number == self.open_number:
            self.open_number = NO_GRANT_NUMBER
        self.advance(SlotEvent.GRANT_ANSWER)
        self.state_since_us = now_us
        self.unanswered_requests = 0
        self.granted_us = now_us

    def on_attempt_sent(self) -> None:
        """Record that a first attempt has used the slot; the next one may be requested at once."""
        self.advance(SlotEvent.ATTEMPT_SENT)
        self.granted_us = -NEVER

    def give_back(self) -> None:
        """Return the granted slot unused."""
        self.advance(SlotEvent.RETURNED)
        self.granted_us = -NEVER

    def is_renewal_due(self, now_us: int) -> bool:
        """Return whether attempts in flight must be reported again."""
        return now_us - self.reported_us >= RENEWAL_INTERVAL_US

    def due_us(self) -> float:
        """Return when attempts in flight must be reported, or an unused slot returned."""
        if self.granted_us == -NEVER:
            return self.reported_us + RENEWAL_INTERVAL_US
        return self.granted_us + LEADER_REPLY_TIMEOUT_US
