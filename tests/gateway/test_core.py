"""Scripted events in, actions out: the cap, the quota, the five rules and health."""

import tomllib
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from orchidhatch.gateway.actions import (
    Action,
    Fail,
    LogLine,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    Subscribe,
)
from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import (
    AttemptEnded,
    ClientGone,
    EndpointList,
    PeerMessage,
    PolicyChange,
    Request,
    SetEjection,
    StreamStarted,
    TimerExpired,
)
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage, SlotGrant
from orchidhatch.gateway.load_balancing import CHOICES, LoadBalancer
from orchidhatch.gateway.overload import TARGETS, next_n
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from orchidhatch.gateway.snapshots import CustomerKey
from tests.helpers import MS, PLAN, SAFE, SETTINGS, S, Set, World, of, servers

UTIL = TARGETS["util"]
KEYED = RequestClass(
    2 * S, 6 * S, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE, dedup_window_us=3 * S
)
UNSAFE = RequestClass(2 * S, 6 * S, idempotency=Idempotency.UNSAFE)


def with_class(rule: RequestClass, **changes: object) -> Settings:
    return replace(SETTINGS, classes=(rule,), **changes)


# --- the cap ---


@pytest.mark.parametrize(
    ("n_past", "na_past", "occup", "overhead", "expected"),
    [
        (100, 100, 0.90, 0.10, 102),  # (0.92 - 0.1) / (0.9 - 0.1) * 100 = 102.5, rounded down
        (100, 80, 0.80, 0.10, 93),  # (0.82 / 0.7) * 80 = 93.7: accepted calls count, not N
        (100, 200, 0.80, 0.10, 120),  # the largest step up
        (100, 20, 0.90, 0.10, 90),  # the largest step down
        (100, 100, 0.98, 0.10, 83),  # 0.82 / 0.88 * 100 = 93.18, times 0.9 at occ_too_high = 83.86
        (100, 20, 0.98, 0.10, 81),  # both steps down
        (3, 4, 0.80, 0.10, 4),  # 4.69 is 1 more than 3 and the step under 1: up by one
        (100, 70, 0.50, 0.10, 100),  # low occupancy and few calls: held
        (100, 90, 0.50, 0.60, 120),  # at or below overhead: the largest step
        (1, 0, 0.99, 0.10, 1),  # never under one
    ],
)
def test_next_n_by_hand(n_past: int, na_past: float, occup: float, overhead: float, expected: int) -> None:
    assert next_n(n_past, na_past, occup, overhead, UTIL) == expected


def loaded_world(util: float, plans: tuple[Plan, ...] = (Plan(),)) -> World:
    patient = (RequestClass(latency_objective_us=6 * S, deadline_us=6 * S),)
    world = World(replace(SETTINGS, plans=plans, gateway_count=2, classes=patient))
    for n in range(20):
        world.ask(f"w{n}")
        world.run(50 * MS)
        world.answer(f"w{n}", report=LoadReport(util=util))
    world.run(20 * MS)
    return world


def test_cap_engages_spreads_and_is_lifted() -> None:
    world = loaded_world(0.9)
    assert world.gateway.overload.n_past == 20.5  # (0.92 - 0.1) / (0.9 - 0.1) times the 20 that were sent
    for n in range(150):
        world.ask(f"r{n}", customer=f"c{n}")
    world.run(world.gateway.overload.period_start_us + S - world.now)
    start, allowed = world.now, world.gateway.overload.limit
    for _ in range(99):
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
        world.run(10 * MS)
    sends = [at for at, action in world.log if isinstance(action, SendAttempt) and at >= start]
    assert len(sends) == allowed
    assert sends[-1] - sends[0] > 0.8 * S
    idle = loaded_world(0.3)
    assert idle.gateway.overload.n_past is None
    assert idle.gateway.overload.overhead == pytest.approx(0.3)


def test_period_follows_the_rate() -> None:
    """With two requests a second, N of one or two a second would halve or double by rounding alone."""
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=20), servers(10))
    for n in range(40):
        world.ask(f"r{n}")
        world.run(500 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt, report=LoadReport(util=0.9))
    assert world.gateway.overload.period_length_us == 2 * S
    assert 4 <= world.gateway.overload.n_past <= 12
    assert next_n(10, 1, 0.99, 0.1, UTIL, 4.0) == 4  # steps by the second: 10 * 0.9 ** 8
    assert next_n(10, 10, 0.2, 0.3, UTIL, 4.0) == 20


def test_cap_in_full_use_is_not_lifted() -> None:
    world = loaded_world(0.9)
    for n in range(60):
        world.ask(f"r{n}")
    for _ in range(110):
        world.run(10 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt, report=LoadReport(util=0.3))
    assert world.gateway.overload.n_past == 24.5  # the largest step from 20.5, to a half: of two gateways


def test_held_leave_by_worth_then_arrival() -> None:
    plans = (Plan(priority_factor=1.0), Plan(priority_factor=3.0))
    world = loaded_world(0.9, plans)
    for n in range(30):
        world.ask(f"fill{n}")
    world.ask("low1")
    world.ask("high1", plan_index=1, customer="d")
    world.ask("high2", plan_index=1, customer="d")
    order = [action.id for action in of(SendAttempt, world.run(S))]
    assert order[:2] == ["high1", "high2"]


def test_held_past_its_aim_is_refused_in_time() -> None:
    world = World(fleet=())
    world.ask("a")
    started = world.now
    world.run(3 * S)
    answered = [at for at, action in world.log if action == Reject("a", 500 * MS)]
    assert len(answered) == 1
    assert answered[0] - started < 2 * S


def test_attempts_out_at_once_are_bounded() -> None:
    """Servers that answer nobody must not be given more and more, whatever the cap says."""
    worlds = [
        World(replace(SETTINGS, plans=(Plan(),), gateway_count=5, gateway_index=me), servers(10))
        for me in range(5)
    ]
    for world in worlds:
        for n in range(200):
            world.ask(f"r{n}")
        assert world.gateway.overload.n_past is None
    assert sum(len(world.out) for world in worlds) == 80  # 8 for each of 10
    worlds[0].answer("r0")
    worlds[0].run(20 * MS)
    assert len(worlds[0].out) == 16


