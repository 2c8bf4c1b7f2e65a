"""Whether grant requests are counted once where the next process of a member takes over."""

from dataclasses import replace

import pytest

from orchidhatch.gateway import handover_state
from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.events import ClientGone, PeerMessage, StartHandover
from orchidhatch.gateway.gossip import GossipMessage, MessageKind
from orchidhatch.gateway.grant_requests import GRANT_NUMBER_REUSE_US, GRANT_NUMBER_STEP_US
from orchidhatch.gateway.snapshots import CustomerKey, GatewaySnapshot, GrantRequestSnapshot, HandoverSpend
from tests.gateway.held_pair import (
    ANSWERED,
    CUSTOMER,
    GATEWAYS,
    MEMBER,
    PAST_ALL_WAITS_US,
    PAST_EXPIRY_US,
    PLAN,
    SEND_SPACING_US,
    TIMED_OUT,
    HeldPair,
    Successor,
    record_decisions,
)
from tests.helpers import MS, World, of


def next_process(pair: HeldPair, kind: str) -> World:
    """The process after the member's, a number's step of the clock later."""
    if kind == "handover":
        world = Successor(pair).world
    else:
        world = World(replace(pair.member.gateway.settings, seed=3))
        world.now = pair.member.now
    world.run(GRANT_NUMBER_STEP_US)
    return world


def ask_of(world: World, name: str, units: float = 6.0) -> GossipMessage:
    """A request comes to a gateway; returns its ask."""
    actions = world.ask(name, customer=CUSTOMER, units=units, set_size=GATEWAYS) + world.run(SEND_SPACING_US)
    messages = [message for gossip in of(SendGossip, actions) for message in gossip.messages]
    [ask] = [message for message in messages if message.kind is MessageKind.GRANT_REQUEST]
    return ask


@pytest.mark.parametrize("successor", ["handover", "new_process"])
def test_next_process_does_not_repeat_its_predecessors_ask(successor: str) -> None:
    """Guards against a process whose first ask has the number of its predecessor's, and goes uncounted."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_all()
    assert pair.admitted("a")
    world = next_process(pair, successor)
    ask = ask_of(world, "b")
    assert pair.counted() == pytest.approx(6.0, abs=0.03)
    pair.tell(pair.leader, PeerMessage(MEMBER, (ask,)))
    assert pair.counted() == pytest.approx(12.0, abs=0.03)


@pytest.mark.parametrize("successor", ["handover", "new_process"])
def test_answer_to_the_predecessor_decides_no_request(successor: str) -> None:
    """Guards against a late answer to the process before that decides the first request of the next."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    world = next_process(pair, successor)
    sources = record_decisions(world)
    ask_of(world, "b")
    world.tell(pair.to_member.pop())
    assert sources == []


@pytest.mark.parametrize("admitted", [False, True], ids=["rejected", "admitted"])
def test_request_answered_to_a_successor_is_counted(admitted: bool) -> None:
    """Guards against a counted grant that the successor reports again, or that nobody gives back."""
    pair = HeldPair()
    if not admitted:
        pair.use_up_allowance()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    successor = Successor(pair)
    if not admitted:
        pair.tell(pair.member, ClientGone("a"))
    successor.world.tell(pair.to_member.pop())  # The request ends by time-out.
    pair.run(PAST_ALL_WAITS_US)
    successor.relay_spending()
    successor.report()
    assert pair.admitted("a") is admitted
    assert ANSWERED not in successor.sources
    assert pair.counted() == pytest.approx(pair.admitted_units(), abs=0.03)


