"""Quotas, rate ceilings and concurrency slots over all gateways of a set."""

import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import (
    Fail,
    Reject,
    SendAttempt,
    SendGossip,
)
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import (
    AttemptEnded,
    EndpointList,
    PeerMessage,
    PolicyChange,
)
from orchidhatch.gateway.gossip import GossipMessage, SlotGrant
from orchidhatch.gateway.settings import Idempotency, Plan, RequestClass, Settings
from orchidhatch.gateway.snapshots import CustomerKey
from tests.helpers import MS, PLAN, SAFE, SETTINGS, S, Set, World, of

UNSAFE = RequestClass(2 * S, 6 * S, idempotency=Idempotency.UNSAFE)
CAPPED = Plan(rate=8.0, burst=8.0, max_in_flight=2, ceiling_rate=10.0, ceiling_burst=12.0, ceiling_slack=1.2)


def with_class(rule: RequestClass, **changes: object) -> Settings:
    return replace(SETTINGS, classes=(rule,), **changes)


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
    level = homes[0].quota.set_level
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
        customer.quota.set_level
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
    assert customer.leader_slots.in_use(world.now) == 1 and customer.quota.set_level == 0
    assert not of(SendGossip, [action for _, action in world.log])


def test_words_from_outside_are_checked() -> None:
    world = World(replace(SETTINGS, gateway_count=2))
    huge = GossipMessage(1, 0, 0, 2, demand=1e9, requested=1e9, level=-1e9)
    for word in (GossipMessage(1, 9, 0, 2), GossipMessage(1, 0, 5, 1), GossipMessage(1, 0, 0, 0), huge):
        world.tell(PeerMessage(1, (word,)))
    assert len(world.gateway.quotas.customers) == 1


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
    assert next(iter(world.gateway.quotas.customers.values())).quota.set_level == 20


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
    assert next(iter(world.gateway.quotas.customers.values())).quota.set_level == pytest.approx(16)


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


def test_who_goes_by_an_older_word_leaves_the_level_to_those_that_ask() -> None:
    """Thirty gateways that all let in on the same level would spend it thirty times over."""
    world = World(replace(SETTINGS, plans=(Plan(rate=10.0, burst=20.0),), gateway_count=40))
    customer = world.gateway.quotas.customer(CustomerKey(1, 0, 0, 30))
    customer.quota.set_level, customer.demand.units = 3.0, 20.0
    assert customer.chance(1.0) == 1.0  # the home's word holds for the one that it was given to
    assert customer.chance(1.0, known=False) == 1.0  # it has heard none: one request is its own in any case
    customer.take(1.0)
    assert customer.chance(1.0, known=False) == 0.0
    world.run(2 * S)  # a thirtieth of the rate
    assert customer.refill(world.now).chance(1.0, known=False) == 0.0
    world.run(S)
    assert customer.refill(world.now).chance(1.0, known=False) == 1.0
    # Asks leave nothing of a rate of ten at 25 a second, so that an older word is of use above the kept part.
    customer.last_answer_us, customer.demand.units, customer.quota.set_level = world.now, 20.0, 20.0
    spare = (20.0 - 20.0 / 4) / (30 / 25)
    assert customer.chance(1.0, known=False) == pytest.approx(spare * 0.5 / 20.0)
    customer.quota.set_level = 5.0
    assert customer.chance(1.0, known=False) == 0.0
    customer.quota.set_level = 0.9
    assert customer.chance(1.0) == 0.0
    few = world.gateway.quotas.customer(
        CustomerKey(1, 0, 0, 3)
    )  # its parts hold requests: the rule is as it was
    few.quota.set_level, few.demand.units = 0.9, 20.0
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
    customer.last_answer_us, customer.quota.set_level = world.now, 0.2
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