def test_overdue_attempts_raise_the_latency_signal() -> None:
    """A jam answers nobody; waiting for answers would leave the cap lifted."""
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(20):
        world.ask(f"r{n}")
    world.run(1100 * MS)
    assert world.gateway.overload.n_past is not None


# --- quota ---


@pytest.mark.parametrize("count", [1, 2, 20])
def test_burst_and_rate_are_the_customers_whole(count: int) -> None:
    """A part far under one unit must not keep a customer from its quota, nor many parts from holding it."""
    gates = Set(count)
    for n in range(60):
        gates.ask(n * 7 % count, f"r{n}")
        gates.run(10 * MS)
    gates.run(S)
    assert 19 <= gates.sent() <= 35  # a burst of 20, what came back in 0.6 s and while demand aged
    before = gates.sent()
    for n in range(600):
        gates.ask(n * 7 % count, f"more{n}")
        gates.run(10 * MS)
    gates.run(S)
    assert gates.sent() - before == pytest.approx(60, abs=16)  # 10 a second for 6 s, of 100 asked


def test_granted_asks_are_counted_once() -> None:
    """The home counts what it grants; what members tell it later must not be the same units again."""
    gates, homes = Set(20, replace(SETTINGS, plans=(replace(PLAN, burst=10.0),))), []
    for n in range(300):
        gates.ask(n * 7 % 20, f"r{n}")
        gates.run(110 * MS)
        homes = [
            customer
            for world in gates.worlds
            for customer in world.gateway.quotas.customers.values()
            if customer.is_leader
        ]
    level = homes[0].level
    assert level > 6  # of 10, at nine tenths of the rate


def test_what_is_granted_but_not_sent_comes_back_to_the_quota() -> None:
    gates = Set(20)
    for world in gates.worlds:
        world.tell(EndpointList(EndpointListKind.FULL, 2, ()))
    for _ in range(3):
        for n in range(20):
            gates.ask(n, f"r{gates.worlds[n].now}")
        gates.run(4 * S)
    levels = [
        customer.level
        for world in gates.worlds
        for customer in world.gateway.quotas.customers.values()
        if customer.leader == world.gateway.settings.gateway_index
    ]
    assert levels == [pytest.approx(20, abs=0.5)]


def test_quota_is_used_with_words_lost_or_the_home_dead() -> None:
    """Requests inside the quota leave without a word from the home, and in time."""
    for loss, down in ((0.3, -1), (0.0, 3)):
        gates = Set(20, loss=loss)
        gates.down = down
        for n in range(200):
            if n * 7 % 20 != down:
                gates.ask(n * 7 % 20, f"r{n}")
            gates.run(200 * MS)
        assert gates.sent() >= 180


@pytest.mark.parametrize("count", [2, 3, 100])
def test_gateways_that_may_tell_each_other_nothing_keep_to_their_parts(count: int) -> None:
    """Each would else take itself for the home, and let in the whole quota."""
    every_us = S // 4  # 160 units a second or more, where the plan has 10
    world = Set(count, replace(SETTINGS, may_gossip=False))
    for turn in range(40):
        for number in range(max(40, count)):
            world.ask(number % count, f"r{turn}-{number}")
        world.run(every_us)
    seconds = 40 * every_us / S
    sent, quota = world.sent(), PLAN.rate * seconds + PLAN.burst
    assert not any(of(SendGossip, [action for _, action in one.log]) for one in world.worlds)
    assert sent <= quota + count  # a part holds a whole request
    assert sent >= 0.8 * quota


def test_request_of_several_units_is_let_in_while_its_home_is_away_and_leaves_a_debt() -> None:
    """What a gateway may spend unheard is its part, of one request at least: however large that is."""
    world = World(replace(SETTINGS, gateway_count=40, plans=(replace(PLAN, rate=20.0),)))
    name = next(str(n) for n in range(99) if zlib.crc32(str(n).encode()) % 40)  # at home elsewhere
    for number in range(40):  # its part is half a unit a second
        world.ask(f"r{number}", customer=name, set_size=40, units=5.0)
        world.run(S)
        for request, attempt in list(world.out):
            world.answer(request, attempt=attempt)
    sent = [action.id for _, action in world.log if isinstance(action, SendAttempt)]
    assert sent[0] == "r0" and 4 <= len(sent) <= 5


def test_request_larger_than_its_gateways_part_is_let_in_and_leaves_a_debt() -> None:
    world = World(replace(SETTINGS, may_gossip=False, gateway_count=40))
    whole = {"set_size": 40, "units": 6.0}  # of a rate of a quarter here
    assert of(SendAttempt, world.ask("first", **whole))
    world.answer("first")
    for number in range(22):
        assert not of(SendAttempt, world.ask(f"next{number}", **whole))
        world.run(S)
    world.run(3 * S)
    assert of(SendAttempt, world.ask("last", **whole))


def test_part_of_who_hears_nothing_is_one_of_the_plan_that_holds() -> None:
    """Also after a change of plans, with the part of the store that was left, and no more than one place."""
    plan = replace(PLAN, rate=4.0, burst=40.0, max_in_flight=2)
    world = World(replace(SETTINGS, may_gossip=False, gateway_count=4, plans=(plan,)))
    for number in range(5):
        world.ask(f"r{number}", set_size=4)
        world.run(20 * MS)
        assert len(world.out) == 1  # two places for four gateways
        world.answer(f"r{number}")
    world.tell(PolicyChange((SAFE,), (replace(plan, burst=80.0, max_in_flight=8),), frozenset(), 1, (0,)))
    sent = sum(bool(of(SendAttempt, world.ask(f"s{number}", set_size=4))) for number in range(20))
    assert sent == 2  # places of eight
    for _ in range(12):
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
        world.run(20 * MS)
    taken = sum(isinstance(action, SendAttempt) for _, action in world.log) - 5
    assert 9 <= taken <= 11  # the half of a burst of 20 here


