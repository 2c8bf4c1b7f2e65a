"""Steering a gateway that ignores a policy, or that cannot be reached."""

from pathlib import Path

import pytest

from orchidhatch.control.agent import gateway_steering
from orchidhatch.control.agent.gateway_client import AppliedPolicy, names_policy_suspension, parse_policy
from orchidhatch.control.policy.policy_records import DOCUMENT_RECORD_PREFIX
from orchidhatch.control.policy.timing import LEASE_S
from tests.control.agent.lease_fixture import leased_gateway
from tests.control.policy.helpers import DIGEST_A, DOCUMENT_A, decide, decision_number
from tests.sockets import HOST


async def test_gateway_that_ignores_a_policy_is_suspended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where its management address cannot be reached either, its endpoint watch is ended."""
    monkeypatch.setattr(gateway_steering, "SWITCH_TIMEOUT_S", 0.0)
    async with leased_gateway(tmp_path) as fixture:
        steering = fixture.holder.steering
        number = decision_number(fixture.registry)
        await fixture.advance()
        await fixture.put_record(DOCUMENT_RECORD_PREFIX + DIGEST_A, DOCUMENT_A)
        fixture.ignores_signals = True
        await decide(fixture.registry, DIGEST_A, "", number + 1, moveMs=0)
        assert await fixture.advance(0.1) == 503 and steering.failed_switches
        fixture.ignores_signals = False
        assert await fixture.advance(0.1) == 200
        agent = fixture.agent
        address = fixture.holder.gateway.configured_address
        fixture.holder.gateway.configured_address = (HOST, 1)
        await fixture.advance(LEASE_S + 0.1, renews=False)
        assert (
            agent.broadcaster.is_suspended
        )  # and so the gateway's watch ends, and it suspends admission by itself
        fixture.holder.gateway.configured_address = address
        assert await fixture.advance() == 200 and not agent.broadcaster.is_suspended


def test_policy_number_beyond_its_range_is_none() -> None:
    """Guards against an answer of any length that no later steering survives."""
    assert parse_policy(f"serves; policy {'1' * 5000} -") is None
    assert parse_policy("serves; policy 7 -") == AppliedPolicy(7, "")


async def test_drain_of_operators_is_not_undone_by_the_agent(tmp_path: Path) -> None:
    """Guards against a drained gateway that its agent has serve again (review case 8): also after a restart
    of the agent, and after a lease that has lapsed meanwhile."""
    async with leased_gateway(tmp_path) as fixture:
        assert await fixture.advance() == 200
        handlers = fixture.gateway.management_handlers
        assert handlers.leave_service()[0] == 200
        assert await fixture.advance(0.1) == 503
        reload = fixture.holder.steering.process.reload
        fixture.holder = fixture.new_holder()
        fixture.holder.steering.process.reload = reload
        await fixture.holder.renew()
        assert await fixture.advance(0.1) == 503
        fixture.holder.steering.started_s -= LEASE_S
        assert await fixture.advance(LEASE_S + 0.1, renews=False) == 503
        assert handlers.health()[1].endswith("suspended by operator, policy")
        assert await fixture.advance(0.1) == 503
        assert handlers.health()[1].endswith("suspended by operator")
        assert handlers.enter_service()[0] == 200
        assert await fixture.advance(0.1) == 200


async def test_lapsed_lease_suspends_a_process_that_is_being_replaced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where its successor, which has just started, is suspended already."""
    async with leased_gateway(tmp_path) as fixture:
        assert await fixture.advance() == 200
        suspended: list[bool] = []

        async def suspend_predecessor() -> None:
            suspended.append(True)

        monkeypatch.setattr(fixture.holder.gateway, "suspend_predecessor", suspend_predecessor)
        assert await fixture.advance(LEASE_S + 0.1, renews=False) == 503 and suspended
        suspended.clear()
        assert await fixture.advance(0.1, renews=False) == 503 and suspended


async def test_lapsed_lease_is_not_ended_by_operators(tmp_path: Path) -> None:
    async with leased_gateway(tmp_path) as fixture:
        assert await fixture.advance() == 200
        assert await fixture.advance(LEASE_S + 0.1, renews=False) == 503
        handlers = fixture.gateway.management_handlers
        assert handlers.leave_service()[0] == 200 and handlers.enter_service()[0] == 200
        assert await fixture.advance(renews=False) == 503
        assert handlers.health()[1].endswith("suspended by policy")
        assert await fixture.advance(0.1) == 200


@pytest.mark.parametrize(
    ("health_text", "is_over_policy"),
    [
        ("takes no new clients; policy 1 -; suspended by operator", False),
        ("takes no new clients; policy 1 -; suspended by operator, process", False),
        ("takes no new clients; policy 1 -; suspended by operator, policy", True),
        ("takes no new clients; suspended by policy", True),
        ("takes no new clients; policy 1 -", True),  # of the previous version, which gives no reason
    ],
)
def test_policy_suspension_is_read_from_the_health_check(health_text: str, is_over_policy: bool) -> None:
    assert names_policy_suspension(health_text) is is_over_policy
