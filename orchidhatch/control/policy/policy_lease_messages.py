"""What gateways' agents and replicas exchange with a registry about policies.

Names and order of the fields on the wire are older than the attributes' names, and stay as they are.
"""

from msgspec import UNSET, Struct, UnsetType, field

from orchidhatch.control.field_types import (
    Counts,
    Digest,
    Name,
    NonNegative,
    ReadyDocuments,
    Reason,
    RemainingMs,
)


class PolicyLeaseRenewal(Struct, frozen=True, kw_only=True):
    """What an agent sends with each renewal of its gateway's lease.

    `number` and `digest` are of the highest decision that the agent knows; `remaining_ms` until its
    activation time, and the text of a document that the registry lacks, only where it knows them.
    `active_digest` is of the document that the gateway goes by, `ready` of those that it could go by; the
    document error is the digest of one that it cannot go by, a space and the reason. `counts` are requests by
    how they ended: answered, deferred, errored.
    """

    incarnation: Name = field(name="life")
    active_digest: Digest = field(name="has")
    number: NonNegative
    digest: Digest
    ready: ReadyDocuments
    document_error: Reason = field(name="flaw")
    counts: Counts
    serves: bool
    remaining_ms: RemainingMs | UnsetType = field(name="leftMs", default=UNSET)
    document_text: str | UnsetType = field(name="text", default=UNSET)


class PolicyLeaseAnswer(Struct, frozen=True, kw_only=True):
    """The answer to a renewal, with the decision that the registry knows.

    `is_certain`: the decision holds, and the lease begins anew. Otherwise its activation time is not known,
    and the lease goes on to expire. `prepare` is the digest of a document to be ready for, `requested_digest`
    of one that the registry lacks and the agent is to send.
    """

    is_certain: bool = field(name="sure")
    number: int = 0
    digest: str = ""
    previous_digest: str = field(name="before", default="")
    prepare: str = ""
    requested_digest: str = field(name="want")
    remaining_ms: int | None = field(name="leftMs", default=None)


class UncertainPolicyLeaseAnswer(Struct, frozen=True, kw_only=True):
    """The answer of a registry that may miss a decision: an agent reads it as a `PolicyLeaseAnswer`."""

    is_certain: bool = field(name="sure", default=False)
    prepare: str = ""
    requested_digest: str = field(name="want")


class ListedGateway(Struct, frozen=True):
    """A gateway as agents register it and replicas copy it; the incarnation is its agent's."""

    name: str
    incarnation: str = field(name="life")
    zone: str


class PolicyCopy(Struct, frozen=True):
    """What a replica copies of its upstream: the texts of the records, by name, and the directory."""

    records: dict[str, str]
    gateways: list[ListedGateway] = field(name="doors")
