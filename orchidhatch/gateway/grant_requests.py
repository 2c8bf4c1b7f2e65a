"""A member's grant requests: what the quota leader has counted for each, while messages are late or lost.

The leader counts the units that it grants as spent when it answers; the member reports all else that it
spends. So each grant request keeps what the leader has counted for it, as far as that is known here, and a
change of that goes into the member's next report. All messages about one request carry its number.

| state | the client's request | counted by the leader, as known here | what comes next |
| --- | --- | --- | --- |
| AWAITED | waits for the answer | nothing | the answer, or a decision without one |
| PRESUMED | is decided without an answer, or withdrawn | what it spends here | an answer, or none in time |
| SETTLED | is decided | what the answer says, else nothing | a repeated or late answer |
"""

from enum import Enum, auto

from orchidhatch.gateway.gossip import MAX_GRANT_NUMBER
from orchidhatch.gateway.gossip_codec import requested_steps
from orchidhatch.gateway.quota_buckets import QuotaBuckets
from orchidhatch.gateway.snapshots import CustomerKey, GrantRequestSnapshot
from orchidhatch.gateway.times import S

GRANT_NUMBER_REUSE_US = 1.5 * S
"""After how long a number may name another request, while late messages still name the earlier one."""

GRANT_NUMBER_STEP_US = 49_000
"""After how long the next request begins at the next number; all of them take GRANT_NUMBER_REUSE_US."""

PREDECESSOR_NUMBER_OFFSET = MAX_GRANT_NUMBER // 2
"""How far from its successor's numbers a process begins, while both open requests."""

GRANT_REPEAT_WINDOW_US = 0.4 * S
"""For how long a request is repeated, so that the leader still knows that it has counted it."""

GRANT_REQUEST_TTL_US = S // 2
"""After how long without an answer the leader is taken to have counted nothing."""


class GrantState(Enum):
    """How far a grant request has come, in the order of the module's table."""

    AWAITED = auto()
    PRESUMED = auto()
    SETTLED = auto()


class GrantEvent(Enum):
    """What changes the state: the leader's answer, a decision without one, the end of the time for one."""

    ANSWERED = auto()
    DECIDED_UNANSWERED = auto()
    EXPIRED = auto()


TRANSITIONS: dict[GrantState, dict[GrantEvent, GrantState]] = {
    GrantState.AWAITED: {
        GrantEvent.ANSWERED: GrantState.SETTLED,
        GrantEvent.DECIDED_UNANSWERED: GrantState.PRESUMED,
    },
    GrantState.PRESUMED: {
        GrantEvent.ANSWERED: GrantState.SETTLED,
        GrantEvent.EXPIRED: GrantState.SETTLED,
    },
    GrantState.SETTLED: {
        GrantEvent.ANSWERED: GrantState.SETTLED,
    },
}


class GrantRequest:
    """One request for a grant of units; times in microseconds.

    `quota` keeps what is to be reported, `counted` what the leader has counted for it, as far as that is
    known here, and `spent` what was spent of the quota; `messages` is how often it was sent, `answers` how
    often it was answered.
    """

    def __init__(self, quota: QuotaBuckets, number: int, units: float, now_us: int) -> None:
        self.quota = quota
        self.number = number
        self.units = units
        self.opened_us = now_us
        self.state = GrantState.AWAITED
        self.counted = 0.0
        self.spent = 0.0
        self.messages = 0
        self.answers = 0

    def on_answer(self, counted: float) -> float:
        """The leader has counted so many units; returns those that the next report gives back.

        Repeated answers come in any order, and those that grant say the same.
        """
        counted_before = self._counted_by_answers()
        self._advance(GrantEvent.ANSWERED)
        self.answers += 1
        return self._set_counted(max(counted, counted_before))

    def on_unnumbered_answer(self, counted: float) -> float:
        """The same for a leader of the version before, which counts each message of the request."""
        counted_before = self._counted_by_answers()
        self._advance(GrantEvent.ANSWERED)
        self.answers += 1
        return self._set_counted(counted + counted_before)

    def on_decided_unanswered(self, spent: float) -> None:
        """The request is decided without an answer: presume that the leader counts what it spends here."""
        self._advance(GrantEvent.DECIDED_UNANSWERED)
        self.spent = spent
        self._set_counted(spent)

    def on_expired(self) -> float:
        """No answer has come in time: what was spent is to be reported; returns those units, below zero."""
        self._advance(GrantEvent.EXPIRED)
        return self._set_counted(0.0)

    def snapshot(self, key: CustomerKey) -> GrantRequestSnapshot:
        """What a successor is told of the customer's request."""
        return GrantRequestSnapshot(
            key=key,
            number=self.number,
            opened_us=self.opened_us,
            units=self.units,
            counted=self.counted,
            spent=self.spent,
        )

    @property
    def expires_us(self) -> int:
        """From when on no answer is waited for any more."""
        return self.opened_us + GRANT_REQUEST_TTL_US

    def may_repeat(self, now_us: int) -> bool:
        """Whether the leader still knows what it has counted, if it has."""
        return now_us - self.opened_us < GRANT_REPEAT_WINDOW_US

    def awaits_answer(self) -> bool:
        """Whether a message of the request was not answered yet."""
        return self.answers < self.messages

    def matches(self, units: float) -> bool:
        """Whether so many units, as an answer names them, are those that were requested."""
        return requested_steps(self.units) == requested_steps(units)

    def _counted_by_answers(self) -> float:
        return self.counted if self.answers else 0.0

    def _advance(self, event: GrantEvent) -> None:
        self.state = TRANSITIONS[self.state][event]

    def _set_counted(self, counted: float) -> float:
        """Give back what the leader has counted beyond what was known; below zero, report it as spent."""
        difference = counted - self.counted
        self.counted = counted
        self.quota.unreported_spend -= difference
        return difference


