"""The shards of tasks, and those that this process owns through claims at the registry."""

import hashlib
import logging
from collections.abc import Mapping
from dataclasses import dataclass

from orchidhatch.control.controller.registry_api import (
    ClaimsStatus,
    ClaimStatus,
    RegistryApi,
    ReleaseClaimRequest,
    TakeClaimRequest,
)
from orchidhatch.control.controller.session import Session
from orchidhatch.control.controller.shard_assignment import assign_shards

log = logging.getLogger("orchidhatch.controller")

SHARD_COUNT = 32
SHARDS = tuple(f"shard-{number:02}" for number in range(SHARD_COUNT))
CLAIM_PURPOSE = "tasks"
# After this many consecutive failed steps in a shard, it is released for another controller to try.
MAX_SHARD_FAILURES = 5
HASH_BYTES = 4


def shard_of_task(record_name: str) -> str:
    """Return the shard of a task by the name of its record."""
    digest = hashlib.blake2b(record_name.encode(), digest_size=HASH_BYTES).digest()
    return SHARDS[int.from_bytes(digest) % len(SHARDS)]


@dataclass
class OwnedShard:
    """A shard that this process owns, with the number of failed steps since the last successful one."""

    epoch: int
    failures: int = 0


class OwnedShards:
    """The shards that this process owns as far as it knows. Only this class writes them."""

    def __init__(self) -> None:
        self._owned: dict[str, OwnedShard] = {}

    def __contains__(self, shard: str) -> bool:
        return shard in self._owned

    def __len__(self) -> int:
        return len(self._owned)

    def names(self) -> set[str]:
        """Return the names of the owned shards."""
        return set(self._owned)

    def epoch_of(self, shard: str) -> int | None:
        """Return the epoch of the claim on a shard; None if the shard is not owned."""
        owned = self._owned.get(shard)
        return owned.epoch if owned else None

    def add(self, shard: str, epoch: int) -> None:
        """Add a shard, with the epoch of its claim."""
        self._owned[shard] = OwnedShard(epoch)

    def drop(self, shard: str) -> None:
        """Remove a shard if it is owned."""
        self._owned.pop(shard, None)

    def count_success(self, shard: str) -> None:
        """Reset the shard's number of failures after a successful step."""
        if shard in self._owned:
            self._owned[shard].failures = 0

    def count_failure(self, shard: str) -> bool:
        """Count a failed step in the shard, and return whether to release the shard because of it."""
        if shard not in self._owned:
            return False
        self._owned[shard].failures += 1
        return self._owned[shard].failures >= MAX_SHARD_FAILURES

    def session_renewed(self, claim_epochs: Mapping[str, int]) -> None:
        """Drop the shards whose claims the registry does not have at the epoch known here."""
        lost = [shard for shard, owned in self._owned.items() if claim_epochs.get(shard) != owned.epoch]
        for shard in lost:
            log.warning("shard lost: shard=%s epoch=%d", shard, self._owned[shard].epoch)
            del self._owned[shard]

    def session_lost(self) -> None:
        """Drop all shards."""
        self._owned.clear()


class ShardBalancer:
    """Takes and releases claims so that all controllers own about the same number of shards."""

    def __init__(self, session: Session, owned: OwnedShards, registry: RegistryApi) -> None:
        self._session = session
        self._owned = owned
        self._registry = registry
        self._status = ClaimsStatus(sessions=[], claims=[])

    async def rebalance(self) -> None:
        """Release the shards assigned to other controllers, and take the free ones assigned to this one.

        A shard's next owner takes it only after it was released. If the registry cannot be read, the last
        known state is used.
        """
        status = await self._registry.read_claims()
        if status is not None:
            self._status = status
        holders = [session.holder for session in self._status.sessions]
        if self._session.holder not in holders or not self._session.may_act:
            return
        claims = {claim.name: claim for claim in self._status.claims}
        excluded = {claim.name: claim.released_by for claim in self._status.claims if claim.released_by}
        owners = assign_shards(SHARDS, holders, excluded)
        for shard in SHARDS:
            claim = claims.get(shard, ClaimStatus(shard))
            owner = claim.handed_to if claim.handed_to in holders else owners[shard]
            await self._reconcile(claim, owner)

    async def _reconcile(self, claim: ClaimStatus, owner: str) -> None:
        """Release or take one shard if its owner differs from the assigned one."""
        if claim.suspended:
            return
        # By the registry's state and not by the owned shards, as the reply to a release may have been lost.
        is_own_claim = bool(claim.holder) and claim.incarnation == self._session.incarnation
        if is_own_claim and owner != self._session.holder:
            await self.release(claim.name, claim.epoch)
        elif (
            owner == self._session.holder
            and claim.name not in self._owned
            and (is_own_claim or not claim.holder)
        ):
            await self._take(claim.name)

    async def _take(self, shard: str) -> None:
        incarnation = self._session.incarnation
        request = TakeClaimRequest(self._session.holder, incarnation, CLAIM_PURPOSE)
        claim = await self._registry.take_claim(shard, request)
        if claim is not None and claim.incarnation == self._session.incarnation:
            self._owned.add(shard, claim.epoch)

    async def release(self, shard: str, epoch: int, reason: str = "") -> None:
        """Release a shard.

        It is dropped first, so that no more actions are carried out under the claim whatever the reply is.
        """
        self._owned.drop(shard)
        request = ReleaseClaimRequest(self._session.holder, self._session.incarnation, epoch, reason)
        await self._registry.release_claim(shard, request)
