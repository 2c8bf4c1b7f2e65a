"""Attempt timeouts, the retry budget, and when a repeated attempt has to start."""

from dataclasses import replace

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.settings import Idempotency, Plan, RequestClass
from tests.helpers import MS, SAFE, SETTINGS, UNSAFE, S, World, of, with_class


def test_repeated_attempt_starts_within_dedup_window() -> None:
    """Counted from the first that may have run; neither the first itself nor a safe one has a bound."""
    keyed = RequestClass(2 * S, 6 * S, idempotency=Idempotency.KEYED, dedup_window_us=S)
    for rule, bound in ((keyed, 600 * MS), (SAFE, 0)):
        world = World(replace(SETTINGS, classes=(rule,)))
        [first] = of(SendAttempt, world.ask("a"))
        world.run(400 * MS)
        [retry] = of(SendAttempt, world.answer("a", AttemptResult.RESET))
        assert (first.start_within_us, retry.start_within_us) == (0, bound)


def test_slow_attempt_times_out_while_a_retry_can_succeed() -> None:
    """By the first guess of the mean latency a slow one may be a large one, which is as slow elsewhere."""
    world = World()
    world.ask("a")
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


def test_retries_keep_to_their_budget() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(100):
        for action in of(SendAttempt, world.ask(f"r{n}")):
            retries = of(SendAttempt, world.answer(action.id, AttemptResult.ERROR))
            while retries:
                attempt = world.tries[action.id] - 1
                retries = of(SendAttempt, world.answer(action.id, AttemptResult.ERROR, attempt))
        world.run(10 * MS)
    assert len(of(SendAttempt, [action for _, action in world.log])) <= 100 * 1.1 + 8
