"""The concurrency slots that a customer's quota leader grants to the other gateways of the set.

A slot is counted from its grant until a report of the gateway shows it in use, and from then on as one of
the reported attempts in flight. Grants and reports expire, so that a lost message blocks a slot only for
that time.
"""

from typing import NamedTuple

from orchidhatch.gateway.gossip import NO_GRANT_NUMBER
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US
from orchidhatch.gateway.member_slot import QUEUED_RETRY_US, ceiling_units_of
from orchidhatch.gateway.times import S

IN_FLIGHT_REPORT_TTL_US = 1.5 * S
"""How long the leader counts a reported attempt in flight, or a granted slot."""


class InFlightReport(NamedTuple):
    """The number of attempts in flight that a gateway reported, and when."""

    attempts: int
    reported_us: int


class SlotRequest(NamedTuple):
    """A gateway's request for a slot and ceiling units, with its number and the time of its last arrival."""

    units: float
    requested_us: int
    number: int = NO_GRANT_NUMBER


class GrantedSlot(NamedTuple):
    """A granted slot: the time of its last grant, and the request that it was granted to."""

    granted_us: int
    request: SlotRequest


class LeaderSlots:
    """The slots of one customer at its quota leader, by gateway.

    Invariant: `granted` holds the slots of a gateway that its reports have not shown in use; `queue` holds
    one request per gateway, the longest waiting first.
    """

    def __init__(self) -> None:
        self.reports: dict[int, InFlightReport] = {}
        self.granted: dict[int, list[GrantedSlot]] = {}
        self.queue: dict[int, SlotRequest] = {}

    def is_unused(self) -> bool:
        """Return whether no gateway has reported attempts, or has or awaits a slot."""
        return not (self.reports or self.granted or self.queue)

    def in_use(self, now_us: int, excluded_peer: int = -1) -> int:
        """Return the attempts in flight of the other gateways, recently reported or granted since."""
        reported = sum(
            report.attempts
            for peer, report in self.reports.items()
            if peer != excluded_peer and now_us - report.reported_us < IN_FLIGHT_REPORT_TTL_US
        )
        granted = sum(
            now_us - slot.granted_us < IN_FLIGHT_REPORT_TTL_US
            for peer, slots in self.granted.items()
            if peer != excluded_peer
            for slot in slots
        )
        return reported + granted

    def on_report(self, peer: int, attempts: int, has_ended: bool, now_us: int) -> None:
        """Record the attempts in flight of a gateway; `has_ended` tells whether one has just ended.

        Each new attempt that the report shows uses up one granted slot, the oldest first.
        """
        previous = self.reports[peer].attempts if peer in self.reports else 0
        used_grants = max(0, attempts - previous + has_ended)
        recent = [
            slot
            for slot in self.granted.pop(peer, ())
            if now_us - slot.granted_us < 2 * LEADER_REPLY_TIMEOUT_US
        ]
        unused = recent[used_grants:]
        if unused:
            self.granted[peer] = unused
        self.reports[peer] = InFlightReport(attempts, now_us)

    def enqueue(self, peer: int, units: float, now_us: int, number: int = NO_GRANT_NUMBER) -> None:
        """Queue a gateway's request; a repeated request replaces the earlier one in the same position."""
        self.queue[peer] = SlotRequest(units, now_us, number)

    def drop_abandoned(self, now_us: int) -> None:
        """Drop requests that were not repeated in time."""
        self.queue = {
            peer: request
            for peer, request in self.queue.items()
            if now_us - request.requested_us < 2 * QUEUED_RETRY_US
        }

    def next_peer(self, ceiling_units: float) -> int | None:
        """Return the longest waiting gateway whose request fits under the ceiling, or None."""
        for peer, request in self.queue.items():
            units = ceiling_units_of(request.units)
            if not units or units <= ceiling_units:
                return peer
        return None

    def grant(self, peer: int, now_us: int) -> float:
        """Grant the queued request of a gateway, and return the units that it names."""
        request = self.queue.pop(peer)
        self.granted.setdefault(peer, []).append(GrantedSlot(now_us, request))
        return request.units

    def repeat_grant(self, peer: int, number: int, now_us: int) -> SlotRequest | None:
        """Return the request of that number if its granted slot is unused, and renew the grant.

        Returns None if there is no such request; a request without a number is always new.
        """
        slots = self.granted.get(peer, [])
        for index, slot in enumerate(slots):
            if number != NO_GRANT_NUMBER and slot.request.number == number:
                slots[index] = GrantedSlot(now_us, slot.request)
                return slot.request
        return None
