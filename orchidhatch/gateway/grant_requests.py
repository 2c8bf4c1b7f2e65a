"""A member's grant requests: tracks what the quota leader has counted for each of them.

Messages may be late or lost. The leader counts granted units as spent when it answers; the member reports
all other spending. So each grant request records the units that the leader has counted for it, as far as
known here, and a change of that number goes into the member's next report. All messages about one request
carry its number.

| state | the client's request | counted by the leader, as known here | next event |
| --- | --- | --- | --- |
| AWAITED | waits for the answer | nothing | the answer, or a decision without one |
| PRESUMED | is decided without an answer, or withdrawn | what it spends here | an answer, or expiry |
| SETTLED | is decided | the units in the answer, else nothing | a repeated or late answer |
"""

from enum import Enum, auto

from orchidhatch.gateway.gossip import MAX_GRANT_NUMBER
from orchidhatch.gateway.gossip_codec import requested_steps
from orchidhatch.gateway.quota_buckets import QuotaBuckets
from orchidhatch.gateway.snapshots import CustomerKey, GrantRequestSnapshot
from orchidhatch.gateway.times import S

GRANT_NUMBER_REUSE_US = 1.5 * S
"""The minimum time before a number may denote another request; late messages may carry the earlier one."""

GRANT_NUMBER_STEP_US = 49_000
"""The time after which a new request starts at the next number; all numbers span GRANT_NUMBER_REUSE_US."""

PREDECESSOR_NUMBER_OFFSET = MAX_GRANT_NUMBER // 2
"""The distance between the numbers of a process and its successor while both open requests."""

GRANT_REPEAT_WINDOW_US = 0.4 * S
"""How long a request may be repeated; within that time the leader remembers that it has counted it."""

GRANT_REQUEST_TTL_US = S // 2
"""The time without an answer after which the leader is assumed to have counted nothing."""


class GrantState(Enum):
    """The state of a grant request, in the order of the table in the module's docstring."""

    AWAITED = auto()
    PRESUMED = auto()
    SETTLED = auto()


class GrantEvent(Enum):
    """A change of state: an answer of the leader, a decision without an answer, or expiry."""

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

    `quota` holds the units to be reported. `counted` is the number of units that the leader has counted for
    the request, as far as known here, and `spent` the units spent. `messages` counts how often the request
    was sent, `answers` how often it was answered.
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
        """Apply an answer that `counted` units were counted, and return the units to give back.

        The next report gives them back. Repeated answers may arrive in any order; those that grant the
        request all name the same units.
        """
        counted_before = self._counted_by_answers()
        self._advance(GrantEvent.ANSWERED)
        self.answers += 1
        return self._set_counted(max(counted, counted_before))

    def on_unnumbered_answer(self, counted: float) -> float:
        """Apply an answer of a leader of the previous version, which counts each message of the request."""
        counted_before = self._counted_by_answers()
        self._advance(GrantEvent.ANSWERED)
        self.answers += 1
        return self._set_counted(counted + counted_before)

    def on_decided_unanswered(self, spent: float) -> None:
        """Record a decision without an answer, and presume that the leader counts the `spent` units."""
        self._advance(GrantEvent.DECIDED_UNANSWERED)
        self.spent = spent
        self._set_counted(spent)

    def on_expired(self) -> float:
        """Report the spent units, because no answer came in time; return them as a negative number."""
        self._advance(GrantEvent.EXPIRED)
        return self._set_counted(0.0)

    def snapshot(self, key: CustomerKey) -> GrantRequestSnapshot:
        """Return the state of the customer's request for a successor."""
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
        """The time after which the request no longer waits for an answer."""
        return self.opened_us + GRANT_REQUEST_TTL_US

    def may_repeat(self, now_us: int) -> bool:
        """Return whether the leader still remembers the request if it has counted it."""
        return now_us - self.opened_us < GRANT_REPEAT_WINDOW_US

    def awaits_answer(self) -> bool:
        """Return whether a message of the request has not been answered."""
        return self.answers < self.messages

    def matches(self, units: float) -> bool:
        """Return whether the units named in an answer are those requested, within the codec's precision."""
        return requested_steps(self.units) == requested_steps(units)

    def _counted_by_answers(self) -> float:
        return self.counted if self.answers else 0.0

    def _advance(self, event: GrantEvent) -> None:
        self.state = TRANSITIONS[self.state][event]

    def _set_counted(self, counted: float) -> float:
        """Return the change of the counted units, and subtract it from the units to be reported."""
        difference = counted - self.counted
        self.counted = counted
        self.quota.unreported_spend -= difference
        return difference


class GrantRequests:
    """A customer's grant requests at a member, by number.

    Invariant: a number denotes one request until the request is settled, and for at least
    GRANT_NUMBER_REUSE_US.

    Numbers are derived from the clock, so that a restarted process uses others than the process before it. A
    successor knows the numbers that its predecessor used before the snapshot; after that the two start at
    numbers far apart.
    """

    def __init__(self, quota: QuotaBuckets) -> None:
        self.quota = quota
        # The latest request of each number.
        self.by_number: dict[int, GrantRequest] = {}

    def has_free_number(self, now_us: int) -> bool:
        """Return whether one more request may be opened."""
        return self._free_number(now_us) is not None

    def open(self, units: float, now_us: int, number_offset: int = 0) -> GrantRequest:
        """Open a grant request. Raises ValueError if no number is free."""
        number = self._free_number(now_us, number_offset)
        if number is None:
            raise ValueError("cannot open a grant request: all numbers are in use")
        grant = GrantRequest(self.quota, number, units, now_us)
        self.by_number[number] = grant
        return grant

    def find_answered(self, number: int, units: float, now_us: int) -> GrantRequest | None:
        """Return the grant request that an answer is for; None if the number denotes one of other units.

        An unknown number belongs to a request of an earlier process of this gateway. That process no longer
        spends, so the request is recorded as settled with nothing spent.
        """
        grant = self.by_number.get(number)
        if grant is None:
            grant = GrantRequest(self.quota, number, units, now_us)
            grant.state = GrantState.SETTLED
            self.by_number[number] = grant
        return grant if grant.matches(units) else None

    def find_answered_unnumbered(self, units: float) -> GrantRequest | None:
        """Return the request answered by a leader of the previous version; None for a duplicate answer.

        It is the oldest request for `units` that awaits an answer; undecided requests take precedence.
        """
        in_order = sorted(self.by_number.values(), key=lambda grant: grant.opened_us)
        for state in GrantState:
            for grant in in_order:
                if grant.state is state and grant.awaits_answer() and grant.matches(units):
                    return grant
        return None

    def in_use(self, now_us: int) -> list[GrantRequest]:
        """Return the grant requests whose numbers may not be reused yet."""
        return [grant for number, grant in self.by_number.items() if not self._is_free(number, now_us)]

    def restore(self, snapshot: GrantRequestSnapshot) -> None:
        """Restore a predecessor's request as settled; only answers that it did not receive change the count.

        Ignored if a request opened here has the same number.
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
