"""The concurrency slots that a customer's quota leader grants to the other gateways of the set.

A slot counts from its grant until a report of the gateway shows it in use, then with the reported attempts in
flight. Grants and reports end after a while: a lost message blocks a slot for that long only.
"""

from typing import NamedTuple

from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US
from orchidhatch.gateway.member_slot import QUEUED_RETRY_US, ceiling_units_of
from orchidhatch.gateway.times import S

IN_FLIGHT_REPORT_TTL_US = 1.5 * S
"""For how long the leader counts a reported attempt in flight, and a granted slot."""


class InFlightReport(NamedTuple):
    """The attempts in flight that a gateway has reported."""

    attempts: int
    reported_us: int


class SlotRequest(NamedTuple):
    """A gateway's request for a slot and units of the ceiling, and when it last came in."""

    units: float
    requested_us: int


class LeaderSlots:
    """The slots of one customer at its quota leader, by gateway.

    Invariant: a gateway's granted slots are those that its reports have not shown in use; `queue` holds one
    request of each gateway, that which has waited longest first.
    """

    def __init__(self) -> None:
        self.reports: dict[int, InFlightReport] = {}
        self.granted_us: dict[int, list[int]] = {}
        self.queue: dict[int, SlotRequest] = {}

    def in_use(self, now_us: int, excluded_peer: int = -1) -> int:
        """Attempts in flight of the other gateways, reported of late or granted since."""
        reported = sum(
            report.attempts
            for peer, report in self.reports.items()
            if peer != excluded_peer and now_us - report.reported_us < IN_FLIGHT_REPORT_TTL_US
        )
        granted = sum(
            now_us - granted_us < IN_FLIGHT_REPORT_TTL_US
            for peer, grants in self.granted_us.items()
            if peer != excluded_peer
            for granted_us in grants
        )
        return reported + granted

    def on_report(self, peer: int, attempts: int, has_ended: bool, now_us: int) -> None:
        """Count what a gateway has in flight; `has_ended` says that the report follows the end of an attempt.

        As many grants count no more as the report shows new attempts, the oldest first.
        """
        previous = self.reports[peer].attempts if peer in self.reports else 0
        used_grants = max(0, attempts - previous + has_ended)
        recent = [
            granted_us
            for granted_us in self.granted_us.pop(peer, ())
            if now_us - granted_us < 2 * LEADER_REPLY_TIMEOUT_US
        ]
        unused = recent[used_grants:]
        if unused:
            self.granted_us[peer] = unused
        self.reports[peer] = InFlightReport(attempts, now_us)

    def enqueue(self, peer: int, units: float, now_us: int) -> None:
        """Queue a gateway's request, or take over its repetition; it keeps its position."""
        self.queue[peer] = SlotRequest(units, now_us)

    def drop_abandoned(self, now_us: int) -> None:
        """Drop requests that were not repeated in time."""
        self.queue = {
            peer: request
            for peer, request in self.queue.items()
            if now_us - request.requested_us < 2 * QUEUED_RETRY_US
        }

    def next_peer(self, ceiling_units: float) -> int | None:
        """The gateway that has waited longest among those whose request fits under the ceiling."""
        for peer, request in self.queue.items():
            units = ceiling_units_of(request.units)
            if not units or units <= ceiling_units:
                return peer
        return None

    def grant(self, peer: int, now_us: int) -> float:
        """Grant the queued request of a gateway; returns the units that it requested."""
        request = self.queue.pop(peer)
        self.granted_us.setdefault(peer, []).append(now_us)
        return request.units
