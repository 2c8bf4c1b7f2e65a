"""The Retry-After delays of rejections."""

from dataclasses import replace

from orchidhatch.gateway.actions import Action, Reject
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.reasons import RejectionReason
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, World, of


def delays_us(actions: list[Action]) -> list[int]:
    return [action.retry_after_us for action in of(Reject, actions)]


def test_over_quota_delay_lasts_until_quota_refills() -> None:
    settings = replace(SETTINGS, plans=(Plan(rate=2.0, burst=2.0),), max_retry_after_us=2 * S)
    world = World(settings)
    delays = [delay for n in range(12) for delay in delays_us(world.ask(f"a{n}"))]
    assert all(delay == 2 * S for delay in delays[1:])  # others' demand exceeds the rate
    world.run(3 * S)  # that demand has aged
    assert not delays_us(world.ask("b"))
    request = world.gateway.requests.by_id["b"]
    world.gateway.overload.admission_limit = None  # engaged, as no attempt was answered
    request.customer.demand.units = 1.0
    request.customer.quota.set_level = 0.4
    delays = [world.gateway.retry_after.delay_us(request, RejectionReason.OVER_QUOTA) for _ in range(20)]
    assert min(delays) >= 300 * MS and max(delays) <= 600 * MS  # 0.6 of a unit at 2 a second


def test_delays_are_spread_and_never_too_short() -> None:
    """Clients that were rejected together retry apart, and none before there is capacity."""
    plan = Plan(rate=50.0, burst=50.0, ceiling_rate=20.0, ceiling_burst=20.0)
    settings = replace(SETTINGS, plans=(plan,), max_retry_after_us=2 * S)
    world = World(settings)
    gateway = world.gateway
    world.ask("a")
    request = gateway.requests.by_id["a"]
    request.customer.ceiling.units = 0.5
    request.servers = []
    delays = {gateway.retry_after.delay_us(request, RejectionReason.RATE_CEILING) for _ in range(20)}
    assert len(delays) > 10
    assert min(delays) >= 25 * MS and max(delays) <= 50 * MS  # 0.5 of a unit at 20 a second


def test_delay_is_longest_under_admission_limit() -> None:
    world = World(replace(SETTINGS, max_retry_after_us=2 * S))
    world.ask("a")
    gateway = world.gateway
    request = gateway.requests.by_id["a"]
    delay_us = gateway.retry_after.delay_us(request, AttemptResult.TIMEOUT)
    assert delay_us <= 2 * gateway.overload.period_length_us
    gateway.overload.admission_limit = 10.0
    assert gateway.retry_after.delay_us(request, AttemptResult.TIMEOUT) == 2 * S


def test_delay_is_zero_where_settings_allow_none() -> None:
    world = World(replace(SETTINGS, plans=(Plan(rate=2.0, burst=2.0),), max_retry_after_us=0))
    assert set(delay for n in range(12) for delay in delays_us(world.ask(f"a{n}"))) == {0}


def test_over_quota_delay_is_never_negative() -> None:
    """Guards against -BUSY without a time: a level above the request's units gives a wait below 0."""
    world = World(replace(SETTINGS, plans=(Plan(rate=2.0, burst=4.0),), max_retry_after_us=2 * S))
    world.ask("a")
    request = world.gateway.requests.by_id["a"]
    world.gateway.overload.admission_limit = None
    request.customer.demand.units = 1.0
    request.customer.quota.set_level = 3.0  # rejected by chance, or as its allowance was spent
    assert world.gateway.retry_after.delay_us(request, RejectionReason.OVER_QUOTA) >= 0


def test_over_quota_delay_lasts_until_silent_leader_is_asked_again() -> None:
    """Guards against no time where the level of the set holds the units, and the allowance is spent."""
    world = World(replace(SETTINGS, gateway_count=40, max_retry_after_us=2 * S))
    for n in range(8):
        world.ask(f"a{n}", set_size=40)
        world.run(200 * MS)
    delays = delays_us([action for _, action in world.log])
    assert len(delays) >= 4
    assert min(delays) >= MS


def test_over_quota_delay_lasts_until_allowance_refills() -> None:
    world = World(replace(SETTINGS, gateway_count=40, max_retry_after_us=20 * S))
    world.ask("a", set_size=40)
    request = world.gateway.requests.by_id["a"]
    customer = request.customer
    world.gateway.overload.admission_limit = None
    customer.back_off(world.now, 1.0)
    customer.quota.allowance = 0.9
    delays = [world.gateway.retry_after.delay_us(request, RejectionReason.OVER_QUOTA) for _ in range(20)]
    assert min(delays) >= 400 * MS and max(delays) <= 800 * MS  # 0.1 of a unit at 1/40 of 10 a second
