"""Endpoints whose leases run out."""

import asyncio
from pathlib import Path

import pytest

from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry import service
from orchidhatch.control.registry.lease_expiry import OWNER_ACTIVE_S
from tests.control.registry.helpers import Watcher, address_of, call, lifecycles_by_id, serving
from tests.control.test_schemas import body


async def test_endpoint_with_an_expired_lease_is_removed(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "CHECK_INTERVAL_S", 0.005)
    async with serving(path) as registry:
        at = address_of(registry)
        now = [registry.clock()]
        registry.clock = lambda: now[0]
        for name in ("s-1", "s-2"):
            await call(at, "POST /entries", body(instanceId=name, leaseMs=1500))
        watcher = await Watcher.open(at)
        assert lifecycles_by_id(await watcher.next_event()) == {"s-1": "SERVING", "s-2": "SERVING"}
        now[0] += 1.0
        assert (await call(at, "POST /entries/s-1/renew", b'{"life":9}'))[0] == 409
        assert (await call(at, "POST /entries/s-1/renew", b'{"life":1}'))[0] == 200
        while registry.lease_expiry.leases.last_check_s < now[0]:
            await asyncio.sleep(0.001)
        now[0] += 1.0
        assert lifecycles_by_id(await watcher.next_event()) == {"s-2": "DELETED"}
        assert (await call(at, "GET /entries/s-1"))[1]["life"] == 1 and registry.lease_expiry.expired == 1


async def test_own_check_rests_while_an_owner_calls(path: Path) -> None:
    async with serving(path) as registry:
        now_s = registry.clock()
        registry.clock = lambda: now_s
        assert (await call(address_of(registry), "POST /entries", body(instanceId="s-1", leaseMs=1000)))[
            0
        ] == 200
        assert registry.lease_expiry.check_for_owner(Fence("leases", 1)) == 0
        now_s += 1.5
        registry.lease_expiry.check()
        assert "s-1" in registry.lease_expiry.leases.leases  # overdue, but the owner sees to it
        now_s += OWNER_ACTIVE_S
        registry.lease_expiry.check()
        assert "s-1" not in registry.lease_expiry.leases.leases
