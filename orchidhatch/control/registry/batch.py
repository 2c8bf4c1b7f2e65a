"""Batches of writes: the result of several writes, computed before any of them is durable."""

from collections.abc import Iterable, Mapping

from orchidhatch.control.errors import ConflictError
from orchidhatch.control.ownership.claims import ClaimsTransaction
from orchidhatch.control.ownership.objects import OwnedObject
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.registry.checksums import DIGEST_MODULUS
from orchidhatch.control.registry.endpoints import (
    ChangeLifecycle,
    Endpoint,
    EndpointWrite,
    RemoveEndpoint,
    endpoint_digest,
    next_endpoint,
    target_id,
)

Write = EndpointWrite | ClaimsWrite
Outcome = Endpoint | OwnedObject | ConflictError


class Batch:
    """The result of a batch of writes, with an outcome for each, in order.

    `generation` and `endpoints_sum` are those of the endpoint list after the batch; `claims` is the
    transaction of the claims table.
    """

    def __init__(
        self, outcomes: list[Outcome], generation: int, endpoints_sum: int, claims: ClaimsTransaction
    ) -> None:
        self.outcomes = outcomes
        self.generation = generation
        self.endpoints_sum = endpoints_sum
        self.claims = claims
        self.changed = [outcome for outcome in outcomes if isinstance(outcome, Endpoint)]


class BatchPlan:
    """The state of the endpoint list and the claims table while the writes of a batch are applied in turn.

    It is created from the generation of the endpoint list, the sum of its digests, its endpoints and a new
    transaction of the claims table. It changes neither the list nor the table.
    """

    def __init__(
        self,
        generation: int,
        endpoints_sum: int,
        listed: Mapping[str, Endpoint],
        claims: ClaimsTransaction,
    ) -> None:
        self._generation = generation
        self._endpoints_sum = endpoints_sum
        self._listed = listed
        self._claims = claims
        self._count = len(listed)
        self._changed: dict[str, Endpoint] = {}

    def plan(self, writes: Iterable[Write]) -> Batch:
        """Apply all writes and return the batch."""
        outcomes = [self._add(write) for write in writes]
        return Batch(outcomes, self._generation, self._endpoints_sum, self._claims)

    def _add(self, write: Write) -> Outcome:
        """Apply one more write and return its outcome; a ConflictError is returned, not raised."""
        try:
            return self._claims.write(write) if isinstance(write, ClaimsWrite) else self._add_to_list(write)
        except ConflictError as conflict:
            return conflict

    def _add_to_list(self, write: EndpointWrite) -> Endpoint:
        known = self._find(target_id(write))
        if isinstance(write, ChangeLifecycle | RemoveEndpoint):
            self._claims.check_fence(write.fence)
        endpoint = next_endpoint(write, known, self._generation + 1, self._count)
        listed = None if endpoint.is_deleted else endpoint
        self._generation += 1
        self._endpoints_sum = (
            self._endpoints_sum + endpoint_digest(listed) - endpoint_digest(known)
        ) % DIGEST_MODULUS
        self._count += (listed is not None) - (known is not None)
        self._changed[endpoint.id] = endpoint
        return endpoint

    def _find(self, id_: str) -> Endpoint | None:
        known = self._changed.get(id_) or self._listed.get(id_)
        return None if known is None or known.is_deleted else known
