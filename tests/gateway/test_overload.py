"""Overload control: N by the paper's formulas, the control period, and the limit on attempts in flight."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.attempts import LoadReport
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList, PeerMessage
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.overload import TARGETS, OccupancySignal, new_sample_lists, next_n
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, World, loaded_world, servers

UTIL = TARGETS[OccupancySignal.UTILIZATION]


@pytest.mark.parametrize(
    ("n_past", "na_past", "occup", "overhead", "expected"),
    [
        (100, 100, 0.90, 0.10, 102),  # (0.92 - 0.1) / (0.9 - 0.1) * 100 = 102.5, rounded down
        (100, 80, 0.80, 0.10, 93),  # (0.82 / 0.7) * 80 = 93.7: accepted calls count, not N
        (100, 200, 0.80, 0.10, 120),  # the largest step up
        (100, 20, 0.90, 0.10, 90),  # the largest step down
        (100, 100, 0.98, 0.10, 83),  # 0.82 / 0.88 * 100 = 93.18, times 0.9 at occ_too_high = 83.86
        (100, 20, 0.98, 0.10, 81),  # both steps down
        (3, 4, 0.80, 0.10, 4),  # 4.69 is 1 more than 3 and the step under 1: up by one
        (100, 70, 0.50, 0.10, 100),  # low occupancy and few calls: not updated
        (100, 90, 0.50, 0.60, 120),  # at or below overhead: the largest step
        (1, 0, 0.99, 0.10, 1),  # never under one
    ],
)
def test_next_n_by_hand(n_past: int, na_past: float, occup: float, overhead: float, expected: int) -> None:
    assert next_n(n_past, na_past, occup, overhead, UTIL) == expected


def test_limit_engages_spreads_admissions_and_is_lifted() -> None:
    world = loaded_world(0.9)
    overload = world.gateway.overload
    assert overload.admission_limit == 20.5  # (0.92 - 0.1) / (0.9 - 0.1) times the 20 that were sent
    for n in range(150):
        world.ask(f"r{n}", customer=f"c{n}")
    world.run(overload.period_start_us + S - world.now)
    start = world.now
    limit = overload.period_limit
    for _ in range(99):
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
        world.run(10 * MS)
    sends = [at for at, action in world.log if isinstance(action, SendAttempt) and at >= start]
    assert len(sends) == limit
    assert sends[-1] - sends[0] > 0.8 * S
    light = loaded_world(0.3).gateway.overload
    assert light.admission_limit is None
    assert light.overhead == pytest.approx(0.3)


def test_period_is_longer_at_a_low_rate() -> None:
    """With two requests a second, N of one or two a second would halve or double by rounding alone."""
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=20), servers(10))
    for n in range(40):
        world.ask(f"r{n}")
        world.run(500 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt, report=LoadReport(util=0.9))
    assert world.gateway.overload.period_length_us == 2 * S
    assert 4 <= world.gateway.overload.admission_limit <= 12
    assert next_n(10, 1, 0.99, 0.1, UTIL, 4.0) == 4  # steps by the second: 10 * 0.9 ** 8
    assert next_n(10, 10, 0.2, 0.3, UTIL, 4.0) == 20


def test_limit_in_full_use_is_not_lifted() -> None:
    world = loaded_world(0.9)
    for n in range(60):
        world.ask(f"r{n}")
    for _ in range(110):
        world.run(10 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt, report=LoadReport(util=0.3))
    overload = world.gateway.overload
    assert overload.admission_limit == 24.5  # the largest step from 20.5, to a half: of two gateways


def test_attempts_in_flight_are_limited_without_n() -> None:
    """Servers that answer nobody must not be sent more and more while N is lifted."""
    worlds = [
        World(replace(SETTINGS, plans=(Plan(),), gateway_count=5, gateway_index=me), servers(10))
        for me in range(5)
    ]
    for world in worlds:
        for n in range(200):
            world.ask(f"r{n}")
        assert world.gateway.overload.admission_limit is None
    assert sum(len(world.out) for world in worlds) == 80  # 8 for each of 10
    worlds[0].answer("r0")
    worlds[0].run(20 * MS)
    assert len(worlds[0].out) == 16


def test_overdue_attempts_raise_the_latency_signal() -> None:
    """Jammed servers answer nobody; waiting for answers would leave N lifted."""
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(20):
        world.ask(f"r{n}")
    world.run(1100 * MS)
    assert world.gateway.overload.admission_limit is not None


def test_small_limit_is_not_decided_by_rounding() -> None:
    """Forty gateways with N near two each: a fifth more a period is lost if each rounds its share down."""
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=40))
    gateway = world.gateway
    overload = gateway.overload
    overload.admission_limit = 2.0
    overload.period_limit = 2
    overload.samples[OccupancySignal.LATENCY] = [0.2] * 9  # light, but all of N is used
    overload.admitted_this_period = 2
    gateway.end_period()
    assert overload.admission_limit * S / overload.period_length_us == pytest.approx(2.4, abs=0.03)
    admissions = 0
    overload.admission_limit = 0.25
    overload.samples = new_sample_lists()
    for _ in range(40):
        gateway.end_period()
        overload.admission_limit = 0.25
        admissions += overload.period_limit
    assert 9 <= admissions <= 11


def test_occupancy_includes_peers_observations() -> None:
    """A few slow answers here are chance where the others' are quick."""
    world = World(replace(SETTINGS, gateway_count=40))
    server = world.gateway.balancer.servers["s0"].checksum
    seen = tuple(AttemptObservation(server, 0, True, 0.1) for _ in range(12))
    for n in range(5):
        world.tell(PeerMessage(n + 1, (GossipMessage(n, 0, 0, 5),), seen))
    world.gateway.overload.samples[OccupancySignal.LATENCY] += [0.9, 0.9]
    world.gateway.end_period()
    assert world.gateway.overload.admission_limit is None
    assert world.gateway.overload.occupancy == pytest.approx((60 * 0.1 + 2 * 0.9) / 62)


def test_server_in_slow_start_counts_by_its_warm_part() -> None:
    """In a rolling release most servers are cold: what they cannot take would jam the few warm ones."""
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=4), servers(20))
    world.tell(
        EndpointList(
            EndpointListKind.CHANGES,
            2,
            tuple(replace(server, started_us=world.now) for server in servers(20)[4:]),
        )
    )
    for n in range(80):
        world.ask(f"r{n}")
    assert len(world.out) <= 8 * (4 + 16 * 0.2) / 4 + 1  # eight for each warm server by all four gateways
