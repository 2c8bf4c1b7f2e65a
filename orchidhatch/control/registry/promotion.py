"""Promotion: a replica becomes the registry that takes writes, in a new term.

It is refused while another registry may still take writes, unless it is forced. What may be is the upstream,
if it still answers or a process still listens where it was, and a peer that was sent the term a moment ago.
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
    """Promotes this registry; `on_promoted` has its services begin anew."""

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
        """Whether something takes connections where the upstream was, or nothing says that it does not.

        A process that was stopped does, and may wake up within the time that its last check holds.
        """
        replicator = self._role.replicator
        return replicator is not None and await asyncio.to_thread(replicator.upstream_may_run)

    def promote(self, force: bool, upstream_may_run: bool) -> PromotionResponse:
        """Begin a term above all that is known. Nothing that was replicated may be half way to the disk.

        Raises ConflictError where it is refused, StoreError where the term cannot be written.
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
        """What this registry replicates. Raises ConflictError where it must not be promoted."""
        replicator = self._role.replicator
        if not replicator:
            raise ConflictError(f"it follows none; it is the registry of term {self._store.term}")
        if not replicator.has_list:
            raise ConflictError("it has never received a list")
        if force:
            return replicator
        if replicator.connected:
            raise ConflictError(f"{replicator.upstream} still answers; stop it first, or force it")
        self._check_no_peer_relies_on_term()
        silence_s = replicator.silence_s()
        if upstream_may_run and silence_s < WATCH_TIMEOUT_S:
            raise ConflictError(
                f"{replicator.upstream} is silent for {silence_s:.1f} s only and may go on; "
                f"ask again after {WATCH_TIMEOUT_S:g} s, or force it"
            )
        return replicator

    def _check_no_peer_relies_on_term(self) -> None:
        age_s = self._peer_terms.since_term_query_s()
        if age_s < PROMOTION_DELAY_S:
            raise ConflictError(
                f"a peer asked {age_s:.1f} s ago and may still take writes; stop it, "
                f"wait {PROMOTION_DELAY_S:.1f} s, or force it"
            )
