"""What follows the end of an attempt: a retry where the class allows one, and streamed answers."""

from dataclasses import replace

from orchidhatch.gateway.actions import Fail, Reject, SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import StreamStarted
from orchidhatch.gateway.settings import Plan
from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, S, World, of, with_class


def test_unsafe_request_is_retried_only_if_it_never_ran() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    assert of(SendAttempt, world.answer("a", AttemptResult.REJECTED))
    assert of(SendAttempt, world.answer("a", AttemptResult.CONNECT_FAILED, attempt=1))
    assert world.answer("a", AttemptResult.RESET, attempt=2) == [Fail("a")]


def test_keyed_retry_stays_in_its_zone_and_window() -> None:
    world = World(with_class(KEYED))
    world.ask("a")
    first = world.out[("a", 0)][0]
    retry = of(SendAttempt, world.answer("a", AttemptResult.RESET))
    assert int(retry[0].server[1:]) % 2 == int(first[1:]) % 2
    world.run(3 * S)
    assert world.answer("a", AttemptResult.RESET, attempt=1) == [Fail("a")]


def test_failed_stream_is_not_rejected_once_begun() -> None:
    world = World(with_class(replace(SAFE, streamed=True)))
    world.ask("a")
    assert world.tell(StreamStarted("a", 0, world.out[("a", 0)][0], 5)) == []
    assert of(Reject, world.answer("a", AttemptResult.RESET)) == []


def test_unsent_first_attempt_refunds_quota_and_ceiling() -> None:
    plan = Plan(rate=10.0, burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,)))
    world.run(5 * S)
    world.ask("a", units=3.0)
    [customer] = world.gateway.quotas.customers.values()
    local_share = customer.quota.local_share
    ceiling = customer.ceiling.units
    world.answer("a", AttemptResult.NOT_SENT)
    assert customer.quota.local_share == local_share + 3.0
    assert customer.ceiling.units == ceiling + 3.0


def test_streamed_attempt_is_learnt_again_only_if_it_fails() -> None:
    world = World(with_class(replace(SAFE, streamed=True)))
    outbox = world.gateway.outbox
    for name in ("served", "reset"):
        world.ask(name)
        world.tell(StreamStarted(name, 0, world.out[(name, 0)][0], 5))
    assert len(outbox.observations) == 2
    world.answer("served")
    assert len(outbox.observations) == 2
    world.answer("reset", AttemptResult.RESET)
    assert len(outbox.observations) == 3
