"""When an agent begins the watches that came before it had a list."""

from types import SimpleNamespace

import pytest

from orchidhatch.control.agent import readiness
from orchidhatch.control.agent.readiness import ReadinessGate

REGISTRIES = [("127.0.0.1", 1), ("127.0.0.1", 2)]


def replicator(connected: bool, switches: int) -> SimpleNamespace:
    return SimpleNamespace(connected=connected, upstream_switches=switches, upstreams=REGISTRIES)


async def began_after(
    limit_s: float, connected: bool, switches: int, monkeypatch: pytest.MonkeyPatch
) -> bool:
    """Whether a watch that came first has begun once the gate has waited; READY_WITHIN_S is `limit_s`."""
    monkeypatch.setattr(readiness, "READY_WITHIN_S", limit_s)
    gate = ReadinessGate(replicator(connected, switches), is_ready=False)
    began: list[str] = []
    gate.when_ready(lambda: began.append("early"))
    assert not began
    await gate.wait()
    gate.when_ready(lambda: began.append("late"))
    return began == ["early", "late"]


@pytest.mark.parametrize(("connected", "switches"), [(True, 0), (False, len(REGISTRIES))])
async def test_gate_opens_without_a_wait(
    connected: bool, switches: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A list has arrived, or every registry was contacted: else this would take a day."""
    assert await began_after(86_400.0, connected, switches, monkeypatch)


async def test_gate_opens_after_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    assert await began_after(0.02, connected=False, switches=1, monkeypatch=monkeypatch)


def test_ready_gate_begins_watches_at_once() -> None:
    began: list[str] = []
    ReadinessGate(replicator(connected=False, switches=0), is_ready=True).when_ready(
        lambda: began.append("x")
    )
    assert began == ["x"]
