"""A customer's rate ceiling, split over its set or handed out by its quota leader."""

import zlib
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.rate_ceiling import CEDED_SHARE_US, RECEIVED_SHARE_US, RateCeiling
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.snapshots import CustomerKey
from tests.gateway.quota_scenarios import CAPPED, attempt_times, drive_capped
from tests.helpers import MS, SETTINGS, S, Set, World, of

NOW_US = 100 * S


def test_ceiling_starts_empty_and_is_split() -> None:
    plan = Plan(ceiling_rate=10.0, ceiling_burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,), gateway_count=2))
    for number in range(40):
        world.ask(f"r{number}", set_size=2)
    world.run(S)
    # Half of 10 per second, starting from an empty bucket.
    assert len(of(SendAttempt, [action for _, action in world.log])) in (4, 5)


def test_ceiling_holds_over_a_large_set_with_restarts() -> None:
    """The ceiling holds over all shares while gateways restart.

    Half of the set is restarted, and for a while all traffic goes through a few gateways.
    """
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
        if fault == "leader cut off":  # it keeps running, but its messages are lost
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
    assert lowest >= -1.2 - 10 * 0.15  # the slack, and the refill of 150 ms
    assert gateways.sent() >= 100


@pytest.fixture
def ceiling() -> RateCeiling:
    return RateCeiling(Plan(ceiling_rate=4.0, ceiling_burst=40.0), size=2)


def test_ceded_share_is_not_refilled(ceiling: RateCeiling) -> None:
    ceiling.cede(NOW_US)
    end_us = NOW_US + CEDED_SHARE_US
    ceiling.refill(NOW_US, end_us)
    assert ceiling.units == 0.0
    ceiling.refill(end_us - S, end_us + S)
    assert ceiling.units == 2.0


def test_received_share_refills_for_its_time(ceiling: RateCeiling) -> None:
    ceiling.receive(1, NOW_US)
    ceiling.refill(NOW_US, NOW_US + S)
    assert ceiling.units == 4.0
    shortly_before_us = NOW_US + RECEIVED_SHARE_US - S // 2
    ceiling.refill(NOW_US + S, shortly_before_us)
    assert ceiling.units == 4.0 + 2.0
    ceiling.refill(shortly_before_us, NOW_US + RECEIVED_SHARE_US + S)
    assert ceiling.units == 6.0 + 1.0 + 3.0
    assert not ceiling.received_until_us


def test_received_share_ends_before_it_is_ceded() -> None:
    assert RECEIVED_SHARE_US < CEDED_SHARE_US


def test_dropped_share_is_no_longer_refilled(ceiling: RateCeiling) -> None:
    ceiling.receive(1, NOW_US)
    ceiling.drop_received()
    ceiling.refill(NOW_US, NOW_US + S)
    assert ceiling.units == 2.0


def test_refill_stops_at_the_local_share_of_the_burst(ceiling: RateCeiling) -> None:
    ceiling.refill(NOW_US, NOW_US + 60 * S)
    assert ceiling.units == 20.0


def test_idle_refill_excludes_the_ceded_time(ceiling: RateCeiling) -> None:
    ceiling.refill_idle(4 * S)
    assert ceiling.units == 8.0
    ceiling.cede(NOW_US)
    ceiling.refill_idle(4 * S)
    assert ceiling.units == 2.0


def test_ceiling_lacks_units_above_its_level(ceiling: RateCeiling) -> None:
    ceiling.add(3.0)
    assert not ceiling.lacks(3.0)
    assert ceiling.lacks(3.1)
    assert ceiling.wait_us(5.0) == S
    ceiling.draw(4.0)
    assert ceiling.units == -1.0
    assert not RateCeiling(Plan(), size=2).lacks(1.0)


def test_only_a_cession_is_extended(ceiling: RateCeiling) -> None:
    ceiling.extend_cession(NOW_US)
    assert ceiling.ceded_until_us == 0
    ceiling.cede(NOW_US)
    ceiling.extend_cession(NOW_US + S)
    assert ceiling.ceded_until_us == NOW_US + S + CEDED_SHARE_US


def test_member_cedes_its_share_from_the_start() -> None:
    """Guards against a share used twice after a restart.

    The leader may still use the share because of reports of the member's previous process.
    """
    settings = replace(SETTINGS, gateway_count=3, gateway_index=1)
    member = Customer(CAPPED, CustomerKey(0, 0, 0, 3), settings, NOW_US)
    assert member.ceiling.ceded_until_us == NOW_US + CEDED_SHARE_US
    leader = Customer(CAPPED, CustomerKey(1, 0, 0, 3), settings, NOW_US)
    assert leader.ceiling.ceded_until_us == 0


def test_member_cedes_its_share_under_a_plan_with_slots() -> None:
    settings = replace(SETTINGS, gateway_count=3, gateway_index=1)
    uncapped = replace(CAPPED, max_in_flight=0)
    member = Customer(uncapped, CustomerKey(0, 0, 0, 3), settings, NOW_US)
    assert member.ceiling.ceded_until_us == 0
    member.change_plan(CAPPED, 0, NOW_US + S)
    assert member.ceiling.ceded_until_us == NOW_US + S + CEDED_SHARE_US
    member.change_plan(CAPPED, 0, NOW_US + 2 * S)
    assert member.ceiling.ceded_until_us == NOW_US + S + CEDED_SHARE_US
