"""What follows the end of an attempt: a retry where the class allows one, and streamed answers."""

from dataclasses import replace

from orchidhatch.gateway.actions import Fail, Reject, SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import StreamStarted
from tests.helpers import KEYED, SAFE, UNSAFE, S, World, of, with_class


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
