"""A policy change: prepared at every gateway, decided by one write, and undone where its gate fails."""

import json
from pathlib import Path
from typing import Any

import pytest

from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.ownership.writes import PutRecord
from orchidhatch.control.policy.change_record import Gate
from orchidhatch.control.policy.policy_records import (
    CHANGE_TASK_RECORD,
    DECISION_RECORD,
    HISTORY_RECORD_PREFIX,
    document_record,
)
from orchidhatch.control.policy.timing import ABSENT_AFTER_S, LEASE_S
from tests.control.policy.helpers import (
    DIGEST_A,
    DIGEST_B,
    DOCUMENT_A,
    DOCUMENT_B,
    FakeClock,
    Fleet,
    decision_number,
    registry_on_clock,
    renew,
)


async def test_change_is_decided_once_all_are_ready(tmp_path: Path, clock: FakeClock) -> None:
    """All that may serve; it names the absent gateways."""
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        fleet = Fleet(registry, clock, "a", "b", "c", "d", "e")
        await fleet.start()
        await fleet.put_record(document_record(DIGEST_A), DOCUMENT_A)
        fleet.gateways = ("a", "b", "c", "d")  # e is down from here on
        await fleet.request_change(DIGEST_A)
        clock.now += LEASE_S + 1
        await fleet.work("preparing")
        assert (await renew(registry, "a"))[1]["prepare"] == DIGEST_A
        fleet.report(ready=[DIGEST_A])
        await fleet.work("deciding")
        assert fleet.change()["state"] == "preparing"  # e is silent, and may serve still
        clock.now += ABSENT_AFTER_S
        await fleet.work("decided")
        decision = registry.policy_leases.current_decision.get()
        assert decision.absent == ["e"] and decision.absent_count == 1
        assert (decision.digest, decision.previous_digest) == (DIGEST_A, "")
        assert registry.policy_leases.current_decision.remaining_s() == pytest.approx(ABSENT_AFTER_S)
        fleet.report(has=DIGEST_A)
        fleet.reports["d"]["has"] = ""  # it says that it is ready, and goes on by the old one
        clock.now += ABSENT_AFTER_S
        assert (await fleet.work())["state"] == "decided"
        clock.now += 6
        ended = await fleet.work()
        assert ended["state"] == "in force" and ended["told"].endswith(": d")


@pytest.mark.parametrize(
    ("reported", "wait_s", "reason"),
    [
        ({"flaw": f"{DIGEST_A} no such class"}, 0, "a: "),
        ({}, 70, "not ready in time: b"),
        (None, 0, "dropped"),
    ],
)
async def test_change_failing_before_its_decision_is_not_applied(
    reported: dict[str, Any] | None,
    wait_s: float,
    reason: str,
    tmp_path: Path,
    countdown_clock: FakeClock,
) -> None:
    clock = countdown_clock
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        fleet = Fleet(registry, clock, "a", "b")
        await fleet.start()
        before = registry.policy_leases.current_decision.get()
        await fleet.request_change(DIGEST_A)
        assert (await fleet.work())["told"] == "there is no such document"
        await fleet.put_record(document_record(DIGEST_A), DOCUMENT_A)
        await fleet.request_change(DIGEST_A)
        await fleet.work("preparing")
        fleet.reports["a"] = {"ready": [DIGEST_A], **(reported or {})}
        if reported is None:
            await fleet.put_record(CHANGE_TASK_RECORD, json.dumps({**fleet.change(), "dropped": True}))
        for _ in range(round(wait_s / 2)):
            clock.now += 2
            fleet.controller.session.valid_until_s = clock.now + 60
            await fleet.work("preparing")
        ended = await fleet.work()
        assert ended["state"] == "nowhere" and reason in ended["told"]
        assert registry.policy_leases.current_decision.get() == before
        assert (await renew(registry, "b"))[1]["prepare"] == ""


async def test_change_is_decided_by_its_next_owner(tmp_path: Path, clock: FakeClock) -> None:
    """The owner that was replaced decides nothing."""
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        fleet = Fleet(registry, clock, "a")
        await fleet.start()
        await fleet.put_record(document_record(DIGEST_A), DOCUMENT_A)
        await fleet.put_record(document_record(DIGEST_B), DOCUMENT_B)
        await fleet.request_change(DIGEST_A)
        fleet.report(ready=[DIGEST_A, DIGEST_B])
        await fleet.work("deciding")
        number = decision_number(registry)
        late = fleet.controller
        shard = next(iter(late.owned_shards.names()))
        epoch = late.owned_shards.epoch_of(shard)
        path = f"/sessions/{late.session.holder}"
        await late.registry_client.call("DELETE", path, {"life": late.session.incarnation})
        fleet.controller = fleet.new_controller("controller-2")
        await fleet.start_controller()
        await late.runner.run_once()  # it wakes up with all that it held
        assert late.runner.fenced_steps == 1 and decision_number(registry) == number
        await fleet.work("decided")
        assert decision_number(registry) == number + 1
        [rejected] = registry.store.apply([PutRecord(DECISION_RECORD, "{}", fence=Fence(shard, epoch))])
        assert "epoch" in str(rejected)


async def test_failed_gate_restores_the_policy_before(tmp_path: Path, countdown_clock: FakeClock) -> None:
    clock = countdown_clock
    async with registry_on_clock(tmp_path / "1.db", clock) as registry:
        fleet = Fleet(registry, clock, "a")
        await fleet.start()
        for digest, text in ((DIGEST_A, DOCUMENT_A), (DIGEST_B, DOCUMENT_B)):
            await fleet.put_record(document_record(digest), text)
        fleet.report(ready=[DIGEST_A, DIGEST_B], counts=[1000, 10, 0])
        for digest, gate, end_state in (
            (DIGEST_A, None, "in force"),
            (DIGEST_B, Gate(for_ms=4000), "undone"),
        ):
            await fleet.request_change(digest, gate)
            await fleet.work("preparing")
            fleet.report(counts=[2000, 20, 0])
            await fleet.work("decided")
            fleet.report(has=digest)
            clock.now += ABSENT_AFTER_S
            await fleet.work("watched")
            fleet.report(counts=[2500, 20, 400])
            clock.now += 3
            await fleet.work("deciding")
            fleet.report(has=registry.policy_leases.current_decision.get().digest)
            await fleet.work("decided")
            fleet.report(has=registry.policy_leases.current_decision.get().digest)
            clock.now += ABSENT_AFTER_S
            ended = await fleet.work()
            assert ended["state"] == end_state, ended["told"]
            assert registry.policy_leases.current_decision.get().digest == DIGEST_A
            fleet.report(counts=[1000, 10, 0])
        assert "requests errored" in ended["told"]
        history = [
            name for name in registry.store.claims_table.records if name.startswith(HISTORY_RECORD_PREFIX)
        ]
        assert len(history) == 3
