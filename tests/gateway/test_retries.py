"""Retries by idempotency, time-outs, and when a rejected client may retry."""

from dataclasses import replace

from orchidhatch.gateway.actions import (
    Action,
    Fail,
    Reject,
    SendAttempt,
)
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import (
    ClientGone,
)
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from tests.helpers import MS, SAFE, SETTINGS, S, World, of

KEYED = RequestClass(
    2 * S, 6 * S, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE, dedup_window_us=3 * S
)
UNSAFE = RequestClass(2 * S, 6 * S, idempotency=Idempotency.UNSAFE)


def with_class(rule: RequestClass, **changes: object) -> Settings:
    return replace(SETTINGS, classes=(rule,), **changes)


def advice(actions: list[Action]) -> list[int]:
    return [action.retry_after_us for action in of(Reject, actions)]


def test_deadline_of_an_unsafe_request_fails_it() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    world.run(6 * S)
    actions = world.answer("a", AttemptResult.TIMEOUT)
    assert actions == [Fail("a")]
    assert world.tell(ClientGone("a")) == []


def test_unsafe_goes_again_only_if_it_never_ran() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    assert of(SendAttempt, world.answer("a", AttemptResult.REJECTED))
    assert of(SendAttempt, world.answer("a", AttemptResult.CONNECT_FAILED, attempt=1))
    assert world.answer("a", AttemptResult.RESET, attempt=2) == [Fail("a")]


def test_unsafe_proven_unrun_to_the_end_is_refused() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    for attempt in range(3):
        actions = world.answer("a", AttemptResult.REJECTED, attempt)
    assert of(Reject, actions)


def test_keyed_stays_in_its_zone_and_window() -> None:
    world = World(with_class(KEYED))
    world.ask("a")
    first = world.out[("a", 0)][0]
    again = of(SendAttempt, world.answer("a", AttemptResult.RESET))
    assert int(again[0].server[1:]) % 2 == int(first[1:]) % 2
    world.run(3 * S)
    assert world.answer("a", AttemptResult.RESET, attempt=1) == [Fail("a")]


def test_repeat_of_what_may_have_run_is_to_be_begun_within_its_window() -> None:
    """Counted from the first that may have run; neither the first itself nor a safe one has a bound."""
    keyed = RequestClass(2 * S, 6 * S, idempotency=Idempotency.KEYED, dedup_window_us=S)
    for rule, bound in ((keyed, 600 * MS), (SAFE, 0)):
        world = World(replace(SETTINGS, classes=(rule,)))
        [first] = of(SendAttempt, world.ask("a"))
        world.run(400 * MS)
        [again] = of(SendAttempt, world.answer("a", AttemptResult.RESET))
        assert (first.start_within_us, again.start_within_us) == (0, bound)


def test_attempt_that_lasts_far_longer_than_most_is_given_up_while_another_can_meet_the_aim() -> None:
    world = World()
    world.ask("a")  # by the first guess of the mean a long one may be large, and would be elsewhere
    assert world.out[("a", 0)][2] == 6 * S
    world.answer("a")
    for n in range(60):
        world.ask(f"r{n}")
        world.run(100 * MS)
        world.answer(f"r{n}")
    world.ask("b")
    assert 8 * 100 * MS < world.out[("b", 0)][2] < 2 * S - 200 * MS
    world.run(S)
    assert len(of(SendAttempt, world.answer("b", AttemptResult.TIMEOUT))) == 1
    world = World(with_class(UNSAFE))
    world.ask("a")
    assert world.out[("a", 0)][2] == 6 * S


def test_further_attempts_are_few() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(100):
        for action in of(SendAttempt, world.ask(f"r{n}")):
            more = of(SendAttempt, world.answer(action.id, AttemptResult.ERROR))
            while more:
                attempt = world.tries[action.id] - 1
                more = of(SendAttempt, world.answer(action.id, AttemptResult.ERROR, attempt))
        world.run(10 * MS)
    assert len(of(SendAttempt, [action for _, action in world.log])) <= 100 * 1.1 + 8


def test_beyond_the_quota_clients_come_again_when_it_has_room() -> None:
    settings = replace(SETTINGS, plans=(Plan(rate=2.0, burst=2.0),), max_retry_after_us=2 * S)
    world = World(settings)
    told = [time for n in range(12) for time in advice(world.ask(f"a{n}"))]
    assert all(time == 2 * S for time in told[1:])  # others ask more than the rate: no room is foreseen
    world.run(3 * S)  # they are gone
    assert not advice(world.ask("b"))
    job = world.gateway.requests["b"]
    world.gateway.overload.n_past = None  # nobody answers here, and the cap had engaged
    job.customer.demand.units, job.customer.quota.set_level = 1.0, 0.4
    waits = [world.gateway.retries.retry_after_us(job, "quota") for _ in range(20)]
    assert min(waits) >= 300 * MS and max(waits) <= 600 * MS  # 0.6 of a unit at 2 a second


def test_clients_refused_together_come_again_apart_and_none_before_there_is_room() -> None:
    plan = Plan(rate=50.0, burst=50.0, ceiling_rate=20.0, ceiling_burst=20.0)
    settings = replace(SETTINGS, plans=(plan,), max_retry_after_us=2 * S)
    world = World(settings)
    gateway = world.gateway
    world.ask("a")
    job = gateway.requests["a"]
    job.customer.ceiling.units, job.servers = 0.5, []
    waits = {gateway.retries.retry_after_us(job, "aim") for _ in range(20)}
    assert len(waits) > 10 and min(waits) >= 25 * MS and max(waits) <= 50 * MS  # 0.5 of a unit at 20 a second


def test_under_the_cap_no_room_is_foreseen() -> None:
    world = World(replace(SETTINGS, max_retry_after_us=2 * S))
    world.ask("a")
    job = world.gateway.requests["a"]
    assert world.gateway.retries.retry_after_us(job, "timeout") <= 2 * world.gateway.overload.period_length_us
    world.gateway.overload.n_past = 10.0
    assert world.gateway.retries.retry_after_us(job, "timeout") == 2 * S


def test_without_advice_in_the_settings_none_is_given() -> None:
    world = World(replace(SETTINGS, plans=(Plan(rate=2.0, burst=2.0),), max_retry_after_us=0))
    assert set(time for n in range(12) for time in advice(world.ask(f"a{n}"))) == {0}
