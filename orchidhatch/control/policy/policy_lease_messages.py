"""Messages about policies between a registry and gateways' agents or replicas.

The names and the order of the fields on the wire are fixed for compatibility; they differ from the
attributes.
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
    """The report that an agent sends with each renewal of its gateway's lease.

    `number` and `digest` identify the highest decision that the agent knows; `remaining_ms` is the time until
    its activation, if the agent knows it. `document_text` is the text of a document that the registry lacks,
    if the agent has it. `active_digest` identifies the document that the gateway applies, `ready` those that
    it is ready to apply. `document_error` is the digest of a document that it cannot apply, a space and the
    reason. `counts` are the numbers of requests by outcome: answered, deferred, errored.
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
    """The reply to a renewal, with the decision that the registry knows.

    `is_certain` means that the decision is in force and the lease is extended. Otherwise the activation time
    is unknown and the lease is not extended. `prepare` is the digest of a document to prepare, and
    `requested_digest` that of one that the registry lacks and the agent should send.
    """

    is_certain: bool = field(name="sure")
    number: int = 0
    digest: str = ""
    previous_digest: str = field(name="before", default="")
    prepare: str = ""
    requested_digest: str = field(name="want")
    remaining_ms: int | None = field(name="leftMs", default=None)


class UncertainPolicyLeaseAnswer(Struct, frozen=True, kw_only=True):
    """The reply of a registry that may lack a decision; agents decode it as a `PolicyLeaseAnswer`."""

    is_certain: bool = field(name="sure", default=False)
    prepare: str = ""
    requested_digest: str = field(name="want")


class ListedGateway(Struct, frozen=True):
    """A gateway as registered by agents and copied by replicas; `incarnation` is that of its agent."""

    name: str
    incarnation: str = field(name="life")
    zone: str


class PolicyCopy(Struct, frozen=True):
    """The data that a replica copies from its upstream: record texts by name, and the gateway directory."""

    records: dict[str, str]
    gateways: list[ListedGateway] = field(name="doors")
