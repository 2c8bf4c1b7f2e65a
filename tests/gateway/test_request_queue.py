"""The request queue: its order, and requests whose objective or deadline is out of reach."""

from dataclasses import replace

from orchidhatch.gateway.actions import Reject, SendAttempt
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, SETTINGS, S, World, loaded_world, of


def test_queued_request_is_rejected_before_its_objective() -> None:
    world = World(fleet=())
    world.ask("a")
    started = world.now
    world.run(3 * S)
    answered = [at for at, action in world.log if action == Reject("a", 500 * MS)]
    assert len(answered) == 1
    assert answered[0] - started < 2 * S


def test_request_without_time_left_is_answered_at_once() -> None:
    world = World(fleet=())
    assert of(Reject, world.ask("a", time_left_us=0))


def test_queue_is_ordered_by_priority_weight_then_arrival() -> None:
    plans = (Plan(priority_factor=1.0), Plan(priority_factor=3.0))
    world = loaded_world(0.9, plans)
    for n in range(30):
        world.ask(f"fill{n}")
    world.ask("low1")
    world.ask("high1", plan_index=1, customer="d")
    world.ask("high2", plan_index=1, customer="d")
    order = [action.id for action in of(SendAttempt, world.run(S))]
    assert order[:2] == ["high1", "high2"]


def test_queued_requests_set_a_timer_every_tick() -> None:
    world = World(replace(SETTINGS, plans=(Plan(max_in_flight=1),)))
    world.ask("a")
    world.ask("b")
    assert len(world.gateway.queue) == 1
    started = world.now
    world.run(200 * MS)
    assert len({at for at, _ in world.log if at > started}) == 10
