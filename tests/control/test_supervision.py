"""Loops that nobody watches go on over errors, and tasks that end over one are logged."""

import asyncio
import logging
import sqlite3
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from orchidhatch.control.agent import policy_lease_holder
from orchidhatch.control.agent.policy_lease_holder import PolicyLeaseHolder
from orchidhatch.control.controller.errors import SessionLostError
from orchidhatch.control.controller.session import Session
from orchidhatch.control.controller.stored_json import decode_stored
from orchidhatch.control.http_client import decode_body
from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.ownership.writes import RegisterGateway
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from orchidhatch.control.registry.peer_terms import Fenced
from orchidhatch.control.supervision import log_end, repeat
from tests.control.agent.helpers import register_endpoint
from tests.control.policy.test_lease_host import FakeHost, renew
from tests.control.registry.helpers import address_of, call, serving
from tests.control.test_schemas import body

DEEP = "[" * 100_000


class EnoughError(BaseException):
    """Ends a loop that goes on over every error."""


async def test_step_that_fails_does_not_end_its_loop(caplog: pytest.LogCaptureFixture) -> None:
    steps = 0

    async def step() -> None:
        nonlocal steps
        steps += 1
        if steps == 3:
            raise EnoughError
        raise ValueError("odd")

    with pytest.raises(EnoughError):
        await repeat("example", 0.0, step)
    assert caplog.text.count("step failed: loop=example") == 2


async def test_task_that_ends_over_an_error_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def fail() -> None:
        raise ValueError("odd")

    task = asyncio.create_task(fail(), name="example")
    task.add_done_callback(log_end)
    await asyncio.wait([task])
    await asyncio.sleep(0)
    assert "task ended: task=example" in caplog.text


@pytest.mark.parametrize("error", [msgspec.ValidationError("odd answer"), sqlite3.OperationalError("full")])
async def test_policy_lease_is_renewed_again_after_an_answer_that_makes_no_sense(
    error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    renewals = 0

    async def renew() -> None:
        nonlocal renewals
        renewals += 1
        if renewals == 3:
            raise EnoughError
        raise error

    monkeypatch.setattr(policy_lease_holder, "LEASE_S", 0.0)
    holder = object.__new__(PolicyLeaseHolder)
    holder.renew = renew
    holder.lease = SimpleNamespace(decision=SimpleNamespace(number=1))
    with pytest.raises(EnoughError):
        await holder._renew_forever()


def test_decision_of_a_new_term_is_written_again_where_too_many_writes_waited() -> None:
    host = FakeHost()
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    takes, wanted = [False, True], []
    host.enqueue_internal = lambda write: wanted.append(write) or takes.pop(0)
    renew(host, leases, "a")
    assert len(wanted) == 1
    leases.check()
    assert len(wanted) == 2
    leases.check()  # that one is on its way
    assert len(wanted) == 2


async def test_batch_that_is_rejected_before_its_commit_is_told_to_the_observers(tmp_path: Path) -> None:
    async with serving(tmp_path / "r.db") as registry:
        failed: list[object] = []
        registry.writes.observers.append(
            SimpleNamespace(batch_written=lambda *_: None, batch_failed=failed.extend)
        )
        registry.peer_terms.fenced = Fenced(("127.0.0.1", 1), 9)
        registry.writes._access.check_writable = lambda: None
        status, _ = await call(address_of(registry), "POST /entries", body(instanceId="s-1"))
        assert status == 409 and len(failed) == 1


async def test_unexpected_error_of_a_batch_fails_its_writes_and_no_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As where no thread can be started, which is no error of the store."""
    async with serving(tmp_path / "r.db") as registry:
        run_in_turn = registry.writes._run_in_turn

        async def fail(work: object) -> None:
            registry.writes._run_in_turn = run_in_turn
            raise RuntimeError("can't start new thread")

        registry.writes._run_in_turn = fail
        status, told = await call(address_of(registry), "POST /entries", body(instanceId="s-1"))
        assert status == 503 and "can't start new thread" in told["error"]
        await register_endpoint(registry, "s-2")
        assert list(registry.store.entries) == ["s-2"]


async def test_lease_checks_go_on_after_one_that_failed(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async with serving(tmp_path / "r.db") as registry:
        checks = 0

        def check() -> None:
            nonlocal checks
            checks += 1
            raise ValueError("odd")

        check.__qualname__ = "check"
        task = asyncio.create_task(registry._check_forever(check))
        while checks < 2:
            await asyncio.sleep(0.005)
        task.cancel()
    assert any(record.levelno == logging.ERROR for record in caplog.records)


async def test_session_whose_renewal_makes_no_sense_is_lost_and_ends_no_controller() -> None:
    class OddRegistry:
        async def renew_session(self, holder: str, incarnation: str) -> SimpleNamespace:
            return SimpleNamespace(status=200, ok=True, body={"claims": "odd"})

    session = Session("c", OddRegistry(), SimpleNamespace())
    with pytest.raises(SessionLostError, match="malformed"):
        await session.renew()


def test_record_or_body_nested_thousands_deep_is_malformed() -> None:
    with pytest.raises(ValueError, match="nested"):
        decode_stored(DEEP, dict)
    assert decode_body(DEEP.encode()) == DEEP
