"""What a process hands over to its successor: a snapshot of all state, and the changes that follow it.

While both processes serve they are one gateway together: each sends the other what it spends and sends.
"""

from dataclasses import dataclass
from typing import NamedTuple


class CustomerKey(NamedTuple):
    """A customer as its requests name it: the checksum of its name, its plan and its set of gateways."""

    customer: int
    plan_index: int
    set_first: int
    set_size: int


@dataclass(frozen=True, slots=True)
class HandoverSpend:
    """Units that one process took from a customer's quota; negative where it gave some back."""

    key: CustomerKey
    units: float


@dataclass(frozen=True, slots=True)
class HandoverAttempt:
    """One process has sent an attempt; `units` count against the rate ceiling and are 0 for a retry."""

    key: CustomerKey
    id: str
    attempt: int
    server: str
    sent_us: int
    units: float


@dataclass(frozen=True, slots=True)
class HandoverAttemptEnd:
    """An attempt of one process is in flight no more."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class HandoverEjection:
    """An operator ejected a server, or readmitted it, at one of the processes."""

    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class CustomerSnapshot:
    """The state of a customer.

    `part` is the local share of the quota, `level` that of the whole set as last heard, `ceiling` the local
    bucket of the rate ceiling, `heard_us` when the quota leader answered last. `untold` and `spent` are the
    units requested and spent that the leader has not been sent.
    """

    key: CustomerKey
    at_us: int
    part: float
    level: float
    demand: float
    ceiling: float
    heard_us: int
    untold: float
    spent: float


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """The health and slow start of a server.

    `slowness` is its latency over its class's mean, `fails` the decaying count of failures. A server that was
    ejected until `avoid_until_us` is `on_trial` until a recovery probe succeeds; `backoff_us` is how long
    the next ejection lasts, `back_us` when it recovered. `cold_us` is since when it may be cold, `earned` the
    part of an attempt that slow start permits, as of `earned_us`.
    """

    name: str
    started_us: int
    slowness: float
    fails: float
    on_trial: bool
    avoid_until_us: int
    backoff_us: int
    back_us: int
    cold_us: int
    earned: float
    earned_us: int


@dataclass(frozen=True, slots=True)
class OverloadSnapshot:
    """The state of the overload controller.

    `n_past` is the admission limit N, 0 where none is in force; `accepted` the first attempts of the period,
    which began at `period_us` and lasts `length_us`. `rate` is the mean of first attempts a second, `usual`
    that of a warm server.
    """

    n_past: float
    accepted: int
    period_us: int
    length_us: int
    overhead: float
    rate: float
    usual: float


@dataclass(frozen=True, slots=True)
class GatewaySnapshot:
    """All state that a process hands over: the answer to a StartHandover, and the successor's first event.

    `means_us` are the mean latencies by request class, `names` the servers that were ever listed and whether
    an operator has ejected them, `out` the attempts in flight.
    """

    now_us: int
    cap: OverloadSnapshot
    means_us: tuple[float, ...]
    customers: tuple[CustomerSnapshot, ...]
    servers: tuple[ServerSnapshot, ...]
    names: tuple[HandoverEjection, ...]
    out: tuple[HandoverAttempt, ...]


HandoverMessage = HandoverSpend | HandoverAttempt | HandoverAttemptEnd | HandoverEjection
