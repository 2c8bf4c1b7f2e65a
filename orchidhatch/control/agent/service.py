"""The agent on a gateway's machine: replicates the endpoint list from registries and serves it on loopback.

While no registry answers, it serves the list that it received last, also after a restart, and reports the
list's age. It also forwards controllers' management calls to the gateway and holds its policy lease.
"""

import logging
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from orchidhatch.control.agent.cache_database import CacheDatabase
from orchidhatch.control.agent.fence_table import FenceTable
from orchidhatch.control.agent.gateway_call_handlers import GatewayCallHandlers
from orchidhatch.control.agent.gateway_calls import GatewayCalls
from orchidhatch.control.agent.gateway_setup import GatewaySetup
from orchidhatch.control.agent.policy_lease_holder import PolicyLeaseHolder
from orchidhatch.control.agent.readiness import ReadinessGate
from orchidhatch.control.errors import CorruptStoreError, StoreError
from orchidhatch.control.http_client import Address
from orchidhatch.control.http_response import Response
from orchidhatch.control.http_server import EndpointListServer
from orchidhatch.control.registry.list_persistence import CachedList
from orchidhatch.control.registry.replication import Replicator, current_time_ms
from orchidhatch.control.registry.store import Store
from orchidhatch.control.registry.store_file import put_aside

log = logging.getLogger("orchidhatch.agent")

IN_MEMORY = Path(":memory:")  # SQLite's name for a database without a file
LOCKED_SIGN = "locked"  # in SQLite's message where another process has the file


class AgentHealth(msgspec.Struct, rename="camel"):
    """The body of /healthcheck; its field names are used on the wire."""

    health: str
    connected: bool
    list_age_seconds: float
    registry: str


class Agent(EndpointListServer):
    """Serves the endpoint list from its own store, whose generations never decrease.

    `gateway` is the address of the gateway's management interface; without it no calls are forwarded. With
    `setup` the agent also holds the gateway's policy lease.
    """

    def __init__(
        self,
        store: Store,
        registries: Sequence[Address],
        seed: int | None = None,
        wall_clock_ms: Callable[[], int] = current_time_ms,
        gateway: Address | None = None,
        setup: GatewaySetup | None = None,
    ) -> None:
        super().__init__(store, seed)
        self.cached_list = CachedList(self, wall_clock_ms)
        self.replicator = Replicator(
            self, registries, wall_clock_ms=wall_clock_ms, persistence=self.cached_list
        )
        self.readiness = ReadinessGate(self.replicator, is_ready=not store.entries)
        self.database = CacheDatabase(store.db, self.store_executor.run)
        self.gateway_calls: GatewayCalls | None = None
        self.lease_holder: PolicyLeaseHolder | None = None
        if gateway:
            self.gateway_calls = GatewayCalls(FenceTable(self.database), self.replicator, gateway)
            GatewayCallHandlers(self.gateway_calls, self.tasks).add_routes(self.router)
        if gateway and setup:
            self.lease_holder = PolicyLeaseHolder(self.database, self.broadcaster, registries, gateway, setup)
            self.lease_holder.gateway.on_moved = self._move_gateway_calls

    def _move_gateway_calls(self, address: Address) -> None:
        self.gateway_calls.gateway = address

    def store_name(self) -> str:
        """Return the store name for responses: the identity of the agent's store and the list's term."""
        return f"{self.store.identity} {self.replicator.highest_term()}"

    async def start(self, host: str, port: int) -> None:
        """Start to serve, replicate and hold the lease, until closed."""
        await super().start(host, port)
        loops = [self.replicator.run(), self.readiness.wait()]
        if self.lease_holder:
            loops += self.lease_holder.loops()
        self.tasks.start_loops(loops)

    def when_ready(self, begin: Callable[[], None]) -> None:
        """Begin a watch once a registry's list has arrived or no registry answers."""
        self.readiness.when_ready(begin)

    def health(self) -> Response:
        """Return status 200 once a list was received, however old it is, else 503."""
        health = AgentHealth(
            health="serves",
            connected=self.replicator.connected,
            list_age_seconds=self.replicator.list_age_s(),
            registry=self.replicator.upstream,
        )
        return Response(200 if self.replicator.has_list else 503, msgspec.to_builtins(health))

    def metrics_text(self) -> str:
        """Return the text of /metrics."""
        replicator = self.replicator
        values: dict[str, float] = {
            "connected": int(replicator.connected),
            "list_age_seconds": replicator.list_age_s(),
            "registry_generation": replicator.position.generation,
            "switches_total": replicator.upstream_switches,
            "behind_total": replicator.stale_lists,
            "malformed_total": replicator.malformed_endpoints,
            "cache_behind": int(self.cached_list.is_behind),
            "cache_failures_total": self.cached_list.failures,
        }
        if self.gateway_calls:
            values |= self.gateway_calls.metrics()
        if self.lease_holder:
            values |= self.lease_holder.metrics()
        return self.format_metrics("agent", values)


def open_cache(path: Path) -> Store:
    """Open the store with the list that was received last; a damaged file is set aside and replaced.

    The registries have all of its content, so if the disk fails the list is kept in memory until the next
    start. Raises StoreError if another process has locked the file or its directory does not exist.
    """
    try:
        return open_sound_cache(path)
    except (StoreError, OSError) as error:
        if LOCKED_SIGN in str(error) or not path.parent.is_dir():
            raise
        log.error("cache not usable, the list is kept in memory: error=%s", error)
        return Store(IN_MEMORY, create=True, first=current_time_ms())


def open_sound_cache(path: Path) -> Store:
    """Open the file, or replace a damaged one. Raises StoreError or OSError if neither is possible."""
    try:
        return Store(path, create=True, first=current_time_ms())
    except CorruptStoreError as error:
        aside = put_aside(path)
        log.error("damaged cache set aside: error=%s file=%s", error, aside.name)
        return Store(path, create=True, first=current_time_ms())
