"""The gateway on sockets under a policy: whether it admits requests, and when it suspends that itself."""

import logging
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from orchidhatch.gateway.settings import Plan
from orchidhatch.proxy.config import ConfigError, Policy
from orchidhatch.proxy.config_reader import load
from orchidhatch.proxy.policy_guard import PolicyGuard
from tests.control.policy.helpers import DIGEST_A, FakeClock
from tests.gateway_config import write_gateway_config
from tests.helpers import PLAN
from tests.sockets import CUSTOMER, Backend, Client, front_door, query

WIDER = Plan(rate=20.0, burst=40.0, ceiling_rate=50.0, ceiling_burst=60.0)


def under_policy(**changes: Any) -> Policy:  # noqa: ANN401
    return replace(Policy(1, "", 5.0), **changes)


async def ask(client: Client, name: str) -> str:
    answer = await client.ask(query(name))
    return str(answer)


async def test_admission_starts_suspended_under_a_policy(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Nobody is admitted before the agent says so; later policies apply from their change on."""
    caplog.set_level(logging.INFO)
    async with front_door(Backend(), policy=under_policy(), traces_policy=True) as (gateway, at):
        client = await Client.open(at)
        assert gateway.management_handlers.health() == (
            503,
            "takes no new clients; policy 1 -; suspended by policy",
        )
        assert "BUSY" in await ask(client, "a") and not gateway.requests.open
        assert gateway.management_handlers.enter_service()[
            0
        ] == 200 and gateway.management_handlers.health() == (200, "serves; policy 1 -")
        assert "ok" in await ask(client, "b")
        new = replace(
            gateway.active.config,
            policy=under_policy(number=2, digest=DIGEST_A),
            plan_numbers={"new": 0, "team": 1},
            settings=replace(
                gateway.active.config.settings,
                plans=(PLAN, WIDER),
                policy_mark=3,
                banned_customers=frozenset({CUSTOMER}),
            ),
        )
        gateway.reload(replace(new, class_numbers={"other": 0}))
        assert gateway.active.config.policy.number == 1  # it cannot go by that
        gateway.reload(new)
        assert (
            gateway.management_handlers.health() == (200, f"serves; policy 2 {DIGEST_A}")
            and gateway.peers.policy_mark == 3
        )
        assert "BUSY" in await ask(client, "c")
        text = gateway.management_handlers.metrics()[1]
        assert 'proxy_unserved_total{reason="banned"} 1' in text and 'reason="policy"} 1' in text
        gateway.reload(replace(new, policy=None))  # a file that only moves discovery changes no policy
        assert gateway.active.config.policy.number == 2
    lines = [record.getMessage() for record in caplog.records if record.getMessage().startswith("request")]
    assert [line.rpartition(",")[0] for line in lines] == [
        "request b answered by policy -",
        f"request c deferred by policy {DIGEST_A}",
    ]


async def test_admission_is_suspended_when_the_policy_may_not_hold() -> None:
    async with front_door(Backend(), policy=under_policy()) as (gateway, at):
        time, received = FakeClock(), FakeClock()
        gateway.policy_guard.clock, gateway.policy_guard.last_contact_s = time, received
        gateway.policy_guard.last_check_s = time.now
        client = await Client.open(at)

        async def served(name: str) -> bool:
            return "ok" in await ask(client, name)

        assert gateway.management_handlers.enter_service()[0] == 200 and await served("a")
        time.now += 1.5  # it stood still, and this request had waited meanwhile
        assert (
            not await served("b")
            and gateway.management_handlers.enter_service()[0] == 200
            and await served("c")
        )
        received.now -= 6  # its agent is silent
        assert not await served("d") and gateway.management_handlers.enter_service()[0] == 409
        received.now = time.now
        assert gateway.management_handlers.enter_service()[0] == 200 and await served("e")
        ends = round((time.now + 0.5) * 1e6)
        gateway.reload(replace(gateway.active.config, policy=under_policy(number=2, until_us=ends)))
        assert await served("f")
        time.now += 0.6  # nobody came to put it under the next one
        assert not await served("g") and gateway.management_handlers.enter_service()[0] == 409
        gateway.reload(replace(gateway.active.config, policy=under_policy(number=2, digest=DIGEST_A)))
        assert gateway.management_handlers.enter_service()[0] == 200 and await served("h")


@pytest.mark.parametrize(
    "value",
    [{"number": -1}, {"number": "x"}, {"number": 1, "digest": "xyz"}, {"number": 1 << 60}, {"silent_ms": 0}],
)
def test_configuration_with_a_malformed_policy_is_rejected(value: dict[str, Any], tmp_path: Path) -> None:
    file = write_gateway_config(tmp_path, policy=value)
    with pytest.raises(ConfigError, match=r"policy|number|silent_ms"):
        load({"PROXY_CONFIG": str(file)})


@pytest.mark.parametrize(("now_s", "is_valid"), [(9.999, True), (10.0, False)])
def test_policy_is_invalid_from_the_instant_of_its_end(now_s: float, is_valid: bool) -> None:
    guard = PolicyGuard(
        under_policy(until_us=10_000_000), lambda: now_s, lambda is_suspended: None, lambda: now_s
    )
    assert (guard.invalid_reason() == "") is is_valid
