"""What happens to a gateway, as the decision core is told of it.

Each event is handed to `core.GatewayCore.handle(now_us, event)`, which answers with the actions to carry out,
in order. All times are whole microseconds.
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
    """The whole endpoint list, changes to it, or that a call for it failed."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the gateway now owes one final answer.

    `time_left_us` is the time left to its deadline. The customer's quota is shared by `set_size` gateways
    from `set_first` on. `size_bytes` is how many bytes the gateway keeps of it until it has ended.
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


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun, so the attempt can be replaced by no other."""

    id: str
    attempt: int
    server: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; each SendAttempt gets one. `is_final` says that the request has been answered."""

    id: str
    is_final: bool
    attempt: int
    server: str
    result: AttemptResult
    latency_us: int
    used_percent: int = 0
    actual_units: float = 0.0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing is owed any more."""

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
    """What another gateway sent, and the mark of the policy that its amounts go by; 0 for none."""

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
    """An operator ejects a server, or readmits it as one that starts cold; answered by an EjectionResult."""

    server: str
    is_ejected: bool


@dataclass(frozen=True, slots=True)
class PolicyChange:
    """Other plans, latency objectives and bans hold from now on.

    `plan_moves` has for each earlier plan its index now, -1 for one that is gone. Requests that were admitted
    end by what held then.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    banned_customers: frozenset[str]
    policy_mark: int
    plan_moves: tuple[int, ...]

    def applied_to(self, settings: Settings) -> Settings:
        """The settings under the new policy."""
        return replace(
            settings,
            classes=self.classes,
            plans=self.plans,
            banned_customers=self.banned_customers,
            policy_mark=self.policy_mark,
        )


@dataclass(frozen=True, slots=True)
class SuspendAdmission:
    """Nothing is to be admitted while suspended, as the gateway's policy lease has lapsed."""

    is_suspended: bool


@dataclass(frozen=True, slots=True)
class StartHandover:
    """A successor takes over: answered by a GatewaySnapshot; from now on each sends what it does."""


@dataclass(frozen=True, slots=True)
class HandoverPeerUnknown:
    """Another process may be this gateway too, until a HandoverPeerGone; what it sends is not known."""


@dataclass(frozen=True, slots=True)
class HandoverPeerGone:
    """The other process has ended, and its attempts with it."""


@dataclass(frozen=True, slots=True)
class MetricsRequest:
    """Someone wants the gateway's metrics; answered by a MetricsSnapshot."""


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
