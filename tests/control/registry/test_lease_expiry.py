"""Endpoints whose leases run out."""

import asyncio
from pathlib import Path

import pytest

from orchidhatch.control.registry import service
from tests.control.registry.helpers import Watcher, address_of, call, named, serving
from tests.control.test_schemas import body


async def test_endpoint_when_its_lease_is_not_renewed_then_is_removed(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "CHECK_INTERVAL_S", 0.005)
    async with serving(path) as registry:
        at, now = address_of(registry), [registry.clock()]
        registry.clock = lambda: now[0]
        for name in ("s-1", "s-2"):
            await call(at, "POST /entries", body(instanceId=name, leaseMs=1500))
        watcher = await Watcher.open(at)
        assert named(await watcher.news()) == {"s-1": "SERVING", "s-2": "SERVING"}
        now[0] += 1.0
        assert (await call(at, "POST /entries/s-1/renew", b'{"life":9}'))[0] == 409
        assert (await call(at, "POST /entries/s-1/renew", b'{"life":1}'))[0] == 200
        while registry.lease_expiry.leases.last_check_s < now[0]:
            await asyncio.sleep(0.001)
        now[0] += 1.0
        assert named(await watcher.news()) == {"s-2": "DELETED"}
        assert (await call(at, "GET /entries/s-1"))[1]["life"] == 1 and registry.lease_expiry.expired == 1
