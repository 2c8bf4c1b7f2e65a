"""The request queue: its order, and requests whose objective or deadline is out of reach."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import Reject, SendAttempt
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import Plan, RequestClass
from tests.helpers import MS, SETTINGS, S, World, loaded_world, of, with_class


def test_queued_request_is_rejected_before_its_objective() -> None:
    world = World(fleet=())
    world.ask("a")
    started = world.now
    world.run(3 * S)
    answered = [at for at, action in world.log if action == Reject("a", 500 * MS)]
    assert len(answered) == 1
    assert answered[0] - started < 2 * S


def test_expired_request_counts_by_what_it_waited_for() -> None:
    settings = with_class(RequestClass(latency_objective_us=200 * MS, deadline_us=400 * MS))
    without_server = World(settings, fleet=())
    without_server.ask("a", time_left_us=400 * MS)
    without_server.run(400 * MS)
    assert dict(without_server.gateway.counters.ended) == {"server": 1}
    over_limit = World(settings)
    over_limit.gateway.overload.admission_limit = 1.0
    over_limit.gateway.overload.period_limit = 0
    over_limit.ask("a", time_left_us=400 * MS)
    over_limit.run(400 * MS)
    assert dict(over_limit.gateway.counters.ended) == {"cap": 1}


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


def test_dequeue_stops_at_first_request_without_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Where one first attempt finds no server, the others would find none either."""
    world = World(fleet=())
    for name in ("a", "b", "c"):
        world.ask(name)
    balancer = world.gateway.balancer
    choose = balancer.choose
    looked_for: list[str] = []

    def recording_choose(request: InFlightRequest) -> ServerRecord | None:
        looked_for.append(request.id)
        return choose(request)

    monkeypatch.setattr(balancer, "choose", recording_choose)
    world.run(20 * MS)
    assert looked_for == ["a"]
