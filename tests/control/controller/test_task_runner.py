"""What follows when a task fails, or a record is no task."""

import json
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from orchidhatch.control.controller.shards import SHARDS
from orchidhatch.control.registry.service import Registry
from tests.control.controller.helpers import request, start_controller, stored_task

DRAIN = {"kind": "drain", "id": "s-1", "leftMs": 100, "then": "back", "state": "out", "done": False}


async def test_shard_of_a_failing_task_is_released_with_reason(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    async with running_registry() as registry:
        controller = await start_controller(registry, "controller-1")
        failing = {**DRAIN, "leftMs": "soon"}
        for name, text in (("task.drain-s-1", failing), ("task.what", {})):
            assert (await request(registry, f"POST /records/{name}", {"text": json.dumps(text)}))[0] == 200
        steps = 0
        while len(controller.owned_shards) == len(SHARDS):
            await controller.runner.run_once()
            steps += 1
        assert steps == 5
        [released] = [claim for claim in registry.store.claims_table.claims.values() if claim.reason]
        assert released.released_by == "controller-1" and "task.drain-s-1" in released.reason


async def test_done_task_is_not_stepped_again(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    async with running_registry() as registry:
        controller = await start_controller(registry, "controller-1")
        done = {**DRAIN, "leftMs": "soon", "done": True}
        assert (await request(registry, "POST /records/task.drain-s-1", {"text": json.dumps(done)}))[0] == 200
        for _ in range(6):
            await controller.runner.run_once()
        assert len(controller.owned_shards) == len(SHARDS) and stored_task(registry, "task.drain-s-1") == done
