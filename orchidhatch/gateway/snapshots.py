"""What a process hands over to its successor: a snapshot of all state, and the changes that follow it.

While both processes serve, they act as one gateway: each informs the other of its spending and its attempts.
Fields with a default were added later; a process of the previous version neither sends nor reads them.
"""

from dataclasses import dataclass
from typing import NamedTuple


class CustomerKey(NamedTuple):
    """Identifies a customer: the checksum of its name, its plan, and its set of gateways."""

    customer: int
    plan_index: int
    set_first: int
    set_size: int


@dataclass(frozen=True, slots=True)
class GrantRequestSnapshot:
    """A grant request whose grant number may not be reused yet.

    It was opened for `units`; `counted` are the units that the leader's answers counted, `spent` those spent.
    """

    key: CustomerKey
    number: int
    opened_us: int
    units: float
    counted: float
    spent: float


@dataclass(frozen=True, slots=True)
class HandoverSpend:
    """Units that one process spent of a customer's quota; negative for a refund.

    The successor reports those of its predecessor, except for what the leader has `counted` with its answers.
    `answered` holds the grant request that was answered, if any.
    """

    key: CustomerKey
    units: float
    counted: float = 0.0
    answered: tuple[GrantRequestSnapshot, ...] = ()


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
    """An attempt of one process is no longer in flight."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class HandoverEjection:
    """An operator ejected a server, or readmitted it, at one of the processes."""

    server: str
    is_ejected: bool


@dataclass(frozen=True, slots=True)
class CustomerSnapshot:
    """The state of a customer.

    `share` is the local share of the quota, `level` the quota of the whole gateway set as last reported,
    `ceiling` the local bucket of the rate ceiling, `last_answer_us` when the quota leader answered last.
    `unreported_demand` and `unreported_spend` are the units requested and spent that were not reported to the
    leader yet.
    """

    key: CustomerKey
    refilled_us: int
    share: float
    level: float
    demand: float
    ceiling: float
    last_answer_us: int
    unreported_demand: float
    unreported_spend: float


@dataclass(frozen=True, slots=True)
class CountedGrantSnapshot:
    """What a quota leader has counted for a grant request of the gateway `peer`, which may be repeated."""

    key: CustomerKey
    peer: int
    number: int
    requested: float
    counted: float
    counted_us: int


@dataclass(frozen=True, slots=True)
class ReportStreamSnapshot:
    """A report stream to a customer's quota leader, after the predecessor's last message in it."""

    key: CustomerKey
    number: int
    began_us: int
    sequence: int
    units: float


@dataclass(frozen=True, slots=True)
class ReceivedTotalSnapshot:
    """The spent total in the latest message that a quota leader has received from the gateway `peer`."""

    key: CustomerKey
    peer: int
    stream: int
    sequence: int
    units: float
    received_us: int


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """The health and slow start of a server.

    `relative_latency` is its latency over its class's mean, `failure_score` the decaying count of failures. A
    server that was ejected until `ejected_until_us` has `needs_probe` set until a recovery probe succeeds;
    `ejection_us` is the length of the last ejection, `recovered_us` the time of the last recovery.
    `cold_since_us` is since when it may be cold, `credit` the slow-start credit, in attempts, as of
    `credit_us`.
    """

    name: str
    started_us: int
    relative_latency: float
    failure_score: float
    needs_probe: bool
    ejected_until_us: int
    ejection_us: int
    recovered_us: int
    cold_since_us: int
    credit: float
    credit_us: int


@dataclass(frozen=True, slots=True)
class OverloadSnapshot:
    """The state of the overload controller.

    `admission_limit` is the admission limit N, 0 if none is in force; `admitted` the first attempts of the
    period, which began at `period_start_us` and lasts `period_length_us`. `attempts_per_s` is the mean rate
    of first attempts, `usual_attempts_per_s` that to a warm server.
    """

    admission_limit: float
    admitted: int
    period_start_us: int
    period_length_us: int
    overhead: float
    attempts_per_s: float
    usual_attempts_per_s: float


@dataclass(frozen=True, slots=True)
class GatewaySnapshot:
    """All state that a process hands over: the answer to a StartHandover, and the successor's first event.

    `mean_latencies_us` are the mean latencies by request class, `ejections` the servers that were ever listed
    and whether an operator has ejected them, `attempts` the attempts in flight, `grant_requests` the latest
    grant requests, `counted_grants` the latest grants counted for other gateways. `report_streams` has the
    latest spent totals that were sent to quota leaders, `received_totals` those that were received.
    """

    now_us: int
    overload: OverloadSnapshot
    mean_latencies_us: tuple[float, ...]
    customers: tuple[CustomerSnapshot, ...]
    servers: tuple[ServerSnapshot, ...]
    ejections: tuple[HandoverEjection, ...]
    attempts: tuple[HandoverAttempt, ...]
    grant_requests: tuple[GrantRequestSnapshot, ...] = ()
    counted_grants: tuple[CountedGrantSnapshot, ...] = ()
    report_streams: tuple[ReportStreamSnapshot, ...] = ()
    received_totals: tuple[ReceivedTotalSnapshot, ...] = ()


HandoverMessage = HandoverSpend | HandoverAttempt | HandoverAttemptEnd | HandoverEjection
