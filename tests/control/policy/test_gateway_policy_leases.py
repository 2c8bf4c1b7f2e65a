"""Policy leases at a registry: what a renewal is answered with, and what survives a restart or promotion."""

import json
from pathlib import Path

from orchidhatch.control.ownership.writes import PutRecord
from orchidhatch.control.policy.policy_records import ACTIVATED_RECORD, document_record
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, LEASE_S
from tests.control.agent.helpers import until
from tests.control.policy.helpers import (
    DIGEST_A,
    DIGEST_B,
    DOCUMENT_A,
    DOCUMENT_B,
    FakeClock,
    decide,
    decision_number,
    registry_on_clock,
    renew,
    report_of,
    settle,
)
from tests.control.registry.helpers import address_of, call, serving


async def test_new_registry_certifies_nothing_at_first(tmp_path: Path, clock: FakeClock) -> None:
    """The gateways may serve by another registry."""
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        leases = registry.policy_leases
        known = {"number": 7 << 32, "digest": DIGEST_A, "ready": [DIGEST_A], "has": DIGEST_A}
        status, answer = await renew(registry, "a", **known)
        assert (status, answer) == (200, {"sure": False, "prepare": "", "want": DIGEST_A})
        clock.now += ABSENT_AFTER_S / 2
        leases.check()
        assert not leases.current_decision.is_certain() and not leases.term_decision.is_writing
        clock.now += ABSENT_AFTER_S
        await renew(registry, "a", **known, text=DOCUMENT_A)
        await until(lambda: document_record(DIGEST_A) in registry.store.claims_table.records)
        leases.check()
        await until(leases.current_decision.is_certain)
        # The highest that any gateway knew is decided, and no gateway has to change over it.
        decision = leases.current_decision.get()
        assert decision.number == (7 << 32) + 1
        assert decision.digest == decision.previous_digest == DIGEST_A


async def test_new_registry_waits_for_unknown_gateways(tmp_path: Path, clock: FakeClock) -> None:
    """Their leases have to have expired."""
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        leases = registry.policy_leases
        clock.now += ABSENT_AFTER_S - LEASE_S
        await renew(registry, "a")
        assert not leases.current_decision.is_certain() and not leases.term_decision.is_writing
        clock.now += LEASE_S
        await renew(registry, "a")
        await until(leases.current_decision.is_certain)


async def test_restarted_registry_learns_the_activation_time(tmp_path: Path, clock: FakeClock) -> None:
    """From an agent; otherwise the delay begins anew."""
    path = tmp_path / "1.db"
    async with registry_on_clock(path, clock) as registry:
        await settle(registry, clock)
        first = decision_number(registry)
        for gateway in ("a", "b"):
            assert (await renew(registry, gateway))[1]["leftMs"] <= 0
        await decide(registry, DIGEST_A, "", first + 1)
        assert (await renew(registry, "a"))[1] == {
            "sure": True,
            "number": first + 1,
            "digest": DIGEST_A,
            "before": "",
            "prepare": "",
            "want": "",
            "leftMs": 13_000,
        }
    async with registry_on_clock(path, clock, create=False) as registry:
        clock.now += 1  # it was down meanwhile, and does not know for how long
        assert (await renew(registry, "b"))[1]["sure"] is False
        _, answer = await renew(registry, "a", number=first + 1, digest=DIGEST_A, leftMs=11_500)
        assert answer["sure"] and answer["leftMs"] == 11_500
        assert (await renew(registry, "b"))[1]["leftMs"] == 11_500
    async with registry_on_clock(path, clock, create=False) as registry:  # it has reached no agent
        await renew(registry, "a")
        assert registry.policy_leases.current_decision.remaining_s() is None
        assert (await renew(registry, "b"))[1]["leftMs"] == round(ABSENT_AFTER_S * 1000)
        clock.now += ABSENT_AFTER_S
        registry.policy_leases.check()
        await until(lambda: registry.store.claims_table.records[ACTIVATED_RECORD].text == str(first + 1))
    async with registry_on_clock(path, clock, create=False) as registry:  # it has passed, which is stored
        assert (await renew(registry, "a"))[1]["leftMs"] < 0