class GrantRequests:
    """A customer's grant requests at a member.

    Invariant: a number names one request until that is settled, and GRANT_NUMBER_REUSE_US long at least.
    Numbers follow the clock, so that a process uses others than the one before. A successor knows those that
    its predecessor has used before the snapshot; from then on the two begin at numbers that are far apart.
    """

    def __init__(self, quota: QuotaBuckets) -> None:
        self.quota = quota
        # The last request of each number.
        self.by_number: dict[int, GrantRequest] = {}

    def has_free_number(self, now_us: int) -> bool:
        """Whether one more request may be opened."""
        return self._free_number(now_us) is not None

    def open(self, units: float, now_us: int, number_offset: int = 0) -> GrantRequest:
        """A new grant request; ValueError where no number is free."""
        number = self._free_number(now_us, number_offset)
        if number is None:
            raise ValueError("all numbers of grant requests are in use")
        grant = GrantRequest(self.quota, number, units, now_us)
        self.by_number[number] = grant
        return grant

    def find_answered(self, number: int, units: float, now_us: int) -> GrantRequest | None:
        """The grant request that an answer is for; None where the number names one of other units.

        Where the number names none, an earlier process of this gateway has asked. It spends nothing any
        more, so that its request is settled with nothing spent.
        """
        grant = self.by_number.get(number)
        if grant is None:
            grant = GrantRequest(self.quota, number, units, now_us)
            grant.state = GrantState.SETTLED
            self.by_number[number] = grant
        return grant if grant.matches(units) else None

    def find_answered_unnumbered(self, units: float) -> GrantRequest | None:
        """The request that an answer of a leader of the version before is for, None for a duplicate.

        It is the first of so many units that awaits an answer; those that are not decided yet go before.
        """
        in_order = sorted(self.by_number.values(), key=lambda grant: grant.opened_us)
        for state in GrantState:
            for grant in in_order:
                if grant.state is state and grant.awaits_answer() and grant.matches(units):
                    return grant
        return None

    def in_use(self, now_us: int) -> list[GrantRequest]:
        """The grant requests whose numbers may not name another one yet."""
        return [grant for number, grant in self.by_number.items() if not self._is_free(number, now_us)]

    def restore(self, snapshot: GrantRequestSnapshot) -> None:
        """Go on from a predecessor's request: only answers that it did not get change what was counted.

        Not where a request that was opened here has the number.
        """
        same_number = self.by_number.get(snapshot.number)
        if same_number is not None and same_number.opened_us != snapshot.opened_us:
            return
        grant = GrantRequest(self.quota, snapshot.number, snapshot.units, snapshot.opened_us)
        grant.state = GrantState.SETTLED
        grant.counted = snapshot.counted
        grant.spent = snapshot.spent
        grant.answers = 1 if snapshot.counted else 0
        self.by_number[snapshot.number] = grant

    def _free_number(self, now_us: int, offset: int = 0) -> int | None:
        first = now_us // GRANT_NUMBER_STEP_US + offset
        candidates = ((first + step) % MAX_GRANT_NUMBER + 1 for step in range(MAX_GRANT_NUMBER))
        return next((number for number in candidates if self._is_free(number, now_us)), None)

    def _is_free(self, number: int, now_us: int) -> bool:
        grant = self.by_number.get(number)
        if grant is None:
            return True
        is_old = now_us - grant.opened_us >= GRANT_NUMBER_REUSE_US
        return is_old and grant.state is GrantState.SETTLED
