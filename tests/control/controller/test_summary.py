"""Summaries of the fleet's metrics."""

import asyncio
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from orchidhatch.control.agent.service import Agent
from orchidhatch.control.controller.summary import MetricsSample, parse_gateway_metrics, summarize_fleet
from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Store
from tests.control.controller.helpers import start_controller
from tests.control.registry.helpers import address_of, call
from tests.control.test_cli import client
from tests.sockets import HOST, refusing_address


def sample(answered: int, deferred: int = 0, errored: int = 0, sends: int | None = None) -> MetricsSample:
    return MetricsSample(answered, deferred, errored, answered if sends is None else sends, 1, 0)


@pytest.mark.parametrize(
    ("last", "outliers"),
    [
        (sample(100), {}),
        (None, {}),
        (sample(60, errored=40, sends=100), {"answered": {"d-9": 0.6}, "errored": {"d-9": 0.4}}),
        (sample(100, sends=190), {"sends": {"d-9": 1.9}}),
        (sample(0, errored=19), {}),
    ],
)
def test_gateway_unlike_the_others_is_named(last: MetricsSample | None, outliers: Any) -> None:  # noqa: ANN401
    before = {f"d-{n}": sample(n, n) for n in range(10)}
    now = {f"d-{n}": sample(n + 97 + n % 3, n + 3 - n % 3) for n in range(9)}
    now["d-9"] = last and sample(9 + last.answered, 9, last.errored, 9 + last.sends)
    summary = summarize_fleet(before, now)
    assert msgspec.to_builtins(summary)["unlike"] == outliers
    assert summary.silent == ([] if last else ["d-9"])
    assert summary.answered == 9 * 98 + (last.answered if last else 0) and summary.is_first is False
    assert summarize_fleet(before, {"d-0": sample(0, 1)}).deferred == 1  # it was restarted


METRICS = "\n".join(
    f"proxy_{metric} 3"
    for metric in (
        'answered_total{group="a b"}',
        'answered_total{group="c"}',
        'deferred_total{group="c"}',
        'errored_total{group="c"}',
        "sends_total",
        "current",
        "cluster_size",
        "cluster_unhealthy",
    )
)


def test_incomplete_metrics_give_no_sample() -> None:
    assert parse_gateway_metrics(METRICS) == MetricsSample(6, 3, 3, 3, 3, 3)
    assert parse_gateway_metrics(METRICS.replace(" 3", " NaN")) is None
    assert parse_gateway_metrics("") is None
    assert parse_gateway_metrics(METRICS.replace(" 3", " " + "3" * 5000)) is None


async def answer_metrics(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
    text = METRICS.encode() if target == b"/stats" else b""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
    writer.close()


async def test_owner_reads_the_summary_through_the_agents(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]], tmp_path: Path
) -> None:
    gateway = await asyncio.start_server(answer_metrics, HOST, 0)
    async with running_registry() as registry:
        address = address_of(registry)
        agent = Agent(
            Store(tmp_path / "a.db", create=True), [address], 1, gateway=gateway.sockets[0].getsockname()
        )
        await agent.start(HOST, 0)
        assert (await client(address, "summary"))[0] == 1
        assert (await client(address, "summary", "--every", "30s"))[0] == 0
        controller = await start_controller(registry, "controller-1", address_of(agent), refusing_address())
        await controller.runner.run_once()
        status, output, _ = await client(address, "summary")
        assert status == 0
        assert "doors\t1" in output and "answered\t6" in output and "silentCount\t1" in output
        assert (await call(address_of(agent), "GET /door/metrics"))[0] == 404
        await agent.close()
    gateway.close()
