"""The copy of the policies and the gateway directory that a replica keeps of its upstream."""

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
    """Both sides of the copy: what an upstream shows, and what a replica writes.

    `last_copied_s` is when the last copy that was written was requested. It outlives a promotion, which
    begins everything else anew.
    """

    def __init__(self, host: LeaseHost, directory: GatewayDirectory) -> None:
        self.last_copied_s = -math.inf
        self._host = host
        self._directory = directory

    def copy(self) -> PolicyCopy:
        """What a replica of this registry is to have."""
        return PolicyCopy(records=self._replicated_records(), gateways=self._directory.listed())

    async def keep_copying(self, upstream: Callable[[], Address]) -> None:
        """Copy from the upstream until this is cancelled, which a promotion does."""
        while True:
            try:
                await self._copy_once(upstream())
            except Exception:  # as over an answer of another version: the next may be sound
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
        """The writes that make the records here the upstream's."""
        stored = self._replicated_records()
        for name in stored:
            if name not in upstream_records:
                yield PutRecord(name, "")
        for name, text in upstream_records.items():
            if stored.get(name) != text:
                yield PutRecord(name, text)

    def _directory_writes(self, upstream_gateways: Sequence[ListedGateway]) -> Iterator[ClaimsWrite]:
        """The writes that make the directory here the upstream's."""
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
