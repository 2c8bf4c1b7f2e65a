"""Holds the policy lease of the gateway on the same machine, and enforces it on the gateway.

While the lease is renewed, the gateway applies the registry's policy: the previous one until the activation
time of the last decision, the new one from then on. Once the lease has expired, its admission is suspended.
"""

import asyncio
import logging
import sqlite3
import time
from collections.abc import Callable, Coroutine, Sequence

from msgspec import UNSET

from orchidhatch.control.agent.cache_database import CacheDatabase
from orchidhatch.control.agent.config_checker import ConfigChecker
from orchidhatch.control.agent.gateway_client import GatewayClient
from orchidhatch.control.agent.gateway_config import GatewayConfigFile
from orchidhatch.control.agent.gateway_process import GatewayProcess
from orchidhatch.control.agent.gateway_setup import GatewaySetup
from orchidhatch.control.agent.gateway_steering import EndpointWatches, GatewaySteering
from orchidhatch.control.agent.policy_documents import PolicyDocuments
from orchidhatch.control.agent.policy_lease import PolicyLeaseClient
from orchidhatch.control.http_client import Address
from orchidhatch.control.policy.policy_lease_messages import PolicyLeaseRenewal
from orchidhatch.control.policy.timing import LEASE_S, RENEWALS_PER_LEASE
from orchidhatch.control.registry_client import RegistryClient

log = logging.getLogger("orchidhatch.policy_lease_holder")

STEER_INTERVAL_S = 0.2
STEERS_PER_COUNTS_POLL = 4
NUMBER_METRIC_MASK = 0xFFFFFFFF  # a decision's number without its term


class PolicyLeaseHolder:
    """Connects the lease, the documents and the steering of one gateway, and runs their loops."""

    def __init__(
        self,
        database: CacheDatabase,
        watches: EndpointWatches,
        registries: Sequence[Address],
        gateway_address: Address,
        setup: GatewaySetup,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        registry = RegistryClient(list(registries))
        config_file = GatewayConfigFile(setup.config_file)
        self._clock = clock
        self._checker = ConfigChecker(setup.check_command, setup.config_file)
        self.gateway = GatewayClient(gateway_address, clock)
        self.lease = PolicyLeaseClient(database, registry, setup.name, setup.zone, clock)
        self.documents = PolicyDocuments(database, registry, self._check_document)
        self.steering = GatewaySteering(
            self.gateway,
            config_file,
            GatewayProcess(setup.pid_file, setup.config_file),
            self.lease,
            self.documents,
            watches,
            clock,
        )

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops, which the caller runs as tasks until it cancels them."""
        return [self._renew_forever(), self._prepare_forever(), self._steer_forever()]

    async def renew(self) -> None:
        """Renew the lease and report the gateway's state. Raises sqlite3.Error if saving a decision fails."""
        await self.lease.renew(self._renewal())

    async def prepare_documents(self) -> None:
        """Prepare the documents that the registry has named.

        This may take seconds, so renewals do not wait for it. Raises OSError or sqlite3.Error if a document
        cannot be checked or saved.
        """
        decision = self.lease.decision
        in_use = {decision.digest, decision.previous_digest}
        await self.documents.prepare(self.lease.needed_digests, in_use)

    def metrics(self) -> dict[str, float]:
        """Return the values of the metrics by their names on /metrics."""
        return {
            "policy_lease_seconds": round(max(-1.0, self.lease.remaining_s()), 3),
            "policy_number": self.lease.decision.number & NUMBER_METRIC_MASK,
            "policy_switches_total": self.steering.switches,
            "policy_held_out_total": self.steering.suspensions,
            "policy_stuck_total": self.steering.failed_switches,
            "door_serves": int(self.gateway.state.serves),
        }

    def _renewal(self) -> PolicyLeaseRenewal:
        counts = self.gateway.request_counts
        rejected = self.documents.rejected
        remaining_ms = self.lease.time_until_activation_ms()
        return PolicyLeaseRenewal(
            incarnation=self.lease.incarnation,
            active_digest=self.gateway.state.digest,
            number=self.lease.decision.number,
            digest=self.lease.decision.digest,
            ready=tuple(self.documents.checked),
            document_error=str(rejected) if rejected else "",
            counts=(counts.answered, counts.deferred, counts.errored),
            serves=self.gateway.state.serves,
            remaining_ms=UNSET if remaining_ms is None else remaining_ms,
            document_text=self.documents.texts.get(self.lease.requested_digest, UNSET),
        )

    async def _check_document(self, digest: str) -> None:
        await self._checker.check(self.steering.compose_config(digest))

    async def _renew_forever(self) -> None:
        while True:
            try:
                await self.renew()
            except sqlite3.Error as error:  # such as a full disk; the decision is kept in memory
                log.error("decision not saved: number=%d error=%s", self.lease.decision.number, error)
            except Exception:  # such as an answer of another version; the next one may be valid
                log.exception("policy lease not renewed")
            await asyncio.sleep(LEASE_S / RENEWALS_PER_LEASE)

    async def _prepare_forever(self) -> None:
        last_error = ""
        while True:
            try:
                await self.prepare_documents()
                last_error = ""
            except (sqlite3.Error, OSError) as error:  # such as a full disk; retried in the next step
                if str(error) != last_error:
                    log.error("documents not prepared: error=%s", error)
                last_error = str(error)
            except Exception:
                log.exception("documents not prepared")
            await asyncio.sleep(STEER_INTERVAL_S)

    async def _steer_forever(self) -> None:
        steers = 0
        while True:
            steers += 1
            try:
                await self.steering.steer()
                if steers % STEERS_PER_COUNTS_POLL == 0:
                    await self.gateway.poll_request_counts()
            except Exception:
                log.exception("gateway not steered")
            await asyncio.sleep(self._next_steer_in_s())

    def _next_steer_in_s(self) -> float:
        """Return the delay until the next steer, which comes no later than the activation time."""
        until_activation_s = self.lease.decision.activation_time_s() - self._clock()
        if until_activation_s <= 0:
            return STEER_INTERVAL_S
        return min(STEER_INTERVAL_S, until_activation_s)