async def test_promoted_replica_waits_for_all_reports(tmp_path: Path, clock: FakeClock) -> None:
    """It may miss a decision."""
    async with registry_on_clock(tmp_path / "1.db", clock) as first:
        await settle(first, clock)
        for gateway in ("a", "b"):
            await renew(first, gateway)
        async with serving(tmp_path / "2.db", follow=(address_of(first),)) as second:
            second.clock = clock
            records = second.store.claims_table.records
            await until(lambda: len(second.store.claims_table.gateways) == 2 and ACTIVATED_RECORD in records)
            assert (await renew(second, "a"))[0] == 409
            number = decision_number(first)
            first.store.apply([PutRecord(document_record(DIGEST_B), DOCUMENT_B)])
            await decide(first, DIGEST_B, "", number + 1)  # which does not reach the replica
            for task in second.role.tasks:
                task.cancel()
            await first.close()
            second.policy_leases.replication.last_copied_s = clock.now
            second.replicator.connected = False
            second.peer_terms.last_term_query_answered_s = -1e9
            second.promotion.promote(force=True, upstream_may_run=False)
            # The copy holds for as long as a decision that it lacks cannot have been activated.
            _, answer = await renew(second, "a")
            assert (answer["number"], answer["digest"], answer["sure"]) == (number, "", True)
            clock.now += ABSENT_AFTER_S - LEASE_S
            assert (await renew(second, "a"))[1]["sure"] is False
            known = {"number": number + 1, "digest": DIGEST_B, "ready": [DIGEST_B], "has": DIGEST_B}
            _, answer = await renew(second, "b", **known)
            assert answer == {"sure": False, "prepare": "", "want": DIGEST_B}
            await renew(second, "b", **known, text=DOCUMENT_B)
            await until(lambda: document_record(DIGEST_B) in records)
            await renew(second, "a")
            await until(second.policy_leases.current_decision.is_certain)
            assert (await renew(second, "a"))[1]["digest"] == DIGEST_B
            decision = second.policy_leases.current_decision.get()
            assert decision.number > number + 1 and decision.previous_digest == DIGEST_B


async def test_new_term_delays_the_activation(tmp_path: Path, clock: FakeClock) -> None:
    """All gateways go by another document."""
    async with registry_on_clock(tmp_path / "3.db", clock, term=3) as registry:
        await registry.writes.write_aside([PutRecord(document_record(DIGEST_B), DOCUMENT_B)])
        await renew(registry, "a", number=9 << 32, digest=DIGEST_B)
        clock.now += ABSENT_AFTER_S
        await renew(registry, "a", number=9 << 32, digest=DIGEST_B)
        await until(registry.policy_leases.current_decision.is_certain)
        decision = registry.policy_leases.current_decision.get()
        assert (decision.digest, decision.previous_digest) == (DIGEST_B, "")
        assert decision.activation_delay_ms == round(ABSENT_AFTER_S * 1000)


INVALID_REPORTS = (
    {"has": "x"},
    {"number": -1},
    {"number": 1 << 60},
    {"ready": ["x"]},
    {"ready": [DIGEST_A] * 9},
    {"counts": [1, 2]},
    {"counts": [1, 2, "3"]},
    {"leftMs": 1.5},
    {"leftMs": 1 << 40},
    {"flaw": "a\nb"},
    {"serves": 1},
    {"more": 1},
    {"text": "x" * 6001},
)


async def test_invalid_gateway_requests_change_nothing(tmp_path: Path, clock: FakeClock) -> None:
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        address = address_of(registry)
        await settle(registry, clock)
        await renew(registry, "a")
        for invalid in INVALID_REPORTS:
            content = json.dumps(report_of("a") | invalid).encode()
            assert (await call(address, "POST /doors/a/renew", content))[0] == 400, invalid
        assert (await call(address, "POST /doors", b'{"name":"-","life":"1","zone":"z"}'))[0] == 400
        second_agent = b'{"name":"a","life":"2","zone":"z"}'
        status, answer = await call(address, "POST /doors", second_agent)
        # Agents of other versions register their gateway again by this text.
        assert status == 409 and "another life" in answer["error"]
        assert (await call(address, "DELETE /doors/a"))[0] == 409  # it may serve
        assert (await call(address, "DELETE /doors/b"))[0] == 404
        clock.now += LEASE_S + 1
        assert (await call(address, "POST /doors", second_agent))[0] == 200
        status, answer = await renew(registry, "a")  # the agent before it
        assert status == 409 and "another life" in answer["error"]
        clock.now += ABSENT_AFTER_S
        assert (await call(address, "DELETE /doors/a"))[0] == 200 and not registry.store.claims_table.gateways


async def test_fleet_status_shows_present_and_silent_gateways(tmp_path: Path, clock: FakeClock) -> None:
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        address = address_of(registry)
        assert (await call(address, "GET /doors"))[1] == {
            "sure": False,
            "now": {},
            "leftMs": None,
            "doors": [],
        }
        await settle(registry, clock)
        await renew(registry, "a", ready=[DIGEST_A], counts=[1, 2, 3])
        await renew(registry, "b")
        clock.now += LEASE_S + 1
        await renew(registry, "a", ready=[DIGEST_A], counts=[1, 2, 3])
        status = (await call(address, "GET /doors"))[1]
        assert status["sure"] is True and status["now"]["who"] == "list service"
        first, second = status["doors"]
        assert first == {
            "name": "a",
            "zone": "a",
            "ageMs": 0,
            "state": "present",
            "has": "",
            "number": 0,
            "ready": [DIGEST_A],
            "flaw": "",
            "counts": [1, 2, 3],
            "serves": True,
        }
        assert (second["state"], second["ageMs"]) == ("silent", 4000)
        clock.now += ABSENT_AFTER_S
        assert (await call(address, "GET /doors"))[1]["doors"][1]["state"] == "absent"
        registry.policy_leases.restart()  # as after a promotion: nobody has reported anything here yet
        unreported = (await call(address, "GET /doors"))[1]["doors"][0]
        assert unreported == {"name": "a", "zone": "a", "ageMs": 0, "state": "silent"}
