"""The account of processor time, on clocks that the tests move, and what operators read of it."""

import asyncio

import pytest

from orchidhatch.gateway.actions import MetricsSnapshot
from orchidhatch.gateway.events import MetricsRequest
from orchidhatch.proxy.cpu_accounting import SAMPLING_INTERVAL, CostCategory, CpuAccounting
from tests.proxy.test_management import call, operated
from tests.sockets import Backend, Client, query, run


class Clock:
    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        return self.now


def account(clock: Clock, every: int = 1) -> CpuAccounting:
    return CpuAccounting(5, every, clock, clock, lambda: clock.now / 1e9)


def test_time_is_charged_to_the_innermost_category() -> None:
    clock = Clock()
    found = account(clock)
    outer = found.enter(CostCategory.BACKENDS)
    clock.now += 10
    inner = found.enter(CostCategory.CLIENTS)
    clock.now += 3
    found.leave(inner)
    clock.now += 20
    found.leave(outer)
    clock.now += 500  # the loop's own
    spent = {place: found.estimated_cpu_s(place) * 1e9 for place in CostCategory}
    assert spent.pop(CostCategory.BACKENDS) == pytest.approx(30)
    assert spent.pop(CostCategory.CLIENTS) == pytest.approx(3)
    assert not any(spent.values()) and found.process_cpu_s() * 1e9 == pytest.approx(533)


def test_sampled_entries_stand_for_all() -> None:
    """Also where entries come in a fixed order."""
    clock = Clock()
    found, read = account(clock, SAMPLING_INTERVAL), 0
    costs = [
        (CostCategory.CLIENTS, 50),
        (CostCategory.DECISION_CORE, 200),
        (CostCategory.BACKENDS, 100),
        (CostCategory.DECISION_CORE, 300),
    ]
    rounds = 4000
    for _ in range(
        rounds
    ):  # as many as SAMPLING_INTERVAL divides: a fixed stride would meet the same ones always
        for place, cost in costs * 2:
            was = found.enter(place)
            read += found.is_timed
            clock.now += cost
            found.leave(was)
    for place, cost in (
        (CostCategory.CLIENTS, 50),
        (CostCategory.DECISION_CORE, 500),
        (CostCategory.BACKENDS, 100),
    ):
        assert found.estimated_cpu_s(place) * 1e9 == pytest.approx(2 * rounds * cost, rel=0.05)
    assert read == pytest.approx(8 * rounds / SAMPLING_INTERVAL, rel=0.05)


def test_failing_call_leaves_its_category() -> None:
    clock = Clock()
    found = account(clock)

    def fails() -> None:
        clock.now += 7
        raise ValueError

    with pytest.raises(ValueError):
        found.run(CostCategory.LOG, fails)
    assert found.category is CostCategory.LOOP and found.estimated_cpu_s(
        CostCategory.LOG
    ) * 1e9 == pytest.approx(7)


def test_steps_of_a_task_are_charged_and_cancellable() -> None:
    clock = Clock()
    found, seen = account(clock), []

    async def works() -> None:
        clock.now += 5
        try:
            await asyncio.sleep(0)
            clock.now += 6
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            clock.now += 7
            seen.append("cancelled")
            raise

    async def job() -> None:
        task = asyncio.get_running_loop().create_task(found.wrap_coroutine(CostCategory.DISCOVERY, works()))
        for _ in range(4):
            clock.now += 100  # what the loop does in between is not its
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    run(job())
    assert seen == ["cancelled"] and found.category is CostCategory.LOOP
    assert found.estimated_cpu_s(CostCategory.DISCOVERY) * 1e9 == pytest.approx(18)


def test_idle_intervals_are_added_up_apart() -> None:
    clock = Clock()
    found = account(clock)
    clock.now += 4_000_000_000
    assert found.end_interval(is_idle=True) == (4.0, 4.0)
    clock.now += 1_000_000_000
    assert found.end_interval(is_idle=False) == (1.0, 1.0)
    assert (found.idle_s, found.idle_cpu_ns) == (4.0, 4_000_000_000)


def samples(text: str) -> dict[str, float]:
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


@pytest.fixture
def every_entry(monkeypatch: pytest.MonkeyPatch) -> None:
    made = CpuAccounting.__init__
    monkeypatch.setattr(CpuAccounting, "__init__", lambda self, seed=0: made(self, seed, sampling_interval=1))


@pytest.mark.usefixtures("every_entry")
async def test_metrics_page_shows_the_cost_by_category() -> None:
    async with operated(Backend()) as (gateway, address):
        client = await Client.open(address)
        for number in range(20):
            assert await client.ask(query(f"a{number}")) == b"ok"
        stats, (status, text) = (
            (await call(gateway, "GET /stats"))[1],
            await call(gateway, "GET /metrics"),
        )
        found = samples(text)
        assert status == 200 and samples(stats).items() <= found.items()
        spent = {
            place: found[f'proxy_place_cpu_seconds_total{{place="{place}"}}']
            for place in ("clients", "module", "backends", "discovery", "management")
        }
        assert all(spent.values()) and sum(spent.values()) <= found["proxy_cpu_seconds_total"]
        assert found['proxy_descriptors{holder="clients"}'] == 1
        assert found['proxy_descriptors{holder="backends"}'] == gateway.backends.connection_count > 0
        assert found["proxy_descriptors_limit"] == gateway.max_descriptors
        assert found["proxy_resident_bytes"] > 0 and found["proxy_peak_resident_bytes"] > 0
        assert gateway.account.category is CostCategory.LOOP


async def test_stats_page_holds_request_counts_only() -> None:
    async with operated(Backend()) as (gateway, _):
        found = samples((await call(gateway, "GET /stats"))[1])
        assert {name.partition("{")[0] for name in found} == {
            "proxy_answered_total",
            "proxy_deferred_total",
            "proxy_errored_total",
            "proxy_sends_total",
            "proxy_current",
            "proxy_cluster_size",
            "proxy_cluster_unhealthy",
        }


async def test_periodic_log_shows_the_cost_of_the_interval(caplog: pytest.LogCaptureFixture) -> None:
    async with operated(Backend()) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        with caplog.at_level("INFO"):
            gateway.periodic_log.write()
            gateway.periodic_log.write()
        busy, idle = [line for line in caplog.messages if line.startswith("cost: ")]
        assert "us a request" in busy and "us a request" not in idle
        assert gateway.account.idle_s > 0 and "module" in busy and "descriptors" in busy
        assert isinstance(gateway.dispatcher.query(MetricsRequest()), MetricsSnapshot)
