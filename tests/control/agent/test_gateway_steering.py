"""Steering a gateway that ignores a policy, or that cannot be reached."""

from pathlib import Path

import pytest

from orchidhatch.control.agent import gateway_steering
from orchidhatch.control.agent.gateway_client import AppliedPolicy, parse_policy
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
        address = fixture.holder.gateway.address
        fixture.holder.gateway.address = (HOST, 1)
        await fixture.advance(LEASE_S + 0.1, renews=False)
        assert (
            agent.broadcaster.is_suspended
        )  # and so the gateway's watch ends, and it suspends admission by itself
        fixture.holder.gateway.address = address
        assert await fixture.advance() == 200 and not agent.broadcaster.is_suspended


def test_policy_number_beyond_its_range_is_none() -> None:
    """Guards against an answer of any length that no later steering survives."""
    assert parse_policy(f"serves; policy {'1' * 5000} -") is None
    assert parse_policy("serves; policy 7 -") == AppliedPolicy(7, "")
