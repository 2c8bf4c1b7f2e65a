"""The implementation of TaskContext: actions under the claim on a task's shard."""

import msgspec

from orchidhatch.control.controller.errors import FencedError, StaleRecordError, StepPostponedError
from orchidhatch.control.controller.gateway_fleet_client import FencedCallRequest, GatewayFleetClient
from orchidhatch.control.controller.registry_api import (
    FencedRequest,
    LifecycleRequest,
    PutRecordRequest,
    RegistryApi,
    RegistryReply,
    StoredRecord,
)
from orchidhatch.control.controller.session import Session
from orchidhatch.control.controller.shards import OwnedShards
from orchidhatch.control.controller.summary import MetricsSample
from orchidhatch.control.controller.task import GatewayCommand, GatewayQuery, Task
from orchidhatch.control.controller.task_records import encode_task_record
from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS

SamplesByTask = dict[str, dict[str, MetricsSample]]


class ClaimContext:
    """The TaskContext of a shard's tasks, for one epoch of the claim on it."""

    def __init__(
        self,
        shard: str,
        epoch: int,
        session: Session,
        owned: OwnedShards,
        registry: RegistryApi,
        gateways: GatewayFleetClient,
        samples: SamplesByTask,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self._session = session
        self._owned = owned
        self._registry = registry
        self._gateways = gateways
        self._samples = samples

    def check_ownership(self) -> None:
        """Raise StepPostponedError unless this process still holds the claim as far as it knows."""
        if self._owned.epoch_of(self.shard) != self.epoch or not self._session.may_act:
            raise StepPostponedError(f"another controller may own {self.shard} by now")

    def claim_term(self) -> int:
        """Return the registry's term in which the claim was taken."""
        return self.epoch >> EPOCH_COUNT_BITS

    async def read(self, path: str) -> RegistryReply:
        """Read from the registry and return its reply."""
        reply = await self._registry.request("GET", path)
        if reply.is_unavailable:
            raise StepPostponedError("no registry answers")
        return reply

    async def read_record(self, name: str) -> StoredRecord | None:
        """Return a record of the registry; None if there is none of that name."""
        reply = await self.read(f"/records/{name}")
        return msgspec.convert(reply.body, StoredRecord) if reply.ok else None

    async def set_lifecycle(self, instance_id: str, lifecycle: str) -> RegistryReply:
        """Change an endpoint's lifecycle in the endpoint list."""
        request = LifecycleRequest(claim=self.shard, epoch=self.epoch, lifecycle=lifecycle)
        return await self._write("POST", f"/entries/{instance_id}/lifecycle", request)

    async def remove_endpoint(self, instance_id: str) -> RegistryReply:
        """Remove an endpoint from the endpoint list."""
        return await self._write("DELETE", f"/entries/{instance_id}", self._fenced_request())

    async def create_backup(self) -> RegistryReply:
        """Have the registry back up its store."""
        return await self._write("POST", "/backup", self._fenced_request())

    async def expire_leases(self) -> RegistryReply:
        """Have the registry remove the endpoints whose leases have expired."""
        return await self._write("POST", "/leases/end", self._fenced_request())

    async def put_record(self, name: str, text: str, if_version: int | None = None) -> RegistryReply:
        """Write a record, or remove it if the text is empty.

        The write is rejected if `if_version` is given and the record is at another version.
        """
        request = PutRecordRequest(
            claim=self.shard,
            epoch=self.epoch,
            text=text,
            if_version=msgspec.UNSET if if_version is None else if_version,
        )
        return await self._write("POST", f"/records/{name}", request)

    async def save(self, task: Task) -> None:
        """Store a task's record; raises StaleRecordError if it was written since it was read."""
        if task.record.message is msgspec.UNSET:
            task.record.message = ""
        reply = await self.put_record(task.name, encode_task_record(task.record), task.version)
        if not reply.ok:
            raise StaleRecordError(f"{task.name} was not saved: {reply.error_text}")
        task.version = msgspec.convert(reply.body, StoredRecord).version

    async def command_gateways(self, task: Task, instance_id: str, command: GatewayCommand) -> list[str]:
        """Send a command about a backend to each gateway.

        Returns the agents whose gateways did not carry it out.
        """
        # The number rises with each save of the task. The term in its upper bits makes the numbers under a
        # promoted registry higher than all earlier ones.
        number = self.claim_term() << EPOCH_COUNT_BITS | task.version
        fenced_call = FencedCallRequest(claim=self.shard, epoch=self.epoch, number=number)
        return await self._gateways.command(
            f"backends/{instance_id}/{command.value}", fenced_call, self.check_ownership
        )

    async def query_gateways(self, query: GatewayQuery) -> dict[str, str]:
        """Return each gateway's reply by its agent's address; empty for a gateway that does not reply."""
        return await self._gateways.query(query.value)

    def metrics_samples(self, task: Task) -> dict[str, MetricsSample]:
        """Return the last samples that this process took for a task, by gateway.

        The caller updates the returned dict in place.
        """
        return self._samples.setdefault(task.name, {})

    def _fenced_request(self) -> FencedRequest:
        return FencedRequest(claim=self.shard, epoch=self.epoch)

    async def _write(self, method: str, path: str, request: FencedRequest) -> RegistryReply:
        self.check_ownership()
        reply = await self._registry.request(method, path, request)
        if reply.is_fenced:
            raise FencedError(reply.error_text)
        if reply.is_unavailable:
            raise StepPostponedError("no registry accepts writes")
        return reply
