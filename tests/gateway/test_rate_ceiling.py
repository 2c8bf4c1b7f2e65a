"""The rate ceiling of a customer, split over its set or handed out by its quota leader."""

import zlib
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.settings import Plan
from tests.gateway.quota_scenarios import CAPPED, attempt_times, drive_capped
from tests.helpers import MS, SETTINGS, S, Set, World, of


def test_ceiling_starts_empty_and_is_split() -> None:
    plan = Plan(ceiling_rate=10.0, ceiling_burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,), gateway_count=2))
    for number in range(40):
        world.ask(f"r{number}", set_size=2)
    world.run(S)
    # Half of 10 a second, from none.
    assert len(of(SendAttempt, [action for _, action in world.log])) in (4, 5)


def test_ceiling_holds_over_a_large_set_with_restarts() -> None:
    """All shares together, half of the set restarted, all traffic on few gateways for a while."""
    plan = Plan(rate=10.0, burst=30.0, ceiling_rate=18.0, ceiling_burst=40.0, ceiling_slack=4.0)
    gateways = Set(20, replace(SETTINGS, plans=(plan,)))
    start_us = gateways.worlds[0].now
    for number in range(1200):
        gateways.ask(number % 3 if 300 < number < 600 else number * 7 % 20, f"r{number}")
        if number % 8 == 0:
            gateways.run(10 * MS)
        if number in (400, 800):
            for gateway in range(0, 20, 2):
                gateways.restart(gateway, seed=number)
    times_us = attempt_times(gateways)
    level = 40.0
    last_us = start_us
    for sent_us in times_us:
        level = min(40.0, level + 18.0 * (sent_us - last_us) / S) - 1
        last_us = sent_us
        assert level >= -4.0
    assert times_us


@pytest.mark.parametrize("fault", ["messages lost", "leader cut off", "restarts"])
def test_ceiling_granted_by_leader_holds_under_faults(fault: str) -> None:
    gateways = Set(3, replace(SETTINGS, plans=(CAPPED,)), loss=0.3 if fault == "messages lost" else 0.0)
    leader = zlib.crc32(b"c") % 3

    def fail(step: int) -> None:
        if fault == "leader cut off":  # it goes on, and nobody receives its messages
            is_cut_off = 300 <= step < 500 or 700 <= step < 720
            gateways.down = leader if is_cut_off else -1
        if fault == "restarts" and step % 60 == 59:
            gateways.restart(step // 60 % 3, seed=step)

    last_us = gateways.worlds[0].now
    drive_capped(gateways, fail)
    level = lowest = 12.0
    for sent_us in attempt_times(gateways):
        level = min(12.0, level + 10.0 * (sent_us - last_us) / S) - 1
        last_us = sent_us
        lowest = min(lowest, level)
    assert lowest >= -1.2 - 10 * 0.15  # the slack, and what the rate gives in 150 ms
    assert gateways.sent() >= 100
