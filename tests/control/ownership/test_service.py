"""Sessions, claims and records over HTTP."""

import asyncio
import json
from pathlib import Path

from tests.control.agent.test_service import until
from tests.control.registry.helpers import address_of, call, serving


async def open_session(at: tuple[str, int], holder: str, life: str = "1") -> int:
    value = {"holder": holder, "life": life, "leaseMs": 1000}
    return (await call(at, "POST /sessions", json.dumps(value).encode()))[0]


async def test_session_keeps_its_claims_while_renewed(tmp_path: Path) -> None:
    async with serving(tmp_path / "1.db") as registry:
        at = address_of(registry)
        now = registry.clock()
        registry.clock = lambda: now
        assert [await open_session(at, "a"), await open_session(at, "b")] == [200, 200]
        assert await open_session(at, "a", "2") == 409
        for name in ("x", "y"):
            given_ = b'{"holder":"a","life":"1"}'
            status, claim = await call(at, f"POST /claims/{name}/take", given_)
            assert status == 200
        assert (await call(at, "POST /claims/x/take", b'{"holder":"b","life":"1"}'))[0] == 409
        known = (await call(at, "GET /claims"))[1]["version"]
        waiting = asyncio.create_task(call(at, f"GET /claims/after/{known}"))
        now += 0.9
        status, response = await call(at, "POST /sessions/a/renew", b'{"life":"1"}')
        assert status == 200 and response["claims"]["y"] == claim["epoch"] and len(response["claims"]) == 2
        now += 0.9
        registry.ownership.check()
        assert [one["holder"] for one in (await waiting)[1]["claims"]] == ["a", "a"]
        await until(lambda: list(registry.store.claims_table.sessions) == ["a"])
        body_ = json.dumps({"lifecycle": "DRAINING", "claim": "x", "epoch": claim["epoch"]}).encode()
        status, response = await call(at, "POST /entries/s-1/lifecycle", body_)
        assert status == 409 and str(claim["epoch"]) in response["error"] and "claim x" in response["error"]
        assert (await call(at, "DELETE /sessions/a", b'{"life":"1"}'))[0] == 200
        assert {one.holder for one in registry.store.claims_table.claims.values()} == {""}


async def test_mass_expiry_of_sessions_is_withheld_for_a_while(tmp_path: Path) -> None:
    async with serving(tmp_path / "1.db") as registry:
        now = registry.clock()
        registry.clock = lambda: now
        for name in "abcdef":
            assert await open_session(address_of(registry), name) == 200
        for _ in range(3):
            now += 0.9
            registry.ownership.check()
        assert registry.ownership.leases.withheld == 6 and len(registry.store.claims_table.sessions) == 6
        for _ in range(12):
            now += 0.9
            registry.ownership.check()
        await until(lambda: not registry.store.claims_table.sessions)


INVALID_REQUESTS = [
    ("POST /sessions", {"holder": "a", "life": "1", "leaseMs": 1e400}, 400),
    ("POST /sessions", {"holder": "a", "life": "1", "leaseMs": float("nan")}, 400),
    ("POST /sessions", {"holder": "a", "life": "1", "leaseMs": 1 << 60}, 400),
    ("POST /sessions", {"holder": "-", "life": "1", "leaseMs": 1000}, 400),
    ("POST /sessions/zz/renew", {"life": "1"}, 404),
    ("POST /sessions/a/renew", {"life": "9"}, 409),
    ("POST /claims/x/take", {"holder": "zz", "life": "1"}, 404),
    ("POST /claims/x/take", {"holder": "a", "life": "9"}, 409),
    ("POST /claims/zz/give", {"holder": "a", "life": "1", "epoch": 1}, 404),
    ("POST /claims/x/give", {"holder": "a", "life": "1", "epoch": 1 << 50}, 409),
    ("POST /claims/x/give", {"holder": "a", "life": "1", "epoch": -1}, 400),
    ("POST /claims/zz/hold", {"on": True}, 404),
    ("POST /claims/x/hold", {"on": 1}, 400),
    ("POST /records/r", {"text": "x" * 6001}, 400),
    ("POST /records/r", {"text": "x", "claim": "x"}, 400),
    ("POST /records/r", {"text": "x", "claim": "zz", "epoch": 1}, 404),
    ("POST /records/r", {"text": "x", "claim": "x", "epoch": 1 << 50}, 409),
    ("POST /records/r", {"text": "x", "ifVersion": 9}, 409),
    ("DELETE /entries/s-1", {"epoch": 5}, 400),
]


async def test_malformed_request_changes_nothing(tmp_path: Path) -> None:
    async with serving(tmp_path / "1.db") as registry:
        at = address_of(registry)
        await open_session(at, "a")
        assert (await call(at, "POST /claims/x/take", b'{"holder":"a","life":"1"}'))[0] == 200
        before = await call(at, "GET /claims")
        for line, value, status in INVALID_REQUESTS:
            answer = await call(at, line, json.dumps(value).encode())
            assert answer[0] == status and answer[1]["error"], (line, value, answer)
        assert await call(at, "GET /claims") == before and not registry.store.claims_table.records
