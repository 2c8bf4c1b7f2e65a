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

from collections.abc import Iterator
from enum import Enum, auto

from orchidhatch.gateway.gossip import MAX_GRANT_NUMBER, NO_GRANT_NUMBER
from orchidhatch.gateway.gossip_codec import amount_steps
from orchidhatch.gateway.quota_buckets import QuotaBuckets
from orchidhatch.gateway.times import S

GRANT_NUMBER_REUSE_US = 3 * S
"""After how long a number names another request; longer than the leader remembers the earlier one."""

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
    known here; `messages` is how often it was sent, `answers` how often it was answered.
    """

    def __init__(self, quota: QuotaBuckets, number: int, units: float, now_us: int) -> None:
        self.quota = quota
        self.number = number
        self.units = units
        self.opened_us = now_us
        self.state = GrantState.AWAITED
        self.counted = 0.0
        self.messages = 0
        self.answers = 0

    def on_answer(self, counted: float) -> bool:
        """The leader has counted so many units; returns whether that is a change of what was known.

        Repeated answers come in any order, and all that grant say the same.
        """
        counted_before = self._counted_by_answers()
        self._advance(GrantEvent.ANSWERED)
        self.answers += 1
        return self._set_counted(max(counted, counted_before))

    def on_unnumbered_answer(self, counted: float) -> bool:
        """The same for a leader of the version before, which counts each message of the request."""
        counted_before = self._counted_by_answers()
        self._advance(GrantEvent.ANSWERED)
        self.answers += 1
        return self._set_counted(counted + counted_before)

    def on_decided_unanswered(self, spent: float) -> None:
        """The request is decided without an answer: presume that the leader counts what it spends here."""
        self._advance(GrantEvent.DECIDED_UNANSWERED)
        self._set_counted(spent)

    def on_expired(self) -> None:
        """No answer has come in time: what was spent is reported."""
        self._advance(GrantEvent.EXPIRED)
        self._set_counted(0.0)

    @property
    def expires_us(self) -> int:
        """From when on no answer is waited for any more."""
        return self.opened_us + GRANT_REQUEST_TTL_US

    def awaits_answer(self) -> bool:
        """Whether a message of the request was not answered yet."""
        return self.answers < self.messages

    def matches(self, units: float) -> bool:
        """Whether so many units, as an answer names them, are those that were requested."""
        return amount_steps(self.units) == amount_steps(units)

    def _counted_by_answers(self) -> float:
        return self.counted if self.answers else 0.0

    def _advance(self, event: GrantEvent) -> None:
        self.state = TRANSITIONS[self.state][event]

    def _set_counted(self, counted: float) -> bool:
        """Report as spent what the leader turns out not to have counted; returns whether anything changed."""
        difference = counted - self.counted
        self.counted = counted
        self.quota.unreported_spend -= difference
        return difference != 0


class GrantRequests:
    """A customer's grant requests at a member.

    Invariant: a number names one request at a time, and another one GRANT_NUMBER_REUSE_US later at the
    soonest. Where all numbers are in use, a request has none, and answers find it by its units.
    """

    def __init__(self, quota: QuotaBuckets) -> None:
        self.quota = quota
        # In the order in which they were opened.
        self.numbered: dict[int, GrantRequest] = {}
        self.unnumbered: list[GrantRequest] = []
        self.last_number = NO_GRANT_NUMBER

    def open(self, units: float, now_us: int) -> GrantRequest:
        """A new grant request."""
        self._forget_old(now_us)
        grant = GrantRequest(self.quota, self._free_number(), units, now_us)
        self._keep(grant)
        return grant

    def answered(self, number: int, units: float, now_us: int) -> GrantRequest:
        """The grant request that an answer is for; where it is not known, one that is settled with nothing.

        It may be that of an earlier process of this gateway, which spends nothing of it any more.
        """
        grant = self.numbered.get(number)
        if grant is not None and grant.matches(units):
            return grant
        unknown = GrantRequest(self.quota, number, units, now_us)
        unknown.state = GrantState.SETTLED
        self.numbered.pop(number, None)
        self._keep(unknown)
        return unknown

    def answered_unnumbered(self, units: float) -> GrantRequest | None:
        """The request that an answer of a leader of the version before is for, None for a duplicate.

        It is the first of so many units that awaits an answer; those that are not decided yet go before.
        """
        for state in GrantState:
            for grant in self._all():
                if grant.state is state and grant.awaits_answer() and grant.matches(units):
                    return grant
        return None

    def _all(self) -> Iterator[GrantRequest]:
        yield from self.numbered.values()
        yield from self.unnumbered

    def _keep(self, grant: GrantRequest) -> None:
        if grant.number == NO_GRANT_NUMBER:
            self.unnumbered.append(grant)
        else:
            self.numbered[grant.number] = grant
            self.last_number = grant.number

    def _free_number(self) -> int:
        for offset in range(MAX_GRANT_NUMBER):
            number = (self.last_number + offset) % MAX_GRANT_NUMBER + 1
            if number not in self.numbered:
                return number
        return NO_GRANT_NUMBER

    def _forget_old(self, now_us: int) -> None:
        oldest_us = now_us - GRANT_NUMBER_REUSE_US
        self.numbered = {
            number: grant for number, grant in self.numbered.items() if grant.opened_us > oldest_us
        }
        self.unnumbered = [grant for grant in self.unnumbered if grant.opened_us > oldest_us]
