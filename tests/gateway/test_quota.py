"""A customer's quota over all gateways of its set."""

import zlib
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt, SendGossip
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import AttemptEnded, PolicyChange
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.snapshots import CustomerKey
from tests.gateway.quota_scenarios import attempt_times
from tests.helpers import MS, PLAN, SAFE, SETTINGS, S, Set, World, of


@pytest.mark.parametrize("count", [1, 2, 20])
def test_set_has_the_whole_burst_and_rate(count: int) -> None:
    """With local shares below one unit, the set neither rejects requests inside the quota nor exceeds it.

    Admission is random: the rate is checked for the mean of several seeds, the upper bound for each seed.
    """
    sent_later = []
    for seed in range(8):
        gateways = Set(count, seed=seed)
        for number in range(60):
            gateways.ask(number * 7 % count, f"r{number}")
            gateways.run(10 * MS)
        gateways.run(S)
        # A burst of 20, the refill of 0.6 s, and the refill while demand decays.
        assert 19 <= gateways.sent() <= 35
        before = gateways.sent()
        for number in range(600):
            gateways.ask(number * 7 % count, f"more{number}")
            gateways.run(10 * MS)
        gateways.run(S)
        # The burst, 10 per second for 8.6 s, and the refill while demand decays.
        assert gateways.sent() <= 20 + 86 + 5
        sent_later.append(gateways.sent() - before)
    # 10 per second for 6 s, of 100 per second requested.
    assert sum(sent_later) / len(sent_later) == pytest.approx(60, abs=16)


@pytest.mark.parametrize("scale", [1.0, 10.0])
def test_requests_inside_the_quota_are_sent_whatever_their_units(scale: float) -> None:
    """Guards against comparing demand in units with a number of requests, which skips the grant request."""
    plan = Plan(rate=10.0 * scale, burst=20.0 * scale)
    gateways = Set(4, replace(SETTINGS, plans=(plan,)))
    gateways.run(1100 * MS)
    for number in range(40):
        gateways.ask(number % 4, f"r{number}", units=6.0 * scale)
        gateways.run(S)
    assert gateways.sent() == 40


@pytest.mark.parametrize("count", [2, 3, 100])
def test_isolated_gateways_keep_to_their_shares(count: int) -> None:
    """Guards against each gateway without gossip leading the customer and admitting the whole quota."""
    every_us = S // 4  # at least 160 units per second, for a plan of 10
    gateways = Set(count, replace(SETTINGS, may_gossip=False))
    for step in range(40):
        for number in range(max(40, count)):
            gateways.ask(number % count, f"r{step}-{number}")
        gateways.run(every_us)
    seconds = 40 * every_us / S
    sent = gateways.sent()
    quota = PLAN.rate * seconds + PLAN.burst
    assert not any(of(SendGossip, [action for _, action in world.log]) for world in gateways.worlds)
    assert sent <= quota + count  # each share holds at least one request
    assert sent >= 0.8 * quota


def test_large_request_without_leader_leaves_a_debt() -> None:
    """Without an answer, the allowance admits one request of any size and then has to recover."""
    world = World(replace(SETTINGS, gateway_count=40, plans=(replace(PLAN, rate=20.0),)))
    led_elsewhere = next(str(n) for n in range(99) if zlib.crc32(str(n).encode()) % 40)
    for number in range(40):  # the local share is half a unit per second
        world.ask(f"r{number}", customer=led_elsewhere, set_size=40, units=5.0)
        world.run(S)
        for request, attempt in list(world.out):
            world.answer(request, attempt=attempt)
    sent = [action.id for _, action in world.log if isinstance(action, SendAttempt)]
    assert sent[0] == "r0"
    assert 4 <= len(sent) <= 5


def test_large_request_at_isolated_gateway_leaves_a_debt() -> None:
    world = World(replace(SETTINGS, may_gossip=False, gateway_count=40))
    large = {"set_size": 40, "units": 6.0}  # the local rate is a quarter of a unit per second
    assert of(SendAttempt, world.ask("first", **large))
    world.answer("first")
    for number in range(22):
        assert not of(SendAttempt, world.ask(f"next{number}", **large))
        world.run(S)
    world.run(3 * S)
    assert of(SendAttempt, world.ask("last", **large))


