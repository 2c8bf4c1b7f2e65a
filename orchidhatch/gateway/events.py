"""The events that a gateway's decision core reacts to.

`core.GatewayCore.handle(now_us, event)` takes one and returns the actions to carry out, in order. Times are
integers in microseconds.
"""

from dataclasses import dataclass, replace

from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.settings import Plan, RequestClass, Settings
from orchidhatch.gateway.snapshots import (
    GatewaySnapshot,
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverEjection,
    HandoverSpend,
)


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The complete endpoint list, changes to it, or a failure to fetch it."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, which the gateway has to answer exactly once.

    `time_left_us` is the time to its deadline, `units` its cost in units of quota. The customer's quota is
    shared by `set_size` gateways from the index `set_first` on. `size_bytes` is the memory that the gateway
    needs for the request until it has ended. `unread_us` is how long it may have waited unread before this
    event; its latency objective includes that time.
    """

    id: str
    class_index: int
    plan_index: int
    customer: str
    time_left_us: int
    units: float = 1.0
    set_size: int = 1
    set_first: int = 0
    is_repeat: bool = False
    is_write: bool = False
    size_bytes: int = 0
    unread_us: int = 0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun, or goes on from another attempt.

    The request can no longer be retried, except to give the rest of an interrupted answer.
    """

    id: str
    attempt: int
    server: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt; one for each SendAttempt.

    `is_final` says that its client has received the answer. `actual_units` is the actual cost in units, 0 if
    unknown; `report` is the server's load report. `is_interrupted` says that the client has received a part
    of a streamed answer, that answers to its later requests wait behind the rest, and that another attempt
    can give the rest.
    """

    id: str
    is_final: bool
    attempt: int
    server: str
    result: AttemptResult
    latency_us: int
    used_percent: int = 0
    actual_units: float = 0.0
    report: LoadReport | None = None
    is_interrupted: bool = False


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has disconnected and needs no answer any more."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that the gateway set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a HealthCheck."""

    server: str
    result: AttemptResult
    latency_us: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Gossip from another gateway; `policy_mark` identifies the policy that it runs under, 0 for none."""

    sender: int
    messages: tuple[GossipMessage, ...]
    observations: tuple[AttemptObservation, ...] = ()
    policy_mark: int = 0


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The shared counter's reply to an AddToCounter."""

    name: int
    result: AttemptResult
    total: float
    latency_us: int


@dataclass(frozen=True, slots=True)
class SetEjection:
    """An operator ejects a server, or readmits it for a slow start; answered by an EjectionResult."""

    server: str
    is_ejected: bool


@dataclass(frozen=True, slots=True)
class PolicyChange:
    """New plans, latency objectives and bans, in force from now on.

    `plan_moves` has the new index of each earlier plan, -1 for a plan that was removed. Requests that have
    already arrived keep the rules of their class.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    banned_customers: frozenset[str]
    policy_mark: int
    plan_moves: tuple[int, ...]

    def applied_to(self, settings: Settings) -> Settings:
        """Return the settings under the new policy."""
        return replace(
            settings,
            classes=self.classes,
            plans=self.plans,
            banned_customers=self.banned_customers,
            policy_mark=self.policy_mark,
        )


@dataclass(frozen=True, slots=True)
class SuspendAdmission:
    """Suspends admission because the gateway's policy lease has lapsed, or resumes it."""

    is_suspended: bool


@dataclass(frozen=True, slots=True)
class EndOpenRequests:
    """The process is about to be killed: every request that is open is to be answered now."""


@dataclass(frozen=True, slots=True)
class StartHandover:
    """A successor process takes over; answered by a GatewaySnapshot, then by each change to the state."""


@dataclass(frozen=True, slots=True)
class HandoverPeerUnknown:
    """A second process, whose attempts are not known, may serve as this gateway until a HandoverPeerGone."""


@dataclass(frozen=True, slots=True)
class HandoverPeerGone:
    """The other process of a handover has ended, and its attempts with it."""


@dataclass(frozen=True, slots=True)
class MetricsRequest:
    """A request for the gateway's metrics; answered by a MetricsSnapshot."""


Event = (
    EndpointList
    | Request
    | StreamStarted
    | AttemptEnded
    | ClientGone
    | TimerExpired
    | HealthCheckResult
    | PeerMessage
    | CounterReply
    | SetEjection
    | PolicyChange
    | SuspendAdmission
    | EndOpenRequests
    | MetricsRequest
    | StartHandover
    | GatewaySnapshot
    | HandoverSpend
    | HandoverAttempt
    | HandoverAttemptEnd
    | HandoverEjection
    | HandoverPeerGone
    | HandoverPeerUnknown
)
