"""Decaying averages of latency and load."""

import pytest

from orchidhatch.gateway.attempt_averages import AttemptAverages
from orchidhatch.gateway.server_record import ServerRecord
from tests.helpers import MS, SAFE, servers


def averages_and_server() -> tuple[AttemptAverages, ServerRecord]:
    return AttemptAverages((SAFE,)), ServerRecord(servers(1)[0])


def test_mean_latency_starts_at_a_quarter_of_the_objective() -> None:
    averages, _ = averages_and_server()
    assert averages.mean_latencies_us == [500 * MS]


@pytest.mark.parametrize(
    ("latency_us", "relative_latency"),
    [(500 * MS, 1.0), (1000 * MS, 1.1), (50_000 * MS, 1.3), (1 * MS, 0.925)],
)
def test_answer_moves_relative_latency_within_bounds(latency_us: int, relative_latency: float) -> None:
    averages, server = averages_and_server()
    averages.record_latency(server, 0, latency_us)
    assert server.relative_latency == pytest.approx(relative_latency)
    assert averages.mean_latencies_us[0] == pytest.approx(500 * MS + 0.1 * (latency_us - 500 * MS))


def test_relative_latency_decays_towards_one() -> None:
    averages, server = averages_and_server()
    server.relative_latency = 2.0
    averages.decay(server)
    assert server.relative_latency == pytest.approx(1.9)


def test_reported_load_moves_the_mean_load() -> None:
    averages, server = averages_and_server()
    averages.record_load(server, 0.5, 7)
    assert (server.reported_load, server.load_reported_us) == (0.5, 7)
    assert averages.mean_load == pytest.approx(0.05)
