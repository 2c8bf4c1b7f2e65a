"""Carries out the steps of the tasks in the shards that this process owns."""

import logging

from orchidhatch.control.controller.errors import FencedError, InvalidTaskError, RetryLaterError
from orchidhatch.control.controller.gateway_fleet_client import GatewayFleetClient
from orchidhatch.control.controller.registry_api import RegistryApi, StoredRecord
from orchidhatch.control.controller.session import Session
from orchidhatch.control.controller.shards import OwnedShards, ShardBalancer, shard_of_task
from orchidhatch.control.controller.task_context import ClaimContext, SamplesByTask
from orchidhatch.control.controller.task_kinds import decode_task
from orchidhatch.control.controller.task_records import TASK_RECORD_PREFIX, TaskKind, decode_header

log = logging.getLogger("orchidhatch.controller")

MAX_QUOTED_ERROR_CHARACTERS = 100


class TaskRunner:
    """Carries out steps of tasks and handles their errors.

    `fenced_steps` counts the steps that were rejected because another controller holds the claim.
    """

    def __init__(
        self,
        session: Session,
        owned: OwnedShards,
        balancer: ShardBalancer,
        registry: RegistryApi,
        gateways: GatewayFleetClient,
    ) -> None:
        self.fenced_steps = 0
        self._session = session
        self._owned = owned
        self._balancer = balancer
        self._registry = registry
        self._gateways = gateways
        self._samples: SamplesByTask = {}

    async def run_once(self) -> None:
        """Carry out one step of each task; none if no registry returns the records."""
        for record in await self._registry.read_records() or ():
            shard = shard_of_task(record.name)
            is_task = record.name.startswith(TASK_RECORD_PREFIX)
            if is_task and shard in self._owned and self._session.may_act:
                await self._run_record(shard, record)

    def context_of(self, shard: str) -> ClaimContext:
        """Return the context for the tasks of an owned shard, at the current epoch of its claim."""
        epoch = self._owned.epoch_of(shard)
        return ClaimContext(
            shard, epoch, self._session, self._owned, self._registry, self._gateways, self._samples
        )

    def forget_samples(self) -> None:
        """Discard the samples of all tasks, so that their summaries start again."""
        self._samples.clear()

    async def _run_record(self, shard: str, record: StoredRecord) -> None:
        """Carry out a step of the task in a record.

        A record that cannot be decoded is logged and skipped, so that it does not block the shard's other
        tasks.
        """
        try:
            header = decode_header(record.name, record.text)
        except InvalidTaskError as error:
            log.error("task record invalid: %s", error)
            return
        if not header.done:
            await self._step(shard, header.kind, record)

    async def _step(self, shard: str, kind: TaskKind, record: StoredRecord) -> None:
        context = self.context_of(shard)
        epoch = context.epoch
        try:
            await decode_task(kind, record).step(context)
            self._owned.count_success(shard)
        except FencedError as error:
            self.fenced_steps += 1
            log.warning("step fenced: shard=%s epoch=%d task=%s reason=%s", shard, epoch, record.name, error)
            self._owned.drop(shard)
        except RetryLaterError as error:
            log.warning("step postponed: task=%s reason=%s", record.name, error)
        except Exception as error:
            # An unexpected error of one task must not stop the others.
            log.exception("step failed: task=%s shard=%s", record.name, shard)
            if self._owned.count_failure(shard):
                reason = f"{record.name}: {error!r:.{MAX_QUOTED_ERROR_CHARACTERS}}"
                await self._balancer.release(shard, epoch, reason)
