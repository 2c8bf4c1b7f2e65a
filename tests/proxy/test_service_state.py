"""Who has suspended admission, and that each reason is ended by its own owner only."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from orchidhatch.proxy import service_state
from orchidhatch.proxy.config import Policy
from orchidhatch.proxy.server import GatewayServer
from tests.proxy.gateway_scripts import until
from tests.sockets import HOST, Address, Backend, Client, front_door, query, resp

POLICY = Policy(1, "", 5.0)
FAIL = "/healthcheck/fail"
OK = "/healthcheck/ok"
SUSPEND = "/healthcheck/fail?reason=policy"
CONFIRM = "/healthcheck/ok?reason=policy"


class Operated:
    """A gateway under a policy on a clock that tests move, and the calls that it gets."""

    def __init__(self, gateway: GatewayServer, address: Address) -> None:
        self.gateway = gateway
        self.address = address
        self.now_s = 100.0
        gateway.policy_guard.clock = lambda: self.now_s
        gateway.policy_guard.last_contact_s = lambda: self.now_s
        gateway.policy_guard.last_check_s = self.now_s

    def call(self, target: str) -> int:
        """Make a call, and return its status."""
        return self.gateway.management.calls.answer("POST", target).answer[0]

    def reasons(self) -> str:
        """Return the reasons in the health check's answer; "" if the gateway serves."""
        status, text = self.gateway.management_handlers.health()
        assert (status == 200) == ("suspended by" not in text)
        return text.partition("; suspended by ")[2]

    async def is_admitted(self) -> bool:
        """Return whether a new client gets a yes, as the front asks."""
        client = await Client.open(self.address)
        try:
            return await client.ask(resp("PING")) == b"PONG"
        finally:
            client.writer.close()

    async def drain_fully(self) -> None:
        """Have an operator drain the gateway, and wait until the drain has come to its end."""
        assert self.call(FAIL) == 200
        await until(self.gateway.service_state.drain_task.done)

    def stall(self) -> None:
        """Have the event loop stand still, and the guard notice it."""
        self.now_s += 1.5
        self.gateway.policy_guard.check()


@asynccontextmanager
async def operated(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Operated]:
    """A gateway whose agent has confirmed its policy; its drains take less time."""
    monkeypatch.setattr(service_state, "FRONT_POLL_TIMEOUT_S", 0.01)
    monkeypatch.setattr(service_state, "LATE_CONNECTION_GRACE_S", 0.01)
    monkeypatch.setattr(service_state, "READ_PERIOD_S", 0.03)
    async with front_door(Backend(), policy=POLICY, management=(HOST, 0)) as (gateway, address):
        gateway_calls = Operated(gateway, address)
        assert gateway_calls.reasons() == "policy"
        assert gateway_calls.call(CONFIRM) == 200
        yield gateway_calls


async def test_drain_of_operators_outlives_the_agents_confirmations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an agent that undoes the drain of its gateway (review case 8)."""
    async with operated(monkeypatch) as gateway:
        assert await gateway.is_admitted()
        assert gateway.call(FAIL) == 200
        assert gateway.call(CONFIRM) == 200
        assert gateway.reasons() == "operator" and not await gateway.is_admitted()
        await until(gateway.gateway.service_state.drain_task.done)
        assert gateway.reasons() == "operator, policy"  # late clients are not admitted unconfirmed
        assert gateway.call(CONFIRM) == 200
        assert gateway.reasons() == "operator" and not await gateway.is_admitted()
        assert gateway.call(OK) == 200
        assert gateway.reasons() == "" and await gateway.is_admitted()


async def test_operators_end_no_suspension_over_the_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a stall the agent alone knows whether the policy holds."""
    async with operated(monkeypatch) as gateway:
        await gateway.drain_fully()
        assert gateway.call(CONFIRM) == 200
        gateway.stall()
        assert gateway.reasons() == "operator, policy"
        assert gateway.call(OK) == 200
        assert gateway.reasons() == "policy" and not await gateway.is_admitted()
        client = await Client.open(gateway.address)
        assert "BUSY" in str(await client.ask(query("a1")))
        assert gateway.call(CONFIRM) == 200
        assert await gateway.is_admitted() and await client.ask(query("a2")) == b"ok"


async def test_drains_of_operators_and_agent_end_one_by_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async with operated(monkeypatch) as gateway:
        for first, second in ((OK, CONFIRM), (CONFIRM, OK)):
            assert gateway.call(SUSPEND) == gateway.call(FAIL) == gateway.call(SUSPEND) == 200
            assert gateway.reasons() == "operator, policy"
            assert gateway.call(first) == 200
            assert not await gateway.is_admitted()
            assert gateway.call(second) == 200
            assert gateway.reasons() == "" and await gateway.is_admitted()


async def test_agent_suspends_at_once_behind_a_finished_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late client of a drained gateway must not be admitted under a lease that has lapsed."""
    async with operated(monkeypatch) as gateway:
        await gateway.drain_fully()
        assert gateway.call(CONFIRM) == 200 and not gateway.gateway.policy_guard.is_suspended
        assert gateway.call(SUSPEND) == 200 and gateway.gateway.policy_guard.is_suspended


async def test_drain_of_operators_outlives_a_new_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    async with operated(monkeypatch) as gateway:
        await gateway.drain_fully()
        config = gateway.gateway.active.config
        gateway.gateway.reload(replace(config, policy=replace(POLICY, number=2)))
        assert gateway.call(CONFIRM) == 200
        assert gateway.reasons() == "operator" and not await gateway.is_admitted()
        assert gateway.call(OK) == 200 and await gateway.is_admitted()


async def test_agent_of_the_previous_version_takes_its_gateway_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its calls have no reason: the first ends what is taken for an operator's drain, the next confirms."""
    async with operated(monkeypatch) as gateway:
        await gateway.drain_fully()
        assert gateway.call(OK) == 200 and gateway.reasons() == "policy"
        assert gateway.call(OK) == 200 and gateway.reasons() == ""
        gateway.stall()
        assert gateway.call(OK) == 200 and gateway.reasons() == ""


async def test_suspensions_are_shown_by_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    async with operated(monkeypatch) as gateway:
        gateway.call(FAIL + "?by=hand")  # another query is none
        text = gateway.gateway.management_handlers.metrics()[1]
        for reason, value in (("operator", 1), ("policy", 0), ("process", 0)):
            assert f'proxy_admission_suspended{{reason="{reason}"}} {value}' in text


async def test_ending_process_is_taken_back_by_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    async with operated(monkeypatch) as gateway:
        await gateway.drain_fully()
        await gateway.gateway.drain()
        assert gateway.call(OK) == gateway.call(CONFIRM) == 409
        assert "process" in gateway.reasons()
