"""The ends of requests: rejected where a retry is harmless, else failed."""

from orchidhatch.gateway.actions import Fail, Reject
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import ClientGone
from tests.helpers import UNSAFE, S, World, of, with_class


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
