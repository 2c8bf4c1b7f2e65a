"""The ends of requests: rejected where a retry is harmless, else failed."""

from dataclasses import replace

from orchidhatch.gateway.actions import CancelAttempt, Fail, Reject
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import ClientGone, StreamStarted
from tests.helpers import SAFE, UNSAFE, S, World, of, with_class


def test_unsafe_request_fails_at_its_deadline() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    world.run(6 * S)
    actions = world.answer("a", AttemptResult.TIMEOUT)
    assert actions == [Fail("a")]
    assert world.tell(ClientGone("a")) == []


def test_unsafe_request_that_never_ran_is_rejected() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    for attempt in range(3):
        actions = world.answer("a", AttemptResult.REJECTED, attempt)
    assert of(Reject, actions)


def test_client_gone_cancels_attempts_unless_streaming() -> None:
    """A streamed answer goes to its client as fast as that reads: nothing is to be waited for."""
    world = World(with_class(replace(SAFE, streamed=True)))
    world.ask("open")
    world.ask("streaming")
    world.tell(StreamStarted("streaming", 0, world.out[("streaming", 0)][0], 5))
    assert of(CancelAttempt, world.tell(ClientGone("open"))) == [CancelAttempt("open", 0)]
    assert of(CancelAttempt, world.tell(ClientGone("streaming"))) == []
