"""The policy lease of a gateway: what it may serve by at which time, and how that is narrowed down."""

import json
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from orchidhatch.control.agent.gateway_config import GatewayConfigFile
from orchidhatch.control.policy.policy_lease_messages import PolicyLeaseAnswer
from orchidhatch.control.policy.policy_records import DOCUMENT_RECORD_PREFIX
from orchidhatch.control.policy.timing import (
    ABSENT_AFTER_S,
    AGENT_SILENCE_LIMIT_S,
    AGENT_START_GRACE_S,
    LEASE_S,
    SWITCH_MARGIN_S,
)
from orchidhatch.proxy.config import Policy
from tests.control.agent.lease_fixture import leased_gateway
from tests.control.policy.helpers import DIGEST_A, DOCUMENT_A, decide, decision_number
from tests.gateway_config import write_gateway_config


async def test_gateway_switches_at_the_activation_time(
    tmp_path: Path,
) -> None:
    async with leased_gateway(tmp_path) as fixture:
        gateway = fixture.gateway
        holder = fixture.holder
        first_number = decision_number(fixture.registry)
        assert await fixture.advance() == 200 and gateway.active.config.policy.number == first_number
        await fixture.put_record(DOCUMENT_RECORD_PREFIX + DIGEST_A, DOCUMENT_A)
        await decide(fixture.registry, DIGEST_A, "", first_number + 1)
        assert await fixture.advance(1.0) == 200  # it learns at once until when its policy holds
        pending = gateway.active.config.policy
        assert pending.digest == "" and pending.number == first_number + 1
        assert pending.until_us == pytest.approx((fixture.time.now + 12.0 + SWITCH_MARGIN_S) * 1e6, abs=2e5)
        for _ in range(11):
            assert await fixture.advance(1.0) == 200 and gateway.active.config.policy.digest == ""
        assert await fixture.advance(1.1) == 200
        assert gateway.active.config.policy == Policy(first_number + 1, DIGEST_A, AGENT_SILENCE_LIMIT_S)
        assert [plan.burst for plan in gateway.core.settings.plans] == [20.0]
        base = json.loads(fixture.setup.config_file.read_text())["policy"]["base"]
        assert base["plans"][0]["burst"] == 10  # kept beside, for the next policy
        # The registry is out of reach: the lease holds, and no longer.
        assert await fixture.advance(LEASE_S - 0.1, renews=False) == 200
        assert await fixture.advance(0.2, renews=False) == 503 and holder.steering.suspensions == 1
        assert await fixture.advance(1.0) == 200
        write_gateway_config(tmp_path)  # another program puts another file in its place
        assert await fixture.advance() == 200
        assert GatewayConfigFile(fixture.setup.config_file).is_managed()
        # The registry has lost what was decided.
        holder.lease.decision = replace(holder.lease.decision, number=first_number + 9)
        assert await fixture.advance(LEASE_S + 0.1) == 503


async def test_each_answer_narrows_the_activation_time(tmp_path: Path) -> None:
    def answer(**changes: object) -> PolicyLeaseAnswer:
        value = {"sure": True, "number": 1 << 40, "digest": "", "before": "", "prepare": "", "want": ""}
        return msgspec.convert({**value, **changes}, PolicyLeaseAnswer)

    async with leased_gateway(tmp_path) as fixture:
        lease = fixture.holder.lease
        time = fixture.time
        start_s = time.now
        await lease.apply_answer(answer(leftMs=10_000), start_s - 0.8)  # 9.2 to 10 s from now
        assert lease.decision.activation_time_s() == pytest.approx(start_s + 9.6)
        time.now += 1
        await lease.apply_answer(answer(leftMs=8_900), time.now - 0.1)  # 8.8 to 8.9 s from then
        assert lease.decision.activation_time_s() == pytest.approx(start_s + 9.85)
        await lease.apply_answer(answer(sure=False, leftMs=None), time.now)
        assert lease.decision.activation_time_s() == pytest.approx(start_s + 9.85)
        assert ABSENT_AFTER_S > LEASE_S + AGENT_START_GRACE_S + AGENT_SILENCE_LIMIT_S
