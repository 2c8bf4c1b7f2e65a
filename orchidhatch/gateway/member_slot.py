"""The concurrency slot that a gateway requests of a customer's quota leader, where the leader grants them.

A first attempt needs a slot. Slots of an open cap that is smaller than the gateway set are not split, but
granted one at a time by the leader.
"""

import math
from enum import Enum, auto

from orchidhatch.gateway.gossip import MAX_GRANT_NUMBER, NO_GRANT_NUMBER, STEPS_PER_UNIT
from orchidhatch.gateway.grant_requests import GRANT_NUMBER_STEP_US
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US, MAX_LEADER_REQUESTS
from orchidhatch.gateway.times import NEVER, S

QUEUED_RETRY_US = S // 2
"""After how long a request that the leader has queued is repeated, as messages are lost."""

RENEWAL_INTERVAL_US = 0.6 * S
"""How often attempts in flight are reported again; under the leader's IN_FLIGHT_REPORT_TTL_US."""

SLOT_ONLY_UNITS = 0.02
"""Requested with a slot that needs no units of the ceiling: the least amount that a message can hold."""

MIN_CEILING_UNITS = 0.04
"""The least that is requested of the ceiling with a slot: less arrives as SLOT_ONLY_UNITS."""

STEP_DECIMALS = 6
"""The digits after the point to which an amount's steps are exact: those of a float's rounding are cut."""


def slot_request_units(ceiling_units: float) -> float:
    """What a request for a slot names, for so many units of the ceiling or for none.

    It is rounded up to whole steps of a message, as a grant of less would not do.
    """
    if not ceiling_units:
        return SLOT_ONLY_UNITS
    steps = math.ceil(round(ceiling_units * STEPS_PER_UNIT, STEP_DECIMALS))
    return max(MIN_CEILING_UNITS, steps / STEPS_PER_UNIT)


def ceiling_units_of(requested: float) -> float:
    """The units of the rate ceiling that a request for a slot asks for."""
    return requested if requested > SLOT_ONLY_UNITS else 0.0


class SlotState(Enum):
    """What is known of the slot that a gateway needs next."""

    IDLE = auto()
    REQUESTED = auto()
    QUEUED = auto()
    GRANTED = auto()


class SlotEvent(Enum):
    """What changes the state: messages to and from the leader, a first attempt, an unused slot given back."""

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
"""Answers may come late or twice, so that every event is possible in every state. A slot that was granted and
not used is given back while the next is requested already."""


class MemberSlot:
    """The slot of one customer, at a gateway that is not its quota leader.

    Invariant: `granted_us` is the time of a grant that was neither used nor given back, else -NEVER;
    `unanswered_requests` counts the requests since the leader's last answer about a slot. `open_number` is
    that of the request that was not granted yet: it is repeated under it, so that it is granted once.
    """

    def __init__(self) -> None:
        self.state = SlotState.IDLE
        # Since when it is in this state: the last request, or the answer to it.
        self.state_since_us = -NEVER
        self.granted_us = -NEVER
        self.unanswered_requests = 0
        self.open_number = NO_GRANT_NUMBER
        self.last_number = NO_GRANT_NUMBER
        # When attempts in flight were last reported, or a granted slot was used.
        self.reported_us = -NEVER

    def advance(self, event: SlotEvent) -> None:
        """Follow the table of transitions."""
        self.state = TRANSITIONS[self.state][event]

    def is_leader_silent(self) -> bool:
        """Whether the leader has answered none of several requests."""
        return self.unanswered_requests > MAX_LEADER_REQUESTS

    def is_usable(self, now_us: int) -> bool:
        """Whether a slot was granted that a first attempt may still use."""
        return now_us - self.granted_us < LEADER_REPLY_TIMEOUT_US

    def is_unused(self, now_us: int) -> bool:
        """Whether a slot was granted that nothing used in time."""
        return self.granted_us > -NEVER and not self.is_usable(now_us)

    def is_request_due(self, now_us: int) -> bool:
        """Whether a slot is to be requested, for the first time or again."""
        is_silent = self.is_leader_silent()
        if self.is_usable(now_us) and not is_silent:
            return False
        if self.state is SlotState.IDLE:
            return True
        retries_late = self.state is SlotState.QUEUED or is_silent
        retry_us = QUEUED_RETRY_US if retries_late else LEADER_REPLY_TIMEOUT_US
        return now_us - self.state_since_us >= retry_us

    def on_request_sent(self, now_us: int) -> None:
        """A request for a slot is sent, for the first time or again."""
        if self.open_number == NO_GRANT_NUMBER:
            self.last_number = self.next_number(now_us)
            self.open_number = self.last_number
        self.advance(SlotEvent.REQUEST_SENT)
        self.state_since_us = now_us
        self.unanswered_requests += 1

    def next_number(self, now_us: int) -> int:
        """The number after the last; the first follows the clock, as a process before this one had others."""
        if self.last_number == NO_GRANT_NUMBER:
            return now_us // GRANT_NUMBER_STEP_US % MAX_GRANT_NUMBER + 1
        return self.last_number % MAX_GRANT_NUMBER + 1

    def awaits_grant(self, number: int) -> bool:
        """Whether a grant of that number is the first one for its request; one without a number always is."""
        return number in (NO_GRANT_NUMBER, self.open_number)

    def on_queued(self, now_us: int) -> None:
        """The leader has queued the request."""
        self.advance(SlotEvent.QUEUE_ANSWER)
        self.state_since_us = now_us
        self.unanswered_requests = 0

    def on_granted(self, now_us: int, number: int = NO_GRANT_NUMBER) -> None:
        """The leader has granted a slot, to the request of that number if it has one."""
        if number == self.open_number:
            self.open_number = NO_GRANT_NUMBER
        self.advance(SlotEvent.GRANT_ANSWER)
        self.state_since_us = now_us
        self.unanswered_requests = 0
        self.granted_us = now_us

    def on_attempt_sent(self) -> None:
        """A first attempt has used the slot; the next may be requested at once."""
        self.advance(SlotEvent.ATTEMPT_SENT)
        self.granted_us = -NEVER

    def give_back(self) -> None:
        """The granted slot is used no more."""
        self.advance(SlotEvent.RETURNED)
        self.granted_us = -NEVER

    def is_renewal_due(self, now_us: int) -> bool:
        """Whether attempts in flight are to be reported again."""
        return now_us - self.reported_us >= RENEWAL_INTERVAL_US

    def due_us(self) -> float:
        """When the attempts in flight are to be reported, or an unused slot is to be given back."""
        if self.granted_us == -NEVER:
            return self.reported_us + RENEWAL_INTERVAL_US
        return self.granted_us + LEADER_REPLY_TIMEOUT_US