def test_messages_stay_under_half_the_intake() -> None:
    """However much one customer asks, its home can take in what is told of it."""
    for count in (3, 40):
        gates, taken = Set(count), 0
        for n in range(2000):
            gates.ask(n * 7 % count, f"r{n}")
            if n % 4 == 3:
                gates.run(10 * MS)
                most = max(sum(told.peer == me for _, told in gates.posted) for me in range(count))
                taken += most
        assert taken / 5 <= 60


def test_ask_need_not_wait_for_the_space_between_messages() -> None:
    """Else it comes too late, is asked again, and its home counts it twice."""
    world = World(replace(SETTINGS, gateway_count=4, gateway_index=0))
    names = [f"c{n}" for n in range(200)]
    sent = []
    for name in names:
        actions = world.ask(f"r{name}", customer=name, set_size=4, units=20.0)
        sent.append(len(of(SendGossip, actions)))
        if sum(sent) == 9:
            break
    assert max(sent) == 1 and sum(sent) == 9  # three running to each of three peers
    assert not any(
        of(SendGossip, world.ask(f"s{name}", customer=name, set_size=4, units=20.0)) for name in names
    )


def test_word_that_only_tells_what_is_out_asks_for_nothing() -> None:
    world = World(replace(SETTINGS, gateway_count=2, plans=(replace(PLAN, max_in_flight=1),)))
    key = (0, 0, 0, 2)  # at home here
    world.tell(PeerMessage(1, (GossipMessage(*key, level=0.0, in_flight=1),)))
    (customer,) = world.gateway.quotas.customers.values()
    assert customer.peers_attempts(world.now) == 1 and customer.level == 0
    assert not of(SendGossip, [action for _, action in world.log])


def test_words_from_outside_are_checked() -> None:
    world = World(replace(SETTINGS, gateway_count=2))
    huge = GossipMessage(1, 0, 0, 2, demand=1e9, requested=1e9, level=-1e9)
    for word in (GossipMessage(1, 9, 0, 2), GossipMessage(1, 0, 5, 1), GossipMessage(1, 0, 0, 0), huge):
        world.tell(PeerMessage(1, (word,)))
    assert len(world.gateway.quotas.customers) == 1


def test_idle_gateway_wakes_up_once_a_period() -> None:
    world = World()
    world.run(10 * S)
    assert len(of(SetTimer, [action for _, action in world.log])) <= 12


def test_customers_seen_long_ago_are_forgotten() -> None:
    world = World()
    for n in range(50):
        world.ask(f"r{n}", customer=f"c{n}")
        world.answer(f"r{n}")
    world.run(90 * S)
    assert not world.gateway.quotas.customers


def test_no_time_left_costs_no_quota() -> None:
    world = World()
    for n in range(30):
        world.ask(f"r{n}", time_left_us=100 * MS)
    assert next(iter(world.gateway.quotas.customers.values())).level == 20


def test_what_meets_the_open_cap_waits_for_an_attempt_to_end() -> None:
    world = World(replace(SETTINGS, plans=(Plan(max_in_flight=2),)))
    assert of(SendAttempt, world.ask("a")) and of(SendAttempt, world.ask("b"))
    assert not of(SendAttempt, world.ask("c")) and not of(Reject, world.run(100 * MS))
    world.answer("a")
    assert [action.id for action in of(SendAttempt, world.run(50 * MS))] == ["c"]
    assert not of(SendAttempt, world.ask("d"))


def test_true_units_are_settled() -> None:
    world = World(replace(SETTINGS, settles_units=True))
    world.ask("a")
    server, sent, _ = world.out.pop(("a", 0))
    world.tell(AttemptEnded("a", True, 0, server, AttemptResult.OK, world.now - sent, actual_units=4.0))
    assert next(iter(world.gateway.quotas.customers.values())).level == pytest.approx(16)


# --- the five rules ---


def test_ceiling_starts_empty_and_is_split() -> None:
    plan = Plan(ceiling_rate=10.0, ceiling_burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,), gateway_count=2))
    for n in range(40):
        world.ask(f"r{n}", set_size=2)
    world.run(S)
    assert len(of(SendAttempt, [action for _, action in world.log])) in (
        4,
        5,
    )  # half of 10 a second, from none


def test_no_time_left_is_answered_at_once() -> None:
    world = World(fleet=())
    assert of(Reject, world.ask("a", time_left_us=0))


@pytest.mark.parametrize("left", [5, 30, 60, 90, 130, 200, 260])
def test_who_waits_for_word_is_answered_in_time(left: int) -> None:
    """Clients that come with little time left, and a home that never answers."""
    gates = Set(
        20, with_class(replace(UNSAFE, latency_objective_us=2 * S), plans=(replace(PLAN, burst=2.0),))
    )
    for me, world in enumerate(gates.worlds):
        gates.down = me
        world.tell(EndpointList(EndpointListKind.FULL, 2, ()))
        world.gateway.balancer.mean_us = [20 * MS]
        world.ask("a", time_left_us=left * MS, set_size=20)
        start = world.now
        world.run(S)
        ends = [at - start for at, action in world.log if isinstance(action, Reject | Fail)]
        assert len(ends) == 1 and ends[0] <= left * MS


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


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_nothing_new_to_a_draining_server(state: EndpointState) -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, servers(1, state=state)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.server for _, action in world.log if isinstance(action, SendAttempt)} == {"s1"}


def test_server_missing_from_a_full_list_is_gone() -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointList(EndpointListKind.FULL, 2, servers(1)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.server for _, action in world.log if isinstance(action, SendAttempt)} == {"s0"}


def test_cold_server_is_sent_little() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(120):
        if n == 60:
            cold = replace(servers(4)[3], started_us=world.now)
            world.tell(EndpointList(EndpointListKind.CHANGES, 2, (cold,)))
            world.log.clear()
        world.ask(f"r{n}")
        world.run((10 + n * 37 % 50) * MS)
        world.answer(f"r{n}")
    counts = [sum(a.server == f"s{n}" for _, a in world.log if isinstance(a, SendAttempt)) for n in range(4)]
    assert counts[3] <= sum(counts) / 4 / 2  # warm ones share the rest by how quickly they chanced to answer


