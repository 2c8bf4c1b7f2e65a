"""A drain, carried out by one controller and then by another."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from orchidhatch.control.controller.shards import SHARDS
from orchidhatch.control.ownership.writes import EndSession
from orchidhatch.control.registry.service import Registry
from tests.control.agent.helpers import until
from tests.control.controller.helpers import request, start_controller, stored_task
from tests.control.registry.helpers import address_of, call
from tests.control.test_cli import client
from tests.control.test_schemas import body


async def test_drain_is_ended_by_its_next_owner(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    """The owner that was replaced is fenced."""
    async with running_registry() as registry:
        address = address_of(registry)
        assert (await call(address, "POST /entries", body(instanceId="s-1")))[0] == 200
        first = await start_controller(registry, "controller-1")
        assert first.owned_shards.names() == set(SHARDS)
        status, output, _ = await client(address, "drain", "s-1", "--by", "1s", "--then", "remove")
        assert status == 0 and "task.drain-s-1" in output
        assert (await client(address, "drain", "s-1", "--by", "1s"))[0] == 1  # it is being drained already
        await first.runner.run_once()
        assert registry.store.entries["s-1"].lifecycle == "DRAINING"

        # The first stalls past its lease; another takes over what it held, and ends what was begun.
        registry.writes.enqueue_internal(
            EndSession(first.session.holder, first.session.incarnation, expired=True)
        )
        await until(lambda: not registry.store.claims_table.sessions)
        second = await start_controller(registry, "controller-2")
        await first.runner.run_once()  # by its own clock it may still act
        assert first.runner.fenced_steps == 1 and registry.ownership.writes_refused >= 1
        while not stored_task(registry, "task.drain-s-1")["done"]:
            await second.runner.run_once()
        assert not registry.store.entries
        assert (await client(address, "owners"))[1].count("controller-2") == len(SHARDS)
        assert "removed" in (await client(address, "tasks"))[1]
        await second.leave()
        assert not registry.store.claims_table.sessions


async def test_drain_of_an_unlisted_endpoint_is_done(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    async with running_registry() as registry:
        controller = await start_controller(registry, "controller-1")
        assert (await client(address_of(registry), "drain", "s-1", "--by", "1s"))[0] == 0
        await controller.runner.run_once()
        task = stored_task(registry, "task.drain-s-1")
        assert (task["state"], task["done"]) == ("gone", True)
        assert (await request(registry, "GET /entries/s-1"))[0] == 404
