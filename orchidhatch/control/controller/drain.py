"""The task that drains an endpoint: it is marked in the endpoint list, withdrawn, and removed or restored.

Gateways are notified through their agents in addition to the endpoint list, so that they stop sending
requests to the endpoint at once.
"""

import time

from orchidhatch.control.controller.countdown import count_down, start_countdown
from orchidhatch.control.controller.errors import StepPostponedError, TaskFailedError
from orchidhatch.control.controller.task import GatewayCommand, Task, TaskContext
from orchidhatch.control.controller.task_records import DrainEnd, DrainRecord, DrainState

SAVE_INTERVAL_S = 2.0
# Values of an endpoint's lifecycle in the endpoint list.
DRAINING = "DRAINING"
SERVING = "SERVING"


class Drain(Task[DrainRecord]):
    """The drain of one endpoint. It ends early if the endpoint is removed by other means."""

    record_type = DrainRecord

    async def step(self, context: TaskContext) -> None:
        """Carry out the action for the stored state."""
        match self.record.state:
            case DrainState.REQUESTED:
                await self._set_lifecycle(context, DRAINING, DrainState.MARKED, done=False)
            case DrainState.MARKED:
                await self._withdraw(context)
            case DrainState.WITHDRAWN:
                await self._wait(context)
            case DrainState.ENDING:
                await self._end(context)

    async def _set_lifecycle(
        self, context: TaskContext, lifecycle: str, next_state: DrainState, *, done: bool
    ) -> None:
        instance_id = self.record.instance_id
        reply = await context.set_lifecycle(instance_id, lifecycle)
        if reply.is_not_found:
            await self.move_to(context, DrainState.UNLISTED, done=True)
            return
        if not reply.ok:
            raise TaskFailedError(f"cannot change the lifecycle of {instance_id}: {reply.body}")
        await self.move_to(context, next_state, done=done)

    async def _withdraw(self, context: TaskContext) -> None:
        """Withdraw the endpoint at all gateways.

        Gateways that cannot be reached do not delay the drain, as they learn of it from the endpoint list.
        """
        failed_agents = await context.command_gateways(self, self.record.instance_id, GatewayCommand.WITHDRAW)
        start_countdown(self.record, time.monotonic())
        message = f"not notified: {', '.join(failed_agents)}" if failed_agents else ""
        await self.move_to(context, DrainState.WITHDRAWN, message=message)

    async def _wait(self, context: TaskContext) -> None:
        if not count_down(self.record, SAVE_INTERVAL_S):
            return
        if self.record.remaining_ms <= 0:
            await self.move_to(context, DrainState.ENDING)
        else:
            await context.save(self)

    async def _end(self, context: TaskContext) -> None:
        if self.record.end is DrainEnd.REMOVE:
            await self._remove(context)
        else:
            await self._restore(context)

    async def _remove(self, context: TaskContext) -> None:
        instance_id = self.record.instance_id
        reply = await context.remove_endpoint(instance_id)
        if not (reply.ok or reply.is_not_found):
            raise TaskFailedError(f"cannot remove {instance_id}: {reply.body}")
        await self.move_to(context, DrainState.REMOVED, done=True)

    async def _restore(self, context: TaskContext) -> None:
        """Restore the endpoint at all gateways, and only then in the endpoint list.

        A gateway that missed the command would never send to the endpoint again.
        """
        failed_agents = await context.command_gateways(self, self.record.instance_id, GatewayCommand.RESTORE)
        if failed_agents:
            raise StepPostponedError(f"not yet restored at {', '.join(failed_agents)}")
        await self._set_lifecycle(context, SERVING, DrainState.RESTORED, done=True)
