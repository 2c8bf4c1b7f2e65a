"""The registry: the service that holds the endpoint list, sessions, claims and policy leases.

This module connects its components, each of which has its own module. `docs/architecture.md` describes how a
write passes through them.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from orchidhatch.control.errors import StoreError, UnavailableError
from orchidhatch.control.http_client import Address
from orchidhatch.control.http_response import Response
from orchidhatch.control.http_server import EndpointListServer
from orchidhatch.control.lease_table import CHECK_INTERVAL_S
from orchidhatch.control.ownership.ownership_handlers import OwnershipHandlers
from orchidhatch.control.ownership.service import OwnershipService
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from orchidhatch.control.policy.policy_handlers import PolicyHandlers
from orchidhatch.control.registry.backup_handlers import BackupHandlers
from orchidhatch.control.registry.backups import Backups
from orchidhatch.control.registry.endpoint_handlers import EndpointHandlers
from orchidhatch.control.registry.lease_expiry import EndpointLeaseExpiry
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.policy_lease_host import PolicyLeaseHost
from orchidhatch.control.registry.promotion import Promotion
from orchidhatch.control.registry.replica_role import ReplicaRole
from orchidhatch.control.registry.replication import Replicator
from orchidhatch.control.registry.store import Store
from orchidhatch.control.registry.term_handlers import TermHandlers
from orchidhatch.control.registry.upstream_position import is_unpromoted_replica
from orchidhatch.control.registry.write_access import WriteAccess
from orchidhatch.control.registry.write_pipeline import WritePipeline
from orchidhatch.control.responses import ReplicaHealthResponse
from orchidhatch.control.supervision import repeat

log = logging.getLogger("orchidhatch.registry")


class Registry(EndpointListServer):
    """The server of the endpoint list, with the components that read and write it.

    `clock` returns monotonic seconds. All components read it through `now_s`, so that it can be replaced.
    """

    def __init__(
        self,
        store: Store,
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
        peers: Sequence[Address] = (),
        follow: Sequence[Address] = (),
        backups: Path | None = None,
    ) -> None:
        super().__init__(store, seed)
        self.clock = clock
        self.role = ReplicaRole(self._new_replicator(follow))
        self.peer_terms = PeerTermGuard(store, peers, self.now_s, lambda: self.replicator is not None)
        access = WriteAccess(self.role, self.peer_terms)
        self.writes = WritePipeline(
            store, access, self.peer_terms, self.store_executor.run, self.broadcaster.broadcast
        )
        self.lease_expiry = EndpointLeaseExpiry(store, self.writes, self.now_s)
        self.ownership = OwnershipService(store, self.writes, self.now_s)
        policy_host = PolicyLeaseHost(store, self.writes, access, self.peer_terms, self.now_s)
        self.policy_leases = GatewayPolicyLeases(policy_host)
        self.writes.observers += [
            self.lease_expiry,
            self.ownership,
            self.policy_leases,
        ]
        self.promotion = Promotion(store, self.role, self.peer_terms, self._begin_term)
        self._backup_handlers = BackupHandlers(store, self.store_executor.run, self.tasks.start_for_request)
        self.backups = Backups(backups) if backups else None
        self._add_routes(access, policy_host)

    def _new_replicator(self, upstreams: Sequence[Address]) -> Replicator | None:
        """Return a replicator of the upstreams; None if there are none, or if this store was promoted before.

        A promoted registry may be restarted with the options that it had as a replica. Raises StoreError for
        a replica's store without upstreams, as it would accept writes in the term of its upstream.
        """
        if not upstreams:
            if is_unpromoted_replica(self.store.db, self.store.term):
                raise StoreError(
                    f"{self.store.path.name} is a replica's: start it with --follow, "
                    "and then promote it if it should accept writes"
                )
            return None
        replicator = Replicator(self, upstreams, include_leases=True)
        if replicator.was_promoted():
            log.warning("upstreams ignored, this store was promoted before: term=%d", self.store.term)
            return None
        return replicator

    def _add_routes(self, access: WriteAccess, policy_host: PolicyLeaseHost) -> None:
        EndpointHandlers(self.store, self.writes, self.lease_expiry, access).add_routes(self.router)
        TermHandlers(
            self.peer_terms, self.promotion, self.store_executor.lock, self.tasks.start_for_request
        ).add_routes(self.router)
        self._backup_handlers.add_routes(self.router)
        table = self.store.claims_table
        OwnershipHandlers(table, self.ownership, self.writes, access).add_routes(self.router)
        PolicyHandlers(self.policy_leases, policy_host).add_routes(self.router)

    # --- start and stop ---

    async def start(self, host: str, port: int) -> None:
        """Query the peers, then listen, so that a replaced registry is fenced before it accepts a write."""
        await self.peer_terms.check_peers()
        await super().start(host, port)
        coroutines = [self.writes.run(), self._check_leases()]
        if self.peer_terms.has_peers:
            coroutines.append(self.peer_terms.keep_checking())
        self.tasks.start_loops(coroutines)
        replicator = self.replicator
        if replicator:
            copy_policies = self.policy_leases.replicate(lambda: replicator.upstream_address)
            self.tasks.add(self.role.start([replicator.run(), copy_policies]))

    def _begin_term(self) -> None:
        """Restart the services after a promotion, and close all watches, as they belong to another term."""
        self.lease_expiry.restart()
        self.ownership.restart()
        self.policy_leases.restart()
        self.broadcaster.close_all()

    async def _check_leases(self) -> None:
        """Check all leases at intervals until cancelled, except on a replica, whose upstream checks them."""
        checks = (self.ownership.check, self.policy_leases.check, self.lease_expiry.check)
        await asyncio.gather(*[self._check_forever(check) for check in checks])

    async def _check_forever(self, check: Callable[[], object]) -> None:
        def check_if_primary() -> None:
            """Check the leases unless this is a replica."""
            if not self.replicator:
                check()

        await repeat(check.__qualname__, CHECK_INTERVAL_S, check_if_primary)

    # --- state ---

    def now_s(self) -> float:
        """Return monotonic seconds."""
        return self.clock()

    @property
    def replicator(self) -> Replicator | None:
        """The replicator; None unless this registry is a replica."""
        return self.role.replicator

    @property
    def backups(self) -> Backups | None:
        """The folder of backups; None if backups are not configured."""
        return self._backup_handlers.backups

    @backups.setter
    def backups(self, backups: Backups | None) -> None:
        """Set the folder of backups."""
        self._backup_handlers.backups = backups

    def store_name(self) -> str:
        """Return the store's identity and term; a replica's term is that of its upstream."""
        replicator = self.replicator
        return f"{self.store.identity} {replicator.highest_term() if replicator else self.store.term}"

    # --- requests ---

    def health(self) -> Response:
        """Report the health, on a replica with its lag.

        Raises UnavailableError if this registry is fenced or its last batch of writes failed.
        """
        replicator = self.replicator
        if replicator:
            health = ReplicaHealthResponse(
                "follows", replicator.connected, replicator.list_age_s(), replicator.upstream
            )
            return Response(200 if replicator.has_list else 503, health)
        if self.peer_terms.replaced_by:
            raise UnavailableError(self.peer_terms.fencing_reason())
        if self.writes.last_write_error:
            raise UnavailableError(str(self.writes.last_write_error))
        return super().health()

    # --- metrics ---

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        replicator = self.replicator
        return self.format_metrics(
            "registry",
            {
                "shed_total": self.requests.rejected + self.writes.rejected_writes,
                **self.ownership.metrics(),
                **self.policy_leases.metrics(),
                **self._backup_handlers.metrics(),
                **self.writes.metrics(),
                **self.lease_expiry.metrics(),
                "broken": int(self.writes.last_write_error is not None),
                "fenced": int(self.peer_terms.replaced_by is not None),
                "lapses_total": self.peer_terms.stale_checks,
                "following": int(replicator is not None),
                "lag_seconds": replicator.list_age_s() if replicator else 0,
                "followed_generation": replicator.position.generation if replicator else 0,
            },
        )
