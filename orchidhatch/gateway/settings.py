"""The configuration of a gateway: request classes, plans and limits.

All times are integers in microseconds. Settings are read once, at start; a policy change replaces some.
"""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether the requests of a class may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which servers recognize and drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its priority and whether it may be repeated.

    `latency_objective_us` is the latency objective and `deadline_us` the time limit for an answer, both from
    the request's arrival. `priority_weight` is the priority weight of one unit, `late_priority_weight` that
    of an answer past the objective. Repeats of a keyed request are dropped within `dedup_scope` for
    `dedup_window_us` after the first attempt.
    """

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: DeduplicationScope = DeduplicationScope.ALL
    dedup_window_us: int = 0
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and rate ceiling, which apply to each customer across all gateways; 0 means no limit.

    `rate` and `burst` are the quota's units per second and its bucket size, `ceiling_rate` and
    `ceiling_burst` those of the rate ceiling. `max_in_flight` bounds the attempts in flight.
    `priority_factor` multiplies the priority weight of the customer's requests; `over_quota_weight` and
    `over_quota_cost` are the value and the cost of a unit beyond the quota.
    """

    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    priority_factor: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of one gateway.

    `gateway_index` is its index among `gateway_count` gateways, `policy_mark` the number of its policy in
    gossip (0 for none). `max_open_requests` and `max_open_bytes` bound the number and the memory of the
    requests that are not answered yet, `max_customers` the number of customers that are kept; 0 if they are
    limited elsewhere. `conn_idle_us` is how long a connection to a server may be idle. No request of
    `banned_customers` is admitted. A server that has just started has `cold_capacity` of its capacity, and
    all of it after `warm_up_us`; one that is sent more than `overload_multiple` of its current capacity for
    `overload_time_us` fails.
    """

    seed: int
    gateway_index: int
    gateway_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    max_attempts: int = 1
    max_retry_after_us: int = 0
    may_hedge: bool = False
    may_probe: bool = False
    may_cancel: bool = False
    may_gossip: bool = False
    may_use_counter: bool = False
    must_subscribe: bool = False
    settles_units: bool = False
    peer_messages_per_s: float = 0.0
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    late_fail_price: float = 0.0
    message_price: float = 0.0
    probe_price: float = 0.0
    answer_grace_us: int = 0
    poll_within_us: int = 0
    cold_capacity: float = 1.0
    warm_up_us: int = 0
    overload_multiple: float = 1.0
    overload_time_us: int = 1
    conn_idle_us: int = 30_000_000
    max_open_requests: int = 0
    max_open_bytes: int = 0
    banned_customers: frozenset[str] = frozenset()
    policy_mark: int = 0
    max_customers: int = 0