def test_half_warm_servers_are_used_while_warm_ones_are_busy() -> None:
    """Half the fleet is at 0.6 of its warmth; what it may take must not pile up on the other half."""
    fleet = servers(4)
    world = World(replace(SETTINGS, plans=(Plan(),), overload_multiple=3.0))
    started = tuple(replace(fleet[n], started_us=world.now - 5 * S) for n in (2, 3))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, started))
    world.gateway.balancer.usual = 10.0  # as it was before the restart
    for n in range(80):
        world.ask(f"r{n}")
        world.run(25 * MS)
        for (name, attempt), (_, sent, _) in list(world.out.items()):
            if world.now - sent >= 200 * MS:
                world.answer(name, attempt=attempt)
    sent = [action.server for _, action in world.log if isinstance(action, SendAttempt)]
    assert len(sent) == 80
    assert 0.3 <= sum(name in ("s2", "s3") for name in sent) / 80 <= 0.5


def test_what_a_cold_server_may_take_does_not_shrink_with_what_is_sent() -> None:
    """In a release most servers are cold; refusals lower the rate, and that must not lower it further."""
    world = World(replace(SETTINGS, plans=(Plan(),)))
    cold = world.gateway.balancer.servers["s0"]
    for n in range(200):
        world.ask(f"r{n}")
        world.run(20 * MS)
        world.answer(f"r{n}")
    before = world.gateway.balancer.cold_rate(cold)
    world.run(10 * S)
    assert world.gateway.overload.rate < 5
    assert world.gateway.balancer.cold_rate(cold) > before / 1.5


def test_cold_server_that_answers_quickly_is_sent_more_up_to_a_bound() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, (replace(servers(1)[0], started_us=world.now),)))
    cold = world.gateway.balancer.servers["s0"]

    def answered(after_us: int, result: AttemptResult = AttemptResult.OK) -> float:
        name = f"r{len(world.tries)}"
        world.ask(name)
        world.now += after_us
        server = world.gateway.balancer.servers[world.out[(name, 0)][0]]
        server.pace = cold.pace
        world.answer(name, result)
        cold.pace = server.pace
        return cold.pace

    paces = [answered(MS) for _ in range(20)]
    assert paces == sorted(paces) and paces[-1] == 2.0  # under its bound even where servers are well used
    assert answered(900 * MS) < 2.0
    assert answered(MS, AttemptResult.RESET) == 1.0


def test_requests_are_held_rather_than_piled_on_the_one_warm_server() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=2), servers(8))
    world.tell(
        EndpointList(
            EndpointListKind.CHANGES,
            2,
            tuple(replace(server, started_us=world.now) for server in servers(8)[1:]),
        )
    )
    for n in range(60):
        world.ask(f"r{n}")
    world.run(40 * MS)
    sent = [action.server for _, action in world.log if isinstance(action, SendAttempt)]
    assert sent.count("s0") == 8  # as many as all gateways may have out for each server, twice over
    assert world.gateway.queue


def test_cold_server_is_not_flooded_by_a_hundred_gateways() -> None:
    """Each of them sees a server that has just started as the emptiest."""
    fleet = servers(20)
    gates = Set(100, replace(SETTINGS, plans=(Plan(),), cold_capacity=0.2), fleet)
    cold = replace(fleet[0], started_us=gates.worlds[0].now)
    for world in gates.worlds:
        world.gateway.balancer.mean_us = [10 * MS]
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, (cold,)))
    for n in range(1000):
        gates.ask(n * 7 % 100, f"r{n}", customer=f"c{n}")
        if n % 5 == 0:
            gates.run(10 * MS)
    names = [
        action.server for world in gates.worlds for _, action in world.log if isinstance(action, SendAttempt)
    ]
    assert len(names) == 1000
    assert names.count("s0") <= 0.6 * 1000 / 20  # warmth is 0.2 to 0.36 in these 2 s


def test_cold_servers_take_their_part_though_every_gateway_has_empty_warm_ones() -> None:
    """Forty gateways with a request every 0.4 s each: to each of them nearly all servers look empty."""
    fleet = servers(20)
    gates = Set(40, replace(SETTINGS, plans=(Plan(),), cold_capacity=0.2, overload_multiple=3.0), fleet)
    for n in range(600):  # so that it is known what a warm one is sent
        gates.ask(n * 7 % 40, f"w{n}", customer=f"c{n}")
        gates.run(10 * MS)
    cold = tuple(replace(server, started_us=gates.worlds[0].now) for server in fleet[:8])
    for world in gates.worlds:
        world.tell(EndpointList(EndpointListKind.CHANGES, 2, cold))
        world.log.clear()
    for n in range(400):
        gates.ask(n * 7 % 40, f"r{n}", customer=f"c{n}")
        gates.run(10 * MS)
    names = [
        action.server for world in gates.worlds for _, action in world.log if isinstance(action, SendAttempt)
    ]
    sent = Counter(names)
    mean_warmth, even = 0.2 + 0.8 * 2 / 10, 400 / 20
    assert 0.5 * mean_warmth * even <= sum(sent[server.name] for server in cold) / 8 <= 3 * mean_warmth * even
    assert max(sent[server.name] for server in cold) < 2 * even


def test_what_one_gateway_met_keeps_the_others_off_a_bad_server() -> None:
    """Each alone would have to wait out a time-out of its own on it."""
    gates = Set(40, replace(SETTINGS, plans=(PLAN,)), servers(10))
    other = gates.worlds[1]
    index = other.gateway.balancer.servers["s0"].checksum
    for n in range(12):
        seen = tuple(AttemptObservation(*of_what, False, 0.9) for of_what in ((index, 0), (index, 7), (1, 0)))
        other.tell(PeerMessage(2, (GossipMessage(n, 0, 1, 5, level=20.0),), seen))
    for n in range(40):
        other.ask(f"r{n}", customer=f"c{n}", set_first=1, set_size=5)
        other.run(5 * MS)
        other.answer(f"r{n}")
    assert "s0" not in {action.server for _, action in other.log if isinstance(action, SendAttempt)}