@pytest.mark.parametrize("counted", [False, True], ids=["asks_lost", "answered_late"])
def test_presumed_spending_survives_a_handover(counted: bool) -> None:
    """Guards against spending that is reported by nobody, as its grant is presumed at the handover."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    if counted:
        pair.deliver_to_leader()
    pair.run(PAST_ALL_WAITS_US)
    assert pair.sources == [TIMED_OUT]
    assert pair.admitted("a")
    successor = Successor(pair)
    for event in pair.to_member:
        successor.world.tell(event)
    pair.lose_all()
    pair.run(PAST_EXPIRY_US)
    successor.world.run(PAST_EXPIRY_US)
    successor.relay_spending()
    successor.report()
    assert pair.counted() == pytest.approx(6.0, abs=0.03)


def test_answer_to_the_predecessor_drops_no_request() -> None:
    """Guards against a waiting request that a late answer for other units under its number displaces."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    world = Successor(pair).world
    sources = record_decisions(world)
    ask = ask_of(world, "b", units=7.0)
    world.tell(pair.to_member.pop())
    pair.tell(pair.leader, PeerMessage(MEMBER, (ask,)))
    pair.run(SEND_SPACING_US)
    [answer] = pair.to_member
    assert (answer.messages[0].requested, answer.messages[0].spent) == (7.0, 7.0)
    world.tell(answer)
    assert sources == [ANSWERED]


def test_answer_repeated_to_a_successor_gives_nothing_back() -> None:
    """Guards against units given back that the predecessor has spent by the same answer."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    [answer] = pair.to_member
    pair.deliver_all()
    assert pair.sources == [ANSWERED]
    successor = Successor(pair)
    successor.world.tell(answer)
    successor.report()
    assert pair.counted() == pytest.approx(6.0, abs=0.03)


def test_processes_that_serve_together_ask_by_other_numbers() -> None:
    """Guards against two asks of one number, as each process follows the clock after the snapshot."""
    pair = HeldPair()
    world = Successor(pair).world
    for name in ("a", "b", "c"):
        pair.ask(name, units=6.0)
    of_predecessor = {ask.grant_number for ask in pair.messages_to_leader()}
    of_successor = {ask_of(world, name).grant_number for name in ("d", "e", "f")}
    assert len(of_predecessor | of_successor) == 6


def test_latest_grant_requests_are_handed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a snapshot that grows without bound, or leaves out the numbers just used."""
    monkeypatch.setattr(handover_state, "MAX_SNAPSHOT_GRANT_REQUESTS", 2)
    pair = HeldPair()
    for number in range(3):
        pair.ask(f"a{number}", units=6.0 + number)
    [snapshot] = of(GatewaySnapshot, pair.tell(pair.member, StartHandover()))
    assert [request.units for request in snapshot.grant_requests] == [7.0, 8.0]


def test_numbers_free_again_are_not_handed_over() -> None:
    """Guards against a snapshot with every request that was ever made."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_all()
    pair.run(round(GRANT_NUMBER_REUSE_US))
    for world in (pair.member, pair.leader):
        [snapshot] = of(GatewaySnapshot, pair.tell(world, StartHandover()))
        assert snapshot.grant_requests == snapshot.counted_grants == ()


def test_latest_counted_grants_are_handed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a snapshot that grows without bound, or leaves out what was just counted."""
    monkeypatch.setattr(handover_state, "MAX_SNAPSHOT_COUNTED_GRANTS", 2)
    pair = HeldPair(replace(PLAN, burst=100.0))
    for number in range(3):
        pair.ask(f"a{number}", units=26.0 + number)
    pair.deliver_all()
    [snapshot] = of(GatewaySnapshot, pair.tell(pair.leader, StartHandover()))
    assert [(grant.peer, grant.requested, grant.counted) for grant in snapshot.counted_grants] == [
        (MEMBER, 27.0, 27.0),
        (MEMBER, 28.0, 28.0),
    ]


def test_request_that_waits_keeps_its_number_against_the_predecessors() -> None:
    """Guards against a request of the successor's that its predecessor's of the same number displaces."""
    pair = HeldPair()
    successor = Successor(pair)
    sources = successor.sources
    ask = ask_of(successor.world, "b")
    key = CustomerKey(ask.customer, ask.plan_index, ask.set_first, ask.set_size)
    answered = GrantRequestSnapshot(key, ask.grant_number, pair.member.now - 10 * MS, 6.0, 6.0, 6.0)
    successor.world.tell(HandoverSpend(key, 0.0, 6.0, (answered,)))
    pair.tell(pair.leader, PeerMessage(MEMBER, (ask,)))
    pair.run(SEND_SPACING_US)
    successor.world.tell(pair.to_member.pop())
    assert sources == [ANSWERED]
