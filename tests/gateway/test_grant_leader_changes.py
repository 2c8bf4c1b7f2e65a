"""What was counted and admitted where the leader, the policy or its plans change."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.events import PeerMessage, PolicyChange
from orchidhatch.gateway.leader_requests import MAX_GRANT_REQUESTS
from orchidhatch.gateway.settings import Plan
from tests.gateway.held_pair import (
    BURST,
    GATEWAYS,
    LEADER,
    MEMBER,
    PAST_ALL_WAITS_US,
    PAST_EXPIRY_US,
    PAST_ONE_WAIT_US,
    PLAN,
    TIMED_OUT,
    HeldPair,
    customer_name,
    record_decisions,
)
from tests.helpers import MS, SETTINGS, World, of


@pytest.mark.parametrize("moment", ["before_ask", "after_answer"])
@pytest.mark.parametrize("late", [False, True], ids=["in_time", "late"])
def test_request_across_a_leader_restart_is_counted_once(moment: str, late: bool) -> None:
    """Guards against spending that a restarted leader does not learn of, or learns of twice."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    if moment == "after_answer":
        pair.deliver_to_leader()
    pair.restart_leader()
    if late:
        pair.run(PAST_ALL_WAITS_US)
    pair.deliver_all()
    assert pair.admitted("a")
    pair.check(answered=0 if late else 1)


def test_gateway_that_leads_no_more_counts_and_answers_nothing() -> None:
    """Guards against a request that a gateway of another tier size answers, though another one leads."""
    settings = replace(SETTINGS, gateway_count=GATEWAYS, plans=(PLAN,), peer_messages_per_s=100_000.0)
    name = customer_name(2)
    member = World(replace(settings, gateway_index=MEMBER))
    member.run(1100 * MS)
    sources = record_decisions(member)
    sent = of(SendGossip, member.ask("a", customer=name, units=6.0, set_first=2, set_size=GATEWAYS))
    assert [gossip.peer for gossip in sent] == [LEADER]
    moved = World(replace(settings, gateway_index=LEADER, gateway_count=GATEWAYS + 1))
    answers = of(SendGossip, moved.tell(PeerMessage(MEMBER, sent[0].messages)))
    assert answers == []
    member.run(PAST_ALL_WAITS_US)
    assert sources == [TIMED_OUT]
    reports = of(SendGossip, member.run(PAST_EXPIRY_US))
    reported = [message.spent for gossip in reports for message in gossip.messages]
    [customer] = member.gateway.quotas.customers.values()
    assert sum(reported) + customer.quota.unreported_spend == pytest.approx(6.0)


OTHER_PLAN = Plan(rate=1e-6, burst=BURST, priority_factor=2.0)


def moved_plan(mark: int = 2) -> PolicyChange:
    """The customer's plan is the second of two from now on."""
    return PolicyChange(SETTINGS.classes, (OTHER_PLAN, PLAN), frozenset(), mark, (1,))


@pytest.mark.parametrize("first", ["member", "leader"])
@pytest.mark.parametrize("moment", ["before_ask", "after_answer"])
def test_request_across_a_plan_move_is_counted_once(moment: str, first: str) -> None:
    """Guards against counts that drift as messages of the policy before are ignored on arrival."""
    pair = HeldPair()
    pair.ask("a", units=6.0)
    if moment == "after_answer":
        pair.deliver_to_leader()
    worlds = [pair.member, pair.leader] if first == "member" else [pair.leader, pair.member]
    for world in worlds:
        pair.tell(world, moved_plan())
        pair.deliver_all()
    for _ in range(MAX_GRANT_REQUESTS - 1):
        pair.run(PAST_ONE_WAIT_US)
        pair.deliver_all()
    pair.run(PAST_ONE_WAIT_US)
    assert pair.admitted("a")
    pair.settle()
    assert pair.counted() == pytest.approx(6.0, abs=0.03)