def test_a_peer_is_told_once_of_what_was_seen_and_not_of_what_is_old() -> None:
    world = World(replace(SETTINGS, gateway_count=2))
    for n in range(3):
        world.ask(f"r{n}")
        world.answer(f"r{n}", AttemptResult.ERROR if n else AttemptResult.OK)
    told = [world.gateway.outbox.unsent_observations(1), world.gateway.outbox.unsent_observations(1)]
    assert [seen.succeeded for seen in told[0]] == [True, False, False] and told[1] == ()
    assert [seen.relative_latency for seen in told[0]][1:] == [
        0.0,
        0.0,
    ]  # it says nothing of how busy servers are
    assert len(world.gateway.outbox.unsent_observations(0)) == 3
    world.ask("late")
    world.answer("late")
    world.gateway.context.now_us += 3 * S
    assert world.gateway.outbox.unsent_observations(1) == ()
    for n in range(100):
        world.ask(f"s{n}", customer=f"c{n}")
        world.answer(f"s{n}")
    assert len(world.gateway.outbox.unsent_observations(1)) == 16


def test_a_small_part_of_n_follows_the_servers_and_not_its_rounding() -> None:
    """Forty gateways with N near two each: a fifth more a period is lost if each rounds its part down."""
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=40))
    gateway = world.gateway
    gateway.overload.n_past, gateway.overload.limit = 2.0, 2
    gateway.overload.signals["latency"], gateway.overload.admitted = (
        [0.2] * 9,
        2,
    )  # light, but all of N is used
    gateway.end_period()
    assert gateway.overload.n_past * S / gateway.overload.period_length_us == pytest.approx(2.4, abs=0.03)
    allowed = 0
    gateway.overload.n_past, gateway.overload.signals = 0.25, {"util": [], "latency": []}
    for _ in range(40):
        gateway.end_period()
        gateway.overload.n_past = 0.25
        allowed += gateway.overload.limit
    assert 9 <= allowed <= 11


def test_occupancy_is_that_of_all_gateways() -> None:
    """A few slow answers here are chance where the others' are quick."""
    world = World(replace(SETTINGS, gateway_count=40))
    server = world.gateway.balancer.servers["s0"].checksum
    seen = tuple(AttemptObservation(server, 0, True, 0.1) for _ in range(12))
    for n in range(5):
        world.tell(PeerMessage(n + 1, (GossipMessage(n, 0, 0, 5),), seen))
    world.gateway.overload.signals["latency"] += [0.9, 0.9]
    world.gateway.end_period()
    assert world.gateway.overload.n_past is None
    assert world.gateway.overload.occupancy == pytest.approx((60 * 0.1 + 2 * 0.9) / 62)


def test_a_cold_server_counts_by_its_warmth_in_what_may_be_out() -> None:
    """In a release most are cold: all that they cannot take would jam the few warm ones."""
    world = World(replace(SETTINGS, plans=(Plan(),), gateway_count=4), servers(20))
    world.tell(
        EndpointList(
            EndpointListKind.CHANGES,
            2,
            tuple(replace(server, started_us=world.now) for server in servers(20)[4:]),
        )
    )
    for n in range(80):
        world.ask(f"r{n}")
    assert len(world.out) <= 8 * (4 + 16 * 0.2) / 4 + 1  # eight for each warm server by all four gateways


def test_nothing_goes_beyond_a_level_that_the_home_knows() -> None:
    """Forty gateways with a twentieth of a request each: the home is asked for every one."""
    plan = Plan(rate=0.5, burst=2.0)
    gates = Set(40, replace(SETTINGS, plans=(plan,)))
    store, last, beyond = plan.burst, gates.worlds[0].now, 0
    for n in range(300):
        gates.ask(n * 7 % 40, f"r{n}")
        gates.run(100 * MS)
    sends = sorted(
        at for world in gates.worlds for at, action in world.log if isinstance(action, SendAttempt)
    )
    for at in sends:
        store, last = min(plan.burst, store + plan.rate * (at - last) / S), at
        beyond += store < 1
        store -= store >= 1
    assert 12 <= len(sends) <= 18  # 2 and 0.5 a second for 30 s
    assert beyond <= len(sends) / 4  # words cross


def test_thin_traffic_stays_where_connections_are_kept_and_leaves_at_once_when_these_are_gone() -> None:
    """Two hundred doors that go everywhere cost each backend a handshake for every second attempt."""
    fleet = servers(100)
    world = World(replace(SETTINGS, gateway_count=200, plans=(Plan(),)), fleet)

    def used(name: str, count: int) -> list[str]:
        sent = []
        for n in range(count):
            sent += [action.server for action in of(SendAttempt, world.ask(f"{name}{n}", customer=f"c{n}"))]
            world.run(250 * MS)
            world.answer(f"{name}{n}")
        return sent

    assert len(used("a", 100)) == 100 and len(set(used("b", 100))) <= 2 * CHOICES
    known = set(used("c", 100))
    gone = tuple(replace(server, state=EndpointState.DRAINING) for server in fleet if server.name in known)
    world.tell(EndpointList(EndpointListKind.CHANGES, 2, gone))
    after = used("d", 20)
    assert len(after) == 20 and not known & set(after)


def test_who_goes_by_an_older_word_leaves_the_level_to_those_that_ask() -> None:
    """Thirty gateways that all let in on the same level would spend it thirty times over."""
    world = World(replace(SETTINGS, plans=(Plan(rate=10.0, burst=20.0),), gateway_count=40))
    customer = world.gateway.quotas.customer(CustomerKey(1, 0, 0, 30))
    customer.level, customer.demand = 3.0, 20.0
    assert customer.chance(1.0) == 1.0  # the home's word holds for the one that it was given to
    assert customer.chance(1.0, known=False) == 1.0  # it has heard none: one request is its own in any case
    customer.take(1.0)
    assert customer.chance(1.0, known=False) == 0.0
    world.run(2 * S)  # a thirtieth of the rate
    assert customer.refill(world.now).chance(1.0, known=False) == 0.0
    world.run(S)
    assert customer.refill(world.now).chance(1.0, known=False) == 1.0
    # Asks leave nothing of a rate of ten at 25 a second, so that an older word is of use above the kept part.
    customer.last_answer_us, customer.demand, customer.level = world.now, 20.0, 20.0
    spare = (20.0 - 20.0 / 4) / (30 / 25)
    assert customer.chance(1.0, known=False) == pytest.approx(spare * 0.5 / 20.0)
    customer.level = 5.0
    assert customer.chance(1.0, known=False) == 0.0
    customer.level = 0.9
    assert customer.chance(1.0) == 0.0
    few = world.gateway.quotas.customer(
        CustomerKey(1, 0, 0, 3)
    )  # its parts hold requests: the rule is as it was
    few.level, few.demand = 0.9, 20.0
    assert few.chance(1.0, known=False) == few.chance(1.0) == pytest.approx((0.9 + 10.0 * 0.5) / 20.0)


