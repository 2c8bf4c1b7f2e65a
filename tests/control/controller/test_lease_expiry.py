"""Leases that have expired: ended by a controller, or by the registry itself where no controller does."""

import json
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

import pytest

from orchidhatch.control.controller.shards import shard_of_task
from orchidhatch.control.errors import StoreError
from orchidhatch.control.registry.lease_expiry import OWNER_ACTIVE_S
from orchidhatch.control.registry.service import Registry
from tests.control.agent.helpers import until
from tests.control.controller.helpers import start_controller
from tests.control.registry.helpers import address_of, call
from tests.control.test_cli import client
from tests.control.test_schemas import body


async def test_owner_or_else_the_registry_ends_overdue_leases(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_registry() as registry:
        address = address_of(registry)
        now = registry.clock()
        registry.clock = lambda: now
        for number in range(20):
            written = body(instanceId=f"s-{number}", leaseMs=1000 if number < 3 else 500_000)
            assert (await call(address, "POST /entries", written))[0] == 200
        assert (await client(address, "leases", "--ended-by", "stewards"))[0] == 0
        controller = await start_controller(registry, "controller-1")
        shard = shard_of_task("task.leases")
        late = {"claim": shard, "epoch": controller.owned_shards.epoch_of(shard) - 1}
        now += 1.2
        assert (await call(address, "POST /leases/end", json.dumps(late).encode()))[0] == 409
        assert len(registry.lease_expiry.leases.leases) == 20
        assert (await call(address, "POST /leases/end", b"{}"))[0] == 400

        commit = registry.store.commit

        def full(_: object) -> None:
            raise StoreError("disk full")

        registry.store.commit = full
        await controller.runner.run_once()
        await until(lambda: registry.writes.last_write_error)
        assert len(registry.store.entries) == 20 and registry.lease_expiry.leases.leases["s-1"].due_s == now
        registry.store.commit = commit
        await controller.runner.run_once()  # they are overdue still, and it is the owner that ends them
        await until(lambda: len(registry.store.entries) == 17)
        assert registry.lease_expiry.expired == 3 and registry.lease_expiry.last_owner_call_s == now

        monkeypatch.setattr("orchidhatch.control.registry.service.CHECK_INTERVAL_S", 0.01)
        entry = registry.store.entries["s-19"]
        registry.lease_expiry.leases.restore_overdue(entry, now)
        # The registry does not check them itself meanwhile.
        assert now - registry.lease_expiry.last_owner_call_s < OWNER_ACTIVE_S
        now += OWNER_ACTIVE_S
        await until(lambda: "s-19" not in registry.store.entries)
