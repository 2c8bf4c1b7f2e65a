"""Single steps of a drain, by what the registry and the gateways answer."""

from http import HTTPStatus

import pytest

from orchidhatch.control.controller.drain import Drain
from orchidhatch.control.controller.errors import StepPostponedError, TaskFailedError
from orchidhatch.control.controller.registry_api import RegistryReply
from orchidhatch.control.controller.task import GatewayCommand
from orchidhatch.control.controller.task_records import DrainEnd, DrainState, new_drain
from tests.control.controller.fake_context import CONFLICT, FakeContext

AGENT = "127.0.0.1:7100"
NOT_FOUND = RegistryReply(HTTPStatus.NOT_FOUND, {"error": "s-1 is not listed"})


def drain_in(state: DrainState, end: DrainEnd = DrainEnd.RESTORE, remaining_ms: int = 0) -> Drain:
    record = new_drain("s-1", remaining_ms, end)
    record.state = state
    return Drain("task.drain-s-1", 1, record)


async def test_marked_drain_goes_on_without_an_agent() -> None:
    """Its message names the agent that does not answer."""
    context = FakeContext()
    context.missing_agents = [AGENT]
    drain = drain_in(DrainState.MARKED, remaining_ms=1000)
    await drain.step(context)
    assert context.commands == [("s-1", GatewayCommand.WITHDRAW)]
    assert (drain.record.state, drain.record.message) == (DrainState.WITHDRAWN, f"not notified: {AGENT}")


async def test_drain_waits_for_every_gateway_to_restore() -> None:
    """The endpoint is draining until then."""
    context = FakeContext()
    context.missing_agents = [AGENT]
    drain = drain_in(DrainState.ENDING)
    with pytest.raises(StepPostponedError, match=AGENT):
        await drain.step(context)
    assert drain.record.state is DrainState.ENDING and not context.lifecycles
    context.missing_agents = []
    await drain.step(context)
    assert context.commands == [("s-1", GatewayCommand.RESTORE)] * 2
    assert (drain.record.state, drain.record.done) == (DrainState.RESTORED, True)
    assert context.lifecycles == {"s-1": "SERVING"}


async def test_waiting_drain_ends_after_its_time() -> None:
    drain = drain_in(DrainState.WITHDRAWN)
    await drain.step(FakeContext())
    assert (drain.record.state, drain.record.done) == (DrainState.ENDING, False)


@pytest.mark.parametrize("state", [DrainState.REQUESTED, DrainState.ENDING])
async def test_drain_fails_if_the_registry_rejects_it(state: DrainState) -> None:
    context = FakeContext()
    context.reply = CONFLICT
    for end in DrainEnd:
        drain = drain_in(state, end)
        with pytest.raises(TaskFailedError, match="s-1"):
            await drain.step(context)
        assert drain.record.state is state


async def test_removal_of_a_removed_endpoint_is_done() -> None:
    context = FakeContext()
    context.reply = NOT_FOUND
    drain = drain_in(DrainState.ENDING, DrainEnd.REMOVE)
    await drain.step(context)
    assert (drain.record.state, drain.record.done) == (DrainState.REMOVED, True)


@pytest.mark.parametrize("state", [DrainState.REMOVED, DrainState.RESTORED, DrainState.UNLISTED])
async def test_ended_drain_does_nothing(state: DrainState) -> None:
    context = FakeContext()
    drain = drain_in(state)
    await drain.step(context)
    assert drain.version == 1 and not context.commands and not context.lifecycles