def test_home_that_does_not_answer_is_left_alone_for_longer_and_longer() -> None:
    """It may hear more than it can take in: a hundred doors that each ask twice would keep it so."""
    plan = Plan(rate=10.0, burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,), gateway_count=40, gateway_index=5))
    key, asked = CustomerKey(zlib.crc32(b"c"), 0, 0, 40), []
    for n in range(400):
        told = of(SendGossip, world.ask(f"r{n}", set_size=40) + world.run(100 * MS))
        asked += [world.now for tell in told for word in tell.messages if word.requested > 0]
    assert 6 <= len(asked) <= 30  # of 40 s; with two asks a request there were 800
    sent = of(SendAttempt, [action for _, action in world.log])
    assert len(sent) <= 1 + 40 * 10 / 40 + 1  # its own part
    customer = world.gateway.quotas.customer(key)
    world.tell(PeerMessage(customer.leader, (GossipMessage(*key, is_answer=True, level=20.0, demand=1.0),)))
    assert of(SendGossip, world.ask("heard", set_size=40) + world.run(100 * MS))


def test_store_that_cannot_have_refilled_is_not_asked_for() -> None:
    """Each ask costs its home a message of an intake that all customers share."""
    world = World(replace(SETTINGS, plans=(Plan(rate=0.5, burst=2.0),), gateway_count=40, gateway_index=5))
    customer = world.gateway.quotas.customer(CustomerKey(zlib.crc32(b"c"), 0, 0, 40))
    assert customer.leader != 5
    customer.last_answer_us, customer.level = world.now, 0.2
    world.now += S  # 0.7 of a request
    assert of(Reject, world.ask("early", set_size=40)) and not of(SendGossip, world.run(MS))
    world.now += S  # 1.2
    assert of(SendGossip, world.ask("later", set_size=40))


def test_ceiling_holds_over_a_large_set_with_restarts() -> None:
    """All parts together, half of the set restarted, all traffic on few gateways for a while."""
    plan = Plan(rate=10.0, burst=30.0, ceiling_rate=18.0, ceiling_burst=40.0, ceiling_slack=4.0)
    gates = Set(20, replace(SETTINGS, plans=(plan,)))
    start = gates.worlds[0].now
    for n in range(1200):
        gates.ask(n % 3 if 300 < n < 600 else n * 7 % 20, f"r{n}")
        if n % 8 == 0:
            gates.run(10 * MS)
        if n in (400, 800):
            for me in range(0, 20, 2):
                gates.restart(me, seed=n)
    times = sorted(
        at for world in gates.worlds for at, action in world.log if isinstance(action, SendAttempt)
    )
    store, last = 40.0, start
    for at in times:
        store, last = min(40.0, store + 18.0 * (at - last) / S) - 1, at
        assert store >= -4.0
    assert times


CAPPED = Plan(rate=8.0, burst=8.0, max_in_flight=2, ceiling_rate=10.0, ceiling_burst=12.0, ceiling_slack=1.2)


def drive_capped(gates: Set, trouble: Callable[[int], None] = lambda step: None) -> None:
    """Three times the rate for 40 s, nearly all through one gateway, which changes every 5 s."""
    gates.lasts_us = 150 * MS
    for step in range(1000):
        trouble(step)
        me = gates.random.randrange(3) if step % 7 == 0 else step // 125 % 3
        if me != gates.down:
            gates.ask(me, f"r{step}")
        gates.run(40 * MS)
    gates.run(3 * S)


def test_busiest_gateway_has_the_whole_open_cap_and_ceiling_of_its_set() -> None:
    """Split in three, a gateway would have a third of the ceiling: 3.3 a second of the quota's 8."""
    gates = Set(3, replace(SETTINGS, plans=(CAPPED,)))
    drive_capped(gates)
    ends = Counter(type(action) for world in gates.worlds for _, action in world.log)
    assert gates.sent() >= 0.9 * (8 + 8 * 40)
    assert ends[SendAttempt] + ends[Reject] == 1000
    out = most = 0
    sent = [at for world in gates.worlds for at, action in world.log if isinstance(action, SendAttempt)]
    for _, step in sorted([(at, 1) for at in sent] + [(at + gates.lasts_us, -1) for at in sent]):
        out += step
        most = max(most, out)
    assert most <= 2


