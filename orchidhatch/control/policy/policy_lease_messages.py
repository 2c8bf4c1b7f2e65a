"""What gateways' agents and replicas exchange with a registry about policies."""

from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.policy.change_record import EndCounts


class PolicyReport(Struct, frozen=True, kw_only=True):
    """What an agent sends with each renewal of its gateway's lease.

    `number` and `digest` are of the highest decision that the agent knows; `remaining_ms` until its
    activation time, and the text of a document that the registry lacks, only where it knows them.
    """

    incarnation: str = field(name="life")
    active_digest: str = field(name="has")
    number: int
    digest: str
    remaining_ms: int | UnsetType = field(name="leftMs", default=UNSET)
    ready: tuple[str, ...]
    document_error: str = field(name="flaw")
    counts: EndCounts
    serves: bool
    document_text: str | UnsetType = field(name="text", default=UNSET)


class PolicyLease(Struct, frozen=True, kw_only=True):
    """The answer to a renewal.

    `is_certain`: what follows is the decision that holds, and the lease begins anew. Otherwise the decision
    is unset or its activation time is not known, and the lease goes on to expire. `prepare` is the digest of
    a document to be ready for, `wanted` of one that the registry lacks and the agent is to send.
    """

    is_certain: bool = field(name="sure")
    number: int | UnsetType = UNSET
    digest: str | UnsetType = UNSET
    previous_digest: str | UnsetType = field(name="before", default=UNSET)
    prepare: str
    wanted: str = field(name="want")
    remaining_ms: int | None | UnsetType = field(name="leftMs", default=UNSET)


class ListedGateway(Struct, frozen=True):
    """A gateway in the directory; the incarnation is its agent's."""

    name: str
    incarnation: str = field(name="life")
    zone: str


class PolicyCopy(Struct, frozen=True):
    """What a replica copies of its upstream: the texts of the records, by name, and the directory."""

    records: dict[str, str]
    gateways: list[ListedGateway] = field(name="doors")
