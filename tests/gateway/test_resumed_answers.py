"""A streamed answer that ends early, with the client's later requests behind it: who may give the rest."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import Action, Fail, SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import AttemptEnded, ClientGone, StreamStarted
from orchidhatch.gateway.retries import RESUMPTION_TIMEOUT_US
from orchidhatch.gateway.settings import RequestClass
from tests.helpers import KEYED, MS, SAFE, SETTINGS, UNSAFE, S, World, of, servers


def begin_stream(world: World, attempt: int = 0) -> None:
    server, sent_us, _ = world.out["a", attempt]
    world.tell(StreamStarted("a", attempt, server, world.now - sent_us))


def interrupt(world: World, attempt: int = 0, result: AttemptResult = AttemptResult.RESET) -> list[Action]:
    server, sent_us, _ = world.out.pop(("a", attempt))
    return world.tell(
        AttemptEnded("a", False, attempt, server, result, world.now - sent_us, is_interrupted=True)
    )


def streaming_world(rule: RequestClass = SAFE, count: int = 4) -> World:
    """Its request's deadline is over, and the only attempt gives a long value."""
    world = World(replace(SETTINGS, classes=(rule,)), servers(count))
    world.ask("a", time_left_us=S)
    world.run(100 * MS)
    begin_stream(world)
    world.run(2 * S)
    return world


def test_interrupted_answer_is_resumed_after_its_deadline() -> None:
    world = streaming_world()
    first_server = world.out["a", 0][0]
    (attempt,) = of(SendAttempt, interrupt(world))
    assert attempt.server != first_server
    assert attempt.timeout_us == RESUMPTION_TIMEOUT_US


def test_attempts_are_freed_after_a_resumed_answer() -> None:
    world = streaming_world()
    interrupt(world)
    begin_stream(world, attempt=1)
    assert world.gateway.overload.in_flight == 0
    world.answer("a", attempt=1)
    assert not world.gateway.requests.by_id
    assert world.gateway.overload.in_flight == 0
    assert all(not server.in_flight for server in world.gateway.balancer.servers.values())


@pytest.mark.parametrize("result", [AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.REJECTED])
def test_answer_is_resumed_up_to_the_most_attempts(result: AttemptResult) -> None:
    """Whether the attempts before gave a part of it or nothing."""
    world = streaming_world()
    assert of(SendAttempt, interrupt(world))
    assert of(SendAttempt, interrupt(world, 1, result))
    actions = interrupt(world, 2, result)
    assert of(Fail, actions) == [Fail("a")] and not of(SendAttempt, actions)
    assert not world.gateway.requests.by_id and world.gateway.overload.in_flight == 0


@pytest.mark.parametrize("rule", [KEYED, UNSAFE])
def test_answer_of_a_class_that_is_not_safe_is_not_resumed(rule: RequestClass) -> None:
    actions = interrupt(streaming_world(rule))
    assert of(Fail, actions) == [Fail("a")] and not of(SendAttempt, actions)


def test_answer_whose_attempt_was_not_sent_is_not_resumed() -> None:
    world = streaming_world()
    interrupt(world)
    actions = interrupt(world, 1, AttemptResult.NOT_SENT)
    assert of(Fail, actions) == [Fail("a")] and not of(SendAttempt, actions)


def test_answer_is_not_resumed_without_a_client() -> None:
    world = streaming_world()
    interrupt(world)
    world.tell(ClientGone("a"))
    assert not of(SendAttempt, world.answer("a", AttemptResult.RESET, attempt=1))
    assert not world.gateway.requests.by_id