def test_isolated_share_follows_a_plan_change() -> None:
    """The bucket keeps its fraction of the burst, and the open cap becomes the local share of the new one."""
    plan = replace(PLAN, rate=4.0, burst=40.0, max_in_flight=2)
    world = World(replace(SETTINGS, may_gossip=False, gateway_count=4, plans=(plan,)))
    for number in range(5):
        world.ask(f"r{number}", set_size=4)
        world.run(20 * MS)
        assert len(world.out) == 1  # two slots for four gateways: at least one each
        world.answer(f"r{number}")
    world.tell(PolicyChange((SAFE,), (replace(plan, burst=80.0, max_in_flight=8),), frozenset(), 1, (0,)))
    sent = sum(bool(of(SendAttempt, world.ask(f"s{number}", set_size=4))) for number in range(20))
    assert sent == 2  # a quarter of eight slots
    for _ in range(12):
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
        world.run(20 * MS)
    sent_since = sum(isinstance(action, SendAttempt) for _, action in world.log) - 5
    assert 9 <= sent_since <= 11  # half of the local burst of 20


def test_request_without_time_left_costs_no_quota() -> None:
    world = World()
    for number in range(30):
        world.ask(f"r{number}", time_left_us=100 * MS)
    assert next(iter(world.gateway.quotas.customers.values())).quota.set_level == 20


def test_actual_units_are_settled() -> None:
    world = World(replace(SETTINGS, settles_units=True))
    world.ask("a")
    server, sent_us, _ = world.out.pop(("a", 0))
    latency_us = world.now - sent_us
    world.tell(AttemptEnded("a", True, 0, server, AttemptResult.OK, latency_us, actual_units=4.0))
    assert next(iter(world.gateway.quotas.customers.values())).quota.set_level == pytest.approx(16)


def test_set_does_not_exceed_the_leaders_level() -> None:
    """In a set of 40 gateways with local shares of a twentieth of a request, each request asks the leader."""
    plan = Plan(rate=0.5, burst=2.0)
    gateways = Set(40, replace(SETTINGS, plans=(plan,)))
    level = plan.burst
    last_us = gateways.worlds[0].now
    above_level = 0
    for number in range(300):
        gateways.ask(number * 7 % 40, f"r{number}")
        gateways.run(100 * MS)
    sends = attempt_times(gateways)
    for sent_us in sends:
        level = min(plan.burst, level + plan.rate * (sent_us - last_us) / S)
        last_us = sent_us
        above_level += level < 1
        level -= level >= 1
    assert 12 <= len(sends) <= 18  # a burst of 2, and 0.5 per second for 30 s
    assert above_level <= len(sends) / 4  # concurrent messages may exceed the level


def test_old_answers_leave_the_level_to_grant_requests() -> None:
    """Guards against thirty gateways that all admit by the same level and spend it thirty times."""
    world = World(replace(SETTINGS, plans=(Plan(rate=10.0, burst=20.0),), gateway_count=40))
    customer = world.gateway.quotas.customer(CustomerKey(1, 0, 0, 30))
    customer.quota.set_level = 3.0
    customer.demand.units = 20.0
    # The leader's answer applies to the request that it was given for.
    assert customer.chance(1.0) == 1.0
    # Without any answer, the allowance admits one request.
    assert customer.chance(1.0, known=False) == 1.0
    customer.take(1.0)
    assert customer.chance(1.0, known=False) == 0.0
    world.run(2 * S)  # the allowance refills at a thirtieth of the rate
    assert customer.refill(world.now).chance(1.0, known=False) == 0.0
    world.run(S)
    assert customer.refill(world.now).chance(1.0, known=False) == 1.0
    # At 25 requests per second to the leader, nothing of a rate of 10 is left: an older answer permits
    # spending only the level above the reserve.
    customer.last_answer_us = world.now
    customer.demand.units = 20.0
    customer.quota.set_level = 20.0
    spare = (20.0 - 20.0 / 4) / (30 / 25)
    assert customer.chance(1.0, known=False) == pytest.approx(spare * 0.5 / 20.0)
    customer.quota.set_level = 5.0
    assert customer.chance(1.0, known=False) == 0.0
    customer.quota.set_level = 0.9
    assert customer.chance(1.0) == 0.0
    # Local shares of a small set hold whole requests: the probability is quota divided by demand.
    of_three = world.gateway.quotas.customer(CustomerKey(1, 0, 0, 3))
    of_three.quota.set_level = 0.9
    of_three.demand.units = 20.0
    expected = pytest.approx((0.9 + 10.0 * 0.5) / 20.0)
    assert of_three.chance(1.0, known=False) == of_three.chance(1.0) == expected
