"""What gateways send each other: messages on a customer's quota, and observations of the servers."""

from dataclasses import dataclass
from enum import IntEnum


class SlotGrant(IntEnum):
    """A quota leader's answer to a request for a concurrency slot of a customer."""

    NONE = 0
    GRANTED = 1
    QUEUED = 2


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What a gateway sends a customer's quota leader, or the leader's answer.

    A customer goes by a checksum of its name. `demand` and `spent` are the units requested and spent since
    the sender's last message; in an answer, `demand` is that of the whole gateway set. `requested` above zero
    requests a grant of so many units and waits for an answer; `level` is what the set's bucket holds, or owes
    when negative. Below zero, `requested` requests a concurrency slot, and so many units under the rate
    ceiling; where `slot_grant` is GRANTED, the answer hands them over. `in_flight` is how many attempts the
    sender has in flight; in an answer, how many all gateways but the recipient have.
    """

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    is_answer: bool = False
    demand: float = 0.0
    spent: float = 0.0
    requested: float = 0.0
    level: float = 0.0
    in_flight: int = 0
    slot_grant: SlotGrant = SlotGrant.NONE


@dataclass(frozen=True, slots=True)
class AttemptObservation:
    """How an attempt went, sent to the other gateways.

    The server goes by a checksum of its name. `relative_latency` is a fraction of the latency objective, at
    most 1; an attempt that failed other than by a timeout has none.
    """

    server_checksum: int
    class_index: int
    succeeded: bool
    relative_latency: float
