"""A registry that another one has replaced."""

import asyncio
from pathlib import Path

import pytest

from orchidhatch.control.errors import UnavailableError
from orchidhatch.control.registry import peer_terms
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.store import Store
from tests.control.registry.helpers import address_of, call, lifecycles_by_id, serving
from tests.control.test_schemas import body
from tests.sockets import refusing_address


async def test_later_term_of_a_peer_fences_the_registry(
    path: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It rejects writes and goes on serving reads."""
    monkeypatch.setattr(peer_terms, "CHECK_INTERVAL_S", 0.005)
    silent = refusing_address()
    async with serving(tmp_path / "new.db", term=1) as new:
        async with serving(path, peers=(silent, address_of(new))) as old:
            at = address_of(old)
            assert (await call(at, "POST /entries", body(instanceId="s-1")))[0] == 200
            new.store.term = 2  # promoted meanwhile
            while not old.peer_terms.replaced_by:
                await asyncio.sleep(0.001)
            status, response = await call(at, "POST /entries", body(instanceId="s-2"))
            assert status == 409 and "is of term 2, this is of 1" in response["error"]
            assert (await call(at, "GET /healthcheck"))[0] == 503
            assert lifecycles_by_id((await call(at, "GET /catalog/members"))[1]) == {"s-1": "SERVING"}
        async with serving(path, peers=(address_of(new),)) as back:  # fenced before its first write
            assert (await call(address_of(back), "DELETE /entries/s-1"))[0] == 409
            assert back.store.generation == 1


async def test_stale_check_is_repeated_before_acknowledging(path: Path) -> None:
    now_s = 1000.0
    store = Store(path, create=True)
    guard = PeerTermGuard(store, [refusing_address()], lambda: now_s, lambda: False)
    assert not guard.is_current()
    await guard.check_peers()
    now_s += peer_terms.CHECK_VALIDITY_S - 0.1
    assert guard.is_current() and await guard.ensure_current() and guard.stale_checks == 0
    now_s += 0.2
    with pytest.raises(UnavailableError, match="asks its peers first"):
        guard.check_is_current()
    assert await guard.ensure_current() and guard.stale_checks == 1 and guard.is_current()
    guard.reset()
    assert not guard.is_current()
    store.close()


async def test_guard_without_peers_needs_no_check(path: Path) -> None:
    store = Store(path, create=True)
    guard = PeerTermGuard(store, [], lambda: 1000.0, lambda: False)
    assert guard.is_current() and await guard.ensure_current() and not guard.has_peers
    store.close()


@pytest.mark.parametrize(
    ("request_line", "content"),
    [
        ("POST /entries/s-1/renew", b'{"life":1}'),
        ("POST /sessions/a/renew", b'{"life":"1"}'),
        ("POST /leases/end", b'{"claim":"x","epoch":1}'),
    ],
)
async def test_renewal_is_unavailable_after_a_stale_check(
    path: Path, request_line: str, content: bytes
) -> None:
    async with serving(path) as registry:
        registry.peer_terms.is_current = lambda: False
        status, response = await call(address_of(registry), request_line, content)
        assert status == 503 and "asks its peers first" in response["error"]
