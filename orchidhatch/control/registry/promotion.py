"""Promotion: a replica becomes the registry that accepts writes, in a new term.

Unless forced, a promotion is refused while another registry may still accept writes. This may be the
upstream, if it still answers or a process still listens at its address, or a peer that received this
registry's term recently.
"""

import asyncio
import logging
import time
from collections.abc import Callable

from orchidhatch.control.errors import ConflictError
from orchidhatch.control.registry.peer_terms import PROMOTION_DELAY_S, PeerTermGuard
from orchidhatch.control.registry.replica_role import ReplicaRole
from orchidhatch.control.registry.replication import Replicator
from orchidhatch.control.registry.store import Store
from orchidhatch.control.registry.watch_client import WATCH_TIMEOUT_S
from orchidhatch.control.responses import PromotionResponse

log = logging.getLogger("orchidhatch.registry")


class Promotion:
    """Promotes this registry; `on_promoted` restarts its services in the new term."""

    def __init__(
        self,
        store: Store,
        role: ReplicaRole,
        peer_terms: PeerTermGuard,
        on_promoted: Callable[[], None],
    ) -> None:
        self._store = store
        self._role = role
        self._peer_terms = peer_terms
        self._on_promoted = on_promoted

    async def upstream_may_run(self) -> bool:
        """Return whether the upstream may still run: its address does not refuse connections.

        A paused process still has a listening socket, and may continue while its last peer check is valid.
        """
        replicator = self._role.replicator
        return replicator is not None and await asyncio.to_thread(replicator.upstream_may_run)

    def promote(self, force: bool, upstream_may_run: bool) -> PromotionResponse:
        """Begin a term above all known ones. No replicated batch may be in the middle of its commit.

        Raises ConflictError if the promotion is refused, StoreError if the term cannot be written.
        """
        replicator = self._check(force, upstream_may_run)
        first_generation = max(replicator.position.generation + 1, time.time_ns() // 1_000_000)
        self._store.begin_term(replicator.highest_term() + 1, first_generation)
        self._role.become_primary()
        self._peer_terms.reset()
        self._on_promoted()
        response = PromotionResponse(
            self._store.term,
            self._store.generation,
            len(self._store.entries),
            replicator.position.generation,
            replicator.list_age_s(),
        )
        log.warning(
            "promoted: term=%d generation=%d upstream_store=%s upstream_generation=%d lag_s=%.1f",
            response.term,
            response.generation,
            replicator.position.store_name,
            response.upstream_generation,
            response.lag_seconds,
        )
        return response

    def _check(self, force: bool, upstream_may_run: bool) -> Replicator:
        """Return the replicator. Raises ConflictError if this registry must not be promoted."""
        replicator = self._role.replicator
        if not replicator:
            raise ConflictError(
                f"this registry is not a replica; it is the registry of term {self._store.term}"
            )
        if not replicator.has_list:
            raise ConflictError("this replica has never received a list")
        if force:
            return replicator
        if replicator.connected:
            raise ConflictError(f"{replicator.upstream} still answers; stop it first, or force the promotion")
        self._check_no_peer_relies_on_term()
        silence_s = replicator.silence_s()
        if upstream_may_run and silence_s < WATCH_TIMEOUT_S:
            raise ConflictError(
                f"{replicator.upstream} has been silent for only {silence_s:.1f} s and may continue; "
                f"retry after {WATCH_TIMEOUT_S:g} s of silence, or force the promotion"
            )
        return replicator

    def _check_no_peer_relies_on_term(self) -> None:
        age_s = self._peer_terms.term_query_age_s()
        if age_s < PROMOTION_DELAY_S:
            raise ConflictError(
                f"a peer asked {age_s:.1f} s ago and may still accept writes; stop it, "
                f"wait {PROMOTION_DELAY_S:.1f} s, or force the promotion"
            )
