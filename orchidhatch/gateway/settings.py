"""What a gateway is configured with: request classes, plans and the limits it works under.

All times are whole microseconds. Settings are given once, at start; a policy change replaces some of them.
"""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether the requests of a class may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a request that carries an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its priority and whether it may be repeated.

    `latency_objective_us` is the latency objective and `deadline_us` the last time for an answer, both from
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
    """A plan's quota and rate ceiling, which hold for each customer over all gateways; 0 means no limit.

    `rate` and `burst` are the quota's units a second and its bucket's size, `ceiling_rate` and
    `ceiling_burst` those of the hard ceiling. `max_in_flight` bounds the attempts in flight.
    `priority_factor` multiplies the priority weight of the customer's requests; `over_quota_weight` and
    `over_quota_cost` are what a unit beyond the quota is worth and costs.
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
    gossip (0 for none). `max_open_requests` and `max_open_bytes` bound the requests that are owed an answer
    and what they hold; 0 where that is limited elsewhere. `conn_idle_us` is how long a connection to a server
    may stand idle. `banned_customers` are the customers of whom nothing is admitted. A server that has just
    started can do `cold_capacity` of its capacity, all of it after `warm_up_us`; one that is sent more than
    `overload_multiple` of what it can do for `overload_time_us` fails.
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
