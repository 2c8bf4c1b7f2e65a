"""What the decision core wants done, as answers to events; carried out in order. Times are microseconds."""

from dataclasses import dataclass

from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.snapshots import (
    GatewaySnapshot,
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverEjection,
    HandoverSpend,
)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start an attempt.

    A timeout of 0 lasts until the client gives up. An attempt that is not written completely within
    `start_within_us`, where that is not 0, must not be started any more.
    """

    id: str
    server: str
    timeout_us: int = 0
    start_within_us: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not taken, and a retry is harmless; 0 gives no time for it."""

    id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about effects."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerExpired event."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check whether a server answers."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send messages to one peer, and what was observed of the servers since the last time.

    `waited_us` is how long the first message waited for the peer's pacing.
    """

    peer: int
    messages: tuple[GossipMessage, ...]
    observations: tuple[AttemptObservation, ...] = ()
    waited_us: int = 0


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a number that the shared counter keeps."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Watch the changes of the endpoint list, or stop."""

    is_watching: bool


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Ask for the whole endpoint list once."""


@dataclass(frozen=True, slots=True)
class EjectionResult:
    """Whether a SetEjection holds from now on; it does not where the server was never listed."""

    server: str
    is_ejected: bool
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """How many servers are listed and how many of them ejected; what waits in the gateway, and since when.

    `queued` requests are in the queue, or wait for a grant of their quota, the oldest for `queued_us`;
    `messages` are the gossip messages that wait for their peers, the oldest for `messages_us`.
    `messages_dropped` and `ended`, the requests ended unserved by reason, count since the start.
    """

    listed: int
    ejected: int
    queued: int = 0
    queued_us: int = 0
    messages: int = 0
    messages_us: int = 0
    messages_dropped: int = 0
    ended: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class WaitTimes:
    """For how many microseconds requests have waited here since the last of these, by what for."""

    times: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log."""

    text: str


Action = (
    SendAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | HealthCheck
    | CloseIdleConnections
    | SendGossip
    | AddToCounter
    | Subscribe
    | FetchEndpointList
    | LogLine
    | WaitTimes
    | EjectionResult
    | MetricsSnapshot
    | GatewaySnapshot
    | HandoverSpend
    | HandoverAttempt
    | HandoverAttemptEnd
    | HandoverEjection
)