@pytest.mark.parametrize("trouble", ["lost", "home cut off", "restarts"])
def test_ceiling_that_a_home_hands_out_holds_whatever_fails(trouble: str) -> None:
    gates = Set(3, replace(SETTINGS, plans=(CAPPED,)), loss=0.3 if trouble == "lost" else 0.0)
    home = zlib.crc32(b"c") % 3

    def fail(step: int) -> None:
        if trouble == "home cut off":  # it goes on, and nobody hears it
            gates.down = home if 300 <= step < 500 or 700 <= step < 720 else -1
        if trouble == "restarts" and step % 60 == 59:
            gates.restart(step // 60 % 3, seed=step)

    start = gates.worlds[0].now
    drive_capped(gates, fail)
    store, last, least = 12.0, start, 12.0
    for at in sorted(
        at for world in gates.worlds for at, action in world.log if isinstance(action, SendAttempt)
    ):
        store, last = min(12.0, store + 10.0 * (at - last) / S) - 1, at
        least = min(least, store)
    assert least >= -1.2 - 10 * 0.15  # the slack, and what the rate gives in 150 ms
    assert gates.sent() >= 100


def test_place_that_was_granted_is_taken_back_where_it_is_not_used() -> None:
    home = World(replace(SETTINGS, gateway_count=3, gateway_index=0, plans=(CAPPED,)))
    key = (0, 0, 0, 3)

    def want(sender: int, out: int = 0, units: float = 1.0) -> list[GossipMessage]:
        told = of(
            SendGossip,
            home.tell(PeerMessage(sender, (GossipMessage(*key, requested=-units, in_flight=out),))),
        )
        return [(tell.peer, word.slot_grant) for tell in told for word in tell.messages]

    home.run(4 * S)
    assert want(1) == [(1, SlotGrant.GRANTED)]
    assert want(2) == [(2, SlotGrant.GRANTED)]
    for _ in range(3):
        assert want(1, out=1) == [(1, SlotGrant.QUEUED)]
        later = [
            (tell.peer, word.slot_grant)
            for tell in of(SendGossip, home.run(500 * MS))
            for word in tell.messages
        ]
    assert later == [(1, SlotGrant.GRANTED)]  # gateway 2 never told of an attempt


def test_clock_that_jumps_and_a_list_that_names_twice() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(2) + servers(2))
    world.ask("a")
    world.now += 60 * S
    world.tell(TimerExpired(0))
    assert len(of(SendAttempt, world.ask("b"))) == 1
    world.tell(EndpointList(EndpointListKind.FULL, 3, ()))
    assert not of(SendAttempt, world.ask("c"))


# --- health and attempts ---


def test_silent_server_is_left_and_tried_again() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(3))
    bad, sends, trials = "s0", 0, 0
    for n in range(400):
        world.ask(f"r{n}")
        world.run((1 + n * 37 % 50) * MS)
        for name, attempt in list(world.out):
            hit = world.out[(name, attempt)][0] == bad
            sends, trials = sends + hit, trials + (hit and n > 200)
            world.answer(name, AttemptResult.RESET if hit else AttemptResult.OK, attempt)
    assert sends < 20
    assert trials >= 1


def test_time_out_on_a_server_that_answers_others_is_no_sign() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(1))
    for n in range(4):
        world.ask(f"r{n}")
    for n in range(2):
        world.ask(f"ok{n}")
    world.run(1 * S)
    world.answer("ok0")
    world.run(10 * MS)
    for n in range(4):
        world.answer(f"r{n}", AttemptResult.TIMEOUT)
    assert world.gateway.balancer.servers["s0"].needs_probe is False


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


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        world = World(replace(SETTINGS, plans=(replace(PLAN, rate=2.0, burst=4.0),)))
        for n in range(100):
            world.ask(f"r{n}")
            world.run(30 * MS)
        logs.append(world.log)
    assert logs[0] == logs[1]


def test_list_must_be_asked_for() -> None:
    gateway = GatewayCore(replace(SETTINGS, must_subscribe=True))
    assert Subscribe(True) in gateway.handle(5, EndpointList(EndpointListKind.SAVED, 1, servers(2)))
    assert gateway.handle(9, EndpointList(EndpointListKind.FAILED, 0)) == [Subscribe(True)]
    assert of(SendAttempt, gateway.handle(10, Request("a", 0, 0, "c", S)))


def test_stream_is_the_clients_once_begun() -> None:
    world = World(with_class(replace(SAFE, streamed=True)))
    world.ask("a")
    assert world.tell(StreamStarted("a", 0, world.out[("a", 0)][0], 5)) == []
    assert of(Reject, world.answer("a", AttemptResult.RESET)) == []


# --- limits of the module ---


def test_module_size() -> None:
    root = Path(__file__).parents[2]
    files = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for file in files for line in (root / file).read_text().splitlines()]
    others = {
        "__init__",
        "simulator",
        "actions",
        "attempts",
        "bounded_map",
        "decision_context",
        "endpoints",
        "gossip_codec",
        "handover_codec",
        "settings_codec",
        "events",
        "gossip",
        "handover_state",
        "in_flight",
        "metrics",
        "peer_outbox",
        "records",
        "settings",
        "snapshots",
        "times",
    }  # decide nothing
    found = {file.stem for file in (root / "orchidhatch" / "gateway").glob("*.py")}
    assert {Path(file).stem for file in files} == found - others
    assert sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 110


def test_log_tells_why_requests_were_ended() -> None:
    world = World(replace(SETTINGS, plans=(Plan(rate=1.0, burst=1.0),)))
    for n in range(40):
        world.ask(f"r{n}")
    world.run(6 * S)
    lines = [action.text for _, action in world.log if isinstance(action, LogLine)]
    refused = len(of(Reject, [action for _, action in world.log]))
    assert refused > 0
    assert sum(int(line.rpartition("quota=")[2].split()[0]) for line in lines if "quota=" in line) == refused


