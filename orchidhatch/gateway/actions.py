"""Actions that the decision core returns for an event, in order of execution; times are in microseconds."""

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

    A `timeout_us` of 0 means that it lasts until the client gives up. Unless `start_within_us` is 0, an
    attempt that is not completely written within that time must not be started any more.
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
    """Final answer: not admitted, and a retry is harmless; a `retry_after_us` of 0 gives no advice."""

    id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have taken effect."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerExpired event after `delay_us`."""

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
    """Send a peer gossip messages, and the observations of servers since the previous ones.

    `waited_us` is how long the first message has waited in the outbox.
    """

    peer: int
    messages: tuple[GossipMessage, ...]
    observations: tuple[AttemptObservation, ...] = ()
    waited_us: int = 0


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a total of the shared counter."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Start or stop watching the endpoint list."""

    is_watching: bool


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class EjectionResult:
    """The result of a SetEjection, which is not accepted if the server was never listed."""

    server: str
    is_ejected: bool
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The state of the endpoint list, the request queue and the peer outbox.

    `ejected` of the `listed` servers are ejected. `queued` requests are in the queue or await a quota grant,
    the oldest for `queued_us`; `messages` are in the outbox, the oldest for `messages_us`. `messages_dropped`
    and `ended`, the requests that ended unserved by reason, count since the process started.
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
    """Microseconds that requests have waited since the previous WaitTimes, by cause of the wait."""

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
