"""Replication of the policies and the gateway directory from an upstream to its replicas."""

import asyncio
import logging
import math
from collections.abc import Callable, Iterator, Mapping, Sequence

import msgspec

from orchidhatch.control.errors import StoreError
from orchidhatch.control.http_client import Address, call, format_address
from orchidhatch.control.http_response import term_of
from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.ownership.writes import ClaimsWrite, PutRecord, RegisterGateway, RemoveGateway
from orchidhatch.control.policy.gateway_directory import GatewayDirectory
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.policy.policy_lease_messages import ListedGateway, PolicyCopy
from orchidhatch.control.policy.policy_records import REPLICATED_RECORD_PREFIXES

log = logging.getLogger("orchidhatch.policy")

COPY_INTERVAL_S = 1.0


class PolicyReplication:
    """Both sides of the replication: the upstream provides a copy, and a replica writes it.

    `last_copied_s` is the time at which the last copy that was written was requested. It is kept across a
    promotion, which resets all other state.
    """

    def __init__(self, host: LeaseHost, directory: GatewayDirectory) -> None:
        self.last_copied_s = -math.inf
        self._host = host
        self._directory = directory

    def copy(self) -> PolicyCopy:
        """Return the copy for a replica of this registry."""
        return PolicyCopy(records=self._replicated_records(), gateways=self._directory.listed_gateways())

    async def keep_copying(self, upstream: Callable[[], Address]) -> None:
        """Copy from the upstream at intervals until cancelled, as happens at a promotion."""
        while True:
            try:
                await self._copy_once(upstream())
            except Exception:  # such as for a malformed reply of another version; the next may succeed
                log.exception("policy copy failed unexpectedly")
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _copy_once(self, upstream: Address) -> None:
        requested_s = self._host.clock()
        result = await call(upstream, "GET", "/policy", timeout_s=COPY_INTERVAL_S)
        if not result.ok or term_of(result.store_name) < self._host.store.term:
            return
        try:
            upstream_copy = msgspec.convert(result.value, PolicyCopy)
            record_writes = self._record_writes(upstream_copy.records)
            directory_writes = self._directory_writes(upstream_copy.gateways)
            await self._host.write_aside([*record_writes, *directory_writes])
        except (StoreError, msgspec.ValidationError) as error:
            log.error("policy copy failed: upstream=%s reason=%s", format_address(upstream), error)
        else:
            self.last_copied_s = requested_s

    def _record_writes(self, upstream_records: Mapping[str, str]) -> Iterator[ClaimsWrite]:
        """Yield the writes that make the records here equal to the upstream's."""
        stored = self._replicated_records()
        for name in stored:
            if name not in upstream_records:
                yield PutRecord(name, "")
        for name, text in upstream_records.items():
            if stored.get(name) != text:
                yield PutRecord(name, text)

    def _directory_writes(self, upstream_gateways: Sequence[ListedGateway]) -> Iterator[ClaimsWrite]:
        """Yield the writes that make the directory here equal to the upstream's."""
        upstream_names = {gateway.name for gateway in upstream_gateways}
        for name in self._directory.names():
            if name not in upstream_names:
                yield RemoveGateway(name)
        for gateway in upstream_gateways:
            upstream_entry = Gateway(gateway.name, gateway.incarnation, gateway.zone)
            if self._directory.find(gateway.name) != upstream_entry:
                yield RegisterGateway(upstream_entry)

    def _replicated_records(self) -> Mapping[str, str]:
        records = self._host.store.claims_table.records.values()
        return {
            record.name: record.text
            for record in records
            if record.name.startswith(REPLICATED_RECORD_PREFIXES)
        }