def test_servers_that_all_came_back_take_what_is_asked() -> None:
    """A fault on the way makes each of them suspect for a while; none of them is cold for it."""
    settings = replace(SETTINGS, plans=(Plan(),))
    world = World(settings, servers(4))
    for server in world.gateway.balancer.up:
        server.needs_probe, server.ejected_until_us = True, world.now
    for n in range(100):
        world.ask(f"r{n}")
        world.run(25 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
    sent = len(of(SendAttempt, [action for _, action in world.log]))
    assert sent == 100


def test_open_cap_smaller_than_its_set_holds_over_all_and_moves_to_who_asks() -> None:
    plan = Plan(rate=100.0, burst=100.0, max_in_flight=2)
    gates = Set(4, replace(SETTINGS, plans=(plan,)))
    gates.ask(0, "warm", customer="c")
    (customer,) = gates.worlds[0].gateway.quotas.customers.values()
    home = customer.leader
    gates.run(300 * MS)
    for world in gates.worlds:
        world.answer = lambda *_, **__: []  # from now on nothing is answered
    busy = gates.worlds[(home + 1) % 4]
    for n in range(4):
        gates.ask((home + 1) % 4, f"a{n}", customer="c", set_first=0)
    gates.run(300 * MS)
    assert len(busy.out) == 2  # more than an even part, now that its home has told that the others have none
    for n in range(4):
        gates.ask(home, f"b{n}", customer="c")
    gates.run(300 * MS)
    assert sum(len(world.out) for world in gates.worlds) == 2


def test_warm_servers_cost_a_choice_no_look_at_their_warmth(monkeypatch: pytest.MonkeyPatch) -> None:
    looked = []
    warmth = LoadBalancer.warmth

    def counted(routing: LoadBalancer, server: object) -> float:
        looked.append(server)
        return warmth(routing, server)

    world = World(replace(SETTINGS, gateway_count=200), servers(200))
    monkeypatch.setattr(LoadBalancer, "warmth", counted)
    assert of(SendAttempt, world.ask("a"))
    assert len(looked) <= CHOICES


def test_server_is_warm_from_the_last_moment_of_its_start_on() -> None:
    started = 100 * S - SETTINGS.warm_up_us + 1  # the world begins at 100 s
    world = World(fleet=servers(2, started_us=started))
    gateway = world.gateway
    assert all(gateway.balancer.warmth(server) < 1 for server in gateway.balancer.up)
    world.run(1)
    gateway.context.now_us = world.now
    assert all(gateway.balancer.warmth(server) == 1 for server in gateway.balancer.up)
    world.tell(SetEjection("s0", True))
    world.tell(SetEjection("s0", False))  # it may have started anew meanwhile
    assert gateway.balancer.warmth(gateway.balancer.servers["s0"]) == SETTINGS.cold_capacity
    assert gateway.balancer.warmth(gateway.balancer.up[1]) == 1


def test_attempts_that_are_out_wake_nobody() -> None:
    world = World()
    assert of(SendAttempt, world.ask("a"))
    woken = of(SetTimer, world.run(5 * S))
    assert len(woken) <= 6  # the ends of the periods, of 1 or 2 s; the answer will be told


def test_words_that_wait_for_their_space_are_looked_at_when_it_is_there() -> None:
    settings = replace(SETTINGS, gateway_count=3, gateway_index=0, peer_messages_per_s=4.0)
    world = World(settings)
    rest = {"set_size": 3, "plan_index": 0}
    told = [action for n in range(8) for action in of(SendGossip, world.ask(f"a{n}", customer="c2", **rest))]
    home = world.gateway.quotas.customers[next(iter(world.gateway.quotas.customers))].leader
    assert home != 0 and told and not of(SendGossip, world.run(10 * MS)) and world.gateway.outbox.waiting
    space_us = world.gateway.outbox.spacing_us
    before = world.now
    while not (left := of(SendGossip, world.run(10 * MS))):
        assert world.now - before <= space_us + 3 * 20 * MS
    assert left[0].peer == home and not world.gateway.outbox.waiting


# --- when a refused client is to come again ---


def advice(actions: list[Action]) -> list[int]:
    return [action.retry_after_us for action in of(Reject, actions)]


def test_beyond_the_quota_clients_come_again_when_it_has_room() -> None:
    settings = replace(SETTINGS, plans=(Plan(rate=2.0, burst=2.0),), max_retry_after_us=2 * S)
    world = World(settings)
    told = [time for n in range(12) for time in advice(world.ask(f"a{n}"))]
    assert all(time == 2 * S for time in told[1:])  # others ask more than the rate: no room is foreseen
    world.run(3 * S)  # they are gone
    assert not advice(world.ask("b"))
    job = world.gateway.requests["b"]
    world.gateway.overload.n_past = None  # nobody answers here, and the cap had engaged
    job.customer.demand, job.customer.level = 1.0, 0.4
    waits = [world.gateway.retries.retry_after_us(job, "quota") for _ in range(20)]
    assert min(waits) >= 300 * MS and max(waits) <= 600 * MS  # 0.6 of a unit at 2 a second


def test_clients_refused_together_come_again_apart_and_none_before_there_is_room() -> None:
    plan = Plan(rate=50.0, burst=50.0, ceiling_rate=20.0, ceiling_burst=20.0)
    settings = replace(SETTINGS, plans=(plan,), max_retry_after_us=2 * S)
    world = World(settings)
    gateway = world.gateway
    world.ask("a")
    job = gateway.requests["a"]
    job.customer.ceiling, job.servers = 0.5, []
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


def test_server_that_has_a_connection_is_preferred_to_one_as_good_but_not_to_an_emptier_one() -> None:
    world = World(replace(SETTINGS, conn_idle_us=8 * S), servers(8))
    world.run(2 * S)  # so few attempts that none would find the connection of the one before
    first = of(SendAttempt, world.ask("a"))[0].server
    world.run(500 * MS)
    world.answer("a")
    for n in range(5):  # the others are as quick, as far as anybody knows
        assert of(SendAttempt, world.ask(f"b{n}"))[0].server == first
        world.run(500 * MS)
        world.answer(f"b{n}")
    assert of(SendAttempt, world.ask("c"))[0].server == first
    assert of(SendAttempt, world.ask("d"))[0].server != first
    world.run(500 * MS)
    world.answer("c")
    world.answer("d")
    gateway = world.gateway
    routing = gateway.balancer
    costs = {server.endpoint.name: routing.cost(server) / server.relative_latency for server in routing.up}
    assert sorted(costs.values())[1] < sorted(costs.values())[2] == sorted(costs.values())[-1]
    world.run(6 * S)  # by now those connections are closed
    assert len({round(routing.cost(server) / server.relative_latency, 9) for server in routing.up}) == 1


def test_connections_are_no_reason_where_an_even_spread_keeps_them() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),), conn_idle_us=8 * S), servers(8))
    gateway = world.gateway
    for gap, thin in ((20 * MS, False), (500 * MS, True)):  # 25 attempts a server in 4 s, and one
        for n in range(20 * S // gap):
            world.ask(f"a{gap}-{n}")
            world.run(gap)
            world.answer(f"a{gap}-{n}")
        assert gateway.balancer.spread_thin is thin
        costs = {
            round(gateway.balancer.cost(server) / server.relative_latency, 9)
            for server in gateway.balancer.up
        }
        assert len(costs) == 1 + thin
