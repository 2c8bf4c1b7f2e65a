"""Tasks that recur without end: backups of the registry's store, lease expiry and fleet summaries."""

from orchidhatch.control.controller.countdown import count_down
from orchidhatch.control.controller.errors import TaskFailedError
from orchidhatch.control.controller.summary import parse_gateway_metrics, summarize_fleet
from orchidhatch.control.controller.task import GatewayQuery, Task, TaskContext
from orchidhatch.control.controller.task_records import BackupRecord, LeaseExpiryRecord, SummaryRecord

SAVE_INTERVAL_S = 30.0


class Backup(Task[BackupRecord]):
    """Backs up the registry's store at an interval.

    A repeated backup is harmless, so no state is stored before one is made. A failure is noted in the
    record's message, and the backup is retried after the interval.
    """

    record_type = BackupRecord

    async def step(self, context: TaskContext) -> None:
        """Make a backup if one is due."""
        if not count_down(self.record, SAVE_INTERVAL_S):
            return
        if self.record.remaining_ms <= 0:
            reply = await context.create_backup()
            self.record.message = str(reply.body["file"]) if reply.ok else f"failed: {reply.error_text}"
            self.record.remaining_ms = self.record.interval_ms
        await context.save(self)


class LeaseExpiry(Task[LeaseExpiryRecord]):
    """Requests at each step that the registry removes endpoints with expired leases.

    No state is stored: the registry knows which leases have expired, and a repeated request is harmless.
    """

    record_type = LeaseExpiryRecord

    async def step(self, context: TaskContext) -> None:
        """Request the removal of the endpoints whose leases have expired."""
        reply = await context.expire_leases()
        if not reply.ok:
            raise TaskFailedError(f"cannot expire leases: {reply.body}")


class Summary(Task[SummaryRecord]):
    """Summarizes the metrics of all gateways at an interval.

    The samples from which increases are computed are kept in this process; a new owner starts without any.
    """

    record_type = SummaryRecord

    async def step(self, context: TaskContext) -> None:
        """Collect samples and store their summary if one is due."""
        if not count_down(self.record, SAVE_INTERVAL_S):
            return
        if self.record.remaining_ms <= 0:
            self.record.remaining_ms = self.record.interval_ms
            await self._summarize(context)
        await context.save(self)

    async def _summarize(self, context: TaskContext) -> None:
        replies = await context.query_gateways(GatewayQuery.METRICS)
        samples = {agent: parse_gateway_metrics(text) for agent, text in replies.items()}
        previous = context.metrics_samples(self)
        self.record.fleet = summarize_fleet(previous, samples)
        previous.clear()
        previous.update({agent: sample for agent, sample in samples.items() if sample is not None})
